"""Fleets of 4,000 machines and more: stored names, bounds and operation counts, no timings."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from math import inf
from typing import Any

import orjson

from spoolcourse.control.autoscaling.planner import JobDemand, Offer, plan_provisioning
from spoolcourse.control.http_client import Response
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    RunningTask,
    Snapshot,
    TeamBudget,
)
from spoolcourse.control.scheduling.attempt_numbers import MAX_ATTEMPTS_PER_TERM
from spoolcourse.control.store.records import initial_machines_of, initial_machines_values
from spoolcourse.control.store.watch_cache import MAX_CHANGES_BEHIND
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.heartbeat_relay import HeartbeatRelay
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import DELETED_NAME_RETENTION_S
from spoolcourse.wire.settings import Peer
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import World, job

FLEET = 4000
TEAMS = [{"name": "red", "cpus": 0.0, "cpus_max": 0.0}]


def list_machines(world: World, count: int, stage: str) -> list[str]:
    """Add machines to the cloud's list that never send heartbeats."""
    names = [f"m-{number:06d}" for number in range(count)]
    for name in names:
        world.cloud.hosts[name] = {
            "id": name,
            "address": f"{name}:9000",
            "build": "c8",
            "yard": "a",
            "loaners": False,
            "stage": stage,
        }
        world.cloud.created_at[name] = 0.0
    return names


async def test_names_of_thousands_of_initial_machines_are_stored() -> None:
    # One value holds a few hundred names. Of a larger fleet none was stored, and machines of the
    # operators were deleted as idle.
    small_limits = {"rps": 200.0, "write_rps": 100.0, "value_kb": 2.0, "txn_ops": 4}
    world = World(params={"state": small_limits, "teams": TEAMS})
    world.store.max_value_bytes, world.store.max_txn_ops = 2048, 4
    names = frozenset(list_machines(world, FLEET, "running"))
    await world.start_controllers()

    def initial_names() -> Any:
        term = world.controllers[str(world.leader)].leader_term if world.leader else None
        return term.active.initial_machine_names() if term is not None and term.active else None

    await world.until(lambda: initial_names() == names, 30)
    world.kill(str(world.leader))
    await world.until(lambda: initial_names() is not None, 30)
    assert initial_names() == names, "the next leader does not know them"
    assert world.store.oversized_count == 0


def test_initial_machine_names_are_split_into_values_that_old_versions_read() -> None:
    names = [f"m-{number:06d}" for number in range(FLEET)]
    values = initial_machines_values(names, 2048)
    assert all(len(orjson.dumps(value)) <= 2048 for value in values)
    assert [name for value in values for name in value["machines"]] == names
    assert initial_machines_of(values[0]) == frozenset(values[0]["machines"]), (
        "old versions read the first value only"
    )
    assert initial_machines_values([], 2048) == [{"machines": []}]


def test_names_of_deleted_machines_expire_by_age_not_by_count() -> None:
    # Only 5,000 names were remembered: within an hour's turnover of a large fleet, a late heartbeat
    # added a deleted machine again.
    harness = RegistryHarness()
    for number in range(2 * FLEET):
        harness.registry.forget_deleted_machine(f"m-{number:06d}")
        harness.now += 0.1
    assert harness.heartbeat(spindle="m-000000") is None, (
        "a late heartbeat of the first machine was accepted"
    )
    assert "m-000000" not in harness.registry.machines
    harness.now += DELETED_NAME_RETENTION_S
    harness.registry.forget_deleted_machine("m-999999")
    assert list(harness.registry.deleted_names) == ["m-999999"]


async def test_a_follower_remembers_every_worker_that_contacted_it_recently() -> None:
    # All were dropped at 10,000 names, including those of machines that no longer exist.
    class LeaderClient:
        async def call(self, *args: Any, **options: Any) -> Response:
            return Response(200, {"baton": 1, "orders": []})

    relay = HeartbeatRelay(LeaderClient(), "n0", [Peer("n1", "n1:81")], heartbeat_interval_s=1.5)
    statuses = []
    for _ in range(2):
        for number in range(3 * FLEET):
            reply = await relay.handle(f"m-{number:06d}", b"{}", "n1", leader_is_recent=True)
            statuses.append(reply.status)
    assert statuses == [200] * (3 * FLEET) + [421] * (3 * FLEET), (
        "from the second heartbeat on, workers are redirected to the leader"
    )


async def test_provisioning_and_deletion_are_limited_only_by_the_cloud() -> None:
    # Limits of 50 machines per pass and 100 deletions per second, whatever the cloud accepts, would
    # slow down provisioning and replacing a fleet of 4,000.
    world = World(params={"teams": TEAMS})
    world.cloud.capacity = 1700
    await world.start_controllers()
    failed = list_machines(world, 1200, "failed")
    world.cloud._created_count = len(failed)
    await world.submit(job(pieces=300, vcpus=8.0))
    await world.until(lambda: len(world.cloud.provisions) >= 6, 3)
    assert sum(len(names) for names in world.cloud.provisions.values()) >= 300
    await world.until(lambda: not set(failed) & set(world.cloud.hosts), 8)


def test_a_plan_for_thousands_of_machines_provisions_all_in_one_batch() -> None:
    offers = [Offer(0, 0, True, 8.0, 0.0, 64.0, price_per_hour=1.0, boot_s=10.0)]
    waiting = PlacementJob(9 * FLEET, 2.0, 0.0, 1.0, image=0, image_gb=0.0, team=0, estimate_s=10.0)
    fleet: list[PlacementMachine] = []
    provisions = plan_provisioning(
        [JobDemand(waiting, 9 * FLEET)], fleet, offers, 0.0, [1e9], max_machines=FLEET
    )
    assert [(provision.offer, provision.count) for provision in provisions] == [(offers[0], FLEET)]
    provisions = plan_provisioning(
        [JobDemand(waiting, 9)], fleet, offers, 0.0, [1e9], max_machines=FLEET
    )
    assert [provision.count for provision in provisions] == [3], (
        "provisions more than the tasks need"
    )


def test_concurrent_calls_grow_with_the_fleet_within_the_socket_limit() -> None:
    assert concurrent_call_limit(192, 200, 700) == 192
    assert concurrent_call_limit(192, FLEET, 0) == 500
    assert concurrent_call_limit(192, FLEET, 1500) == 300
    assert concurrent_call_limit(64, FLEET, 700) == 140


async def test_a_term_that_exhausts_its_attempt_numbers_is_followed_by_another() -> None:
    # Numbers beyond 2**24 belong to the next term: two attempts would have shared one number.
    world = World()
    await world.start_controllers()
    first = world.controllers[str(world.leader)].leader_term
    world.active().scheduling._attempt_numbers._used = MAX_ATTEMPTS_PER_TERM - 2
    await world.submit(job(pieces=6))
    await world.wait_until_done()
    assert all(controller.leader_term is not first for controller in world.controllers.values())
    assert sorted(n for _, n, _ in world.cloud.starts) == [f"job-000001/{i}" for i in range(6)]
    assert world.cloud.violations == []


async def test_a_controller_far_behind_reloads_all_keys_instead_of_every_change() -> None:
    # A watch returns every change since a revision: after two minutes of partition these were 4,000
    # changes and 55 MB; twice as many would have run the controller out of memory.
    world = World()
    max_changes = 0
    serve = world.store.serve

    async def serve_and_count(method: str, path: str, body: Any) -> Response:
        nonlocal max_changes
        reply = await serve(method, path, body)
        if path.startswith("/watch") and reply.status == 200:
            max_changes = max(max_changes, len(reply.data["log"]))
        return reply

    world.network.hosts["state:1"] = serve_and_count
    await world.start_controllers()
    lagging = next(label for label in world.controllers if label != world.leader)
    verdict = "cut"
    world.network.filters.append(
        lambda src, dst, *rest: verdict or None if (src, dst) == (lagging, "state:1") else None
    )
    await world.submit(job(1), str(world.leader))
    for number in range(3 * FLEET):
        world.store._apply([{"set": f"spoolcourse/other/{number}", "v": {}}])
        if number % 100 == 0:
            await asyncio.sleep(0.25)  # the other controllers keep up
    await world.wait_until_done(1)
    await world.submit(job(2, expectS=500.0), str(world.leader))
    verdict = ""
    cache = world.controllers[lagging].watch_cache
    await world.until(lambda: cache.store_revision >= 3 * FLEET, 30)
    await world.until(lambda: world.controllers[lagging].health.healthy, 30)
    assert max_changes <= MAX_CHANGES_BEHIND
    assert (await world.poll(1, lagging)).data["stage"] == "done"
    assert (await world.poll(2, lagging)).status == 200
    assert world.cloud.violations == []


def test_a_pass_with_a_backlog_reads_each_full_machine_a_few_times() -> None:
    # Fleet times backlog would be 1.2 million reads with 4,000 machines and 300 waiting jobs.
    class CountingList(list[PlacementMachine]):
        reads = 0

        def __getitem__(self, number: Any) -> Any:
            CountingList.reads += 1
            return super().__getitem__(number)

        def __iter__(self) -> Iterator[PlacementMachine]:
            CountingList.reads += len(self)
            return super().__iter__()

    machines = CountingList(
        PlacementMachine(
            machine_type=0,
            zone=0,
            spot=False,
            cpus=0.0,
            gpus=0.0,
            memory_gb=60.0,
            total_cpus=8.0,
            fetch_gb_per_s=1.0,
            tasks=[RunningTask(50.0, 8.0, 0.0, 4.0)],
        )
        for _ in range(FLEET)
    )
    machines[7].cpus = 2.0
    CountingList.reads = 0
    jobs = [
        PlacementJob(20, 2.0, 0.0, 1.0, image=0, image_gb=0.0, team=0, estimate_s=10.0)
        for _ in range(300)
    ]
    plan = place(Snapshot(0.0, jobs, machines, [TeamBudget(inf, inf)], 1, 2, 16))
    assert [(d.job, d.machine, d.task_count) for d in plan.placements] == [(0, 7, 1)]
    assert len(plan.unplaced_tasks) == 300
    assert CountingList.reads <= 4 * FLEET


def test_a_heartbeat_is_answered_without_iterating_over_machines() -> None:
    class CountingDict(dict[str, Machine]):
        iterations = 0

        def __iter__(self) -> Iterator[str]:
            CountingDict.iterations += 1
            return super().__iter__()

        def values(self) -> Any:
            CountingDict.iterations += 1
            return super().values()

    harness = RegistryHarness()
    for number in range(FLEET):
        harness.registry.ensure_machine(f"m-{number:06d}")
    harness.registry.machines = CountingDict(harness.registry.machines)
    CountingDict.iterations = 0
    assert harness.heartbeat(spindle="m-003999") == []
    harness.assign()
    commands = harness.heartbeat(spindle="m-000000")
    assert commands is not None
    assert CountingDict.iterations == 0
