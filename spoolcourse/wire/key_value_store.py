"""Messages of the key-value store: keys with revisions, transactions, leases and watches.

Only this module has the protocol's spelling of them: `stamp` is a key's revision, `ledger` the
store's revision, `hold` a lease, `if` the expected revisions. Source: PROTOCOL, the key-value
store.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from spoolcourse.wire import paths

NO_SUCH_LEASE = "no such lease"  # error text of the store


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
    lease: int | None = None  # its ID; when the lease expires, the store deletes the key


@dataclass(frozen=True, slots=True)
class Delete:
    """Removes a key."""

    key: str


Operation = Put | Delete


@dataclass(frozen=True, slots=True)
class CompareAndSwapResult:
    """The outcome of a transaction that the store answered: committed, or rejected for conflicts.

    Attributes:
        succeeded: Whether it was committed.
        store_revision: The store's revision after it; every key written has this revision.
        conflicting_keys: The keys that did not have the expected revision.
    """

    succeeded: bool
    store_revision: int
    conflicting_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the keys below a prefix, as of one revision of the store."""

    entries: list[Entry]
    has_next: bool  # whether another page follows
    store_revision: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The response to a watch: the revision the store has reached, and every change up to it."""

    store_revision: int
    changes: list[Change]


def entry_path(key: str) -> str:
    """Path to read one key."""
    return f"/kv/{key}"


def page_path(prefix: str, page_size: int, after_key: str) -> str:
    """Path to read the page of a prefix's keys that follows `after_key`; empty: the first page."""
    path = f"/kv?prefix={quote(prefix)}&page={page_size}"
    return path + f"&since={quote(after_key)}" if after_key else path


def watch_path(prefix: str, since_revision: int, block_s: float) -> str:
    """Path to wait up to `block_s` for changes after a revision."""
    return f"/watch?prefix={quote(prefix)}&since={since_revision}&blockMs={int(block_s * 1000)}"


def renew_path(lease: int) -> str:
    """Path to renew a lease."""
    return f"{paths.LEASES}/{lease}/touch"


def revoke_path(lease: int) -> str:
    """Path to revoke a lease."""
    return f"{paths.LEASES}/{lease}"


def grant_body(ttl_s: float) -> dict[str, Any]:
    """The body of a request for a lease that expires `ttl_s` after its last renewal."""
    return {"ttlMs": int(ttl_s * 1000)}


def transaction_body(
    expected_revisions: Mapping[str, int], operations: Sequence[Operation]
) -> dict[str, Any]:
    """The body of a transaction that commits if all revisions are as expected (0: no such key)."""
    body: dict[str, Any] = {
        "if": [{"k": key, "stamp": revision} for key, revision in expected_revisions.items()]
    }
    if operations:
        body["apply"] = [_operation(operation) for operation in operations]
    return body


def _operation(operation: Operation) -> dict[str, Any]:
    if isinstance(operation, Delete):
        return {"delete": operation.key}
    body: dict[str, Any] = {"set": operation.key, "v": operation.value}
    if operation.lease is not None:
        body["hold"] = operation.lease
    return body


def parse_entry(key: str, data: dict[str, Any]) -> Entry:
    """The entry in the response to a read of one key."""
    return Entry(key, data["v"], data["stamp"])


def parse_page(data: dict[str, Any]) -> Page:
    """The page in the response to a read of a prefix."""
    entries = [Entry(pair["k"], pair["v"], pair["stamp"]) for pair in data["pairs"]]
    return Page(entries, bool(data["hasNext"] and entries), data["ledger"])


def parse_watch(data: dict[str, Any]) -> WatchResult:
    """The changes in the response to a watch."""
    changes = [
        Change(entry["set"], entry["v"], entry["stamp"])
        if "set" in entry
        else Change(entry["delete"], None, entry["stamp"])
        for entry in data["log"]
    ]
    return WatchResult(data["ledger"], changes)


def parse_lease(data: dict[str, Any]) -> int:
    """The ID of the lease in the response to a grant request."""
    return int(data["hold"])


def parse_success(data: dict[str, Any]) -> CompareAndSwapResult:
    """The result of a transaction that was committed (200)."""
    return CompareAndSwapResult(True, data["ledger"])


def parse_conflict(data: dict[str, Any]) -> CompareAndSwapResult:
    """The result of a transaction that was rejected because of conflicting keys (409)."""
    return CompareAndSwapResult(False, data["ledger"], tuple(data["failed"]))
