"""Exponential backoff of jobs: pauses before the next start after failures in a row."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EXPONENT = 16  # bounds the power; every pause has reached `max_pause_s` by then


@dataclass(frozen=True, slots=True)
class Backoff:
    """The pause of a job after failures in a row: it doubles with each one, up to a maximum."""

    free_failures: int  # consecutive failures that cause no pause
    initial_pause_s: float
    max_pause_s: float

    def pause_s(self, failures: int) -> float:
        """Return the pause after that many consecutive failures."""
        counted_failures = failures - self.free_failures
        if counted_failures <= 0:
            return 0.0
        return min(
            self.max_pause_s, self.initial_pause_s * 2.0 ** min(counted_failures - 1, MAX_EXPONENT)
        )


# A job with a bug fails on every machine; without a pause it would occupy them all.
ARRAY_BACKOFF = Backoff(free_failures=2, initial_pause_s=2.0, max_pause_s=60.0)
# A service whose replicas keep ending would do the same, but users wait for it: shorter pauses.
REPLICA_BACKOFF = Backoff(free_failures=1, initial_pause_s=0.5, max_pause_s=10.0)
