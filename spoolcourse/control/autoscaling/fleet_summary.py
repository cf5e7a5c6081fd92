"""Logs a summary of the fleet: the machines of each type, with their total and used CPUs."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import NamedTuple

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry

log = logging.getLogger(__name__)

UNKNOWN_TYPE_LABEL = "?"


class _MachineGroupKey(NamedTuple):
    machine_type: str
    spot: bool


@dataclass(slots=True)
class _MachineGroup:
    """Totals of the machines of one type, spot or on-demand."""

    machines: int = 0
    booting: int = 0  # no heartbeat yet
    scale_in_candidates: int = 0
    empty: int = 0  # machines that sent a heartbeat and have no attempt
    cpus: float = 0.0
    used_cpus: float = 0.0

    def add(self, machine: Machine, cpus: float) -> None:
        self.machines += 1
        self.booting += machine.last_heartbeat_at is None
        self.scale_in_candidates += machine.scale_in_candidate
        self.empty += machine.last_heartbeat_at is not None and not machine.attempts
        self.cpus += cpus
        self.used_cpus += sum(
            attempt.job_state.record.submission.cpus for attempt in machine.attempts.values()
        )


def log_fleet_summary(registry: WorkerRegistry, types: MachineTypeLookup) -> None:
    """Log one line per machine type, with spot and on-demand machines separate."""
    groups: dict[_MachineGroupKey, _MachineGroup] = {}
    for machine in registry.machines.values():
        key = _MachineGroupKey(machine.machine_type or UNKNOWN_TYPE_LABEL, bool(machine.spot))
        groups.setdefault(key, _MachineGroup()).add(machine, types.cpus(machine))
    for key, group in sorted(groups.items()):
        log.info(
            "fleet: machine_type=%s spot=%s machines=%d booting=%d scale_in_candidates=%d "
            "empty=%d cpus=%.0f used_cpus=%.0f",
            key.machine_type,
            "yes" if key.spot else "no",
            group.machines,
            group.booting,
            group.scale_in_candidates,
            group.empty,
            group.cpus,
            group.used_cpus,
        )
