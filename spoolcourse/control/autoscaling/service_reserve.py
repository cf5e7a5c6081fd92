"""Capacity reserve for services: on-demand machines kept so that the loss of one leaves room.

Services that may not run on spot machines have only the on-demand ones. Without a reserve the
on-demand machines shrink to just what the replicas hold, and when one of them is lost its replicas
wait for another to boot. Meanwhile other work runs on the reserve; it is stopped for replicas.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


class _Holder(NamedTuple):
    """An on-demand machine, with the CPUs that replicas hold there."""

    replica_cpus: float
    machine: Machine


@dataclass(slots=True)
class _Zone:
    """The on-demand machines of a zone."""

    holders: list[_Holder] = field(default_factory=list)
    replica_cpus: float = 0.0  # held in the zone
    largest_cpus: float = 0.0  # of the machines that hold replicas

    def add(self, machine: Machine, machine_cpus: float) -> None:
        replica_cpus = _replica_cpus(machine)
        self.holders.append(_Holder(replica_cpus, machine))
        if replica_cpus > 0:
            self.replica_cpus += replica_cpus
            self.largest_cpus = max(self.largest_cpus, machine_cpus)


class ServiceReserve:
    """Chooses, zone by zone, the on-demand machines to be kept."""

    def __init__(
        self,
        registry: WorkerRegistry,
        policy: Policy,
        types: MachineTypeLookup,
    ) -> None:
        self._registry = registry
        self._policy = policy
        self._types = types

    def reserved_machines(self) -> set[str]:
        """Names of machines that take what the replicas hold, and the policy's spare machines."""
        reserved: set[str] = set()
        for zone in self._zones().values():
            missing_cpus = zone.replica_cpus + self._policy.service_spares * zone.largest_cpus
            # Those with the most replicas first: they can't be deleted anyway.
            for holder in sorted(zone.holders, key=lambda holder: -holder.replica_cpus):
                if missing_cpus <= 0:
                    break
                reserved.add(holder.machine.id)
                missing_cpus -= self._types.cpus(holder.machine)
        return reserved

    def _zones(self) -> dict[str, _Zone]:
        zones: defaultdict[str, _Zone] = defaultdict(_Zone)
        for machine in self._registry.machines.values():
            if machine.spot is False and machine.is_schedulable:
                zones[machine.zone or ""].add(machine, self._types.cpus(machine))
        return zones


def _replica_cpus(machine: Machine) -> float:
    """CPUs that replicas hold there which may run on on-demand machines only."""
    return sum(
        submission.cpus
        for attempt in machine.attempts.values()
        if (submission := attempt.job_state.record.submission).is_service
        and not submission.spot_allowed
    )
