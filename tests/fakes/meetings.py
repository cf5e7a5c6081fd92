"""Steps that several scenarios of overlapping troubles take."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.world import LABELS, World


async def shift_leader(world: World, back_s: float) -> None:
    """The leader ends and comes back after a while."""
    first = str(world.leader)
    world.kill(first)
    await asyncio.sleep(back_s)
    world.start(first)
    await world.until(lambda: world.leader, 30)


async def ended(world: World, numbers: Any, limit: float = 180.0) -> None:
    """Every job is final on every node, and nothing was broken on the way."""
    for number in numbers:
        name = f"job-{number:06d}"
        if name in world.cancelled:
            await world.until(lambda name=name: not world.cloud.on_machines(name), limit)
        else:
            await world.finish(number, limit)
    stages = [
        {(await world.poll(number, label)).data.get("stage") for label in world.nodes}
        for number in numbers
    ]
    assert all(len(found) == 1 for found in stages), stages
    assert world.cloud.broken == []


async def insist(world: World, ask: Any) -> Any:
    """As users do: again, at another node, until there is an answer."""
    for attempt in range(60):
        labels = [n for n in LABELS if n in world.nodes]
        if labels:
            reply = await ask(labels[attempt % len(labels)])
            if reply.status in (200, 201):
                return reply
        await asyncio.sleep(1.0)
    raise AssertionError("no answer in time")
