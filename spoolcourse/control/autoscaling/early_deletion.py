"""Early deletion of silent machines whose replicas are not proven gone.

A replica may run elsewhere only once its former attempt is proven gone. For a machine that died
without a notice the lease proves that, after more than `lease_s`. A deletion that the cloud has
confirmed is a proof too, and it can be had sooner. The price of a mistake is a healthy machine
and all work on it, so only machines qualify that are late, answer no call, and whose silence
nothing else explains: docs/design.md, "A replica lost without a notice".
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces, replicas_on
from spoolcourse.control.autoscaling.replica_probe import ReplicaProbe
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import HostStage

# More late workers than that in a zone: the zone is cut off, or this controller is.
LATE_SHARE_MAX = 0.25
# Deletions in progress at once; they bound what a mistake can cost.
DELETIONS_SHARE = 0.05  # of the machines
DELETIONS_MIN = 2  # allowed in a small fleet


@dataclass(slots=True)
class _Lateness:
    """How many workers of each zone have been heard of, and how many of them are late."""

    heard: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)

    def is_zone_disrupted(self, zone: str) -> bool:
        """Whether too many workers of the zone are late at once to be dead."""
        return _too_many_late(self.late[zone], self.heard[zone])

    def is_fleet_disrupted(self) -> bool:
        """Whether too many workers in all are late at once to be dead."""
        return _too_many_late(self.late.total(), self.heard.total())


def _too_many_late(late: int, heard: int) -> bool:
    return late > max(1, LATE_SHARE_MAX * heard)


class EarlyDeletion:
    """Chooses machines to be deleted for the sake of the replicas on them."""

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
        # When too many workers were late at once the last time: of each zone, and of all.
        self._zone_disrupted_at: dict[str, float] = {}
        self._fleet_disrupted_at = float("-inf")

    def machines_to_delete(self) -> set[str]:
        """Names of machines to be deleted now; a leader without a valid lease must not use them.

        To be called all the time: after a disruption, a worker that is still late is not taken for
        dead. Found on a recorded day, where a leader was cut off from all workers for seconds
        and then deleted those that were back last.
        """
        now = self._clock()
        self._record_disruptions(now)
        if now - self._fleet_disrupted_at <= self._lease_s:
            return set()
        chosen: set[str] = set()
        budget = self._budget()
        for machine in self._registry.machines.values():
            if not self._is_silent(machine) or self._is_zone_disrupted(machine.zone or "", now):
                continue
            if len(chosen) >= budget:
                break
            replicas = replicas_on(machine)
            if replicas and all(map(self._places.has_place_elsewhere, replicas)):
                chosen.add(machine.id)
        return chosen

    def _record_disruptions(self, now: float) -> None:
        lateness = self._lateness(now)
        if lateness.is_fleet_disrupted():
            self._fleet_disrupted_at = now
        for zone in lateness.heard:
            if lateness.is_zone_disrupted(zone):
                self._zone_disrupted_at[zone] = now

    def _is_zone_disrupted(self, zone: str, now: float) -> bool:
        """Whether the zone is disrupted, or was within the last lease."""
        return now - self._zone_disrupted_at.get(zone, float("-inf")) <= self._lease_s

    def _is_silent(self, machine: Machine) -> bool:
        return machine.is_in_service and self._probe.is_unreachable(machine)

    def _lateness(self, now: float) -> _Lateness:
        lateness = _Lateness()
        for machine in self._registry.machines.values():
            if machine.last_heartbeat_at is None or machine.listed_stage is HostStage.FAILED:
                continue
            zone = machine.zone or ""
            lateness.heard[zone] += 1
            if machine.is_overdue(now, self._places.late_after_s):
                lateness.late[zone] += 1
        return lateness

    def _budget(self) -> int:
        """How many more deletions may be in progress; unanswered ones count."""
        machines = self._registry.machines.values()
        in_progress = sum(
            1 for machine in machines if machine.deletion_requested and replicas_on(machine)
        )
        limit = max(DELETIONS_MIN, int(DELETIONS_SHARE * len(machines)))
        return max(0, limit - in_progress)
