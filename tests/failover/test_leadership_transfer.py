"""The operator's request to a leader to step down in favour of a caught-up standby."""

from __future__ import annotations

from spoolcourse.control.http_client import Response
from tests.fakes.failover import (
    STANDBY_ON,
    other_labels,
    standby_of,
    start_with_running_job,
    wait_for_failover,
)
from tests.fakes.world import World


async def request_transfer(world: World, label: str) -> Response:
    return await world.network.call("user", f"{label}:81", "POST", "/handover", None, 5.0)


async def test_leadership_goes_to_a_caught_up_standby_without_waiting_for_the_lease() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    follower = other_labels(former)[0]
    reply = await request_transfer(world, follower)
    assert reply.status == 421
    assert reply.data == {"error": f"{former} leads"}
    requested_at = world.now()
    reply = await request_transfer(world, former)
    assert reply.status == 200
    assert set(reply.data["successors"]) == set(other_labels(former))
    await wait_for_failover(world, former)
    assert world.now() - requested_at < 1.5, "the transfer waited for the lease to expire"
    await world.wait_until_done(1)
    assert world.cloud.violations == []


async def test_a_transfer_is_refused_with_reasons_if_no_standby_is_caught_up() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    dead, stale = other_labels(former)
    world.kill(dead)
    standby_of(world, stale)._mark_stale("a gap")
    reply = await request_transfer(world, former)
    assert reply.status == 409
    assert world.leader == former
    assert f"{dead} does not answer" in reply.data["error"]
    assert f"{stale} is not: its shadow is unfit: a gap" in reply.data["error"]
