"""A new leader's calls to the workers that the previous leader knew.

The workers and their addresses come from hints: what the previous leader knew of each worker, read
by this controller while it was a follower. Without these calls, the leader learns of workers from
their heartbeats, within a heartbeat interval, or from the cloud's machine list; with them, it
learns of them a few milliseconds after the failover. A worker's state is taken only from its own
response.
"""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.fencing_token_announcer import FencingTokenAnnouncer
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.peers import Hint


@dataclass(frozen=True, slots=True)
class HintedWorker:
    """A worker that a hint names; the registry may not have its machine yet."""

    hint: Hint
    registry: WorkerRegistry

    @property
    def id(self) -> str:
        """The name of the worker's machine."""
        return self.hint.machine

    @property
    def address(self) -> str:
        """The address to call."""
        return self.hint.address

    @property
    def confirmed(self) -> bool:
        """Whether the worker has reported the leader's fencing token."""
        machine = self.registry.machines.get(self.hint.machine)
        return machine is not None and machine.confirmed


class HintedWorkers:
    """Calls each hinted worker once, and passes the hints' cached images to the registry."""

    def __init__(self, leader: LeaderContext, hints: list[Hint]) -> None:
        context = leader.controller
        self._announcer = FencingTokenAnnouncer(
            context.http_client, leader.registry, context.params.machine_limits.sockets
        )
        self._workers = [HintedWorker(hint, leader.registry) for hint in hints]
        for hint in hints:
            leader.registry.unapplied_hints[hint.machine] = hint

    async def run(self) -> None:
        """Call all hinted workers, with bounded concurrency."""
        await self._announcer.announce(self._workers, fleet_size=len(self._workers))
