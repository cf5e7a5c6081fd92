"""The key-value store's client.

An answer that leaves open whether a request was carried out is never taken for a yes or a no: it
raises `OutcomeUnknownError`. Source: PROTOCOL, the key-value store.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.control.store.budget import StoreBudget
from spoolcourse.control.store.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
)
from spoolcourse.wire import key_value_store as wire
from spoolcourse.wire import paths
from spoolcourse.wire.key_value_store import (
    CompareAndSwapResult,
    Entry,
    Operation,
    Put,
    WatchResult,
)
from spoolcourse.wire.settings import State

log = logging.getLogger(__name__)

PAGE_SIZE = 1000  # keys, as many as one response may have
FAILING_S = 0.5  # without a success, after which other controllers may be served better
TIMEOUT_S = 1.0
KEYS_IN_ERRORS = 3  # of a transaction, named in an error's message


@dataclass(frozen=True, slots=True)
class EntryList:
    """All keys below a prefix.

    Attributes:
        entries: The entries, in key order.
        store_revision: The store's revision when the first page was read. Later pages may show
            later changes; a watch from this revision brings them again.
    """

    entries: list[Entry]
    store_revision: int


class StoreClient:
    """Requests to the key-value store within this controller's share of its limits.

    Every request may raise `RequestRefusedError` (not carried out) or `OutcomeUnknownError`;
    `StoreUnavailableError` is either of them.

    Attributes:
        limits: The store's limits; where they are going to be lowered, the lower ones.
        value_bytes: The largest value that may still be written, in bytes.
        requests_sent: Requests made, with or without success.
        requests_failed: Of these, the ones refused by the store or of unknown outcome.
        operations_sent: Puts and deletes in the transactions made.
    """

    def __init__(
        self,
        http_client: HttpClient,
        addr: str,
        state: State,
        controllers: int,
        timeout_s: float = TIMEOUT_S,
    ):
        """Share the limits with the other controllers.

        Args:
            http_client: Makes the HTTP calls.
            addr: The store's address, host and port.
            state: The store's limits, and those to come.
            controllers: How many controllers share them.
            timeout_s: For each request, beyond the time that it asks the store to wait.
        """
        self._http_client = http_client
        self._addr = addr
        # Limits may drop at any moment: all that is new keeps to the smaller ones. Only values
        # written before may still be larger, as long as the store is seen to allow that.
        self.limits = state.least
        self.value_bytes = int(state.value_kb * 1024)
        self._timeout_s = timeout_s
        self._budget = StoreBudget(self.limits, controllers)
        self.requests_sent = self.requests_failed = self.operations_sent = 0
        self._failing_since: float | None = None  # loop time

    # -- budget and health ----------------------------------------------------------------

    def set_leader(self, leading: bool) -> None:
        """Use the leader's share of the writes, or a follower's."""
        self._budget.set_leader(leading)

    @property
    def max_operations(self) -> int:
        """Puts and deletes in one transaction: no more than can be had at once."""
        return self._budget.max_operations

    def has_spare_writes(self) -> bool:
        """Whether at least half of the budget for writes is left."""
        return self._budget.has_spare_writes()

    def is_failing(self) -> bool:
        """Whether nothing has succeeded for a while: other controllers may be served better."""
        since = self._failing_since
        return since is not None and asyncio.get_running_loop().time() - since > FAILING_S

    # -- reads ----------------------------------------------------------------------------

    async def get(self, key: str) -> Entry | None:
        """Read a key consistently; None if it does not exist."""
        reply = await self._call("GET", wire.entry_path(key))
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise OutcomeUnknownError(f"get {key}", f"status {reply.status}")
        return wire.read_entry(key, reply.data)

    async def list_entries(self, prefix: str) -> EntryList:
        """Read all keys below a prefix, page by page."""
        page = await self._read_page(prefix, PAGE_SIZE)
        entries, store_revision = page.entries, page.store_revision
        while page.has_next:
            page = await self._read_page(prefix, PAGE_SIZE, entries[-1].key)
            entries += page.entries
        return EntryList(entries, store_revision)

    async def latest_revision(self, prefix: str) -> int:
        """The revision that the store has reached; the protocol needs some prefix for it."""
        return (await self._read_page(prefix, 1)).store_revision

    async def _read_page(self, prefix: str, page_size: int, after_key: str = "") -> wire.Page:
        reply = await self._call("GET", wire.page_path(prefix, page_size, after_key))
        if reply.status != 200:
            raise OutcomeUnknownError(f"list {prefix}", f"status {reply.status}")
        return wire.read_page(reply.data)

    async def watch(
        self, prefix: str, since: int, block_s: float, *, urgent: bool = False
    ) -> WatchResult:
        """Wait, for `block_s` at most, for changes below a prefix after the revision `since`.

        Raises:
            RevisionCompactedError: The store no longer keeps all of these changes.
        """
        path = wire.watch_path(prefix, since, block_s)
        reply = await self._call("GET", path, block_s=block_s, urgent=urgent)
        if reply.status == 410:
            raise RevisionCompactedError(prefix, since)
        if reply.status != 200:
            raise OutcomeUnknownError(
                f"watch {prefix} since revision {since}", f"status {reply.status}"
            )
        return wire.read_watch(reply.data)

    # -- writes ---------------------------------------------------------------------------

    async def compare_and_swap(
        self,
        expected_revisions: Mapping[str, int],
        operations: Sequence[Operation] = (),
        *,
        urgent: bool = False,
    ) -> CompareAndSwapResult:
        """Carry out all operations at once if every key has the revision expected of it.

        Args:
            expected_revisions: Revisions by key; 0: the key must not exist.
            operations: Puts and deletes, `max_operations` at most.
            urgent: Don't wait for the budget.

        Raises:
            LeaseExpiredError: A put names a lease that has ended.
            ValueTooLargeError: The store's limits were lowered; `value_bytes` is lower now.
        """
        request = _name_of_transaction(expected_revisions)
        if operations:
            await self._budget.acquire_operations(len(operations), request, urgent)
            self.operations_sent += len(operations)
        body = wire.transaction_body(expected_revisions, operations)
        reply = await self._call("POST", paths.TRANSACTION, body, urgent=urgent)
        if reply.status == 200:
            return wire.read_success(reply.data)
        if reply.status == 409:
            return wire.read_conflict(reply.data)
        raise self._transaction_error(request, operations, reply)

    def _transaction_error(
        self, request: str, operations: Sequence[Operation], reply: Response
    ) -> StoreError:
        if reply.status == 400 and reply.data and reply.data.get("error") == wire.NO_SUCH_LEASE:
            return LeaseExpiredError(request, _leases(operations))
        answer = f"status {reply.status}: {reply.data}"
        if reply.status == 400 and self.value_bytes > self.limits.value_kb * 1024:
            # What was written while the former limit held may be larger than the one to come.
            log.info("the key-value store's lower limits hold from now on")
            self.value_bytes = int(self.limits.value_kb * 1024)
            return ValueTooLargeError(request, answer, self.value_bytes)
        return RequestRefusedError(request, answer)

    # -- leases ---------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease, which expires `ttl_s` after its last renewal."""
        reply = await self._call("POST", paths.LEASES, wire.grant_body(ttl_s), urgent=True)
        if reply.status != 200:
            raise RequestRefusedError(f"grant of a lease of {ttl_s} s", f"status {reply.status}")
        return wire.read_lease(reply.data)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises `LeaseExpiredError` if it has ended."""
        reply = await self._call("POST", wire.renew_path(lease), urgent=True)
        if reply.status == 404:
            raise LeaseExpiredError("renewal", (lease,))
        if reply.status != 200:
            raise OutcomeUnknownError(f"renewal of lease {lease}", f"status {reply.status}")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, and with it the keys attached to it; one that has ended is no error."""
        reply = await self._call("DELETE", wire.lease_path(lease), urgent=True)
        if reply.status not in (200, 404):
            raise OutcomeUnknownError(f"revocation of lease {lease}", f"status {reply.status}")

    # -- calls ----------------------------------------------------------------------------

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        urgent: bool = False,
        block_s: float = 0.0,
    ) -> Response:
        request = f"{method} {path}"
        await self._budget.acquire_request(request, urgent)
        self.requests_sent += 1
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._send(method, path, body, self._timeout_s + block_s, request)
        except StoreUnavailableError:
            self.requests_failed += 1
            if self._failing_since is None:
                self._failing_since = sent_at
            raise
        self._failing_since = None
        return reply

    async def _send(
        self, method: str, path: str, body: Any, timeout_s: float, request: str
    ) -> Response:
        try:
            reply = await self._http_client.call(
                self._addr, method, path, body, timeout_s=timeout_s
            )
        except NoResponseError as exc:
            raise OutcomeUnknownError(request, str(exc)) from exc
        if reply.status == 429:
            self._budget.on_too_many_requests()
        if reply.status in (429, 503):
            raise RequestRefusedError(request, f"status {reply.status}")
        if reply.status >= 500:
            raise OutcomeUnknownError(request, f"status {reply.status}")
        return reply


def _name_of_transaction(expected_revisions: Mapping[str, int]) -> str:
    keys = list(expected_revisions)
    names = ", ".join(keys[:KEYS_IN_ERRORS])
    further = len(keys) - KEYS_IN_ERRORS
    return f"compare-and-swap of {names}" + (f" and {further} more keys" if further > 0 else "")


def _leases(operations: Iterable[Operation]) -> tuple[int, ...]:
    leases = (op.lease for op in operations if isinstance(op, Put) and op.lease is not None)
    return tuple(dict.fromkeys(leases))
