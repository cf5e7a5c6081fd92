"""Exponential backoff between tries that fail."""

from __future__ import annotations

import asyncio
import random

MIN_DELAY_S = 0.1
MAX_DELAY_S = 1.0
BACKOFF_FACTOR = 2.0
MIN_JITTER_SHARE = 0.5  # of a delay; the rest is random, so that controllers don't retry in step


class RetryDelay:
    """The delay after a failure; it grows with each one, and a success makes it short again."""

    def __init__(self) -> None:
        self._delay_s = MIN_DELAY_S

    def reset(self) -> None:
        """Start from the shortest delay again, after a success."""
        self._delay_s = MIN_DELAY_S

    async def wait(self) -> None:
        """Wait after a failure."""
        await asyncio.sleep(self._delay_s * random.uniform(MIN_JITTER_SHARE, 1.0))
        self._delay_s = min(self._delay_s * BACKOFF_FACTOR, MAX_DELAY_S)
