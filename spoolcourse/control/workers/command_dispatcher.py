"""Sends starts and stops to workers' addresses without waiting for their next heartbeats.

A command sent to a machine's address may be executed minutes late. A start without a response may
therefore take effect until the worker's incarnation or this term ends (`StartDelivery`). Each
command is sent to the address once, unless there was no connection; after a failed call heartbeat
responses carry the command.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from spoolcourse.control.http_client import HttpClient, NoResponseError, NotConnectedError
from spoolcourse.control.jobs.model import Attempt
from spoolcourse.control.jobs.start_delivery import CallState
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_client import WorkerIncarnation, send_commands
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.commands import Command, Start
from spoolcourse.wire.messages import Heartbeat, MalformedError

log = logging.getLogger(__name__)

UNREACHABLE_RETRY_DELAY_S = 10.0  # until a machine that did not respond is called again
MIN_CONCURRENT_CALLS = 192  # lower bound of the limit on concurrent calls; it grows with the fleet
RESERVED_SOCKET_FRACTION = 0.15  # of the sockets, for users, peers and calls in progress


@dataclass(frozen=True, slots=True)
class _CallResult:
    """How a call ended, and the heartbeat of the machine if it was answered."""

    state: CallState
    heartbeat: Heartbeat | None = None


class CommandDispatcher:
    """Sends pending commands to machines' addresses, one request per machine at a time."""

    def __init__(self, http_client: HttpClient, registry: WorkerRegistry, sockets: int = 0) -> None:
        """`sockets`: number of sockets that the controller may open; 0 if unknown."""
        self._http_client = http_client
        self._registry = registry
        self._sockets = sockets
        self.wake = asyncio.Event()  # set when there may be commands to send
        self._calls: dict[str, asyncio.Task[None]] = {}  # in progress, by machine

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                for machine in self._registry.direct_commands.machines_to_call(self._calls):
                    if self._is_at_limit():
                        break  # the next call that ends wakes this loop for the rest
                    call = asyncio.get_running_loop().create_task(self._send(machine))
                    self._calls[machine.id] = call
        finally:
            for call in self._calls.values():
                call.cancel()

    def _is_at_limit(self) -> bool:
        machines = len(self._registry.machines)
        return len(self._calls) >= concurrent_call_limit(
            MIN_CONCURRENT_CALLS, machines, self._sockets
        )

    def may_keep_connections(self) -> bool:
        """Whether connections opened for commands may stay open after the call.

        With those of their heartbeats, a large fleet would have two connections per machine and use
        up the controller's sockets; new connections of workers and users would fail.
        """
        if not self._sockets:
            return True
        return 2 * len(self._registry.machines) < self._sockets * (1 - RESERVED_SOCKET_FRACTION)

    async def _send(self, machine: Machine) -> None:
        try:
            await self._send_commands(machine)
        finally:
            was_at_limit = self._is_at_limit()
            self._calls.pop(machine.id, None)
            if was_at_limit or machine.id in self._registry.machines_with_unsent_commands:
                self.wake.set()

    async def _send_commands(self, machine: Machine) -> None:
        attempts = self._registry.direct_commands.claim_starts(machine)
        incarnation = WorkerIncarnation(machine.address, machine.incarnation)
        commands = self._registry.direct_commands.claim_stops(machine) + [
            Start(attempt.name, attempt.number) for attempt in attempts
        ]
        result = await self._call(machine, incarnation, commands)
        for attempt in attempts:
            attempt.start.call_ends(result.state)
        if result.state is CallState.NOT_SENT:
            self._registry.machines_with_unsent_commands.add(machine.id)
        if result.heartbeat is not None:
            self._registry.observe_heartbeat(result.heartbeat)
        self._end_stopped(attempts)

    def _end_stopped(self, attempts: list[Attempt]) -> None:
        """Release or stop attempts that were to end while the call with their starts went on."""
        for attempt in attempts:
            if attempt.stopping and self._registry.is_tracked(attempt):
                self._registry.end_attempt(attempt)

    async def _call(
        self, machine: Machine, incarnation: WorkerIncarnation, commands: list[Command]
    ) -> _CallResult:
        try:
            heartbeat = await send_commands(
                self._http_client,
                self._registry.proof,
                incarnation,
                commands,
                self.may_keep_connections(),
            )
        except (NoResponseError, MalformedError) as exc:
            # Until the machine is called again, heartbeat responses carry its commands.
            machine.unreachable_until = (
                asyncio.get_running_loop().time() + UNREACHABLE_RETRY_DELAY_S
            )
            log.debug(
                "commands not answered: machine=%s commands=%d cause=%s",
                machine.id,
                len(commands),
                exc,
            )
            is_unsent = isinstance(exc, NotConnectedError)
            return _CallResult(CallState.NOT_SENT if is_unsent else CallState.UNANSWERED)
        if heartbeat.machine != machine.id:  # another machine may have the address now
            return _CallResult(CallState.UNANSWERED)
        return _CallResult(CallState.ANSWERED, heartbeat)
