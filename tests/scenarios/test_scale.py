"""A fleet of 4,000 machines and more: what is counted, kept and bounded. No times are measured."""

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
from spoolcourse.control.workers.machine_table import DELETED_NAMES_KEPT_S
from spoolcourse.wire.settings import Seed
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import World, job

FLEET = 4000
TEAMS = [{"name": "red", "cpus": 0.0, "cpus_max": 0.0}]


def listed(world: World, count: int, stage: str) -> list[str]:
    """Machines in the cloud's list that never report."""
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


async def test_a_fleet_of_thousands_found_at_the_start_is_kept_by_name() -> None:
    # What one value holds is a few hundred names; of a larger fleet none was noted, and machines
    # of the operators were returned as idle.
    small = {"rps": 200.0, "write_rps": 100.0, "value_kb": 2.0, "txn_ops": 4}
    world = World(params={"state": small, "teams": TEAMS})
    world.store.max_value_bytes, world.store.max_txn_ops = 2048, 4
    names = frozenset(listed(world, FLEET, "running"))
    await world.start_controllers()

    def base() -> Any:
        term = world.controllers[str(world.leader)].leader_term if world.leader else None
        return term.active.initial_machine_names() if term is not None and term.active else None

    await world.until(lambda: base() == names, 30)
    world.kill(str(world.leader))
    await world.until(lambda: base() is not None, 30)
    assert base() == names, "the next leader knows them too"
    assert world.store.oversized_count == 0


def test_parts_of_the_base_fleet_hold_each_name_once_in_the_known_form() -> None:
    names = [f"m-{number:06d}" for number in range(FLEET)]
    values = initial_machines_values(names, 2048)
    assert all(len(orjson.dumps(value)) <= 2048 for value in values)
    assert [name for value in values for name in value["machines"]] == names
    assert initial_machines_of(values[0]) == frozenset(values[0]["machines"]), (
        "as versions before read"
    )
    assert initial_machines_values([], 2048) == [{"machines": []}]


def test_names_of_deleted_machines_are_kept_by_age_and_not_by_number() -> None:
    # 5,000 names were remembered: with an hour's turnover of a large fleet a late heartbeat brought
    # a machine back that was gone.
    world = RegistryHarness()
    for number in range(2 * FLEET):
        world.registry.forget_deleted_machine(f"m-{number:06d}")
        world.now += 0.1
    assert world.heartbeat(spindle="m-000000") is None, "a late report of the first one"
    assert "m-000000" not in world.registry.machines
    world.now += DELETED_NAMES_KEPT_S
    world.registry.forget_deleted_machine("m-999999")
    assert list(world.registry.deleted_names) == ["m-999999"]


async def test_a_follower_remembers_all_workers_that_come_to_it_of_late() -> None:
    # All were forgotten at 10,000 names, gone ones among them.
    class LeaderNet:
        async def call(self, *args: Any, **options: Any) -> Response:
            return Response(200, {"baton": 1, "orders": []})

    relay = HeartbeatRelay(LeaderNet(), "n0", [Seed("n1", "n1:81")], heartbeat_interval_s=1.5)
    statuses = []
    for _ in range(2):
        for number in range(3 * FLEET):
            reply = await relay.handle(f"m-{number:06d}", b"{}", "n1", informed=True)
            statuses.append(reply.status)
    assert statuses == [200] * (3 * FLEET) + [421] * (3 * FLEET), "then sent to the leader"


async def test_machines_are_rented_and_deleted_at_the_clouds_pace() -> None:
    # 50 machines a pass and 100 deletions a second, whatever the cloud takes: a fleet of 4,000
    # would have come up, and been replaced, at the service's pace.
    world = World(params={"teams": TEAMS})
    world.cloud.capacity = 1700
    await world.start_controllers()
    failed = listed(world, 1200, "failed")
    world.cloud._created_count = len(failed)
    await world.submit(job(pieces=300, vcpus=8.0))
    await world.until(lambda: len(world.cloud.provisions) >= 6, 3)
    assert sum(len(names) for names in world.cloud.provisions.values()) >= 300
    await world.until(lambda: not set(failed) & set(world.cloud.hosts), 8)


def test_a_plan_for_thousands_of_machines_asks_for_whole_batches() -> None:
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
    assert [provision.count for provision in provisions] == [3], "no more than the tasks need"


def test_calls_at_once_grow_with_the_fleet_within_the_sockets() -> None:
    assert concurrent_call_limit(192, 200, 700) == 192
    assert concurrent_call_limit(192, FLEET, 0) == 500
    assert concurrent_call_limit(192, FLEET, 1500) == 300
    assert concurrent_call_limit(64, FLEET, 700) == 140


async def test_a_term_that_has_used_up_its_attempt_numbers_is_followed_by_another() -> None:
    # Beyond 2**24 they would have been the numbers of the next term: one number for two attempts.
    world = World()
    await world.start_controllers()
    first = world.controllers[str(world.leader)].leader_term
    world.active().scheduling._attempt_numbers._used = MAX_ATTEMPTS_PER_TERM - 2
    await world.submit(job(pieces=6))
    await world.wait_until_done()
    assert all(node.leader_term is not first for node in world.controllers.values())
    assert sorted(n for _, n, _ in world.cloud.starts) == [f"job-000001/{i}" for i in range(6)]
    assert world.cloud.violations == []


async def test_a_node_far_behind_reads_all_keys_instead_of_every_change() -> None:
    # A watch answers with every change since: after two minutes behind a cut that was 4,000
    # changes and 55 MB, and twice as many would have ended the controller for memory.
    world = World()
    largest = 0
    serve = world.store.serve

    async def counted(method: str, path: str, body: Any) -> Response:
        nonlocal largest
        reply = await serve(method, path, body)
        if path.startswith("/watch") and reply.status == 200:
            largest = max(largest, len(reply.data["log"]))
        return reply

    world.network.hosts["state:1"] = counted
    await world.start_controllers()
    away = next(label for label in world.controllers if label != world.leader)
    apart = "cut"
    world.network.filters.append(
        lambda src, dst, *rest: apart or None if (src, dst) == (away, "state:1") else None
    )
    await world.submit(job(1), str(world.leader))
    for number in range(3 * FLEET):
        world.store._apply([{"set": f"spoolcourse/other/{number}", "v": {}}])
        if number % 100 == 0:
            await asyncio.sleep(0.25)  # the other nodes keep up
    await world.wait_until_done(1)
    await world.submit(job(2, expectS=500.0), str(world.leader))
    apart = ""
    cache = world.controllers[away].watch_cache
    await world.until(lambda: cache.store_revision >= 3 * FLEET, 30)
    await world.until(lambda: world.controllers[away].health.healthy, 30)
    assert largest <= MAX_CHANGES_BEHIND
    assert (await world.poll(1, away)).data["stage"] == "done"
    assert (await world.poll(2, away)).status == 200
    assert world.cloud.violations == []


def test_a_pass_with_a_backlog_looks_at_each_full_machine_a_few_times() -> None:
    # Fleet times backlog would be 1.2 million looks at 4,000 machines and 300 waiting jobs.
    class Counted(list[PlacementMachine]):
        looks = 0

        def __getitem__(self, number: Any) -> Any:
            Counted.looks += 1
            return super().__getitem__(number)

        def __iter__(self) -> Iterator[PlacementMachine]:
            Counted.looks += len(self)
            return super().__iter__()

    machines = Counted(
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
    Counted.looks = 0
    jobs = [
        PlacementJob(20, 2.0, 0.0, 1.0, image=0, image_gb=0.0, team=0, estimate_s=10.0)
        for _ in range(300)
    ]
    plan = place(Snapshot(0.0, jobs, machines, [TeamBudget(inf, inf)], 1, 2, 16))
    assert [(d.job, d.machine, d.task_count) for d in plan.placements] == [(0, 7, 1)]
    assert len(plan.unplaced_tasks) == 300
    assert Counted.looks <= 4 * FLEET


def test_a_report_is_answered_without_a_look_at_other_machines() -> None:
    class Counted(dict[str, Machine]):
        walks = 0

        def __iter__(self) -> Iterator[str]:
            Counted.walks += 1
            return super().__iter__()

        def values(self) -> Any:
            Counted.walks += 1
            return super().values()

    world = RegistryHarness()
    for number in range(FLEET):
        world.registry.ensure_machine(f"m-{number:06d}")
    world.registry.machines = Counted(world.registry.machines)
    Counted.walks = 0
    assert world.heartbeat(spindle="m-003999") == []
    world.assign()
    commands = world.heartbeat(spindle="m-000000")
    assert commands is not None
    assert Counted.walks == 0
