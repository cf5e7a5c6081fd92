"""Capacity reserve: on-demand machines kept for services."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.fakes.services import service, wait_for_replicas
from tests.fakes.world import World, job


async def after_scale_in(policy: dict[str, object]) -> tuple[World, str]:
    """Runs two replicas and other work on eight on-demand machines until after scale-in.

    Returns:
        The world and a machine that runs a replica.
    """
    world = World(policy=policy)
    world.cloud.run_s = lambda task: 10_000.0 if "job-000001" in task else 20.0
    world.cloud.boot_s = 30.0
    world.cloud.capacity = 8
    await world.start_controllers()
    for zone in "aaaabbbb":
        world.cloud.add_machine(zone)
    await asyncio.sleep(3)
    # Each replica needs a whole machine, so no two share one.
    assert (await world.submit(service(vcpus=8.0, scatter=True))).status == 201
    await world.submit(job(2, pieces=24))
    await wait_for_replicas(world)
    await asyncio.sleep(200)
    replica_machine = next(w.name for w in world.cloud.workers.values() if w.tasks)
    return world, replica_machine


@pytest.mark.parametrize("spares", [0, 1])
async def test_a_spare_machine_in_each_zone_takes_the_replicas_of_a_lost_machine(
    spares: int,
) -> None:
    world, replica_machine = await after_scale_in({"service_spares": spares, "headroom": 0.1})
    zones = [w.host["yard"] for w in world.cloud.workers.values()]
    assert sorted(zones) == ["a"] * (1 + spares) + ["b"] * (1 + spares)
    world.cloud.lose_machine(replica_machine)
    restart_s = await wait_for_replicas(world, 1, 2, 90)
    assert restart_s < 15 if spares else restart_s > 30, (
        "replicas must wait for a boot only if there is no spare machine"
    )
    assert world.cloud.violations == []


async def test_other_work_runs_on_the_reserve_until_a_replica_needs_it() -> None:
    world, replica_machine = await after_scale_in({"service_spares": 1, "headroom": 0.1})
    world.cloud.run_s = lambda task: 10_000.0
    await world.submit(job(3, pieces=8, loaners=False))
    await world.until(lambda: len(world.cloud.running_tasks("job-000003")) == 8, 60)
    world.cloud.lose_machine(replica_machine)
    assert await wait_for_replicas(world, 1, 2, 60) < 15
    assert world.cloud.violations == []


async def test_no_machine_is_reserved_for_services_that_may_run_on_spot_machines() -> None:
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    await world.start_controllers()
    for zone in "aabb":
        world.cloud.add_machine(zone)
    await asyncio.sleep(3)
    body: dict[str, Any] = service(loaners=True)
    assert (await world.submit(body)).status == 201
    await wait_for_replicas(world)
    assert world.active().autoscaler.service_reserve.reserved_machines() == set()
