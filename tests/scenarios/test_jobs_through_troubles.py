"""Jobs during failovers, losses of machines and outages of the key-value store."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.clock import run_in_simulated_time
from tests.fakes.world import LABELS, World, job


async def test_a_job_finishes_when_its_leader_dies_between_write_and_start() -> None:
    world = World()
    await world.start_with_machine()
    first = world.leader
    assert first

    def lose_heartbeat_replies(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        # Replies to heartbeats are lost: assignments are written, start commands don't arrive.
        return "lose" if path == "/v1/report" and dst == f"{first}:80" else None

    world.network.filters.append(lose_heartbeat_replies)
    other = next(n for n in LABELS if n != first)
    assert (await world.submit(job(), other)).status == 201
    await world.until(lambda: world.store.value("spoolcourse/live/prog/job-000001/0"))
    world.kill(first)
    world.network.filters.clear()
    await world.wait_until_done()
    assert world.cloud.violations == []
    assert len(world.cloud.starts) == 4


async def test_tasks_survive_a_failover() -> None:
    world = World()
    world.cloud.run_s = lambda task: 30.0
    await world.start_controllers()
    await world.submit(job(pieces=8))
    await world.until(lambda: len(world.cloud.starts) == 8)
    world.kill(str(world.leader))
    took = await world.until(lambda: world.leader, 10)
    assert took < 4
    await world.wait_until_done()
    assert len(world.cloud.starts) == 8, "a task was started again"


async def test_a_deposed_leaders_late_transaction_changes_nothing() -> None:
    world = World()
    await world.start_controllers()
    first = str(world.leader)

    def hold_transactions(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src != first or dst != "state:1":
            return None
        return "hold" if path == "/multi" else "cut"

    other, _ = (n for n in LABELS if n != first)
    world.network.filters.append(hold_transactions)
    world.cloud.add_machine()
    await world.submit(job(), other)
    await world.until(lambda: world.leader not in (None, first), 30)
    world.network.filters.clear()
    await world.wait_until_done()
    before = dict(world.store.keys)
    late = await world.network.release()
    assert all(reply.status in (400, 409) for reply in late)
    assert {k: v[:2] for k, v in world.store.keys.items()} == {k: v[:2] for k, v in before.items()}
    assert world.cloud.violations == []


async def test_tasks_of_an_unreachable_machine_restart_only_after_its_lease_expires() -> None:
    world = World()
    world.cloud.run_s = lambda task: 40.0
    name = await world.start_with_machine()
    await world.submit(job(pieces=1))
    await world.until(lambda: len(world.cloud.starts) == 1)
    cut_at = world.now()
    world.cut_off(name)
    world.cloud.add_machine("b")
    await world.until(lambda: len(world.cloud.starts) == 2)
    assert world.now() - cut_at > world.cloud.lease_s
    await world.wait_until_done()
    assert world.cloud.violations == []


async def test_a_lost_machines_tasks_are_run_again() -> None:
    world = World()
    await world.start_controllers()
    await world.submit(job(pieces=6))
    await world.until(lambda: len(world.cloud.starts) >= 3)
    world.cloud.lose_machine(world.cloud.starts[0][2])
    await world.wait_until_done()
    assert world.cloud.violations == []


async def test_tasks_of_a_cancelled_job_end_in_time_even_on_an_unreachable_machine() -> None:
    world = World()
    world.cloud.run_s = lambda task: 500.0
    world.cloud.lease_s = 300.0  # longer than `cancel_s`
    name = await world.start_with_machine()
    await world.submit(job())
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.cut_off(name)
    reply = await world.cancel()
    assert (reply.status, reply.data["stage"]) == (200, "aborted")
    await world.until(lambda: not world.cloud.running_tasks("job-000001"), 40)
    await world.until(lambda: world.store.value("spoolcourse/fin/job-000001"))
    assert {(await world.poll(1, n)).data["stage"] for n in LABELS} == {"aborted"}


async def test_a_cancellation_and_the_end_of_a_job_exclude_each_other() -> None:
    for wait_s in (13.0, 13.5, 14.0, 14.5, 15.0, 15.5, 16.0):
        world = World()
        await world.start_with_machine()
        await world.submit(job(pieces=1))
        await asyncio.sleep(wait_s)
        reported_stage = (await world.cancel(1, "n1")).data["stage"]
        await asyncio.sleep(10)
        for label in LABELS:
            assert (await world.poll(1, label)).data["stage"] == reported_stage


async def test_jobs_and_cancellations_survive_a_restart_of_all_controllers() -> None:
    world = World()
    world.cloud.run_s = lambda task: 20.0
    await world.start_controllers()
    await world.submit(job(1))
    await world.submit(job(2))
    await world.cancel(2)
    await world.until(lambda: len(world.cloud.starts) >= 4)
    for label in LABELS:
        world.kill(label)
    await asyncio.sleep(3)
    await world.start_controllers()
    assert (await world.poll(1)).status == 200
    assert (await world.poll(2)).data["stage"] == "aborted"
    await world.wait_until_done()
    assert world.cloud.violations == []
    assert len(world.cloud.starts) == 4, "a task was started again after the restart"


async def test_tasks_survive_an_outage_of_the_key_value_store() -> None:
    world = World()
    world.cloud.run_s = lambda task: 60.0
    await world.start_controllers()
    await world.submit(job())
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.store.in_outage = True
    await asyncio.sleep(25)
    reply = await world.submit(job(2))
    assert reply.status == 503
    assert reply.headers["Retry-After"]
    assert (await world.poll(1)).status == 503
    assert (await world.request("n0", "GET", "/healthz")).status == 200
    world.store.end_outage()
    await world.wait_until_done()
    assert len(world.cloud.starts) == 4


async def test_workers_partitioned_from_the_leader_only_continue_through_a_follower() -> None:
    world = World()
    world.cloud.run_s = lambda task: 40.0
    await world.start_controllers()
    await world.submit(job(1))
    await world.until(lambda: len(world.cloud.starts) == 4)
    leader = str(world.leader)
    partitioned_at = world.now()

    def partition_leader(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        ends = {src, dst.split(":", maxsplit=1)[0]}
        worker = any(end.startswith("m-") for end in ends)
        return "cut" if worker and leader in ends else None

    world.network.filters.append(partition_leader)
    await asyncio.sleep(20)
    await world.submit(job(2, pieces=2))
    await world.until(lambda: len(world.cloud.starts) == 6, 20)
    await world.wait_until_done(1)
    assert len(world.cloud.starts) == 6, "a task was started again"
    assert world.leader == leader
    world.network.filters.clear()
    await world.wait_until_done(2)
    await asyncio.sleep(40)
    assert not world.active(leader).heartbeat_handler.receives_no_heartbeats(), (
        "no worker reaches the leader again"
    )
    assert world.now() > partitioned_at
    assert world.cloud.violations == []


def test_a_longer_pass_gap_keeps_the_order_of_jobs() -> None:
    async def run(pass_gap_s: str) -> list[str]:
        world = World({"pass_gap_s": pass_gap_s})
        world.cloud.capacity = 1
        await world.start_with_machine()
        for number in range(1, 6):
            await world.submit(job(number, pieces=2, vcpus=4.0), LABELS[number % 3])
            await asyncio.sleep(0.05)
        for number in range(1, 6):
            await world.wait_until_done(number, 300)
        assert world.cloud.violations == []
        names = [name for _, name, _ in world.cloud.starts]
        assert len(names) == 10
        return list(dict.fromkeys(name.split("/")[0] for name in names))

    short, long = run_in_simulated_time(run("0.1")), run_in_simulated_time(run("5"))
    assert short == long == sorted(short)


async def test_idle_machines_are_deleted_except_those_present_at_the_first_start() -> None:
    world = World()
    initial = world.cloud.add_machine()
    await world.start_controllers()
    await world.submit(job(pieces=12))
    await world.until(lambda: len(world.cloud.hosts) > 1, 30)
    await world.wait_until_done()
    await world.until(lambda: list(world.cloud.hosts) == [initial], 900)
    for label in LABELS:
        world.kill(label)
    await world.start_controllers()
    late = world.cloud.add_machine()  # not provisioned by these controllers
    await world.until(lambda: list(world.cloud.hosts) == [initial], 900)
    assert late not in world.cloud.hosts


async def test_a_failed_loop_is_restarted_with_a_new_term() -> None:
    world = World()
    await world.start_controllers()
    first = str(world.leader)
    leader_term, active = world.controllers[first].leader_term, world.active(first)

    def raise_error(snapshot: Any, builds: Any) -> None:
        raise KeyError("unforeseen")

    active.snapshot_builder.build_snapshot = raise_error  # type: ignore[method-assign,assignment]
    await world.submit(job())
    await world.wait_until_done()
    assert world.controllers[first].leader_term is not leader_term
    assert world.cloud.violations == []


async def test_a_job_whose_placement_job_cannot_be_built_does_not_stop_the_others() -> None:
    world = World()
    await world.start_controllers()
    leader_term, active = world.controllers[str(world.leader)].leader_term, world.active()
    build = active.snapshot_builder._placement_job_builder._build_placement_job

    def fail_for_first_job(job_state: Any, context: Any) -> Any:
        if job_state.id == "job-000001":
            raise TypeError("unforeseen")
        return build(job_state, context)

    active.snapshot_builder._placement_job_builder._build_placement_job = fail_for_first_job  # type: ignore[method-assign]
    await world.submit(job(1))
    await world.submit(job(2))
    await world.wait_until_done(2)
    assert world.controllers[str(world.leader)].leader_term is leader_term
    assert (await world.poll(1)).data["stage"] == "queued"
