"""Demand of the recent past: the measure for the capacity that is kept."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

STEP_S = 2.0  # samples closer to the start of a step than that belong to it


class _Step(NamedTuple):
    started_at: float
    peak_cpus: float


class DemandHistory:
    """The peak of wanted CPUs in each step of the last `memory_s` seconds."""

    def __init__(self, memory_s: float) -> None:
        self._steps: deque[_Step] = deque()
        self._memory_s = memory_s

    def record(self, now: float, cpus: float) -> None:
        """Add a sample: how many CPUs are wanted now."""
        if self._steps and now - self._steps[-1].started_at < STEP_S:
            step = self._steps.pop()
            self._steps.append(_Step(step.started_at, max(step.peak_cpus, cpus)))
        else:
            self._steps.append(_Step(now, cpus))
        while self._steps[0].started_at < now - self._memory_s:
            self._steps.popleft()

    def peak_cpus(self, now: float, window_s: float) -> float:
        """The most CPUs that were wanted in the last `window_s` seconds; 0 without a sample."""
        start = now - window_s
        return max((cpus for at, cpus in self._steps if at >= start), default=0.0)
