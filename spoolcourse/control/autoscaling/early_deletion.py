"""Early deletion of silent machines that hold replicas of services.

A replica may run elsewhere only once its former attempt is proven gone. For a machine that died
without a notice the lease proves that, after more than `lease_s`. A deletion that the cloud has
confirmed is a proof too, and it can be had sooner. The price of a mistake is a healthy machine
and all work on it, so only machines qualify that are late, answer no call, and whose silence
nothing else explains.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces, replicas_on
from spoolcourse.control.autoscaling.replica_probe import ReplicaProbe
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import HostStage

# More late workers than that in a zone: the zone is cut off, or this controller is.
LATE_SHARE = 0.25
# Deletions under way at once; they bound what a mistake can cost.
DELETIONS_SHARE = 0.05
DELETIONS_LEAST = 2


@dataclass(slots=True)
class _Zones:
    """How many workers of each zone have been heard of, and how many of them are late."""

    heard: Counter[str]
    late: Counter[str]

    def troubled(self, zone: str) -> bool:
        return self.late[zone] > max(1, LATE_SHARE * self.heard[zone])

    @property
    def all_troubled(self) -> bool:
        late, heard = self.late.total(), self.heard.total()
        return late > max(1, LATE_SHARE * heard)


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
        # When many workers were late at once the last time: of each zone, and of all.
        self._troubled_at: dict[str, float] = {}
        self._all_troubled_at = float("-inf")

    def due(self) -> set[str]:
        """Names of machines to be deleted now; a leader without a valid lease must not ask.

        To be called all the time: whoever is still late after a trouble of many is not taken for
        dead. Found on a recorded day, where a leader was cut off from all workers for seconds
        and then deleted those that were back last.
        """
        now = self._clock()
        self._note_troubles(now)
        if now - self._all_troubled_at <= self._lease_s:
            return set()
        chosen: set[str] = set()
        budget = self._budget()
        for machine in self._registry.machines.values():
            if not self._is_silent(machine) or self._zone_is_troubled(machine.zone or "", now):
                continue
            if len(chosen) >= budget:
                break
            replicas = replicas_on(machine)
            if replicas and all(map(self._places.has_place_elsewhere, replicas)):
                chosen.add(machine.id)
        return chosen

    def _note_troubles(self, now: float) -> None:
        zones = self._late_workers(now)
        if zones.all_troubled:
            self._all_troubled_at = now
        for zone in zones.heard:
            if zones.troubled(zone):
                self._troubled_at[zone] = now

    def _zone_is_troubled(self, zone: str, now: float) -> bool:
        return now - self._troubled_at.get(zone, float("-inf")) <= self._lease_s

    def _is_silent(self, machine: Machine) -> bool:
        return (
            machine.confirmed
            and not machine.lease_expired
            and not machine.deletion_requested
            and self._probe.is_unreachable(machine)
        )

    def _late_workers(self, now: float) -> _Zones:
        zones = _Zones(Counter(), Counter())
        for machine in self._registry.machines.values():
            if machine.last_heartbeat_at is None or machine.listed_stage is HostStage.FAILED:
                continue
            zone = machine.zone or ""
            zones.heard[zone] += 1
            if machine.is_overdue(now, self._places.late_s):
                zones.late[zone] += 1
        return zones

    def _budget(self) -> int:
        machines = self._registry.machines.values()
        under_way = sum(
            1 for machine in machines if machine.deletion_requested and replicas_on(machine)
        )
        most = max(DELETIONS_LEAST, int(DELETIONS_SHARE * len(machines)))
        return max(0, most - under_way)
