"""Troubles in the seconds in which the last controller turns new, and lower limits with them."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from spoolcourse.control.store.keys import FEATURE_LEVEL_KEY
from tests.fakes.services import service, wait_for_replicas
from tests.fakes.upgrade import (
    make_peers_old,
    store_large_job,
    with_upcoming_limits,
    written_values,
)
from tests.fakes.world import LABELS, World, job

PROMPT_S = 0.2  # a submission that can't be taken yet is answered within it
SOON_S = 5.0  # a service is taken so soon after nothing stands in the way any more


async def upgraded_but_one(params: dict[str, Any] | None = None) -> tuple[World, Any, str]:
    """Three controllers; a follower is still old. The world, its turn, and its name."""
    world = World(params=params)
    world.cloud.run_s = lambda task: 10_000.0
    old = make_peers_old(world, LABELS[2])
    await world.start_controllers()
    if world.leader == LABELS[2]:
        world.kill(LABELS[2])
        await world.until(lambda: world.leader, 20)
        world.start(LABELS[2])
    for yard in ("a", "b"):
        world.cloud.add_machine(yard)
    await asyncio.sleep(5)
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    return world, old, LABELS[2]


async def refused_at_once(world: World, label: str) -> None:
    began = world.now()
    reply = await world.submit(service(1), label)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) <= 2.0
    assert world.now() - began < PROMPT_S


async def taken(world: World, label: str, limit: float = SOON_S) -> None:
    """Its user repeats the submission each second, as users do."""
    began = world.now()
    while (await world.submit(service(1), label)).status != 201:
        assert world.now() - began < limit, "the service is still not taken"
        await asyncio.sleep(1.0)


async def test_a_service_comes_as_the_last_controller_turns_new_and_a_peer_is_cut_off() -> None:
    world, turn, _ = await upgraded_but_one()
    leader = str(world.leader)
    peer = next(n for n in LABELS[:2] if n != leader)
    world.cut_off(peer)
    cut = world.network.filters[-1]
    world.network.filters.remove(turn)
    await refused_at_once(world, leader)
    await asyncio.sleep(15)
    await refused_at_once(world, leader)  # nobody can say of the one cut off what it is
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    world.network.filters.remove(cut)
    await taken(world, leader)
    await wait_for_replicas(world)
    assert world.cloud.violations == []


async def test_a_service_comes_as_the_last_controller_turns_new_and_the_leader_is_refused() -> None:
    world, turn, _ = await upgraded_but_one()
    leader = str(world.leader)
    world.network.filters.append(
        lambda src, dst, *rest: "503" if (src, dst) == (leader, "state:1") else None
    )
    world.network.stalled.add((leader, "state:1"))
    world.network.filters.remove(turn)
    other = next(n for n in LABELS if n != leader)
    await refused_at_once(world, other)
    # The others elect one of them, which asks all three again: the refused one still answers.
    await taken(world, other, 2 * SOON_S)
    await wait_for_replicas(world)
    assert (
        world.leader != leader or len([n for n in world.controllers.values() if n.leader_term]) == 2
    )
    assert world.cloud.violations == []


async def test_the_note_that_all_are_new_is_carried_out_late_under_another_leader() -> None:
    world, turn, _ = await upgraded_but_one()
    leader = str(world.leader)

    def held(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        noted = path == "/multi" and any(
            op.get("set") == FEATURE_LEVEL_KEY for op in body.get("apply", ())
        )
        return "hold" if noted and src == leader else None

    world.network.filters.append(held)
    world.network.filters.remove(turn)
    await world.until(lambda: world.network.held, 10)
    assert (await world.submit(service(1), leader)).status == 503
    world.kill(leader)
    await world.until(lambda: world.leader, 20)
    # The successor can't ask the one that has ended; then the late note arrives.
    assert [reply.status for reply in await world.network.release()] == [409]
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    other = str(world.leader)
    assert (await world.submit(service(1), other)).status == 503
    world.start(leader)
    await taken(world, other, 2 * SOON_S)
    assert world.store.value(FEATURE_LEVEL_KEY) == {"level": 2}


async def test_all_controllers_restart_right_after_the_note() -> None:
    world, turn, _ = await upgraded_but_one()
    world.network.filters.remove(turn)
    await taken(world, str(world.leader))
    for label in LABELS:
        world.kill(label)
    # They can't ask one another, nor need they: what is noted stays true.
    world.network.filters.append(
        lambda src, dst, *rest: "cut" if dst.endswith(":81") and src in LABELS else None
    )
    await asyncio.sleep(1)
    await world.start_controllers()
    for number, label in enumerate(LABELS, 2):
        assert (await world.submit(service(number), label)).status == 201
        assert (await world.poll(1, label)).status == 200
    await world.until(lambda: len(world.cloud.running_tasks("job-00000")) == 0, 1)
    for number in range(1, 5):
        await wait_for_replicas(world, number)
    assert world.cloud.violations == []


@pytest.mark.parametrize("moment", ["before the note", "in an outage", "after a change of leader"])
async def test_limits_drop(moment: str) -> None:
    """A large job of the old version runs all the while; new jobs and services go on."""

    lower = with_upcoming_limits(value_kb=1.0, txn_ops=3, write_rps=40.0)
    world = World(params=lower)
    world.cloud.run_s = lambda task: 10_000.0 if "job-000009" in task else 8.0
    world.cloud.capacity = 30
    store_large_job(world)
    turn = make_peers_old(world, LABELS[2])
    await world.start_controllers()

    def drop() -> None:
        world.store.max_value_bytes, world.store.max_txn_ops = 1024, 3

    await world.submit(job(2, pieces=40, vcpus=1.0, crew="blue"))
    await asyncio.sleep(3)
    if moment == "before the note":
        drop()
        assert world.store.value(FEATURE_LEVEL_KEY) is None
    world.network.filters.remove(turn)
    await world.until(lambda: world.store.value(FEATURE_LEVEL_KEY), 20)
    assert (await world.submit(service(9, pieces=3))).status == 201
    if moment == "in an outage":
        world.store.in_outage = True
        await asyncio.sleep(4)
        drop()
        await asyncio.sleep(4)
        world.store.end_outage()
    if moment == "after a change of leader":
        world.kill(str(world.leader))
        await world.until(lambda: world.leader, 20)
        drop()
    await wait_for_replicas(world, 9, 3, 90)
    await world.wait_until_done(1, 300)
    await world.wait_until_done(2, 300)
    assert world.store.oversized_count < 5, "nothing is tried again and again"
    fresh = [v for k, v in written_values(world) if "job-000001" not in k]
    assert max(len(orjson.dumps(v)) for v in fresh) <= 1024
    assert (await world.cancel(9, str(world.leader))).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000009"), 40)
    assert world.cloud.violations == []
