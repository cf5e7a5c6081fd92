"""The cloud's machine list, taken into the registry, and machines that have to learn our term."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.cloud.errors import CloudRequestFailedError
from spoolcourse.control.http_client import NoResponseError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_client import raise_fencing_token
from spoolcourse.wire.messages import Host, HostStage, MalformedError

log = logging.getLogger(__name__)

LIST_PERIOD_S = 2.0  # at least; half of the list's lag if that is longer
# Machines asked at once, at least. Those behind a cut let the call time out, so with a few at
# once a failover would grow by a second for every few silent machines.
CALLS_LEAST = 64


class MachineListLoop:
    """Reads the list again and again."""

    def __init__(
        self,
        leader: LeaderContext,
        types: MachineTypeLookup,
        on_list: Callable[[list[Host]], Awaitable[None]],
    ) -> None:
        context = leader.controller
        self._net = context.net
        self._cloud = context.cloud
        self._clock = context.clock
        self._sockets = context.params.machine_limits.sockets
        self._period_s = max(LIST_PERIOD_S, context.params.cloud.list_lag_s / 2)
        self._registry = leader.registry
        self._types = types
        self._on_list = on_list

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            try:
                asked_at = self._clock()
                hosts = await self._cloud.list_machines()
                self._take(hosts, asked_at)
                await self._on_list(hosts)
                await self._raise_tokens(hosts)
            except CloudRequestFailedError as exc:
                log.info("machine list: %s", exc)
            await asyncio.sleep(self._period_s)

    def _take(self, hosts: list[Host], now: float) -> None:
        for host in hosts:
            if host.id not in self._registry.deleted_names:
                self._take_host(self._registry.ensure_machine(host.id), host, now)

    def _take_host(self, machine: Machine, host: Host, now: float) -> None:
        """What the machine itself has reported counts more than the list, which lags."""
        if host.stage is HostStage.RUNNING and machine.listed_stage is not HostStage.RUNNING:
            machine.listed_running_since = now
        machine.listed_stage = host.stage
        machine.machine_type = machine.machine_type or host.machine_type
        machine.zone = machine.zone or host.zone
        if machine.spot is None:
            machine.spot = host.spot
        machine.address = machine.address or host.address
        if machine.rented_at is None:
            machine.rented_at = now - host.age_s
        if machine.last_heartbeat_at is None and machine.expected_ready_at is None:
            machine.expected_ready_at = machine.rented_at + self._types.boot_s(machine)

    async def _raise_tokens(self, hosts: list[Host]) -> None:
        """Raise the fencing token on machines that have not spoken under it yet.

        The request carries no commands. They may be reporting to a controller that can't know of
        us.
        """
        machines = len(self._registry.machines)
        gate = asyncio.Semaphore(concurrent_call_limit(CALLS_LEAST, machines, self._sockets))

        async def raise_one(machine: Machine) -> None:
            async with gate:
                if not machine.confirmed:  # its own heartbeat may have come meanwhile
                    await self._raise_token(machine)

        await asyncio.gather(*(raise_one(machine) for machine in self._unconfirmed(hosts)))

    def _unconfirmed(self, hosts: list[Host]) -> list[Machine]:
        running = [self._registry.machines.get(h.id) for h in hosts if h.stage is HostStage.RUNNING]
        return [
            machine
            for machine in running
            if machine is not None
            and machine.address
            and not machine.confirmed
            and not machine.lease_expired  # it has spoken under it, and will come by itself
        ]

    async def _raise_token(self, machine: Machine) -> None:
        try:
            heartbeat = await raise_fencing_token(self._net, self._registry.proof, machine.address)
        except (NoResponseError, MalformedError) as exc:
            log.debug("%s: fencing token not raised: %s", machine.id, exc)
            return
        if heartbeat.machine == machine.id:
            self._registry.observe_heartbeat(heartbeat)
