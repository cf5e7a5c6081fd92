"""A new leader's calls to the workers that the leader before it knew.

They come by their own heartbeats within a heartbeat period, and by the cloud's list once that has
been read. Asked at the addresses that the hints name, they are known a few milliseconds after the
failover. What is learnt is their own answer.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.autoscaling.machine_list import CALLS_LEAST
from spoolcourse.control.http_client import NoResponseError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.worker_client import raise_fencing_token
from spoolcourse.wire.messages import MalformedError
from spoolcourse.wire.peers import Hint

log = logging.getLogger(__name__)


class HintedWorkers:
    """Asks each of them once."""

    def __init__(self, leader: LeaderContext, hints: list[Hint]) -> None:
        context = leader.controller
        self._net = context.net
        self._registry = leader.registry
        self._proof = leader.proof
        self._hints = hints
        sockets = context.params.machine_limits.sockets
        self._gate = asyncio.Semaphore(concurrent_call_limit(CALLS_LEAST, len(hints), sockets))
        for hint in hints:
            leader.registry.hinted_images[hint.machine] = hint

    async def run(self) -> None:
        """Ask all of them, some at a time."""
        await asyncio.gather(*(self._ask(hint) for hint in self._hints))

    async def _ask(self, hint: Hint) -> None:
        async with self._gate:
            known = self._registry.machines.get(hint.machine)
            if known is not None and known.confirmed:
                return  # its own heartbeat has come meanwhile
            try:
                heartbeat = await raise_fencing_token(self._net, self._proof, hint.address)
            except (NoResponseError, MalformedError) as exc:
                log.debug("%s: not there as hinted: %s", hint.machine, exc)
                return
            if heartbeat.machine == hint.machine:
                self._registry.observe_heartbeat(heartbeat)
