"""Faults while the last controller is upgraded, also with lower limits of the key-value store."""

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

REFUSAL_LIMIT_S = 0.2  # for the reply to a submission that can't be accepted yet
ACCEPT_LIMIT_S = 5.0  # for a service to be accepted once nothing prevents it


async def world_with_one_old_follower(
    params: dict[str, Any] | None = None,
) -> tuple[World, Any, str]:
    """Return a world with one follower of the old version, its network filter, and its label.

    Removing the filter upgrades the follower.
    """
    world = World(params=params)
    world.cloud.run_s = lambda task: 10_000.0
    old_peer_filter = make_peers_old(world, LABELS[2])
    await world.start_controllers()
    if world.leader == LABELS[2]:
        world.kill(LABELS[2])
        await world.until(lambda: world.leader, 20)
        world.start(LABELS[2])
    for zone in ("a", "b"):
        world.cloud.add_machine(zone)
    await asyncio.sleep(5)
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    return world, old_peer_filter, LABELS[2]


async def assert_refused_promptly(world: World, label: str) -> None:
    began = world.now()
    reply = await world.submit(service(1), label)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) <= 2.0
    assert world.now() - began < REFUSAL_LIMIT_S


async def submit_until_accepted(world: World, label: str, limit_s: float = ACCEPT_LIMIT_S) -> None:
    """Submit a service each second until it is accepted."""
    began = world.now()
    while (await world.submit(service(1), label)).status != 201:
        assert world.now() - began < limit_s, "the service is still not accepted"
        await asyncio.sleep(1.0)


async def test_services_are_refused_until_the_version_of_an_unreachable_peer_is_known() -> None:
    world, old_peer_filter, _ = await world_with_one_old_follower()
    leader = str(world.leader)
    peer = next(n for n in LABELS[:2] if n != leader)
    world.cut_off(peer)
    cut = world.network.filters[-1]
    world.network.filters.remove(old_peer_filter)
    await assert_refused_promptly(world, leader)
    await asyncio.sleep(15)
    # The version of the peer that is cut off is still unknown.
    await assert_refused_promptly(world, leader)
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    world.network.filters.remove(cut)
    await submit_until_accepted(world, leader)
    await wait_for_replicas(world)
    assert world.cloud.violations == []


async def test_a_service_is_accepted_although_the_store_refuses_the_leader_in_an_upgrade() -> None:
    world, old_peer_filter, _ = await world_with_one_old_follower()
    leader = str(world.leader)
    world.network.filters.append(
        lambda src, dst, *rest: "503" if (src, dst) == (leader, "state:1") else None
    )
    world.network.stalled.add((leader, "state:1"))
    world.network.filters.remove(old_peer_filter)
    other = next(n for n in LABELS if n != leader)
    await assert_refused_promptly(world, other)
    # Another controller is elected and queries all three: the refused leader still replies.
    await submit_until_accepted(world, other, 2 * ACCEPT_LIMIT_S)
    await wait_for_replicas(world)
    assert (
        world.leader != leader or len([n for n in world.controllers.values() if n.leader_term]) == 2
    )
    assert world.cloud.violations == []


async def test_a_feature_level_written_late_under_another_leader_is_refused() -> None:
    world, old_peer_filter, _ = await world_with_one_old_follower()
    leader = str(world.leader)

    def hold_feature_level(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        sets_level = path == "/multi" and any(
            op.get("set") == FEATURE_LEVEL_KEY for op in body.get("apply", ())
        )
        return "hold" if sets_level and src == leader else None

    world.network.filters.append(hold_feature_level)
    world.network.filters.remove(old_peer_filter)
    await world.until(lambda: world.network.held, 10)
    assert (await world.submit(service(1), leader)).status == 503
    world.kill(leader)
    await world.until(lambda: world.leader, 20)
    # The successor can't query the controller that was killed; then the late write arrives.
    assert [reply.status for reply in await world.network.release()] == [409]
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    other = str(world.leader)
    assert (await world.submit(service(1), other)).status == 503
    world.start(leader)
    await submit_until_accepted(world, other, 2 * ACCEPT_LIMIT_S)
    assert world.store.value(FEATURE_LEVEL_KEY) == {"level": 2}


async def test_services_are_accepted_after_all_controllers_restart_on_the_new_level() -> None:
    world, old_peer_filter, _ = await world_with_one_old_follower()
    world.network.filters.remove(old_peer_filter)
    await submit_until_accepted(world, str(world.leader))
    for label in LABELS:
        world.kill(label)
    # The controllers can't query one another, and need not: the stored feature level is permanent.
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
async def test_jobs_and_services_survive_lower_store_limits_during_an_upgrade(moment: str) -> None:
    """A large job of the old version keeps running; new jobs and services run as well.

    The limits drop at the given moment. "The note" is the feature level in the key-value store.
    """

    lower_limits = with_upcoming_limits(value_kb=1.0, txn_ops=3, write_rps=40.0)
    world = World(params=lower_limits)
    world.cloud.run_s = lambda task: 10_000.0 if "job-000009" in task else 8.0
    world.cloud.capacity = 30
    store_large_job(world)
    old_peer_filter = make_peers_old(world, LABELS[2])
    await world.start_controllers()

    def lower_store_limits() -> None:
        world.store.max_value_bytes, world.store.max_txn_ops = 1024, 3

    await world.submit(job(2, pieces=40, vcpus=1.0, crew="blue"))
    await asyncio.sleep(3)
    if moment == "before the note":
        lower_store_limits()
        assert world.store.value(FEATURE_LEVEL_KEY) is None
    world.network.filters.remove(old_peer_filter)
    await world.until(lambda: world.store.value(FEATURE_LEVEL_KEY), 20)
    assert (await world.submit(service(9, pieces=3))).status == 201
    if moment == "in an outage":
        world.store.in_outage = True
        await asyncio.sleep(4)
        lower_store_limits()
        await asyncio.sleep(4)
        world.store.end_outage()
    if moment == "after a change of leader":
        world.kill(str(world.leader))
        await world.until(lambda: world.leader, 20)
        lower_store_limits()
    await wait_for_replicas(world, 9, 3, 90)
    await world.wait_until_done(1, 300)
    await world.wait_until_done(2, 300)
    assert world.store.oversized_count < 5, "oversized writes are repeated"
    new_values = [v for k, v in written_values(world) if "job-000001" not in k]
    assert max(len(orjson.dumps(v)) for v in new_values) <= 1024
    assert (await world.cancel(9, str(world.leader))).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000009"), 40)
    assert world.cloud.violations == []
