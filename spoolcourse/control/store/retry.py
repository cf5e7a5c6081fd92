"""Pauses between tries that fail, each longer than the one before."""

from __future__ import annotations

import asyncio
import random

FIRST_S = 0.1
LONGEST_S = 1.0
GROWTH = 2.0
LEAST_SHARE = 0.5  # of a pause; the rest is left to chance, so that controllers don't try in step


class RetryDelay:
    """The pause after a failure; a success makes the next one short again."""

    def __init__(self) -> None:
        self._pause_s = FIRST_S

    def reset(self) -> None:
        """Something succeeded."""
        self._pause_s = FIRST_S

    async def wait(self) -> None:
        """Pause after a failure."""
        await asyncio.sleep(self._pause_s * random.uniform(LEAST_SHARE, 1.0))
        self._pause_s = min(self._pause_s * GROWTH, LONGEST_S)
