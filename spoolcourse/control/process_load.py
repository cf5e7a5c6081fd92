"""Where a controller's processor time goes, and how long its event loop was held up.

A loop that is held for long loses the leader's lease and the workers' patience, so operators
must see what holds it before that happens.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

log = logging.getLogger(__name__)

TICK_S = 1.0
SUMMARY_S = 10.0


@dataclass(slots=True)
class BlockTime:
    """How often a named block was run in the period, and how long it took."""

    calls: int = 0
    seconds: float = 0.0


class ProcessLoad:
    """Measures this process, in periods of `SUMMARY_S`."""

    def __init__(self) -> None:
        self.blocks: dict[str, BlockTime] = {}
        self.loop_lag_s = 0.0  # the longest of the last period
        self.processor_share = 0.0  # of a core, in the last period

    @contextmanager
    def time_block(self, name: str) -> Iterator[None]:
        """Add the time that the body takes to the block of that name."""
        began = time.perf_counter()  # costs no call into the kernel
        try:
            yield
        finally:
            block = self.blocks.get(name)
            if block is None:
                block = self.blocks[name] = BlockTime()
            block.calls += 1
            block.seconds += time.perf_counter() - began

    async def run(self) -> None:
        """Measure period after period, until cancelled."""
        while True:
            await self._measure_period()
            blocks, self.blocks = self.blocks, {}
            log.info(
                "load: %.2f of a core; held up for %.2f s at most; %s",
                self.processor_share,
                self.loop_lag_s,
                _describe(blocks),
            )

    async def _measure_period(self) -> None:
        loop = asyncio.get_running_loop()
        began, process_began, longest_s = loop.time(), time.process_time(), 0.0
        while loop.time() - began < SUMMARY_S:
            tick_began = loop.time()
            await asyncio.sleep(TICK_S)
            longest_s = max(longest_s, loop.time() - tick_began - TICK_S)
        self.loop_lag_s = longest_s
        self.processor_share = (time.process_time() - process_began) / (loop.time() - began)


def _describe(blocks: dict[str, BlockTime]) -> str:
    """The blocks, the longest one first."""
    return (
        ", ".join(
            f"{name} {block.calls} in {block.seconds:.2f} s"
            for name, block in sorted(blocks.items(), key=lambda item: -item[1].seconds)
        )
        or "nothing done"
    )
