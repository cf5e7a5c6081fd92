"""The budget: rate limits of this controller's requests to the key-value store.

The store's limits apply to all controllers together; each one keeps to its share of them.
Source: PROTOCOL (the specification of the network interfaces), Limits and errors.
"""

from __future__ import annotations

from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.control.store.errors import RequestRefusedError
from spoolcourse.wire.settings import StoreLimits

UNUSED_CONTROLLER_SHARES = 0.5  # part of the request limit left unused, in controllers' shares
LEADER_WRITE_SHARE = 0.5  # of the write limit; the leader makes most of the writes
FOLLOWERS_WRITE_SHARE = 0.4  # of the write limit, for all followers together
MIN_TRANSACTION_OPERATIONS = 3  # the transaction that ends a one-chunk job needs this many


class StoreBudget:
    """This controller's token buckets: one for requests, one for puts and deletes."""

    def __init__(self, limits: StoreLimits, controllers: int) -> None:
        """Divide the limits among the controllers; starts with a follower's share.

        Args:
            limits: The store's limits; where a change is announced, the lower of both values.
            controllers: The number of controllers that share them.
        """
        self._limits = limits
        self._follower_count = max(controllers - 1, 1)
        rate = limits.rps / (controllers + UNUSED_CONTROLLER_SHARES)
        self._request_bucket = TokenBucket(rate, rate)
        self._operation_bucket = TokenBucket(1.0, 1.0)
        self.set_leader(False)

    def set_leader(self, leading: bool) -> None:
        """Use the leader's share of the store's write limit, or a follower's.

        The leader writes most, so its share is larger; all shares together stay below the limit.
        """
        share = LEADER_WRITE_SHARE if leading else FOLLOWERS_WRITE_SHARE / self._follower_count
        self._operation_bucket.set_rate(self._limits.write_rps * share)

    @property
    def max_transaction_operations(self) -> int:
        """The most puts and deletes in one transaction: what the bucket can grant at once."""
        return min(
            self._limits.txn_ops, max(MIN_TRANSACTION_OPERATIONS, int(self._operation_bucket.burst))
        )

    def has_spare_writes(self) -> bool:
        """Whether at least half of the write budget is left."""
        return self._operation_bucket.has_spare_capacity()

    async def acquire_request(self, request: str, urgent: bool) -> None:
        """Wait until the budget allows a request, if `urgent` is false.

        Raises `RequestRefusedError` if the wait would be too long.
        """
        await _acquire(self._request_bucket, 1, request, urgent)

    async def acquire_operations(self, count: int, request: str, urgent: bool) -> None:
        """Wait for `count` puts and deletes in the same way as for a request."""
        await _acquire(self._operation_bucket, count, request, urgent)

    def on_too_many_requests(self) -> None:
        """Empty the request bucket, as the store answered 429."""
        self._request_bucket.drain()


async def _acquire(bucket: TokenBucket, tokens: int, request: str, urgent: bool) -> None:
    try:
        await bucket.acquire(tokens, urgent=urgent)
    except RateLimitExceededError as exc:
        raise RequestRefusedError(request, str(exc), exc.retry_after_s) from exc
