"""Capacity reserve for services: on-demand machines kept so that the loss of one leaves room.

Services that may not run on spot machines depend on on-demand ones. Without a reserve, scale-in
leaves just the on-demand machines that the replicas occupy, and the replicas of a lost machine wait
for another to boot. Other work runs on the reserve meanwhile and is stopped for replicas.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


class _OnDemandMachine(NamedTuple):
    """An on-demand machine and the CPUs that replicas use on it."""

    replica_cpus: float
    machine: Machine


@dataclass(slots=True)
class _ZoneCapacity:
    """The on-demand machines of a zone and the CPUs that replicas use on them."""

    on_demand_machines: list[_OnDemandMachine] = field(default_factory=list)
    replica_cpus: float = 0.0  # used in the zone
    largest_machine_cpus: float = 0.0  # of the machines with replicas

    def add(self, machine: Machine, machine_cpus: float) -> None:
        replica_cpus = _replica_cpus(machine)
        self.on_demand_machines.append(_OnDemandMachine(replica_cpus, machine))
        if replica_cpus > 0:
            self.replica_cpus += replica_cpus
            self.largest_machine_cpus = max(self.largest_machine_cpus, machine_cpus)


class ServiceReserve:
    """Chooses the on-demand machines to keep in each zone."""

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
        """Return the names of the machines to keep in all zones.

        In each zone, they have CPUs for the replicas and for `service_spares` more of the largest
        machines with replicas.
        """
        reserved: set[str] = set()
        for zone in self._capacity_by_zone().values():
            cpus_to_reserve = (
                zone.replica_cpus + self._policy.service_spares * zone.largest_machine_cpus
            )
            # Machines with the most replicas first: they can't be deleted anyway.
            for entry in sorted(zone.on_demand_machines, key=lambda entry: -entry.replica_cpus):
                if cpus_to_reserve <= 0:
                    break
                reserved.add(entry.machine.id)
                cpus_to_reserve -= self._types.cpus(entry.machine)
        return reserved

    def _capacity_by_zone(self) -> dict[str, _ZoneCapacity]:
        zones: defaultdict[str, _ZoneCapacity] = defaultdict(_ZoneCapacity)
        for machine in self._registry.machines.values():
            if machine.spot is False and machine.is_schedulable:
                zones[machine.zone or ""].add(machine, self._types.cpus(machine))
        return zones


def _replica_cpus(machine: Machine) -> float:
    """Return the CPUs used by replicas that may run on on-demand machines only."""
    return sum(
        submission.cpus
        for attempt in machine.attempts.values()
        if (submission := attempt.job_state.record.submission).is_service
        and not submission.spot_allowed
    )
