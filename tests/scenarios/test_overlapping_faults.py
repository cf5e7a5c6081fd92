"""Two faults at the same time: see the table in docs/design.md."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.fakes.scenario_steps import restart_leader, retry_until_accepted, wait_until_jobs_end
from tests.fakes.world import LABELS, World, job


@pytest.mark.parametrize("with_outage", [False, True])
async def test_jobs_finish_despite_ten_failovers_in_two_minutes(with_outage: bool) -> None:
    world = World()
    world.cloud.run_s = lambda task: 45.0 if task.endswith("/0") else 12.0
    await world.start_controllers()
    for number in range(1, 7):
        await world.submit(job(number, pieces=3, crew="blue"))
    await asyncio.sleep(12)
    for failover in range(10):
        if with_outage and failover in (3, 4, 5):
            world.store.in_outage = True
        former = str(world.leader) if world.leader else LABELS[failover % 3]
        world.kill(former)
        await asyncio.sleep((0.3, 0.9, 6.0)[failover % 3])
        world.start(former)
        await asyncio.sleep(5.0)
        if with_outage and failover == 5:
            world.store.end_outage()
        if failover == 7:
            await retry_until_accepted(world, lambda label: world.cancel(2, label))
        await asyncio.sleep(1.0)
    await world.until(lambda: world.leader, 30)
    await wait_until_jobs_end(world, range(1, 7))


async def test_a_team_keeps_its_limit_when_the_new_leader_cannot_reach_its_machines() -> None:
    world = World()
    world.cloud.run_s = lambda task: 300.0
    world.cloud.capacity = 12
    world.cloud.lease_s = 25.0  # long, so that tasks of unreachable machines count for long
    await world.start_controllers()
    for number in (1, 2):
        await world.submit(job(number, crew="blue", pieces=8))
    await world.until(lambda: len(world.cloud.starts) == 16, 60)
    unreachable = sorted({machine for _, _, machine in world.cloud.starts})[:2]
    for name in unreachable:
        world.cut_off(name)
    world.kill(str(world.leader))
    await retry_until_accepted(world, lambda label: world.cancel(1, label))
    await retry_until_accepted(
        world, lambda label: world.submit(job(3, crew="blue", pieces=16), label)
    )
    await world.until(lambda: world.leader, 30)
    await asyncio.sleep(120)
    assert world.cloud.violations == []
    running = len(world.cloud.running_tasks("job-000002")) + len(
        world.cloud.running_tasks("job-000003")
    )
    assert running == 16, "the team does not use its whole limit again"


async def test_no_task_runs_twice_when_tasks_end_before_and_after_failovers() -> None:
    world = World()
    world.cloud.run_s = lambda task: (3.0, 18.0, 60.0)[int(task[-1])]
    await world.start_controllers()
    for number in (1, 2, 3):
        await world.submit(job(number, pieces=3))
    await world.until(lambda: len(world.cloud.starts) == 9, 60)
    await asyncio.sleep(4)
    await restart_leader(world, 0.2)
    await asyncio.sleep(18)
    await restart_leader(world, 8.0)
    await wait_until_jobs_end(world, (1, 2, 3))
    assert len(world.cloud.starts) == 9, "a task was started again"


async def test_jobs_with_zone_constraints_finish_after_losing_machines() -> None:
    world = World()
    world.cloud.run_s = lambda task: 20.0
    await world.start_controllers()
    for zone in ("a", "b"):  # each machine has room for half of the first job
        world.cloud.add_machine(zone)
    await asyncio.sleep(4)
    await world.submit(job(1, pieces=8, oneZone=True))
    await world.submit(job(2, pieces=8, scatter=True))
    await world.submit(job(3, pieces=4, oneZone=True, yard="b", crew="blue"))
    await world.until(lambda: len(world.cloud.starts) >= 16, 90)
    for name in ("job-000001", "job-000002", "job-000003"):
        machine = next(m for _, n, m in world.cloud.starts if n.startswith(name))
        if machine in world.cloud.hosts:
            world.cloud.lose_machine(machine)
    unreachable = next(m for _, n, m in reversed(world.cloud.starts) if m in world.cloud.hosts)
    world.cut_off(unreachable)
    await restart_leader(world, 0.5)
    await wait_until_jobs_end(world, (1, 2, 3))


@pytest.mark.parametrize("wait_s", [x / 8 for x in range(16)])
async def test_concurrent_user_requests_get_one_outcome_as_the_last_task_ends(
    wait_s: float,
) -> None:
    world = World()
    world.cloud.run_s = lambda task: 5.0
    world.network.delay_s = 0.08  # so that concurrent requests overlap for a while
    await world.start_with_machine()
    await world.submit(job(pieces=2))
    await world.until(lambda: len(world.cloud.starts) == 2, 60)
    await asyncio.sleep(4.5 + wait_s)
    await asyncio.gather(
        world.cancel(1, "n0"),
        world.poll(1, "n1"),
        world.submit(job(pieces=2), "n2"),
        world.cancel(1, "n2"),
        world.poll(1, "n0"),
    )
    for _ in range(12):
        for label in LABELS:
            await world.poll(1, label)
            await world.submit(job(pieces=2), label)
        await asyncio.sleep(0.5)
    assert world.final_stages["job-000001"] in ("done", "aborted")
    assert world.cloud.violations == []


@pytest.mark.parametrize("leader_inside", [False, True])
async def test_jobs_end_after_a_zone_with_a_controller_was_cut_off_for_over_a_lease(
    leader_inside: bool,
) -> None:
    world = World()
    world.cloud.run_s = lambda task: 40.0
    await world.start_controllers()
    await world.submit(job(1, pieces=8, scatter=True))
    await world.submit(job(2, pieces=4, oneZone=True))
    await world.until(lambda: len(world.cloud.starts) == 12, 90)
    leader = str(world.leader)
    isolated = leader if leader_inside else next(n for n in LABELS if n != leader)

    def inside(end: str) -> bool:
        worker = world.cloud.workers.get(end)
        return end == isolated or (worker is not None and worker.host["yard"] == "b")

    world.network.filters.append(
        lambda src, dst, *rest: (
            "hold" if inside(src) != inside(dst.split(":")[0]) and src != "user" else None
        )
    )
    world.network.stalled.add((isolated, "state:1"))
    await asyncio.sleep(3)
    other = next(n for n in LABELS if n != isolated)
    await world.cancel(2, other)
    await asyncio.sleep(30)
    world.network.filters.clear()
    world.network.stalled.clear()
    for dst, method, path, body in world.network.held:
        if dst in world.network.hosts:
            await world.network.hosts[dst](method, path, body)
    await wait_until_jobs_end(world, (1, 2))


async def test_jobs_end_after_all_controllers_were_down_for_longer_than_a_lease() -> None:
    world = World()
    world.cloud.run_s = lambda task: 30.0
    await world.start_controllers()
    await world.submit(job(1, pieces=6))
    await world.submit(job(2, pieces=6, crew="blue"))
    await world.until(lambda: len(world.cloud.starts) == 12, 60)
    for label in LABELS:
        world.kill(label)
    await asyncio.sleep(25)
    await world.start_controllers()
    await retry_until_accepted(world, lambda label: world.cancel(2, label))
    await wait_until_jobs_end(world, (1, 2))


async def test_user_requests_are_answered_in_time_while_the_key_value_store_is_slow() -> None:
    world = World()
    world.cloud.run_s = lambda task: 20.0
    await world.start_controllers()
    serve = world.store.serve

    async def serve_slowly(method: str, path: str, body: Any) -> Any:
        if not path.startswith("/watch") or "blockMs=0" in path:
            await asyncio.sleep(0.7)
        return await serve(method, path, body)

    world.network.hosts["state:1"] = serve_slowly
    for number in range(1, 9):
        body = job(number, pieces=2)
        await retry_until_accepted(world, lambda label, body=body: world.submit(body, label))
    for number in (2, 5):
        await retry_until_accepted(world, lambda label, n=number: world.cancel(n, label))
    for _ in range(10):
        for number in range(1, 9):
            began = world.now()
            reply = await world.poll(number, LABELS[number % 3])
            assert reply.status in (200, 503)
            assert world.now() - began < 5.0
        await asyncio.sleep(2)
    world.network.hosts["state:1"] = serve
    await wait_until_jobs_end(world, range(1, 9))


async def test_every_job_starts_in_time_on_a_full_fleet_with_slow_links() -> None:
    world = World()
    world.network.delay_s = 0.25
    world.cloud.capacity = 3
    world.cloud.run_s = lambda task: 8.0
    await world.start_controllers()
    numbers = range(1, 13)
    for number in numbers:
        rank = "high" if number % 3 == 0 else "standard"
        body = job(number, pieces=4, rank=rank, crew="blue" if number % 2 else "red")
        await retry_until_accepted(world, lambda label, body=body: world.submit(body, label))
    await wait_until_jobs_end(world, numbers, 300)
    for name in world.accepted_jobs:
        began = min(at for at, n, _ in world.cloud.starts if n.startswith(name))
        assert began - 1000.0 < 240


async def test_a_cancellation_at_the_new_leader_ends_tasks_that_reach_only_the_old_one() -> None:
    world = World()
    world.cloud.run_s = lambda task: 300.0
    await world.start_controllers()
    await world.submit(job(1))
    await world.submit(job(2))
    await world.until(lambda: len(world.cloud.starts) == 8, 60)
    old = str(world.leader)
    machines = tuple(world.cloud.workers)

    def isolate_with_workers(src: str, dst: str, *rest: Any) -> str | None:
        ends = {src, dst.split(":", maxsplit=1)[0]}
        if old in ends:
            return "cut" if ends & ({"state", "cloud", *LABELS} - {old}) else None
        return "cut" if ends & set(machines) and ends & set(LABELS) else None

    world.network.filters.append(isolate_with_workers)
    world.network.stalled.add((old, "state:1"))
    other = next(n for n in LABELS if n != old)
    await world.until(
        lambda: any(n != old and c.leader_term for n, c in world.controllers.items()), 10
    )
    assert (await world.cancel(1, other)).data["stage"] == "aborted"
    assert (await world.cancel(1, old)).status == 503
    await asyncio.sleep(60)
    world.network.filters.clear()
    world.network.stalled.clear()
    await asyncio.sleep(30)
    assert world.cloud.violations == []
    assert world.cloud.running_tasks("job-000001") == []
    assert len(world.cloud.running_tasks("job-000002")) == 4


async def test_a_job_that_failed_on_every_machine_tries_them_again() -> None:
    # Machines where a job had failed were avoided forever, although the fault may be temporary:
    # with no other machine available, the job never ran.
    world = World()
    world.cloud.capacity = 1
    await world.start_with_machine()
    failed: list[str] = []

    def cause(worker: Any, task: Any) -> str:
        if task.name not in failed:
            failed.append(task.name)
            return "error"
        return "done"

    world.cloud.end_cause = cause
    await world.submit(job(pieces=1))
    assert await world.wait_until_done(1, 110) < 10 + 90
    assert failed == ["job-000001/0"]
