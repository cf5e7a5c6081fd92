"""Ordinary machines that are kept for services, so that the loss of one leaves room.

Services that may not run on spot machines have only the ordinary ones. Without a reserve the
ordinary machines shrink to just what the replicas hold, and when one of them is lost its replicas
wait for another to boot. On the reserve other work runs meanwhile; it is stopped for replicas.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


@dataclass(slots=True)
class _Zone:
    """The ordinary machines of a zone, with the CPUs that replicas hold on each."""

    machines: list[tuple[float, Machine]] = field(default_factory=list)
    held_cpus: float = 0.0
    largest_cpus: float = 0.0  # of the machines that hold replicas


class ServiceReserve:
    """Chooses, zone by zone, the ordinary machines to be kept."""

    def __init__(
        self,
        registry: WorkerRegistry,
        policy: Policy,
        view: FleetView,
    ) -> None:
        self._registry = registry
        self._policy = policy
        self._view = view

    def machines(self) -> set[str]:
        """The names of machines that take what the replicas hold, and the policy's spares."""
        chosen: set[str] = set()
        for zone in self._zones().values():
            wanted = zone.held_cpus + self._policy.service_spares * zone.largest_cpus
            # Those with the most replicas first: they can't go anyway.
            for _, machine in sorted(zone.machines, key=lambda entry: -entry[0]):
                if wanted <= 0:
                    break
                chosen.add(machine.id)
                wanted -= self._view.cpus(machine)
        return chosen

    def _zones(self) -> dict[str, _Zone]:
        zones: defaultdict[str, _Zone] = defaultdict(_Zone)
        for machine in self._registry.machines.values():
            if machine.spot is not False or not machine.is_schedulable:
                continue
            zone = zones[machine.zone or ""]
            held_cpus = _held_by_replicas(machine)
            zone.machines.append((held_cpus, machine))
            if held_cpus > 0:
                zone.held_cpus += held_cpus
                zone.largest_cpus = max(zone.largest_cpus, self._view.cpus(machine))
        return zones


def _held_by_replicas(machine: Machine) -> float:
    """CPUs that replicas hold there which may run on ordinary machines only."""
    return sum(
        submission.cpus
        for attempt in machine.attempts.values()
        if (submission := attempt.job_state.record.submission).is_service
        and not submission.spot_allowed
    )
