"""Capacity planning: requests machines for unplaced tasks and for headroom.

Headroom is capacity beyond recent demand: tasks that start there need not wait for a boot.
"""

from __future__ import annotations

from spoolcourse.control.autoscaling.autoscaler import FleetAutoscaler
from spoolcourse.control.autoscaling.planner import (
    JobDemand,
    Offer,
    ProvisionRequest,
    plan_headroom,
    plan_provisioning,
)
from spoolcourse.control.autoscaling.scale_out import ScaleOutRequest
from spoolcourse.control.cloud.client import max_provisions
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.placement.model import Plan, Snapshot
from spoolcourse.control.scheduling.name_index import SnapshotIndices
from spoolcourse.wire.cloud import MachineKind
from spoolcourse.wire.messages import MachineType


class CapacityPlanner:
    """Requests scale out after each placement pass, for unplaced tasks and missing headroom."""

    def __init__(
        self, leader: LeaderContext, autoscaler: FleetAutoscaler, indices: SnapshotIndices
    ) -> None:
        self._params = leader.controller.params
        self._machine_types = leader.controller.machine_types
        self._autoscaler = autoscaler
        self._indices = indices

    def request_machines(
        self, snapshot: Snapshot, plan: Plan, team_cpus: list[float], now: float
    ) -> None:
        """Request machines for the plan's unplaced tasks, then for headroom.

        `team_cpus` holds, by team, the CPUs that the team could still use before the pass.
        """
        if self._autoscaler.scale_out.is_in_progress:
            return
        missing_cpus = self._autoscaler.excess_capacity.missing_cpus(now)
        if not plan.unplaced_tasks and missing_cpus <= 0:
            return
        offers = self._offers()
        requests = plan_provisioning(
            demand=[
                JobDemand(snapshot.jobs[index], tasks)
                for index, tasks in plan.unplaced_tasks.items()
            ],
            machines=snapshot.machines,
            offers=offers,
            now=now,
            team_cpus=team_cpus,
            max_machines=max_provisions(self._params.cloud.rps),
        )
        missing_cpus -= sum(request.count * request.offer.cpus for request in requests)
        requests += plan_headroom(missing_cpus, offers, len(snapshot.machines))
        if requests:
            self._autoscaler.scale_out.request(
                [
                    ScaleOutRequest(self._machine_kind(request), request.count)
                    for request in requests
                ]
            )

    def _offers(self) -> list[Offer]:
        """Return the kinds of machine (type, zone, spot or on-demand) that may be requested now."""
        return [
            self._offer(machine_type, zone, spot)
            for machine_type in self._machine_types().values()
            for zone in machine_type.zones
            if zone in self._params.zones
            for spot in (True, False)
            if self._autoscaler.scale_out.may_request(MachineKind(machine_type.name, zone, spot))
        ]

    def _offer(self, machine_type: MachineType, zone: str, spot: bool) -> Offer:
        return Offer(
            machine_type=self._indices.machine_types.index_of(machine_type.name),
            zone=self._indices.zones.index_of(zone),
            spot=spot,
            cpus=machine_type.cpus,
            gpus=machine_type.gpus,
            memory_gb=machine_type.memory_gb,
            price_per_hour=machine_type.spot_price if spot else machine_type.hourly_price,
            boot_s=machine_type.boot_s,
        )

    def _machine_kind(self, request: ProvisionRequest) -> MachineKind:
        offer = request.offer
        return MachineKind(
            self._indices.machine_types.names[offer.machine_type],
            self._indices.zones.names[offer.zone],
            offer.spot,
        )
