"""Measures a controller's processor time, by named block of code, and its event loop lag.

The lag is how late the event loop resumes a sleeping task. Long lag makes the leader's lease expire
and workers time out; operators need to see its cause before that happens.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

log = logging.getLogger(__name__)

LAG_SAMPLE_PERIOD_S = 1.0
LOAD_SUMMARY_PERIOD_S = 10.0


@dataclass(slots=True)
class BlockStats:
    """The runs of a named block in the current period, and their total time."""

    calls: int = 0  # runs
    seconds: float = 0.0


class ProcessLoad:
    """Measures this process, in periods of `LOAD_SUMMARY_PERIOD_S`."""

    def __init__(self) -> None:
        self.blocks: dict[str, BlockStats] = {}  # of the current period, by name
        self.loop_lag_s = 0.0  # maximum of the last period
        self.processor_share = 0.0  # in cores, over the last period

    @contextmanager
    def time_block(self, name: str) -> Iterator[None]:
        """Add the elapsed time of the `with` body to the named block."""
        started_at = time.perf_counter()  # needs no system call
        try:
            yield
        finally:
            block = self.blocks.get(name)
            if block is None:
                block = self.blocks[name] = BlockStats()
            block.calls += 1
            block.seconds += time.perf_counter() - started_at

    async def run(self) -> None:
        """Measure and log one period after another, until cancelled."""
        while True:
            await self._measure_period()
            blocks, self.blocks = self.blocks, {}
            log.info(
                "load: %.2f cores; event loop lag up to %.2f s; %s",
                self.processor_share,
                self.loop_lag_s,
                _format_blocks(blocks),
            )

    async def _measure_period(self) -> None:
        loop = asyncio.get_running_loop()
        started_at, cpu_time_at_start_s, max_lag_s = loop.time(), time.process_time(), 0.0
        while loop.time() - started_at < LOAD_SUMMARY_PERIOD_S:
            sample_started_at = loop.time()
            await asyncio.sleep(LAG_SAMPLE_PERIOD_S)
            max_lag_s = max(max_lag_s, loop.time() - sample_started_at - LAG_SAMPLE_PERIOD_S)
        self.loop_lag_s = max_lag_s
        self.processor_share = (time.process_time() - cpu_time_at_start_s) / (
            loop.time() - started_at
        )


def _format_blocks(blocks: dict[str, BlockStats]) -> str:
    """The blocks with their calls and total time, the longest total first."""
    return (
        ", ".join(
            f"{name} {block.calls} in {block.seconds:.2f} s"
            for name, block in sorted(blocks.items(), key=lambda item: -item[1].seconds)
        )
        or "no timed blocks"
    )
