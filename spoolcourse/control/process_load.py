"""Where a controller's processor time goes, and how long its event loop was held up.

A loop that is held for long loses the leader's lease and the workers' patience, so what
holds it must be seen by the operators before it does.
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
class TimeSpent:
    """How often something was done in the period, and how long it took."""

    calls: int = 0
    seconds: float = 0.0


class Load:
    """Measures this process, period by period."""

    def __init__(self) -> None:
        self.parts: dict[str, TimeSpent] = {}
        self.lag_s = 0.0  # the longest of the last period
        self.share = 0.0  # of a core, in the last period

    @contextmanager
    def spent(self, name: str) -> Iterator[None]:
        """Count the time that the body takes as spent on something."""
        began = time.perf_counter()  # costs no call into the kernel
        try:
            yield
        finally:
            part = self.parts.get(name)
            if part is None:
                part = self.parts[name] = TimeSpent()
            part.calls += 1
            part.seconds += time.perf_counter() - began

    async def run(self) -> None:
        """Sum up each period, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began, used, longest = loop.time(), time.process_time(), 0.0
            while loop.time() - began < SUMMARY_S:
                asked = loop.time()
                await asyncio.sleep(TICK_S)
                longest = max(longest, loop.time() - asked - TICK_S)
            self.lag_s = longest
            self.share = (time.process_time() - used) / (loop.time() - began)
            parts, self.parts = self.parts, {}
            log.info(
                "load: %.2f of a core; held up for %.2f s at most; %s",
                self.share,
                longest,
                ", ".join(
                    f"{name} {part.calls} in {part.seconds:.2f} s"
                    for name, part in sorted(parts.items(), key=lambda p: -p[1].seconds)
                )
                or "nothing done",
            )
