"""Steps shared by scenarios with overlapping faults."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.world import LABELS, World


async def restart_leader(world: World, down_s: float) -> None:
    """Kill the leader, start it again after `down_s`, and wait for a leader."""
    former = str(world.leader)
    world.kill(former)
    await asyncio.sleep(down_s)
    world.start(former)
    await world.until(lambda: world.leader, 30)


async def wait_until_jobs_end(world: World, numbers: Any, limit_s: float = 180.0) -> None:
    """Wait until every job has ended; all controllers agree, and no rule was broken."""
    for number in numbers:
        name = f"job-{number:06d}"
        if name in world.cancel_confirmed_at:
            await world.until(lambda name=name: not world.cloud.running_tasks(name), limit_s)
        else:
            await world.wait_until_done(number, limit_s)
    stages = [
        {(await world.poll(number, label)).data.get("stage") for label in world.controllers}
        for number in numbers
    ]
    assert all(len(reported) == 1 for reported in stages), stages
    assert world.cloud.violations == []


async def retry_until_accepted(world: World, send: Any) -> Any:
    """Repeat a user's request, at one controller after another, until it succeeds."""
    for attempt in range(60):
        labels = [n for n in LABELS if n in world.controllers]
        if labels:
            reply = await send(labels[attempt % len(labels)])
            if reply.status in (200, 201):
                return reply
        await asyncio.sleep(1.0)
    raise AssertionError("no controller accepted the request within 60 attempts")
