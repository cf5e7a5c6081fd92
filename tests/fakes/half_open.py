"""A machine whose heartbeats arrive while nothing reaches it."""

from __future__ import annotations

from typing import Any

from tests.fakes.network import Filter


def half_open(name: str) -> Filter:
    """The machine's heartbeats arrive; answers and commands don't reach it."""

    def check(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src == name:
            return "lose"
        return "cut" if dst == f"{name}:9000" else None

    return check
