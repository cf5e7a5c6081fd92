"""The key-value store's protocol. Unclear answers are never taken for a yes or a no."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.control.store.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    StoreUnavailableError,
    ValueTooLargeError,
)
from spoolcourse.wire import key_value_store as wire
from spoolcourse.wire import paths
from spoolcourse.wire.key_value_store import Change, Entry, Operation, Outcome, Put
from spoolcourse.wire.settings import State

log = logging.getLogger(__name__)

PAGE = 1000
SUSPECT_S = 0.5
TIMEOUT_S = 1.0
SPARE_NODES = 0.5  # shares of the requests that nobody takes
LEADER_WRITES = 0.5  # of the writes; the leader makes most of them
FOLLOWERS_WRITES = 0.4  # of the writes, for all of them together
FINAL_CHANGES = 3  # of the transaction that ends a job of one chunk


class StoreClient:
    """Requests to the key-value store within this controller's share of its limits."""

    def __init__(
        self, net: HttpClient, addr: str, state: State, nodes: int, timeout: float = TIMEOUT_S
    ):
        self._net = net
        self._addr = addr
        # Limits may drop at any moment: all that is new keeps to the smaller ones. Only values
        # of before may still be larger, as long as that is seen to be allowed.
        self.limits = limits = state.least
        self.value_bytes = int(state.value_kb * 1024)
        self.timeout = timeout
        # The limits are for all controllers together. The leader writes most, so its share of
        # writes is larger; shares add up to less than the whole.
        rate = limits.rps / (nodes + SPARE_NODES)
        self._requests = TokenBucket(rate, rate)
        self._nodes = nodes
        self.sent = self.failed = self.written = 0
        self._failing_since: float | None = None
        self._writes = TokenBucket(1.0, 1.0)
        self.set_leader(False)

    def set_leader(self, leading: bool) -> None:
        """Take the leader's share of the writes, or a follower's."""
        followers = max(self._nodes - 1, 1)
        share = LEADER_WRITES if leading else FOLLOWERS_WRITES / followers
        rate = self.limits.write_rps * share
        self._writes.rate = rate
        self._writes.burst = max(rate, 1.0)

    async def _call(
        self, method: str, path: str, body: Any = None, *, urgent: bool = False, wait: float = 0.0
    ) -> Response:
        request = f"{method} {path}"
        await self._pay(self._requests, 1, urgent, request)
        self.sent += 1
        began = asyncio.get_running_loop().time()
        try:
            reply = await self._send(method, path, body, wait)
        except StoreUnavailableError:
            self.failed += 1
            if self._failing_since is None:
                self._failing_since = began
            raise
        self._failing_since = None
        return reply

    @property
    def ops_most(self) -> int:
        """Puts and deletes in one transaction: no more than can be had at once."""
        return min(self.limits.txn_ops, max(FINAL_CHANGES, int(self._writes.burst)))

    def writes_to_spare(self) -> bool:
        """Whether much of the budget for writes is left."""
        return self._writes.spare()

    @staticmethod
    async def _pay(bucket: TokenBucket, amount: int, urgent: bool, request: str) -> None:
        try:
            await bucket.take(amount, urgent=urgent)
        except RateLimitExceededError as exc:
            raise RequestRefusedError(request, str(exc), exc.after) from exc

    def suspect(self) -> bool:
        """Nothing has succeeded for a while: others may be served better."""
        since = self._failing_since
        return since is not None and asyncio.get_running_loop().time() - since > SUSPECT_S

    async def _send(self, method: str, path: str, body: Any, wait: float) -> Response:
        try:
            reply = await self._net.call(
                self._addr, method, path, body, timeout=self.timeout + wait
            )
        except NoResponseError as exc:
            raise OutcomeUnknownError(f"{method} {path}", str(exc)) from exc
        if reply.status == 429:
            self._requests.drain()
            raise RequestRefusedError(f"{method} {path}", "status 429")
        if reply.status == 503:
            raise RequestRefusedError(f"{method} {path}", "status 503")
        if reply.status >= 500:
            raise OutcomeUnknownError(f"{method} {path}", f"status {reply.status}")
        return reply

    async def get(self, key: str) -> Entry | None:
        """Read a key consistently; None if it does not exist."""
        reply = await self._call("GET", wire.entry_path(key))
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise OutcomeUnknownError(f"get {key}", f"status {reply.status}")
        return wire.read_entry(key, reply.data)

    async def list_entries(self, prefix: str) -> tuple[list[Entry], int]:
        """All keys with the prefix, and the revision of the first page.

        Changes made while later pages were read come again with a watch from there.
        """
        entries: list[Entry] = []
        store_revision, since = -1, ""
        while True:
            reply = await self._call("GET", wire.page_path(prefix, PAGE, since))
            if reply.status != 200:
                raise OutcomeUnknownError(f"list {prefix}", f"status {reply.status}")
            page = wire.read_page(reply.data)
            if store_revision < 0:
                store_revision = page.store_revision
            entries += page.entries
            if not page.has_next:
                return entries, store_revision
            since = entries[-1].key

    async def latest_revision(self, prefix: str) -> int:
        """The revision that the store has reached; some prefix has to be named."""
        reply = await self._call("GET", wire.page_path(prefix, 1, ""))
        if reply.status != 200:
            raise OutcomeUnknownError(f"list {prefix}", f"status {reply.status}")
        return wire.read_page(reply.data).store_revision

    async def compare_and_swap(
        self,
        conditions: dict[str, int],
        ops: list[Operation] | None = None,
        *,
        urgent: bool = False,
    ) -> Outcome:
        """Carry out a transaction if every key has the revision given for it."""
        request = f"compare-and-swap of {', '.join(conditions)}"
        if ops:
            await self._pay(self._writes, len(ops), urgent, request)
            self.written += len(ops)
        body = wire.transaction_body(conditions, ops or [])
        reply = await self._call("POST", paths.TRANSACTION, body, urgent=urgent)
        if reply.status == 200:
            return wire.carried_out(reply.data)
        if reply.status == 409:
            return wire.conditions_failed(reply.data)
        if reply.status == 400 and reply.data and reply.data.get("error") == wire.NO_SUCH_LEASE:
            leases = {op.lease for op in ops or [] if isinstance(op, Put) and op.lease is not None}
            raise LeaseExpiredError(request, tuple(leases))
        if reply.status == 400 and self.value_bytes > self.limits.value_kb * 1024:
            # What was written while the former limit held may be larger than the one to come.
            log.info("the key-value store's lower limits hold from now on")
            self.value_bytes = int(self.limits.value_kb * 1024)
            raise ValueTooLargeError(request, f"status 400: {reply.data}", self.value_bytes)
        raise RequestRefusedError(request, f"status {reply.status}: {reply.data}")

    async def grant(self, ttl_s: float) -> int:
        """A new lease."""
        reply = await self._call("POST", paths.LEASES, wire.grant_body(ttl_s), urgent=True)
        if reply.status != 200:
            raise RequestRefusedError("grant", f"status {reply.status}")
        return wire.read_lease(reply.data)

    async def renew(self, lease: int) -> None:
        """Renew a lease; raises `LeaseGoneError` if it has ended."""
        reply = await self._call("POST", wire.renew_path(lease), urgent=True)
        if reply.status == 404:
            raise LeaseExpiredError("renewal", (lease,))
        if reply.status != 200:
            raise OutcomeUnknownError("renew", f"status {reply.status}")

    async def release(self, lease: int) -> None:
        """End a lease, and with it the keys that hang on it."""
        reply = await self._call("DELETE", wire.lease_path(lease), urgent=True)
        if reply.status not in (200, 404):
            raise OutcomeUnknownError("release", f"status {reply.status}")

    async def watch(
        self, prefix: str, since: int, block_s: float, *, urgent: bool = False
    ) -> tuple[int, list[Change]]:
        """Wait for changes after a revision: the revision reached, and the changes."""
        path = wire.watch_path(prefix, since, block_s)
        reply = await self._call("GET", path, wait=block_s, urgent=urgent)
        if reply.status == 410:
            raise RevisionCompactedError(prefix, since)
        if reply.status != 200:
            raise OutcomeUnknownError("watch", f"status {reply.status}")
        return wire.read_changes(reply.data)
