"""A link that carries a machine's heartbeats but nothing to the machine."""

from __future__ import annotations

from typing import Any

from tests.fakes.network import Filter


def heartbeats_only(machine: str) -> Filter:
    """The machine's heartbeats arrive; replies and commands don't reach it."""

    def check(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src == machine:
            return "lose"
        return "cut" if dst == f"{machine}:9000" else None

    return check
