"""A new leader's calls to the workers that the leader before it knew.

Without them, workers become known by their own heartbeats within a heartbeat period, and by the
cloud's list once that has been read. Called at the addresses that the hints name, they are known a
few milliseconds after the failover. Only their own answers are used.
"""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.fencing_token_announcer import FencingTokenAnnouncer
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.peers import Hint


@dataclass(frozen=True, slots=True)
class HintedWorker:
    """A worker at the address that its hint names, whatever the registry knows of it."""

    hint: Hint
    registry: WorkerRegistry

    @property
    def id(self) -> str:
        """The name of its machine."""
        return self.hint.machine

    @property
    def address(self) -> str:
        """Where it is called."""
        return self.hint.address

    @property
    def confirmed(self) -> bool:
        """Whether its own heartbeat has arrived under the leader's fencing token."""
        known = self.registry.machines.get(self.hint.machine)
        return known is not None and known.confirmed


class HintedWorkers:
    """Calls each hinted worker once; the registry learns which images it is hinted to have."""

    def __init__(self, leader: LeaderContext, hints: list[Hint]) -> None:
        context = leader.controller
        self._announcer = FencingTokenAnnouncer(
            context.http_client, leader.registry, context.params.machine_limits.sockets
        )
        self._workers = [HintedWorker(hint, leader.registry) for hint in hints]
        for hint in hints:
            leader.registry.hinted_images[hint.machine] = hint

    async def run(self) -> None:
        """Call all of them, a bounded number at once."""
        await self._announcer.announce(self._workers, fleet_size=len(self._workers))
