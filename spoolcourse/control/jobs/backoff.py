"""How long a job pauses after its tasks have failed several times in a row."""

from __future__ import annotations

from dataclasses import dataclass

EXPONENT_MAX = 16  # beyond it every pause is at its longest


@dataclass(frozen=True, slots=True)
class Backoff:
    """Some failures in a row cost no pause; from then on each doubles it, up to the longest."""

    free_failures: int
    first_s: float
    longest_s: float

    def pause_s(self, failures: int) -> float:
        """The pause after so many failures in a row."""
        paused = failures - self.free_failures
        if paused <= 0:
            return 0.0
        return min(self.longest_s, self.first_s * 2.0 ** min(paused - 1, EXPONENT_MAX))


# A job with a mistake fails on every machine; it must not eat them up.
ARRAY_BACKOFF = Backoff(free_failures=2, first_s=2.0, longest_s=60.0)
# Neither must a service whose replicas keep ending; but people wait for it.
REPLICA_BACKOFF = Backoff(free_failures=1, first_s=0.5, longest_s=10.0)
