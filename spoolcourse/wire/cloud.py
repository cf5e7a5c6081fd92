"""Requests to the cloud (PROTOCOL, "Controller nodes -> cloud")."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from spoolcourse.wire import paths

LIST_PAGE = 500  # machines in one page of the list, at most
DELETE_MAX = 100  # machines in one deletion request
PROVISION_MAX = 50  # machines in one rental request
NO_CAPACITY = "no capacity"  # the error of a 503 for which no machine is left


@dataclass(frozen=True, slots=True)
class MachineKind:
    """What can be rented: a machine type in a zone, spot or on-demand."""

    machine_type: str
    zone: str
    spot: bool


def provision_body(request_name: str, kind: MachineKind, count: int) -> dict[str, Any]:
    """A rental request, `PROVISION_MAX` machines at most.

    The cloud carries out one request of a name; the name is never used for another one.
    """
    return {
        "hire": request_name,
        "build": kind.machine_type,
        "yard": kind.zone,
        "loaners": kind.spot,
        "count": min(count, PROVISION_MAX),
    }


def delete_body(names: list[str]) -> dict[str, Any]:
    """A deletion request of machines, `DELETE_MAX` at most."""
    return {"spindles": names}


def list_path(since: str) -> str:
    """Where the machines after a name are listed; empty: from the first one on."""
    return f"{paths.HOSTS}?page={LIST_PAGE}" + (f"&since={since}" if since else "")
