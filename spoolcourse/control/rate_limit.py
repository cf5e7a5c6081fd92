"""Rate budgets, so that one controller never uses up what all controllers share."""

from __future__ import annotations

import asyncio


class RateLimitExceededError(Exception):
    """The budget is spent for a while: come back in `after` seconds."""

    def __init__(self, after: float) -> None:
        super().__init__(f"busy for {after:.1f} s")
        self.after = after


class TokenBucket:
    """A token bucket. Waiters are served in order; `urgent` ones are never held up.

    Nobody waits longer than `longest_s`: who would have to is told at once, and takes
    nothing. Otherwise a burst of requests that give up while they wait would leave a debt
    that blocks everything after it.
    """

    def __init__(self, rate: float, burst: float, longest_s: float = 1.0) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.longest_s = longest_s
        self._level = self.burst
        self._at = 0.0

    def _refill(self, now: float) -> None:
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    async def take(self, amount: float = 1.0, *, urgent: bool = False) -> None:
        """Wait until `amount` is available; it is booked at once, so order holds."""
        self._refill(asyncio.get_running_loop().time())
        wait = (amount - self._level) / self.rate
        if not urgent and wait > self.longest_s and self._level < self.burst:
            raise RateLimitExceededError(wait)
        self._level -= amount
        if wait > 0 and not urgent:
            try:
                await asyncio.sleep(wait)
            except asyncio.CancelledError:
                self._level += amount
                raise

    def spare(self) -> bool:
        """At least half of a burst is left, for what is more urgent."""
        self._refill(asyncio.get_running_loop().time())
        return self._level >= self.burst / 2

    def drain(self) -> None:
        """The service said 429: whatever we thought was left is not."""
        self._refill(asyncio.get_running_loop().time())
        self._level = min(self._level, 0.0)
