"""Early deletion of silent machines whose replicas are not proven to have ended.

A replica may start elsewhere only once its previous attempt is proven to have ended. If a machine
dies without a notice, its expired lease proves that, after more than `lease_s`. A deletion
confirmed by the cloud proves it sooner. A mistake costs a healthy machine and all work on it, so
a machine qualifies only if it is late, answers no call, and nothing else explains its silence:
docs/design.md, "A replica lost without a notice".

A machine is late if its last own heartbeat is older than `ReplicaPlaces.late_after_s`. A zone or
the fleet is disrupted while too many of its workers are late at once for all of them to be dead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces, replicas_on
from spoolcourse.control.autoscaling.replica_probe import ReplicaProbe
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import ListedMachineStage

# Above this share of late workers, the zone or this controller is assumed to be cut off.
LATE_WORKERS_SHARE_MAX = 0.25
# Limit of deletions in progress, which bounds the cost of a mistake.
CONCURRENT_DELETIONS_SHARE = 0.05  # of the fleet
CONCURRENT_DELETIONS_MIN = 2  # allowed in a small fleet


@dataclass(slots=True)
class _LateWorkerCounts:
    """Counts, by zone, the workers that have sent a heartbeat and the late ones among them."""

    reporting: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)

    def is_zone_disrupted(self, zone: str) -> bool:
        """Whether too many workers of the zone are late at once for all of them to be dead."""
        return _too_many_late(self.late[zone], self.reporting[zone])

    def is_fleet_disrupted(self) -> bool:
        """Whether too many workers of the fleet are late at once for all of them to be dead."""
        return _too_many_late(self.late.total(), self.reporting.total())


def _too_many_late(late: int, reporting: int) -> bool:
    return late > max(1, LATE_WORKERS_SHARE_MAX * reporting)


class EarlyDeletion:
    """Chooses silent machines to delete so that their replicas can restart sooner."""

    def __init__(
        self,
        registry: WorkerRegistry,
        places: ReplicaPlaces,
        probe: ReplicaProbe,
        clock: Callable[[], float],
        lease_s: float,
    ) -> None:
        self._registry = registry
        self._places = places
        self._probe = probe
        self._clock = clock
        self._lease_s = lease_s
        # Times of the last disruption of each zone and of the whole fleet.
        self._zone_disrupted_at: dict[str, float] = {}
        self._fleet_disrupted_at = float("-inf")

    def machines_to_delete(self) -> set[str]:
        """Return the machines to delete now; a leader without a valid lease must not delete them.

        Must be called in every round, to record disruptions: a worker that is still late shortly
        after a disruption is not considered dead. On a recorded day, a leader that had been cut off
        from all workers for seconds deleted the machines whose heartbeats came back last.
        """
        now = self._clock()
        self._record_disruptions(now)
        if now - self._fleet_disrupted_at <= self._lease_s:
            return set()
        chosen: set[str] = set()
        deletions_allowed = self._deletions_allowed()
        for machine in self._registry.machines.values():
            if not self._is_silent(machine) or self._is_zone_disrupted(machine.zone or "", now):
                continue
            if len(chosen) >= deletions_allowed:
                break
            replicas = replicas_on(machine)
            if replicas and all(map(self._places.can_run_elsewhere, replicas)):
                chosen.add(machine.id)
        return chosen

    def _record_disruptions(self, now: float) -> None:
        counts = self._count_late_workers(now)
        if counts.is_fleet_disrupted():
            self._fleet_disrupted_at = now
        for zone in counts.reporting:
            if counts.is_zone_disrupted(zone):
                self._zone_disrupted_at[zone] = now

    def _is_zone_disrupted(self, zone: str, now: float) -> bool:
        """Whether the zone is disrupted, or was within the last `lease_s`."""
        return now - self._zone_disrupted_at.get(zone, float("-inf")) <= self._lease_s

    def _is_silent(self, machine: Machine) -> bool:
        return machine.is_in_service and self._probe.is_unreachable(machine)

    def _count_late_workers(self, now: float) -> _LateWorkerCounts:
        counts = _LateWorkerCounts()
        for machine in self._registry.machines.values():
            if (
                machine.last_heartbeat_at is None
                or machine.listed_stage is ListedMachineStage.FAILED
            ):
                continue
            zone = machine.zone or ""
            counts.reporting[zone] += 1
            if machine.is_overdue(now, self._places.late_after_s):
                counts.late[zone] += 1
        return counts

    def _deletions_allowed(self) -> int:
        """Return how many more deletions may be started.

        Deletions that the cloud has not confirmed count as in progress.
        """
        machines = self._registry.machines.values()
        in_progress = sum(
            1 for machine in machines if machine.deletion_requested and replicas_on(machine)
        )
        limit = max(CONCURRENT_DELETIONS_MIN, int(CONCURRENT_DELETIONS_SHARE * len(machines)))
        return max(0, limit - in_progress)
