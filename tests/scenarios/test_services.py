"""Services: replicas that run until their job is cancelled."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.http_client import Request
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    RunningTask,
    Snapshot,
    TeamBudget,
)
from tests.fakes.registry import RegistryHarness, task_entry
from tests.fakes.services import service, wait_for_replicas
from tests.fakes.world import LABELS, World, job


async def world_with_running_service(**fields: Any) -> World:
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    world.cloud.capacity = 20
    await world.start_controllers()
    for zone in ("a", "b"):
        world.cloud.add_machine(zone)
    await asyncio.sleep(5)
    assert (await world.submit(service(**fields))).status == 201
    await wait_for_replicas(world, 1, fields.get("pieces", 2))
    return world


async def test_a_service_runs_until_it_is_cancelled_and_costs_no_writes() -> None:
    world = await world_with_running_service(scatter=True)
    await asyncio.sleep(3)
    transaction_count = len(world.store.transactions)
    await asyncio.sleep(100)
    assert len(world.store.transactions) <= transaction_count + 1
    for label in LABELS:
        reply = await world.poll(1, label)
        assert (reply.data["stage"], reply.data["done"]) == ("running", 0)
    leader = world.controllers[str(world.leader)]
    text = leader.cluster_handler(Request("GET", "/metrics")).data.decode()  # type: ignore[union-attr]
    assert "spoolcourse_services 1.0" in text
    assert "spoolcourse_replicas_missing 0.0" in text
    assert len(world.cloud.starts) == 2
    assert (await world.cancel(1, "n1")).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000001"), 40)
    await asyncio.sleep(5)
    for label in LABELS:
        assert (await world.poll(1, label)).data["stage"] == "aborted"
    assert world.cloud.violations == []


async def test_a_service_that_can_never_run_is_refused() -> None:
    world = World()
    await world.start_controllers()
    await asyncio.sleep(3)
    for body, status in (
        (service(pieces=17, crew="blue"), 422),  # 34 CPUs at once
        (service(pieces=16, crew="blue"), 201),
        (service(2, pieces=1, gpus=1.0), 422),
        (service(3, scatter=True, yard="a"), 422),
        (service(3, scatter=True, oneZone=True), 422),
        (service(3, scatter=True, oneZone=True, pieces=1), 201),
        (service(4, vcpus=9.0), 422),
        (service(5, shape="group"), 400),
        ({k: v for k, v in service(6).items() if k != "expectS"}, 400),
        (job(7, scatter=True, yard="a"), 201),  # an array can run one half after the other
    ):
        assert (await world.submit(body)).status == status, body


@pytest.mark.parametrize("cause", ["done", "error", "halted"])
def test_a_replica_that_ends_runs_again_after_a_bounded_backoff(cause: str) -> None:
    harness = RegistryHarness(shape="standing", rank="prod", pieces=2)
    harness.heartbeat()
    backoffs_s = []
    for number in range(1, 12):
        harness.assign(0, number)
        harness.heartbeat()
        harness.heartbeat(task_entry(0, number))
        harness.heartbeat(task_entry(0, number, stage="ended", cause=cause))
        assert harness.job_state.done_count == 0
        assert harness.job_state.pending_count == 2
        assert not harness.job_state.is_finished
        backoffs_s.append(harness.job_state.backoff_until - harness.now)
        harness.mark_persisted()
        harness.heartbeat()
        harness.now += 30.0
    assert backoffs_s[0] <= 0, "the first restart is not immediate"
    if cause != "halted":
        assert backoffs_s[3] > 0
        assert max(backoffs_s) <= 10.0
        harness.assign(0, 20)
        harness.heartbeat()
        harness.heartbeat(task_entry(0, 20))
        harness.now += 25.0
        harness.heartbeat(task_entry(0, 20))
        assert harness.job_state.consecutive_failures == 0, (
            "a replica that keeps running does not reset the failures"
        )


def test_an_ended_replica_is_acknowledged_to_its_worker() -> None:
    harness = RegistryHarness(shape="standing")
    harness.heartbeat()
    harness.assign()
    harness.heartbeat()
    harness.heartbeat(task_entry())
    reap = {"verb": "reap", "piece": "job-000001/0", "try": 1}
    assert harness.heartbeat(task_entry(stage="ended", cause="done")) == [reap]


def test_no_reservation_counts_on_resources_of_a_running_service() -> None:
    def machine(*task_ends: float) -> PlacementMachine:
        tasks = [RunningTask(end, 8.0, 0.0, 8.0) for end in task_ends]
        return PlacementMachine(
            machine_type=0,
            zone=0,
            spot=False,
            cpus=8.0 - 8.0 * len(tasks),
            gpus=0.0,
            memory_gb=32.0,
            total_cpus=8.0,
            fetch_gb_per_s=1.0,
            tasks=tasks,
        )

    def snapshot(*machines: PlacementMachine) -> Snapshot:
        jobs = [
            PlacementJob(1, 8.0, 0.0, 8.0, 0, 0.0, 0, 10.0),
            PlacementJob(1, 4.0, 0.0, 4.0, 0, 0.0, 0, float("inf")),
        ]
        return Snapshot(0.0, jobs, list(machines), [TeamBudget(100.0, 0.0)], 1, 2, 16)

    plan = place(snapshot(machine(float("inf"))))
    assert plan.head == 0
    assert plan.shadow_time is None
    plan = place(snapshot(machine(float("inf")), machine(50.0)))
    assert plan.shadow_time == 50.0


async def test_a_lost_replica_restarts_elsewhere_within_its_zone_rules() -> None:
    world = await world_with_running_service(pieces=4, scatter=True)
    for _ in range(3):
        world.cloud.lose_machine(world.cloud.starts[-1][2])
        assert await wait_for_replicas(world, 1, 4, 60) < 25
        assert world.cloud.violations == []


async def test_on_a_termination_notice_one_replica_moves_at_a_time() -> None:
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    world.cloud.capacity = 6
    await world.start_controllers()
    for zone in ("a", "a", "b", "b"):
        world.cloud.add_machine(zone, spot=True)
    await asyncio.sleep(5)
    assert (await world.submit(service(pieces=4, loaners=True, vcpus=4.0))).status == 201
    await wait_for_replicas(world, 1, 4)
    await asyncio.sleep(3)
    with_notice = sorted({machine for _, _, machine in world.cloud.starts})
    fewest_running = 4
    for name in with_notice:
        world.cloud.workers[name].termination_notice_s = 25.0
        world.cloud.workers[name]._changed.set()
    for _ in range(250):
        await asyncio.sleep(0.1)
        for name in with_notice:
            if name in world.cloud.workers:
                world.cloud.workers[name].termination_notice_s = 24.0
        fewest_running = min(fewest_running, len(world.cloud.running_tasks("job-000001")))
        if {m for _, n, m in world.cloud.starts[4:]} and len(world.cloud.starts) >= 8:
            break
    assert fewest_running >= 3, "more than one replica is missing at once"
    assert len(world.cloud.starts) >= 6
    assert world.cloud.violations == []


async def test_on_a_termination_notice_a_replica_stays_until_a_machine_has_room() -> None:
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    world.cloud.capacity = 2
    for zone in ("a", "b"):
        world.cloud.add_machine(zone)
    await asyncio.sleep(1)
    await world.start_controllers()
    await asyncio.sleep(5)
    # One replica fills a machine: there is no room for a second one.
    assert (await world.submit(service(vcpus=8.0))).status == 201
    await wait_for_replicas(world)
    worker = world.cloud.workers[world.cloud.starts[0][2]]
    began = world.now()

    def give_notice(left_s: float) -> None:
        worker.termination_notice_s = left_s
        worker._changed.set()

    while world.now() - began < 20.0:
        give_notice(25.0 - (world.now() - began))
        await asyncio.sleep(0.5)
        assert len(world.cloud.running_tasks("job-000001")) == 2
    world.cloud.capacity = 3
    world.cloud.add_machine("a")
    await world.until(lambda: len(world.cloud.starts) == 3, 20)
    assert world.cloud.violations == []


async def test_a_service_survives_a_failover_and_a_store_outage() -> None:
    world = await world_with_running_service()
    world.kill(str(world.leader))
    await world.until(lambda: world.leader, 10)
    await asyncio.sleep(5)
    world.store.in_outage = True
    await asyncio.sleep(25)
    world.store.end_outage()
    await asyncio.sleep(10)
    assert len(world.cloud.starts) == 2
    assert world.cloud.violations == []


async def test_a_service_survives_a_zone_that_is_cut_off() -> None:
    world = await world_with_running_service(pieces=4, scatter=True)
    names = [n for n, w in world.cloud.workers.items() if w.host["yard"] == "b"]
    for name in names:
        world.cut_off(name)
    await asyncio.sleep(25)
    assert len(world.cloud.running_tasks("job-000001")) >= 2
    world.network.filters.clear()
    await wait_for_replicas(world, 1, 4, 40)
    assert world.cloud.violations == []


@pytest.mark.parametrize("wait_s", [0.0, 0.3, 0.8, 1.5, 3.0])
async def test_a_cancellation_wins_over_the_end_or_the_move_of_a_replica(wait_s: float) -> None:
    world = await world_with_running_service()
    world.cloud.run_s = lambda task: 0.5
    name = world.cloud.starts[0][2]
    world.cloud.workers[name].termination_notice_s = 25.0
    world.cloud.workers[name]._changed.set()
    other = world.cloud.workers[world.cloud.starts[1][2]]
    for task in other.tasks.values():
        task.stage, task.cause = "ended", "done"
    other._changed.set()
    await asyncio.sleep(wait_s)
    assert (await world.cancel(1, "n2")).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000001"), 40)
    await asyncio.sleep(20)
    assert world.cloud.running_tasks("job-000001") == []
    for label in LABELS:
        assert (await world.poll(1, label)).data["stage"] == "aborted"
    assert world.cloud.violations == []
