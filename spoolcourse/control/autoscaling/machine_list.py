"""Reads the cloud's machine list into the registry; calls the machines that are not confirmed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.cloud.errors import CloudRequestFailedError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.fencing_token_announcer import FencingTokenAnnouncer
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import ListedMachine, ListedMachineStage

log = logging.getLogger(__name__)

LIST_PERIOD_MIN_S = 2.0  # or half of the list's lag, if that is longer


class MachineListLoop:
    """Reads the machine list periodically; announces the fencing token to unconfirmed machines."""

    def __init__(
        self,
        leader: LeaderContext,
        types: MachineTypeLookup,
        on_list: Callable[[list[ListedMachine]], Awaitable[None]],
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
                listed_machines = await self._cloud.list_machines()
                self._update_machines(listed_machines, requested_at)
                await self._on_list(listed_machines)
                await self._announcer.announce(
                    self._unconfirmed_machines(listed_machines),
                    fleet_size=len(self._registry.machines),
                )
            except CloudRequestFailedError as exc:
                log.info("machine list: %s", exc)
            await asyncio.sleep(self._period_s)

    def _update_machines(self, listed_machines: list[ListedMachine], requested_at: float) -> None:
        for listed_machine in listed_machines:
            if listed_machine.id not in self._registry.deleted_names:
                self._update_machine(
                    self._registry.ensure_machine(listed_machine.id), listed_machine, requested_at
                )

    def _update_machine(
        self, machine: Machine, listed_machine: ListedMachine, requested_at: float
    ) -> None:
        """Update the machine from its entry in the list that was requested at `requested_at`.

        Apart from its stage, only unknown values are set, as heartbeats are newer than the list.
        """
        if (
            listed_machine.stage is ListedMachineStage.RUNNING
            and machine.listed_stage is not ListedMachineStage.RUNNING
        ):
            machine.listed_running_since = requested_at
        machine.listed_stage = listed_machine.stage
        machine.machine_type = machine.machine_type or listed_machine.machine_type
        machine.zone = machine.zone or listed_machine.zone
        if machine.spot is None:
            machine.spot = listed_machine.spot
        machine.address = machine.address or listed_machine.address
        if machine.provisioned_at is None:
            machine.provisioned_at = requested_at - listed_machine.age_s
        if machine.last_heartbeat_at is None and machine.expected_ready_at is None:
            machine.expected_ready_at = machine.provisioned_at + self._types.boot_s(machine)

    def _unconfirmed_machines(self, listed_machines: list[ListedMachine]) -> list[Machine]:
        """The listed, running machines that are not confirmed: they may not know the token."""
        running = [
            self._registry.machines.get(m.id)
            for m in listed_machines
            if m.stage is ListedMachineStage.RUNNING
        ]
        return [
            machine
            for machine in running
            if machine is not None
            and machine.address
            and not machine.confirmed
            # After its lease expired, the worker still knows the token that it reported before.
            and not machine.lease_expired
        ]
