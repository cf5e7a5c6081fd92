"""Services as users submit them."""

from __future__ import annotations

from typing import Any

from tests.fakes.world import World, job


def service(number: int = 1, **fields: Any) -> dict[str, Any]:
    return job(
        number,
        **{"shape": "standing", "pieces": 2, "expectS": 0.0, "rank": "prod", "loaners": False}
        | fields,
    )


async def served(world: World, number: int = 1, count: int = 2, limit: float = 60.0) -> float:
    name = f"job-{number:06d}"
    return await world.until(lambda: len(world.cloud.on_machines(name)) == count, limit)
