"""Takes starts and stops to workers at once instead of waiting for their next heartbeats.

A command sent to a machine's address may be executed minutes late, so a start that got no answer
stays possible on that machine until its incarnation or our term ends
(`Attempt.in_flight_incarnation`). Every attempt is sent this way once; what goes wrong is left to
the heartbeat responses.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_client import WorkerIncarnation, send_commands
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.commands import Start
from spoolcourse.wire.messages import MalformedError

log = logging.getLogger(__name__)

PAUSE_S = 10.0
CALLS_LEAST = 192  # calls that may be under way at once in a small fleet
SPARE = 0.15  # of the sockets, for users, peers and what is under way


class CommandDispatcher:
    """Sends what is due to machines' addresses, to each one request at a time."""

    def __init__(self, net: HttpClient, registry: WorkerRegistry, sockets: int = 0) -> None:
        self._net = net
        self._registry = registry
        self._sockets = sockets
        self.wake = asyncio.Event()
        self._busy: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                for machine in self._registry.commands.machines_to_call(self._busy):
                    if self._is_full():
                        break  # whoever comes back sees to the rest
                    task = asyncio.get_running_loop().create_task(self._send(machine))
                    self._busy[machine.id] = task
        finally:
            for task in self._busy.values():
                task.cancel()

    def _is_full(self) -> bool:
        most = concurrent_call_limit(CALLS_LEAST, len(self._registry.machines), self._sockets)
        return len(self._busy) >= most

    def may_keep(self) -> bool:
        """Whether connections to machines may stay open beside those of their heartbeats.

        With two for each machine a fleet would use up the controller's sockets, and workers' and
        users' new connections would fail.
        """
        if not self._sockets:
            return True
        return 2 * len(self._registry.machines) < self._sockets * (1 - SPARE)

    async def _send(self, machine: Machine) -> None:
        try:
            attempts = self._registry.commands.claim_starts(machine)
            incarnation = WorkerIncarnation(machine.address, machine.incarnation)
            commands = self._registry.commands.claim_stops(machine) + [
                Start(a.name, a.number) for a in attempts
            ]
            try:
                heartbeat = await send_commands(
                    self._net, self._registry.proof, incarnation, commands, self.may_keep()
                )
            except (NoResponseError, MalformedError) as exc:
                # Until it can be reached, the heartbeat responses have to do.
                machine.unreachable_until = asyncio.get_running_loop().time() + PAUSE_S
                log.debug("%s: %d commands without an answer: %s", machine.id, len(commands), exc)
                return
            if heartbeat.machine == machine.id:
                for attempt in attempts:
                    attempt.in_flight_incarnation = None
                self._registry.observe_heartbeat(heartbeat)
        finally:
            held_back = self._is_full()
            self._busy.pop(machine.id, None)
            if held_back or machine.id in self._registry.pending_commands:
                self.wake.set()
