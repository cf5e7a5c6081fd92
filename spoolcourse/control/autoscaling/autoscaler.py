"""Autoscaling of the fleet: the loops that list, provision and delete machines.

Machines are provisioned for the capacity that the last placement pass lacked, and deleted if they
are idle or faulty.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.autoscaling.early_deletion import EarlyDeletion
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.fleet_summary import log_fleet_summary
from spoolcourse.control.autoscaling.machine_list import MachineListLoop
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.autoscaling.owner import AutoscalerOwner
from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces
from spoolcourse.control.autoscaling.replica_probe import ReplicaProbe
from spoolcourse.control.autoscaling.scale_in import ScaleIn
from spoolcourse.control.autoscaling.scale_out import ScaleOut
from spoolcourse.control.autoscaling.service_reserve import ServiceReserve
from spoolcourse.control.cloud.client import max_deletions
from spoolcourse.control.cloud.errors import CloudError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.process_load import LOAD_SUMMARY_PERIOD_S
from spoolcourse.wire.cloud import MAX_MACHINES_PER_DELETION

log = logging.getLogger(__name__)

SCALE_IN_PERIOD_S = 1.0


class FleetAutoscaler:
    """The parts of the autoscaler, and the loop that deletes machines.

    The scheduling loop reports the demand of each placement pass to `excess_capacity`, and the
    machines to provision to `scale_out`. `machine_list`, `scale_out` and `replica_probe` have loops
    of their own.
    """

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
        self._types = MachineTypeLookup(context.machine_types)
        self.excess_capacity = ExcessCapacity(policy, registry, self._types, owner.is_scarce_type)
        self.scale_out = ScaleOut(leader, self._cloud, self._types, owner.holds_lease)
        self.machine_list = MachineListLoop(leader, self._types, owner.on_machine_list)
        self.replica_places = ReplicaPlaces(
            registry, context.params.workers, context.clock, context.machine_types
        )
        self.replica_probe = ReplicaProbe(
            context.http_client, registry, self.replica_places, context.clock
        )
        self.service_reserve = ServiceReserve(registry, policy, self._types)
        self._scale_in = ScaleIn(
            leader,
            owner,
            self._types,
            self.excess_capacity,
            self.service_reserve,
            EarlyDeletion(
                registry,
                self.replica_places,
                self.replica_probe,
                context.clock,
                context.params.workers.lease_s,
            ),
        )

    async def scale_in_loop(self) -> None:
        """Delete the machines that scale-in chooses, until cancelled.

        A failed deletion is requested again in the next round, as `deletion_requested` stays set.
        """
        summary_logged_at = float("-inf")
        while True:
            await asyncio.sleep(SCALE_IN_PERIOD_S)
            self._registry.expire_leases()
            if (
                log.isEnabledFor(logging.INFO)
                and self._clock() - summary_logged_at > LOAD_SUMMARY_PERIOD_S
            ):
                summary_logged_at = self._clock()
                log_fleet_summary(self._registry, self._types)
                self._owner.on_fleet_summary()
            names = self._scale_in.machines_to_delete(holds_lease=self._owner.holds_lease())
            for start in range(0, min(len(names), self._max_deletions), MAX_MACHINES_PER_DELETION):
                await self._delete(names[start : start + MAX_MACHINES_PER_DELETION])

    async def _delete(self, names: list[str]) -> None:
        for name in names:
            self._registry.machines[name].deletion_requested = True
        try:
            await self._cloud.delete(names)
        except CloudError as exc:
            log.info("machine deletion failed: machines=%d reason=%s", len(names), exc)
            return
        for name in names:
            self._registry.forget_deleted_machine(name)
