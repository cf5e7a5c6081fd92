"""Reads the cloud's machine list into the registry; announces the fencing token to new machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.cloud.errors import CloudRequestFailedError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.fencing_token_announcer import FencingTokenAnnouncer
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import Host, HostStage

log = logging.getLogger(__name__)

LIST_PERIOD_MIN_S = 2.0  # or half of the list's lag, if that is longer


class MachineListLoop:
    """Reads the machine list periodically."""

    def __init__(
        self,
        leader: LeaderContext,
        types: MachineTypeLookup,
        on_list: Callable[[list[Host]], Awaitable[None]],
    ) -> None:
        context = leader.controller
        self._cloud = context.cloud
        self._clock = context.clock
        self._period_s = max(LIST_PERIOD_MIN_S, context.params.cloud.list_lag_s / 2)
        self._registry = leader.registry
        self._announcer = FencingTokenAnnouncer(
            context.http_client, leader.registry, context.params.machine_limits.sockets
        )
        self._types = types
        self._on_list = on_list

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            try:
                requested_at = self._clock()
                hosts = await self._cloud.list_machines()
                self._update_machines(hosts, requested_at)
                await self._on_list(hosts)
                await self._announcer.announce(
                    self._unconfirmed_machines(hosts), fleet_size=len(self._registry.machines)
                )
            except CloudRequestFailedError as exc:
                log.info("machine list: %s", exc)
            await asyncio.sleep(self._period_s)

    def _update_machines(self, hosts: list[Host], requested_at: float) -> None:
        for host in hosts:
            if host.id not in self._registry.deleted_names:
                self._update_machine(self._registry.ensure_machine(host.id), host, requested_at)

    def _update_machine(self, machine: Machine, host: Host, requested_at: float) -> None:
        """Update the stage; fill in unknown values only, as heartbeats are newer than the list."""
        if host.stage is HostStage.RUNNING and machine.listed_stage is not HostStage.RUNNING:
            machine.listed_running_since = requested_at
        machine.listed_stage = host.stage
        machine.machine_type = machine.machine_type or host.machine_type
        machine.zone = machine.zone or host.zone
        if machine.spot is None:
            machine.spot = host.spot
        machine.address = machine.address or host.address
        if machine.provisioned_at is None:
            machine.provisioned_at = requested_at - host.age_s
        if machine.last_heartbeat_at is None and machine.expected_ready_at is None:
            machine.expected_ready_at = machine.provisioned_at + self._types.boot_s(machine)

    def _unconfirmed_machines(self, hosts: list[Host]) -> list[Machine]:
        """Running machines that have sent no heartbeat under the leader's fencing token."""
        running = [self._registry.machines.get(h.id) for h in hosts if h.stage is HostStage.RUNNING]
        return [
            machine
            for machine in running
            if machine is not None
            and machine.address
            and not machine.confirmed
            and not machine.lease_expired  # it has reported the token before and will again
        ]
