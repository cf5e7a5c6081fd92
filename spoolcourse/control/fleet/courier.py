"""Takes starts and halts to workers at once instead of waiting for their next reports.

A command sent to `/orders` may be executed minutes late, so a start that got no answer
stays possible on that machine until its session or our term ends (`Attempt.loose`).
Every attempt is sent this way once; what goes wrong is left to the report responses.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.fleet.roster import Machine, Roster, start_order
from spoolcourse.control.net import Net, NetError
from spoolcourse.wire.messages import Malformed, Report, parse

log = logging.getLogger(__name__)

TIMEOUT_S = 1.0
PAUSE_S = 10.0


class Courier:
    def __init__(self, net: Net, roster: Roster) -> None:
        self._net = net
        self._roster = roster
        self.wake = asyncio.Event()
        self._busy: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                for machine in self._roster.due(self._busy):
                    task = asyncio.get_running_loop().create_task(self._send(machine))
                    self._busy[machine.id] = task
        finally:
            for task in self._busy.values():
                task.cancel()

    async def _send(self, machine: Machine) -> None:
        try:
            attempts = self._roster.take_fresh_starts(machine)
            shift = machine.shift
            orders = self._roster.take_halts(machine) + [start_order(a) for a in attempts]
            body = {"baton": self._roster.term, "shift": shift, "orders": orders}
            try:
                reply = await self._net.call(
                    machine.address, "POST", "/orders", body, timeout=TIMEOUT_S
                )
                report = parse(reply.data, Report)
            except (NetError, Malformed) as exc:
                # Until it can be reached, the report responses have to do.
                machine.shut_until = asyncio.get_running_loop().time() + PAUSE_S
                log.debug("%s: %d orders without an answer: %s", machine.id, len(orders), exc)
                return
            if reply.status in (200, 409) and report.spindle == machine.id:
                for attempt in attempts:
                    attempt.loose = None
                self._roster.observe(report)
        finally:
            self._busy.pop(machine.id, None)
            if machine.id in self._roster.errands:
                self.wake.set()
