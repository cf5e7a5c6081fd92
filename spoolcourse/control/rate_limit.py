"""A token bucket, so that one controller never uses up a limit that all controllers share."""

from __future__ import annotations

import asyncio

DEFAULT_MAX_WAIT_S = 1.0
SPARE_SHARE = 0.5  # of a burst: with this much left, work that is not urgent may go ahead


class RateLimitExceededError(Exception):
    """The wait for tokens would be too long.

    Attributes:
        retry_after_s: Seconds until the tokens asked for are there.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"rate limit reached, retry after {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class TokenBucket:
    """A token bucket. Waiters are served in order; urgent ones don't wait.

    Nobody waits longer than `max_wait_s`: a caller that would have to is refused at once, and
    takes no tokens. Otherwise a burst of requests that give up while they wait would leave a
    debt that blocks everything after it.
    """

    def __init__(self, rate: float, burst: float, max_wait_s: float = DEFAULT_MAX_WAIT_S) -> None:
        """Start with a full bucket.

        Args:
            rate: Tokens that come back per second.
            burst: Tokens that the bucket holds; at least one.
            max_wait_s: The longest wait of a call that is not urgent.
        """
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.max_wait_s = max_wait_s
        self._tokens = self.burst
        self._refilled_at = 0.0  # loop time

    def set_rate(self, rate: float) -> None:
        """Change the rate (tokens per second); the bucket then holds one second's worth."""
        self.rate = rate
        self.burst = max(rate, 1.0)

    async def acquire(self, tokens: float = 1.0, *, urgent: bool = False) -> None:
        """Wait until there are enough tokens; they are taken at once, so the order holds.

        Urgent calls don't wait: they leave a debt that later calls wait for.

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
        """Whether at least half of a burst is left, for what is more urgent."""
        self._refill()
        return self._tokens >= self.burst * SPARE_SHARE

    def empty(self) -> None:
        """Drop all tokens: the service answered 429, so fewer were left than assumed."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
