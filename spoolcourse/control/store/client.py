"""Client of the key-value store.

Each write increases the store's revision; a key's revision is that of its last change. A
compare-and-swap is carried out only if keys have the revisions that the writer expects.

A response that does not show whether a request was carried out counts as neither success nor
failure: it raises `OutcomeUnknownError`. Source: PROTOCOL (the specification of the network
interfaces), the key-value store.
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
from spoolcourse.wire.settings import StoreLimits

log = logging.getLogger(__name__)

MAX_PAGE_KEYS = 1000  # the most keys in one response to a read of a prefix
# Requests count as failing if none has succeeded for this time. The store may still answer other
# controllers.
FAILING_AFTER_S = 0.5
REQUEST_TIMEOUT_S = 1.0
MAX_KEYS_IN_ERROR = 3  # keys of a transaction that an error message names


@dataclass(frozen=True, slots=True)
class EntryList:
    """All entries whose keys start with a prefix.

    Attributes:
        entries: The entries, in key order.
        store_revision: The store's revision when the first page was read. Later pages may show
            later changes; a watch from this revision delivers them again.
    """

    entries: list[Entry]
    store_revision: int


class StoreClient:
    """Requests to the key-value store within this controller's share of its limits.

    Every request may raise `RequestRefusedError` (not carried out) or `OutcomeUnknownError`;
    `StoreUnavailableError` is either of them.

    Attributes:
        limits: The store's limits; where a change is announced, the lower of both values.
        max_value_bytes: The largest value that may be written at present, in bytes.
        requests_sent: Requests sent, successful or not.
        requests_failed: Sent requests that the store refused or whose outcome is unknown.
        operations_sent: Puts and deletes in the transactions sent.
    """

    def __init__(
        self,
        http_client: HttpClient,
        addr: str,
        limits: StoreLimits,
        controllers: int,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ):
        """Divide the limits among the controllers.

        Args:
            http_client: Sends the HTTP requests.
            addr: The store's address, host and port.
            limits: The store's current limits, and the announced ones.
            controllers: The number of controllers that share the limits.
            timeout_s: Timeout of each request, in addition to the time that the store may block it.
        """
        self._http_client = http_client
        self._addr = addr
        # Announced lower limits may take effect at any moment, so new data keeps to them. Only
        # values written before may be larger, until the store refuses one.
        self.limits = limits.lower_limits
        self.max_value_bytes = int(limits.value_kb * 1024)
        self._timeout_s = timeout_s
        self._budget = StoreBudget(self.limits, controllers)
        self.requests_sent = self.requests_failed = self.operations_sent = 0
        self._failing_since: float | None = None  # loop time

    # -- budget and health ----------------------------------------------------------------

    def set_leader(self, leading: bool) -> None:
        """Use the leader's share of the store's write limit, or a follower's."""
        self._budget.set_leader(leading)

    @property
    def max_transaction_operations(self) -> int:
        """The most puts and deletes in one transaction: what the budget can grant at once."""
        return self._budget.max_transaction_operations

    def has_spare_writes(self) -> bool:
        """Whether at least half of this controller's write budget is left."""
        return self._budget.has_spare_writes()

    def is_failing(self) -> bool:
        """Whether all requests have failed for longer than `FAILING_AFTER_S`."""
        since = self._failing_since
        return since is not None and asyncio.get_running_loop().time() - since > FAILING_AFTER_S

    # -- reads ----------------------------------------------------------------------------

    async def get(self, key: str) -> Entry | None:
        """Read a key consistently; None if it does not exist."""
        response = await self._call("GET", wire.entry_path(key))
        if response.status == 404:
            return None
        if response.status != 200:
            raise OutcomeUnknownError(f"get {key}", f"status {response.status}")
        return wire.parse_entry(key, response.data)

    async def list_entries(self, prefix: str) -> EntryList:
        """Read all entries whose keys start with a prefix, page by page."""
        page = await self._read_page(prefix, MAX_PAGE_KEYS)
        entries, store_revision = page.entries, page.store_revision
        while page.has_next:
            page = await self._read_page(prefix, MAX_PAGE_KEYS, entries[-1].key)
            entries += page.entries
        return EntryList(entries, store_revision)

    async def latest_revision(self, prefix: str) -> int:
        """The store's current revision; the protocol requires a prefix to ask for it."""
        return (await self._read_page(prefix, 1)).store_revision

    async def _read_page(self, prefix: str, page_size: int, after_key: str = "") -> wire.Page:
        response = await self._call("GET", wire.page_path(prefix, page_size, after_key))
        if response.status != 200:
            raise OutcomeUnknownError(f"list {prefix}", f"status {response.status}")
        return wire.parse_page(response.data)

    async def watch(
        self, prefix: str, since: int, block_s: float, *, urgent: bool = False
    ) -> WatchResult:
        """Return the changes after the revision `since` of keys that start with a prefix.

        Without such changes, the store delays its response until there are some, for `block_s` at
        most.

        Raises:
            RevisionCompactedError: The store no longer has all of these changes.
        """
        path = wire.watch_path(prefix, since, block_s)
        response = await self._call("GET", path, block_s=block_s, urgent=urgent)
        if response.status == 410:
            raise RevisionCompactedError(prefix, since)
        if response.status != 200:
            raise OutcomeUnknownError(
                f"watch {prefix} since revision {since}", f"status {response.status}"
            )
        return wire.parse_watch(response.data)

    # -- writes ---------------------------------------------------------------------------

    async def compare_and_swap(
        self,
        expected_revisions: Mapping[str, int],
        operations: Sequence[Operation] = (),
        *,
        urgent: bool = False,
    ) -> CompareAndSwapResult:
        """Apply all operations atomically if every key has its expected revision.

        Args:
            expected_revisions: Revisions by key; 0 means that the key must not exist.
            operations: Puts and deletes, `max_transaction_operations` at most.
            urgent: Send the request without waiting for the write and request budgets.

        Raises:
            LeaseExpiredError: A put names a lease that has expired.
            ValueTooLargeError: The store's limits were lowered; `max_value_bytes` is lower now.
        """
        request = _describe_transaction(expected_revisions)
        if operations:
            await self._budget.acquire_operations(len(operations), request, urgent)
            self.operations_sent += len(operations)
        body = wire.transaction_body(expected_revisions, operations)
        response = await self._call("POST", paths.TRANSACTION, body, urgent=urgent)
        if response.status == 200:
            return wire.parse_success(response.data)
        if response.status == 409:
            return wire.parse_conflict(response.data)
        raise self._transaction_error(request, operations, response)

    def _transaction_error(
        self, request: str, operations: Sequence[Operation], response: Response
    ) -> StoreError:
        """Return the error for a response that shows neither success nor a conflict."""
        if (
            response.status == 400
            and response.data
            and response.data.get("error") == wire.NO_SUCH_LEASE
        ):
            return LeaseExpiredError(request, _lease_ids(operations))
        detail = f"status {response.status}: {response.data}"
        if response.status == 400 and self.max_value_bytes > self.limits.value_kb * 1024:
            # A value written under the former limit may exceed the announced one.
            log.info("the key-value store now applies its lower limits")
            self.max_value_bytes = int(self.limits.value_kb * 1024)
            return ValueTooLargeError(request, detail, self.max_value_bytes)
        return RequestRefusedError(request, detail)

    # -- leases ---------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> int:
        """Get a new lease, which expires `ttl_s` after its last renewal; return its ID.

        Keys attached to a lease are deleted when it expires.
        """
        response = await self._call("POST", paths.LEASES, wire.grant_body(ttl_s), urgent=True)
        if response.status != 200:
            raise RequestRefusedError(f"grant of a lease of {ttl_s} s", f"status {response.status}")
        return wire.parse_lease(response.data)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises `LeaseExpiredError` if it has expired."""
        response = await self._call("POST", wire.renew_path(lease), urgent=True)
        if response.status == 404:
            raise LeaseExpiredError("renewal", (lease,))
        if response.status != 200:
            raise OutcomeUnknownError(f"renewal of lease {lease}", f"status {response.status}")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it; it may have expired already."""
        response = await self._call("DELETE", wire.revoke_path(lease), urgent=True)
        if response.status not in (200, 404):
            raise OutcomeUnknownError(f"revocation of lease {lease}", f"status {response.status}")

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
            response = await self._send(method, path, body, self._timeout_s + block_s, request)
        except StoreUnavailableError:
            self.requests_failed += 1
            if self._failing_since is None:
                self._failing_since = sent_at
            raise
        self._failing_since = None
        return response

    async def _send(
        self, method: str, path: str, body: Any, timeout_s: float, request: str
    ) -> Response:
        try:
            response = await self._http_client.call(
                self._addr, method, path, body, timeout_s=timeout_s
            )
        except NoResponseError as exc:
            raise OutcomeUnknownError(request, str(exc)) from exc
        if response.status == 429:
            self._budget.on_too_many_requests()
        if response.status in (429, 503):
            raise RequestRefusedError(request, f"status {response.status}")
        if response.status >= 500:
            raise OutcomeUnknownError(request, f"status {response.status}")
        return response


def _describe_transaction(expected_revisions: Mapping[str, int]) -> str:
    keys = list(expected_revisions)
    named_keys = ", ".join(keys[:MAX_KEYS_IN_ERROR])
    omitted = len(keys) - MAX_KEYS_IN_ERROR
    return f"compare-and-swap of {named_keys}" + (
        f" and {omitted} more keys" if omitted > 0 else ""
    )


def _lease_ids(operations: Iterable[Operation]) -> tuple[int, ...]:
    leases = (op.lease for op in operations if isinstance(op, Put) and op.lease is not None)
    return tuple(dict.fromkeys(leases))
