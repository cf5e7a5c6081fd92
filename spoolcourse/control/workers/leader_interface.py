"""What the workers' side asks of the leader."""

from __future__ import annotations

from typing import Protocol

from spoolcourse.control.leadership.failover_timeline import FailoverPhase


class Leader(Protocol):
    """The leader that a worker registry belongs to."""

    def holds_lease(self) -> bool:
        """Whether nobody else can lead by now, so that attempts may be started."""
        ...

    def is_job_over(self, job: str) -> bool:
        """Whether the job can't be live any more."""
        ...

    def disk_gb(self, machine_type: str) -> float:
        """How many GB of images a machine of the type caches; 0 for an unknown type."""
        ...

    def on_capacity_change(self) -> None:
        """Something may be placed now that could not be before."""
        ...

    def record_phase(self, phase: FailoverPhase) -> None:
        """The failover has reached a phase. Called repeatedly; only the first call counts."""
        ...
