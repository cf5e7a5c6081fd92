"""Old and new versions side by side, and lower limits of the key-value store."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from spoolcourse.control.store.keys import FEATURE_LEVEL_KEY, TERM_KEY, job_key, progress_key
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.errors import UserError
from spoolcourse.wire.settings import parse_settings
from tests.fakes.services import service
from tests.fakes.upgrade import (
    OLD_JOB,
    OLD_PROGRESS,
    OLD_TERM,
    assert_old_version_can_read,
    make_peers_old,
    store_large_job,
    with_upcoming_limits,
    written_values,
)
from tests.fakes.world import LABELS, World, job, settings


async def test_the_new_version_reads_what_the_old_one_stored() -> None:
    record = JobRecord.from_value(OLD_JOB, 3)
    assert record.submission.task_count == 200
    assert not record.submission.is_service
    assert record.value() == OLD_JOB
    progress = Progress.from_value(OLD_PROGRESS)
    assert progress.done == 6
    assert progress.value() == OLD_PROGRESS

    world = World()
    world.cloud.run_s = lambda task: 5.0
    name = world.cloud.add_machine()
    state = world.store
    state._apply(
        [
            {"set": TERM_KEY, "v": OLD_TERM},
            {"set": job_key("job-000001"), "v": OLD_JOB},
            {"set": progress_key("job-000001", 0), "v": OLD_PROGRESS},
        ]
    )
    world.accepted_jobs["job-000001"] = job(pieces=200, vcpus=1.0)
    await world.start_controllers()
    await world.wait_until_done(1, 300)
    assert state.value(TERM_KEY)["term"] == 2
    started = [n for _, n, _ in world.cloud.starts]
    assert len(started) == 198, "two tasks were done before"
    assert "job-000001/1" not in started, "two tasks were done before"
    assert name
    assert world.cloud.violations == []


async def test_the_old_version_can_read_what_the_new_one_writes_during_an_upgrade() -> None:
    world = World()
    await world.start_controllers()
    old = next(n for n in LABELS if n != world.leader)
    old_peer_filter = make_peers_old(world, old)
    world.store._apply([{"delete": FEATURE_LEVEL_KEY}])
    for label in LABELS:
        world.kill(label)
    await world.start_controllers()
    await world.submit(job(1, pieces=60, vcpus=1.0))
    await world.submit(job(2))
    refused = await world.submit(service(3))
    assert refused.status == 503
    assert refused.headers["Retry-After"]
    await world.cancel(2)
    await world.wait_until_done(1, 200)
    assert world.store.value(FEATURE_LEVEL_KEY) is None
    for key, value in written_values(world):
        assert_old_version_can_read(key, value)
    # The last peer is upgraded: services are accepted from now on, whichever controller leads.
    world.network.filters.remove(old_peer_filter)
    await world.until(lambda: world.store.value(FEATURE_LEVEL_KEY), 30)
    await asyncio.sleep(1)
    assert (await world.submit(service(3))).status == 201
    make_peers_old(world, *LABELS)
    world.kill(str(world.leader))
    await world.until(lambda: world.leader, 10)
    leader = str(world.leader)
    assert (await world.submit(service(4), leader)).status == 201


def test_upcoming_store_limits_are_read_and_checked() -> None:
    assert settings().settings.state.lower_limits == settings().settings.state
    assert settings(**with_upcoming_limits()).settings.state.lower_limits.txn_ops == 24
    lower = settings(
        **with_upcoming_limits(value_kb=2.0, txn_ops=4, write_rps=150.0)
    ).settings.state.lower_limits
    assert (lower.value_kb, lower.txn_ops, lower.write_rps) == (2.0, 4, 100.0)
    for invalid in ({"value_kb": 0}, {"txn_ops": -1}, {"write_rps": "x"}, {"rps": 0.0}):
        with pytest.raises(UserError, match=r"state\.next"):
            settings(**with_upcoming_limits(**invalid))
    with pytest.raises(UserError):
        parse_settings(orjson.dumps({"label": "n0"}), "test")


@pytest.mark.parametrize("drop_after", [0.5, 6.0, 30.0])
async def test_an_old_job_finishes_when_store_limits_drop_below_its_chunk_size(
    drop_after: float,
) -> None:
    world = World(params=with_upcoming_limits(value_kb=1.0, txn_ops=3, write_rps=40.0))
    world.cloud.run_s = lambda task: 12.0
    world.cloud.capacity = 30
    store_large_job(world)
    await world.start_controllers()
    await world.submit(job(2, pieces=60, vcpus=1.0, crew="blue"))
    await asyncio.sleep(drop_after)
    world.store.max_value_bytes, world.store.max_txn_ops = 1024, 3
    await world.wait_until_done(1, 300)
    await world.wait_until_done(2, 300)
    assert world.store.oversized_count < 5, "oversized writes are repeated"
    largest = max(len(orjson.dumps(v)) for k, v in written_values(world) if "/job-000002" in k)
    assert largest <= 1024
    assert world.cloud.violations == []


async def test_a_job_too_large_to_be_stored_is_refused() -> None:
    world = World(params=with_upcoming_limits(value_kb=0.5))
    await world.start_controllers()
    assert (await world.submit(job(1, bundle="i" * 200, lane="l" * 100))).status == 422
    assert (await world.submit(job(2))).status == 201


@pytest.mark.parametrize("replies_lost", [False, True])
async def test_tasks_survive_leadership_moving_between_old_and_new_versions(
    replies_lost: bool,
) -> None:
    # The test itself makes the old leaders' writes, in the form that the old version stores.
    world = World()
    world.cloud.run_s = lambda task: 60.0
    await world.start_controllers()
    for number in (1, 2):
        await world.submit(job(number))
    await world.until(lambda: len(world.cloud.starts) == 8, 60)
    await asyncio.sleep(3)
    for old_leader in range(2):
        for label in LABELS:
            world.kill(label)
        await asyncio.sleep(0.5)
        state = world.store
        term = state.value(TERM_KEY)["term"] + 1
        changes = [{"set": TERM_KEY, "v": {"term": term, "run": f"old{old_leader}", "hold": 1}}]
        if old_leader == 0:  # the old leader accepts a cancellation
            value = dict(state.value(job_key("job-000002")))
            changes.append({"set": job_key("job-000002"), "v": value | {"aborted": world.now()}})
            world.cancel_confirmed_at["job-000002"] = world.now()
            world.final_stages["job-000002"] = "aborted"
        # The old leader writes progress again, as it does after a failover.
        key = progress_key("job-000001", 0)
        progress = state.value(key)
        assert_old_version_can_read(key, progress)
        changes.append({"set": key, "v": {"held": progress["held"], "done": progress["done"]}})
        state._apply(changes)
        if replies_lost:
            world.network.filters.append(
                lambda src, dst, method, path, body: (
                    "lose" if path == "/multi" and (body or {}).get("apply") else None
                )
            )
        await world.start_controllers()
        assert world.store.value(TERM_KEY)["term"] > term
        await asyncio.sleep(6)
        world.network.filters.clear()
        await world.until(lambda: not world.cloud.running_tasks("job-000002"), 40)
    await world.wait_until_done(1, 120)
    assert len(world.cloud.starts) == 8
    assert world.cloud.violations == []
    for key, value in written_values(world):
        assert_old_version_can_read(key, value)
