"""When a failover reached each of its phases, by this controller's steady clock."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from spoolcourse.control.leadership.failover_proof import FailoverProof

log = logging.getLogger(__name__)


class FailoverPhase(Enum):
    """What a failover reaches, in this order."""

    VACANT = "vacant"  # this controller saw that nobody leads
    ELECTED = "elected"  # its claim was carried out
    PROVEN = "proven"  # every change up to the claim is taken in, and the job queue is there
    FIRST_WORKER = "first_worker"  # a worker has reported the new fencing token
    FIRST_PASS = "first_pass"  # the first placement pass since
    FIRST_START = "first_start"  # the first start of a task was handed to the network


@dataclass(frozen=True, slots=True)
class Interval:
    """From the phase before to this one."""

    phase: FailoverPhase
    began_at: float
    ended_at: float

    @property
    def seconds(self) -> float:
        """How long it took."""
        return self.ended_at - self.began_at


class FailoverTimeline:
    """The phases of one failover; each is noted once."""

    def __init__(
        self, clock: Callable[[], float], on_complete: Callable[[FailoverTimeline], None]
    ) -> None:
        """`on_complete` is called once, when the last phase is recorded."""
        self._clock = clock
        self._on_complete = on_complete
        self._at: dict[FailoverPhase, float] = {}
        self.proof: FailoverProof | None = None

    def record(self, phase: FailoverPhase, at: float | None = None) -> None:
        """Note a phase, now or at a moment before; only the first time counts."""
        if phase in self._at:
            return
        self._at[phase] = self._clock() if at is None else at
        if phase is FailoverPhase.FIRST_START:
            self._complete()

    def intervals(self) -> list[Interval]:
        """The phases reached so far; the first one is where the others are counted from."""
        reached = sorted(self._at.items(), key=lambda item: item[1])
        return [
            Interval(phase, began_at, ended_at)
            for (_, began_at), (phase, ended_at) in zip(reached, reached[1:], strict=False)
        ]

    def _complete(self) -> None:
        log.info(
            "failover by phase: %s",
            ", ".join(f"{i.phase.value} {i.seconds:.3f} s" for i in self.intervals()),
        )
        self._on_complete(self)
