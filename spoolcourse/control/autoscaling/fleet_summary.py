"""What machines there are and what they do, in the log for the operators."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _KindSummary:
    machines: int = 0
    booting: int = 0
    scale_in_candidate: int = 0
    empty: int = 0
    cpus: float = 0.0
    taken_cpus: float = 0.0

    def add(self, machine: Machine, cpus: float) -> None:
        self.machines += 1
        self.booting += machine.last_heartbeat_at is None
        self.scale_in_candidate += machine.scale_in_candidate
        self.empty += machine.last_heartbeat_at is not None and not machine.attempts
        self.cpus += cpus
        self.taken_cpus += sum(
            a.job_state.record.submission.cpus for a in machine.attempts.values()
        )


def log_fleet(registry: WorkerRegistry, view: FleetView) -> None:
    """A line for each machine type, spot and ordinary apart."""
    kinds: dict[tuple[str, bool], _KindSummary] = {}
    for machine in registry.machines.values():
        kind = (machine.machine_type or "?", bool(machine.spot))
        kinds.setdefault(kind, _KindSummary()).add(machine, view.cpus(machine))
    for (machine_type, spot), summary in sorted(kinds.items()):
        log.info(
            "fleet: %s, spot %s: %d machines, %d booting, %d surplus, %d empty; "
            "%.0f CPUs, %.0f taken",
            machine_type,
            "yes" if spot else "no",
            summary.machines,
            summary.booting,
            summary.scale_in_candidate,
            summary.empty,
            summary.cpus,
            summary.taken_cpus,
        )
