"""History of the recent demand for CPUs, which determines how much capacity is kept."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

STEP_LENGTH_S = 2.0  # samples less than this after the start of a step belong to it


class _Step(NamedTuple):
    started_at: float
    peak_cpus: float


class DemandHistory:
    """The peak demand for CPUs in each step of the last `retention_s` seconds."""

    def __init__(self, retention_s: float) -> None:
        self._steps: deque[_Step] = deque()
        self._retention_s = retention_s

    def record(self, now: float, cpus: float) -> None:
        """Add a sample of the current demand for CPUs."""
        if self._steps and now - self._steps[-1].started_at < STEP_LENGTH_S:
            step = self._steps.pop()
            self._steps.append(_Step(step.started_at, max(step.peak_cpus, cpus)))
        else:
            self._steps.append(_Step(now, cpus))
        while self._steps[0].started_at < now - self._retention_s:
            self._steps.popleft()

    def peak_cpus(self, now: float, window_s: float) -> float:
        """Return the peak demand in the last `window_s` seconds; 0 without a sample."""
        start = now - window_s
        return max((cpus for started_at, cpus in self._steps if started_at >= start), default=0.0)
