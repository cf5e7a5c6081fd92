"""How much was wanted recently: the measure for what may be returned."""

from __future__ import annotations

from collections import deque

STEP_S = 2.0


class Demand:
    """The peak of wanted CPUs in each step of the recent past."""

    def __init__(self, memory_s: float) -> None:
        self._steps: deque[tuple[float, float]] = deque()  # when the step began, its peak
        self._memory_s = memory_s

    def note(self, now: float, cpus: float) -> None:
        """Take in how much was wanted at a moment."""
        if self._steps and now - self._steps[-1][0] < STEP_S:
            began, peak = self._steps.pop()
            self._steps.append((began, max(peak, cpus)))
        else:
            self._steps.append((now, cpus))
        while self._steps[0][0] < now - self._memory_s:
            self._steps.popleft()

    def peak(self, now: float, window_s: float) -> float:
        """The most that was wanted in the last so many seconds."""
        return max((cpus for at, cpus in self._steps if at >= now - window_s), default=0.0)
