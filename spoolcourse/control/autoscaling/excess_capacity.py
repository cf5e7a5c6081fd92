"""Excess capacity: compares the fleet with recent demand, and marks machines beyond it.

A marked machine is a scale-in candidate: it gets work only if no other machine fits.
"""

from __future__ import annotations

from collections.abc import Callable, Set

from spoolcourse.control.autoscaling.demand import DemandHistory
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import KEYS, Policy
from spoolcourse.wire.messages import ListedMachineStage


class ExcessCapacity:
    """Compares the capacity of the fleet with peak demand.

    The policy keys call on-demand machines "ordinary".
    """

    def __init__(
        self,
        policy: Policy,
        registry: WorkerRegistry,
        types: MachineTypeLookup,
        is_scarce_type: Callable[[str], bool],
    ) -> None:
        self._policy = policy
        self._registry = registry
        self._types = types
        self._is_scarce_type = is_scarce_type
        self.demand = DemandHistory(KEYS["keep_s"].high)

    def missing_cpus(self, now: float) -> float:
        """Return the CPUs missing for recent peak demand with headroom; negative: spare CPUs."""
        peak_cpus = self.demand.peak_cpus(now, self._policy.keep_s)
        return self._policy.headroom * peak_cpus - self._capacity_cpus()

    def mark_scale_in_candidates(
        self, now: float, initial_machines: Set[str], reserved: Set[str]
    ) -> None:
        """Mark on-demand machines above recent demand as scale-in candidates, the emptiest first.

        On-demand machines cost a multiple of spot machines. Marked machines run out of work and are
        deleted. Machines of types that jobs depend on are not marked, nor are initial machines and
        machines reserved for services.
        """
        peak_cpus = self.demand.peak_cpus(now, self._policy.ordinary_keep_s)
        excess_cpus = self._capacity_cpus() - self._policy.ordinary_headroom * peak_cpus
        on_demand = [
            machine
            for machine in self._registry.machines.values()
            if machine.spot is False
            and machine.is_schedulable
            and machine.id not in initial_machines
        ]
        # Marked machines stay marked if possible: their work has been running out since then.
        for machine in sorted(on_demand, key=lambda m: (not m.scale_in_candidate, len(m.attempts))):
            cpus = self._types.cpus(machine)
            is_needed = machine.id in reserved or self._is_scarce_type(machine.machine_type or "")
            machine.scale_in_candidate = cpus <= excess_cpus and not is_needed
            if machine.scale_in_candidate:
                excess_cpus -= cpus

    def _capacity_cpus(self) -> float:
        """Return the CPUs of schedulable and of booting machines."""
        cpus_by_type = {
            name: machine_type.cpus for name, machine_type in self._types.machine_types().items()
        }
        return sum(
            cpus_by_type.get(machine.machine_type or "", 0.0)
            for machine in self._registry.machines.values()
            if machine.is_schedulable or _is_booting(machine)
        )


def _is_booting(machine: Machine) -> bool:
    return (
        machine.last_heartbeat_at is None
        and not machine.deletion_requested
        and machine.listed_stage is not ListedMachineStage.FAILED
    )
