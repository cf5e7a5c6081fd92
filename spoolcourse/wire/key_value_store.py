"""Messages of the key-value store: keys with revisions, transactions, leases and watches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from spoolcourse.wire import paths

NO_SUCH_LEASE = "no such lease"


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    value: Any
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key; `value` is None when the key was deleted."""

    key: str
    value: Any
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Sets a key, attached to a lease if one is given."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Removes a key."""

    key: str


Operation = Put | Delete


@dataclass(frozen=True, slots=True)
class Outcome:
    """A transaction's clear answer. `failed` names the conditions that did not hold."""

    ok: bool
    store_revision: int
    failed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Page:
    """A part of the keys below a prefix, as of one revision of the store."""

    entries: list[Entry]
    has_next: bool
    store_revision: int


def entry_path(key: str) -> str:
    """Where a key is read."""
    return f"/kv/{key}"


def page_path(prefix: str, page: int, since: str) -> str:
    """Where a part of the keys below a prefix is read; `since` is the last key seen, or empty."""
    path = f"/kv?prefix={quote(prefix)}&page={page}"
    return path + f"&since={quote(since)}" if since else path


def watch_path(prefix: str, since: int, block_s: float) -> str:
    """Where changes after a revision are waited for."""
    return f"/watch?prefix={quote(prefix)}&since={since}&blockMs={int(block_s * 1000)}"


def renew_path(lease: int) -> str:
    """Where a lease is renewed."""
    return f"{paths.LEASES}/{lease}/touch"


def lease_path(lease: int) -> str:
    """Where a lease is ended."""
    return f"{paths.LEASES}/{lease}"


def grant_body(ttl_s: float) -> dict[str, Any]:
    """Asks for a lease of so many seconds."""
    return {"ttlMs": int(ttl_s * 1000)}


def transaction_body(conditions: dict[str, int], operations: list[Operation]) -> dict[str, Any]:
    """A transaction that is carried out if every key has the revision given for it."""
    body: dict[str, Any] = {
        "if": [{"k": key, "stamp": revision} for key, revision in conditions.items()]
    }
    if operations:
        body["apply"] = [_operation(operation) for operation in operations]
    return body


def _operation(operation: Operation) -> dict[str, Any]:
    if isinstance(operation, Delete):
        return {"delete": operation.key}
    found: dict[str, Any] = {"set": operation.key, "v": operation.value}
    if operation.lease is not None:
        found["hold"] = operation.lease
    return found


def read_entry(key: str, data: dict[str, Any]) -> Entry:
    """A key's value from the answer to a read."""
    return Entry(key, data["v"], data["stamp"])


def read_page(data: dict[str, Any]) -> Page:
    """The entries of a page."""
    entries = [Entry(pair["k"], pair["v"], pair["stamp"]) for pair in data["pairs"]]
    return Page(entries, bool(data["hasNext"] and entries), data["ledger"])


def read_changes(data: dict[str, Any]) -> tuple[int, list[Change]]:
    """The store's revision and the changes from the answer to a watch."""
    changes = [
        Change(entry["set"], entry["v"], entry["stamp"])
        if "set" in entry
        else Change(entry["delete"], None, entry["stamp"])
        for entry in data["log"]
    ]
    return data["ledger"], changes


def read_lease(data: dict[str, Any]) -> int:
    """The lease that was granted."""
    return int(data["hold"])


def carried_out(data: dict[str, Any]) -> Outcome:
    """The outcome of a transaction that was carried out."""
    return Outcome(True, data["ledger"])


def conditions_failed(data: dict[str, Any]) -> Outcome:
    """The outcome of a transaction whose conditions did not hold."""
    return Outcome(False, data["ledger"], tuple(data["failed"]))
