"""This controller's share of the key-value store's limits.

The limits hold for all controllers together. Source: PROTOCOL, Limits and errors.
"""

from __future__ import annotations

from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.control.store.errors import RequestRefusedError
from spoolcourse.wire.settings import State

UNUSED_CONTROLLER_SHARES = 0.5  # shares of the requests that no controller uses
LEADER_WRITE_SHARE = 0.5  # of the writes; the leader makes most of them
FOLLOWERS_WRITE_SHARE = 0.4  # of the writes, for all followers together
MIN_OPERATIONS = 3  # of a transaction: as many as the one that ends a job of one chunk


class StoreBudget:
    """Token buckets for requests, and for puts and deletes."""

    def __init__(self, limits: State, controllers: int) -> None:
        """Divide the limits among the controllers, as a follower at first.

        Args:
            limits: The store's limits; the smaller ones where some are to come.
            controllers: How many controllers share them.
        """
        self._limits = limits
        self._followers = max(controllers - 1, 1)
        rate = limits.rps / (controllers + UNUSED_CONTROLLER_SHARES)
        self._requests = TokenBucket(rate, rate)
        self._operations = TokenBucket(1.0, 1.0)
        self.set_leader(False)

    def set_leader(self, leading: bool) -> None:
        """Use the leader's share of the writes, or a follower's.

        The leader writes most, so its share is larger; the shares add up to less than the whole.
        """
        share = LEADER_WRITE_SHARE if leading else FOLLOWERS_WRITE_SHARE / self._followers
        self._operations.set_rate(self._limits.write_rps * share)

    @property
    def max_operations(self) -> int:
        """Puts and deletes in one transaction: no more than can be had at once."""
        return min(self._limits.txn_ops, max(MIN_OPERATIONS, int(self._operations.burst)))

    def has_spare_writes(self) -> bool:
        """Whether at least half of the budget for writes is left."""
        return self._operations.has_spare_capacity()

    async def acquire_request(self, request: str, urgent: bool) -> None:
        """Wait for the budget of one request; raises `RequestRefusedError` if that is too long."""
        await _acquire(self._requests, 1, request, urgent)

    async def acquire_operations(self, count: int, request: str, urgent: bool) -> None:
        """Wait for the budget of puts and deletes; raises `RequestRefusedError` likewise."""
        await _acquire(self._operations, count, request, urgent)

    def on_too_many_requests(self) -> None:
        """The store answered 429: no requests are left for now."""
        self._requests.empty()


async def _acquire(bucket: TokenBucket, tokens: int, request: str, urgent: bool) -> None:
    try:
        await bucket.acquire(tokens, urgent=urgent)
    except RateLimitExceededError as exc:
        raise RequestRefusedError(request, str(exc), exc.retry_after_s) from exc
