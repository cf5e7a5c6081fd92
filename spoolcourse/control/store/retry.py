"""Exponential backoff with jitter between retries."""

from __future__ import annotations

import asyncio
import random

MIN_DELAY_S = 0.1
MAX_DELAY_S = 1.0
BACKOFF_FACTOR = 2.0
# A delay is multiplied by a random factor from this to 1, so that controllers don't retry in step.
MIN_JITTER_FACTOR = 0.5


class RetryDelay:
    """The delay before a retry: grows with each failure, and is reset by a success."""

    def __init__(self) -> None:
        self._delay_s = MIN_DELAY_S

    def reset(self) -> None:
        """Set the next delay to the shortest one, after a success."""
        self._delay_s = MIN_DELAY_S

    async def wait(self) -> None:
        """Wait before the next retry."""
        await asyncio.sleep(self._delay_s * random.uniform(MIN_JITTER_FACTOR, 1.0))
        self._delay_s = min(self._delay_s * BACKOFF_FACTOR, MAX_DELAY_S)
