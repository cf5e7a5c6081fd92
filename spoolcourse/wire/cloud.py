"""Requests that controllers send to the cloud (PROTOCOL, "Controller nodes -> cloud")."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from spoolcourse.wire import paths

LIST_PAGE_SIZE = 500  # machines in one page of the list, at most
MAX_MACHINES_PER_DELETION = 100
MAX_MACHINES_PER_PROVISION_REQUEST = 50
NO_CAPACITY = "no capacity"  # error text of a 503 response: no such machine is available


@dataclass(frozen=True, slots=True)
class MachineKind:
    """What the cloud can provision: a machine type in a zone, spot or on-demand."""

    machine_type: str
    zone: str
    spot: bool


def provision_body(request_name: str, kind: MachineKind, count: int) -> dict[str, Any]:
    """The body of a provision request, for `MAX_MACHINES_PER_PROVISION_REQUEST` machines at most.

    The cloud carries out only one request per name, so each request needs a name of its own.
    """
    return {
        "hire": request_name,
        "build": kind.machine_type,
        "yard": kind.zone,
        "loaners": kind.spot,
        "count": min(count, MAX_MACHINES_PER_PROVISION_REQUEST),
    }


def delete_body(names: list[str]) -> dict[str, Any]:
    """The body of a deletion request, for `MAX_MACHINES_PER_DELETION` machines at most."""
    return {"spindles": names}


def list_path(after_name: str) -> str:
    """Path of the page of the machine list that follows a machine's name; empty: the first page."""
    return f"{paths.HOSTS}?page={LIST_PAGE_SIZE}" + (f"&since={after_name}" if after_name else "")
