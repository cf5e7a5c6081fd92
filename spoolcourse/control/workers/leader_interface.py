"""The interface of the leader that the worker registry uses."""

from __future__ import annotations

from typing import Protocol

from spoolcourse.control.leadership.failover_timeline import FailoverPhase


class Leader(Protocol):
    """The leader that a worker registry belongs to."""

    def holds_lease(self) -> bool:
        """Whether this controller certainly still leads, so that it may start attempts."""
        ...

    def is_job_over(self, job: str) -> bool:
        """Whether the job certainly has a final state: done or cancelled."""
        ...

    def disk_gb(self, machine_type: str) -> float:
        """Return the disk space of a machine type for cached images, in GB; 0 if unknown."""
        ...

    def on_capacity_change(self) -> None:
        """Notify the leader that tasks may now fit on machines where they did not fit before."""
        ...

    def record_failover_phase(self, phase: FailoverPhase) -> None:
        """Record that the failover reached a phase; only the first call for a phase counts."""
        ...
