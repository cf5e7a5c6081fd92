"""The times of a failover's phases, in seconds of this controller's monotonic clock."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from spoolcourse.control.leadership.failover_proof import FailoverProof

log = logging.getLogger(__name__)


class FailoverPhase(Enum):
    """The phases of a failover in this order; each is reached at one event."""

    VACANT = "vacant"  # this controller saw that there is no leader
    ELECTED = "elected"  # this controller's claim was carried out
    PROVEN = "proven"  # every change up to the claim is applied, and the job queue is built
    FIRST_WORKER = "first_worker"  # the first worker reported the new fencing token
    FIRST_PASS = "first_pass"  # the first placement pass after that
    FIRST_START = "first_start"  # the first command to start a task was passed to the network


@dataclass(frozen=True, slots=True)
class PhaseInterval:
    """The time from the previous phase to this one."""

    phase: FailoverPhase
    began_at: float
    ended_at: float

    @property
    def duration_s(self) -> float:
        """The duration of the interval in seconds."""
        return self.ended_at - self.began_at


class FailoverTimeline:
    """Records when each phase of one failover was reached, and logs the durations at the end."""

    def __init__(
        self, clock: Callable[[], float], on_complete: Callable[[FailoverTimeline], None]
    ) -> None:
        """`on_complete` is called once, when the last phase is recorded."""
        self._clock = clock
        self._on_complete = on_complete
        self._reached_at: dict[FailoverPhase, float] = {}
        self.proof: FailoverProof | None = None

    def record(self, phase: FailoverPhase, at: float | None = None) -> None:
        """Record that a phase was reached, now or at `at`; only its first call counts."""
        if phase in self._reached_at:
            return
        self._reached_at[phase] = self._clock() if at is None else at
        if phase is FailoverPhase.FIRST_START:
            self._complete()

    def record_proof(self, proof: FailoverProof) -> None:
        """Keep the proof of the failover, and record that the phase `PROVEN` was reached."""
        self.proof = proof
        self.record(FailoverPhase.PROVEN)

    def intervals(self) -> list[PhaseInterval]:
        """Return the intervals between consecutive phases reached so far, in order of time."""
        reached = sorted(self._reached_at.items(), key=lambda item: item[1])
        return [
            PhaseInterval(phase, began_at, ended_at)
            for (_, began_at), (phase, ended_at) in itertools.pairwise(reached)
        ]

    def _complete(self) -> None:
        phases = [f"{i.phase.value} {i.duration_s:.3f} s" for i in self.intervals()]
        log.info("failover by phase: %s", ", ".join(phases))
        self._on_complete(self)
