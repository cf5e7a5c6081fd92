"""Submissions of services, and waiting for their replicas."""

from __future__ import annotations

from typing import Any

from tests.fakes.world import World, job


def service(number: int = 1, **fields: Any) -> dict[str, Any]:
    return job(
        number,
        **{"shape": "standing", "pieces": 2, "expectS": 0.0, "rank": "prod", "loaners": False}
        | fields,
    )


async def wait_for_replicas(
    world: World, number: int = 1, count: int = 2, limit_s: float = 60.0
) -> float:
    name = f"job-{number:06d}"
    return await world.until(lambda: len(world.cloud.running_tasks(name)) == count, limit_s)
