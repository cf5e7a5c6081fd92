"""A token bucket; keeps one controller from using up a rate limit shared by all controllers."""

from __future__ import annotations

import asyncio

DEFAULT_MAX_WAIT_S = 1.0
# Share of a burst: work that is not urgent may proceed while at least this share is left.
SPARE_TOKEN_SHARE = 0.5


class RateLimitExceededError(Exception):
    """The caller would have to wait longer for tokens than the bucket allows.

    Attributes:
        retry_after_s: Seconds until the requested tokens are available.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"rate limit reached, retry after {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class TokenBucket:
    """A token bucket that serves callers in order; urgent callers don't wait.

    A caller that would wait longer than `max_wait_s` is rejected at once and takes no tokens.
    Otherwise a burst of requests that time out while waiting would leave a token debt that
    blocks all later requests.
    """

    def __init__(self, rate: float, burst: float, max_wait_s: float = DEFAULT_MAX_WAIT_S) -> None:
        """Start with a full bucket.

        Args:
            rate: Tokens refilled per second.
            burst: Capacity of the bucket in tokens; at least one.
            max_wait_s: Maximum wait of a call that is not urgent.
        """
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.max_wait_s = max_wait_s
        self._tokens = self.burst
        self._refilled_at = 0.0  # loop time

    def set_rate(self, rate: float) -> None:
        """Change the rate (tokens per second); the capacity becomes one second's worth."""
        self.rate = rate
        self.burst = max(rate, 1.0)

    async def acquire(self, tokens: float = 1.0, *, urgent: bool = False) -> None:
        """Take tokens at once, which keeps callers in order, and wait until they are available.

        Urgent calls don't wait; they leave a token debt that delays later calls.

        Raises:
            RateLimitExceededError: The wait would be longer than `max_wait_s`.
        """
        self._refill()
        wait_s = (tokens - self._tokens) / self.rate
        if not urgent and wait_s > self.max_wait_s and self._tokens < self.burst:
            raise RateLimitExceededError(wait_s)
        self._tokens -= tokens
        if wait_s > 0 and not urgent:
            try:
                await asyncio.sleep(wait_s)
            except asyncio.CancelledError:
                self._tokens += tokens
                raise

    def has_spare_capacity(self) -> bool:
        """Whether at least half of a burst is left for more urgent calls."""
        self._refill()
        return self._tokens >= self.burst * SPARE_TOKEN_SHARE

    def drain(self) -> None:
        """Drop all tokens, after a 429 response: the server has granted fewer than assumed."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
