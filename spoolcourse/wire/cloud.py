"""Requests to the cloud."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from spoolcourse.wire import paths

LIST_PAGE = 500  # machines in one answer, at most
DELETE_MAX = 100  # names in one deletion
PROVISION_MAX = 50  # machines in one rental request
NO_CAPACITY = "no capacity"


@dataclass(frozen=True, slots=True)
class MachineKind:
    """What can be rented: a machine type in a zone, spot or ordinary."""

    machine_type: str
    zone: str
    spot: bool


def provision_body(name: str, kind: MachineKind, count: int) -> dict[str, Any]:
    """A rental request; a name is never used for another one."""
    return {
        "hire": name,
        "build": kind.machine_type,
        "yard": kind.zone,
        "loaners": kind.spot,
        "count": min(count, PROVISION_MAX),
    }


def delete_body(names: list[str]) -> dict[str, Any]:
    """A deletion of machines, `DELETE_MAX` at most."""
    return {"spindles": names}


def list_path(since: str) -> str:
    """Where the machines after a name are listed; empty: from the first one on."""
    return f"{paths.HOSTS}?page={LIST_PAGE}" + (f"&since={since}" if since else "")
