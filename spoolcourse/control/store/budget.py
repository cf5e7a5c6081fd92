"""Rate budgets, so that one node never uses up what all nodes share."""

from __future__ import annotations

import asyncio


class Bucket:
    """A token bucket. Waiters are served in order; `urgent` ones are never held up."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._at = 0.0
        self._next_free = 0.0

    def _refill(self, now: float) -> None:
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    async def take(self, amount: float = 1.0, *, urgent: bool = False) -> None:
        """Wait until `amount` is available; the debt is booked at once, so order holds."""
        now = asyncio.get_running_loop().time()
        self._refill(now)
        self._level -= amount
        if self._level < 0 and not urgent:
            await asyncio.sleep(-self._level / self.rate)

    def drain(self) -> None:
        """The service said 429: whatever we thought was left is not."""
        self._refill(asyncio.get_running_loop().time())
        self._level = min(self._level, 0.0)
