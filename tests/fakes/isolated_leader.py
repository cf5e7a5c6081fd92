"""A leader that the network or the key-value store isolates while jobs run."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.world import LABELS, World, job

CANCEL_S = 40.0  # `cancel_s` in the settings of `World`


class IsolatedLeader:
    """A world whose jobs, of four tasks each, all run; provides faults around its leader."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.leader = str(world.leader)
        self.others = [n for n in LABELS if n != self.leader]
        self.cancelled_at = 0.0

    @classmethod
    async def with_running_jobs(cls, jobs: int = 2) -> IsolatedLeader:
        world = World()
        world.cloud.run_s = lambda task: 300.0
        world.cloud.capacity = 4
        await world.start_with_machine()
        for number in range(1, jobs + 1):
            await world.submit(job(number))
        await world.until(lambda: len(world.cloud.starts) == 4 * jobs, 60)
        await asyncio.sleep(3)
        return cls(world)

    def partition(self, controller: str, *others: str) -> Any:
        """Block all traffic between the controller and the others. `m-` stands for all machines."""

        def check(src: str, dst: str, *rest: Any) -> str | None:
            ends = {src, dst.split(":", maxsplit=1)[0]}
            return "cut" if controller in ends and any(e.startswith(others) for e in ends) else None

        self.world.network.filters.append(check)
        return check

    def refuse_store_requests_of(self, controller: str) -> Any:
        """The key-value store refuses this controller only; its open watches stall meanwhile."""

        def check(src: str, dst: str, *rest: Any) -> str | None:
            return "503" if (src, dst) == (controller, "state:1") else None

        self.world.network.filters.append(check)
        self.world.network.stalled.add((controller, "state:1"))
        return check

    async def confirm_cancellation(self, number: int = 1, through: str | None = None) -> None:
        reply = await self.world.cancel(number, through or self.others[0])
        assert (reply.status, reply.data["stage"]) == (200, "aborted")
        self.cancelled_at = self.world.now()

    async def cancel_behind_leader(self, number: int = 1, through: str | None = None) -> None:
        """Refuse the leader only, cancel through a peer, then start an outage for everyone."""
        refusal = self.refuse_store_requests_of(self.leader)
        await asyncio.sleep(0.5)
        await self.confirm_cancellation(number, through)
        self.world.store.in_outage = True
        self.world.network.filters.remove(refusal)

    def end_outage(self) -> None:
        self.world.store.end_outage()
        self.world.network.stalled.clear()

    async def wait_until_tasks_gone_in_time(self, number: int = 1) -> None:
        name = f"job-{number:06d}"
        left = self.cancelled_at + CANCEL_S - self.world.now()
        await self.world.until(lambda: not self.world.cloud.running_tasks(name), left)

    async def sleep_after_cancellation(self, until_s: float) -> None:
        """Sleep until `until_s` seconds after the cancellation."""
        await asyncio.sleep(self.cancelled_at + until_s - self.world.now())
