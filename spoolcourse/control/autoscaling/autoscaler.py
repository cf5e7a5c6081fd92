"""The fleet as wanted and as it is: the loops that list, rent and return machines.

The wanted state is what the last pass found missing and what stands idle; the loops
here work out the difference and ask the cloud for it.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.autoscaling.early_deletion import EarlyDeletion
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.fleet_summary import log_fleet
from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.autoscaling.machine_list import MachineListLoop
from spoolcourse.control.autoscaling.owner import AutoscalerOwner
from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces
from spoolcourse.control.autoscaling.replica_probe import ReplicaProbe
from spoolcourse.control.autoscaling.scale_in import ScaleIn
from spoolcourse.control.autoscaling.scale_out import ScaleOut
from spoolcourse.control.autoscaling.service_reserve import ServiceReserve
from spoolcourse.control.cloud.client import max_deletions
from spoolcourse.control.cloud.errors import CloudError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.process_load import SUMMARY_S
from spoolcourse.wire.cloud import DELETE_MAX

log = logging.getLogger(__name__)

SCALE_IN_PERIOD_S = 1.0


class FleetAutoscaler:
    """The parts put together, and the loop that deletes machines."""

    def __init__(
        self,
        leader: LeaderContext,
        owner: AutoscalerOwner,
    ) -> None:
        context, policy, registry = leader.controller, leader.policy, leader.registry
        self._cloud = context.cloud.provisioning(leader.proof)
        self._max_deletions = max_deletions(context.params.cloud.rps)
        self._clock = context.clock
        self._registry = registry
        self._owner = owner
        self._view = FleetView(context.machine_types)
        self.excess_capacity = ExcessCapacity(policy, registry, self._view, owner.is_rare_type)
        self.scale_out = ScaleOut(leader, self._cloud, self._view, owner.may_start)
        self.machine_list = MachineListLoop(leader, self._view, owner.on_machine_list)
        self.places = ReplicaPlaces(
            registry, context.params.workers, context.clock, context.machine_types
        )
        self.replica_probe = ReplicaProbe(context.net, registry, self.places, context.clock)
        self.reserve = ServiceReserve(registry, policy, self._view)
        self._scale_in = ScaleIn(
            leader,
            owner,
            self._view,
            self.excess_capacity,
            self.reserve,
            EarlyDeletion(
                registry,
                self.places,
                self.replica_probe,
                context.clock,
                context.params.workers.lease_s,
            ),
        )

    async def scale_in_loop(self) -> None:
        """Delete what is to be returned, until cancelled."""
        logged_at = float("-inf")
        while True:
            await asyncio.sleep(SCALE_IN_PERIOD_S)
            self._registry.expire_leases()
            if log.isEnabledFor(logging.INFO) and self._clock() - logged_at > SUMMARY_S:
                logged_at = self._clock()
                log_fleet(self._registry, self._view)
                self._owner.on_fleet_summary()
            names = self._scale_in.machines(leads=self._owner.may_start())
            for start in range(0, min(len(names), self._max_deletions), DELETE_MAX):
                await self._delete(names[start : start + DELETE_MAX])

    async def _delete(self, names: list[str]) -> None:
        for name in names:
            self._registry.machines[name].deletion_requested = True
        try:
            await self._cloud.delete(names)
        except CloudError as exc:
            log.info("machine deletion failed: %s", exc)
            return
        for name in names:
            self._registry.forget_deleted_machine(name)
