"""How much capacity there is beside what was wanted recently, and which machines are too many."""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.autoscaling.demand import Demand
from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import KEYS, Policy
from spoolcourse.wire.messages import HostStage


class ExcessCapacity:
    """Compares the fleet with the peaks of demand."""

    def __init__(
        self,
        policy: Policy,
        registry: WorkerRegistry,
        view: FleetView,
        is_rare: Callable[[str], bool],
    ) -> None:
        self._policy = policy
        self._registry = registry
        self._view = view
        self._is_rare = is_rare
        self.demand = Demand(KEYS["keep_s"].high)

    def short_cpus(self, now: float) -> float:
        """CPUs missing for what may be wanted next; negative: CPUs to spare."""
        wanted = self._policy.headroom * self.demand.peak(now, self._policy.keep_s)
        return wanted - self._capacity()

    def mark(self, now: float, base: frozenset[str], reserved: set[str]) -> None:
        """Mark ordinary machines above what was wanted recently, the emptiest first.

        They cost a multiple of spot ones; marked, they run empty and go. Types that some jobs
        depend on stay, and so do those reserved for services.
        """
        peak = self.demand.peak(now, self._policy.ordinary_keep_s)
        spare = self._capacity() - self._policy.ordinary_headroom * peak
        ordinary = [
            machine
            for machine in self._registry.machines.values()
            if machine.spot is False and machine.is_schedulable and machine.id not in base
        ]
        # Those already marked stay marked if possible: they have run emptier since.
        for machine in sorted(ordinary, key=lambda m: (not m.scale_in_candidate, len(m.attempts))):
            cpus = self._view.cpus(machine)
            needed = machine.id in reserved or self._is_rare(machine.machine_type or "")
            machine.scale_in_candidate = cpus <= spare and not needed
            if machine.scale_in_candidate:
                spare -= cpus

    def _capacity(self) -> float:
        sizes = {name: kind.cpus for name, kind in self._view.machine_types().items()}
        return sum(
            sizes.get(machine.machine_type or "", 0.0)
            for machine in self._registry.machines.values()
            if machine.is_schedulable or _is_coming(machine)
        )


def _is_coming(machine: Machine) -> bool:
    return (
        machine.last_heartbeat_at is None
        and not machine.deletion_requested
        and machine.listed_stage is not HostStage.FAILED
    )
