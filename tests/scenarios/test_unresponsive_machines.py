"""Machines that send no heartbeats, or that replies do not reach."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.workers import command_dispatcher
from tests.fakes.one_way_link import heartbeats_only
from tests.fakes.world import World, job


async def test_no_task_stays_assigned_to_a_machine_that_gets_no_replies() -> None:
    world = World()
    world.cloud.capacity = 2
    name = await world.start_with_machine()
    world.network.filters.append(heartbeats_only(name))
    await world.submit(job(pieces=4))
    await world.wait_until_done(1, 60)
    assert {machine for _, _, machine in world.cloud.starts} != {name}
    # It gets no tasks later either, and is finally deleted.
    before = len(world.cloud.starts)
    await world.submit(job(2, pieces=4))
    await world.wait_until_done(2, 60)
    assert all(machine != name for _, _, machine in world.cloud.starts[before:])
    await world.until(lambda: name not in world.cloud.hosts, 60)
    assert world.cloud.violations == []


async def test_a_machine_that_gets_commands_but_no_replies_gets_no_new_tasks() -> None:
    # Tasks started there by direct commands end with each lease: direct commands renew no lease.
    world = World({"silent_leases": 100})
    world.cloud.run_s = lambda task: 15.0
    world.cloud.capacity = 2
    name = await world.start_with_machine()
    world.network.filters.append(lambda src, dst, *rest: "lose" if src == name else None)
    await world.submit(job(pieces=4))
    await asyncio.sleep(60)
    before = len(world.cloud.starts)
    await world.submit(job(2, pieces=4))
    await world.wait_until_done(2, 60)
    assert all(machine != name for _, _, machine in world.cloud.starts[before:])
    assert world.cloud.violations == []


async def test_a_machine_that_gets_replies_again_gets_tasks_again() -> None:
    world = World({"silent_leases": 100})
    world.cloud.capacity = 1
    name = await world.start_with_machine()
    world.network.filters.append(heartbeats_only(name))
    await world.submit(job(pieces=4))
    await asyncio.sleep(60)
    assert world.cloud.starts == []
    assert world.active().registry.machines[name].unresponsive_since is not None
    world.network.filters.clear()
    await world.wait_until_done(1, 60)
    assert world.cloud.violations == []
    assert len(world.cloud.starts) == 4


async def test_tasks_of_a_machine_that_gets_no_replies_are_restarted_after_a_failover() -> None:
    world = World()
    world.cloud.run_s = lambda task: 30.0
    name = await world.start_with_machine()
    await world.submit(job(pieces=4))
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.network.filters.append(heartbeats_only(name))
    world.kill(str(world.leader))
    # The new leader's fencing token never reaches the machine: its heartbeats prove nothing.
    await world.wait_until_done(1, 120)
    assert world.cloud.violations == []


async def test_tasks_of_a_cancelled_job_end_in_time_on_a_machine_that_gets_no_replies() -> None:
    world = World()
    world.cloud.run_s = lambda task: 500.0
    world.cloud.lease_s = 300.0
    name = await world.start_with_machine()
    await world.submit(job())
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.network.filters.append(heartbeats_only(name))
    assert (await world.cancel()).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000001"), 40)


async def test_a_machine_with_a_long_boot_has_time_to_see_the_fencing_token() -> None:
    # When the limit for unconfirmed machines counted from provisioning, 88 machines with a longer
    # boot were deleted at their first heartbeat.
    world = World()
    world.cloud.boot_s = 36.0
    world.cloud.run_s = lambda task: 100.0
    for _ in range(6):  # most machines get replies: the new ones are the exception
        world.cloud.add_machine()
    await world.start_controllers()
    world.network.filters.append(
        lambda src, dst, method, path, body: (
            "lose" if src.startswith("m-") and body["tick"] <= 1 else None
        )
    )
    await world.submit(job(1, pieces=24))
    await world.submit(job(2, crew="blue", pieces=8))
    await world.until(lambda: len(world.cloud.starts) == 32, 60)
    assert world.cloud.violations == []


async def test_a_new_leader_deletes_no_machine_before_its_first_heartbeat() -> None:
    world = World({"idle_min_s": 600})
    await world.start_controllers()
    await world.submit(job(pieces=24))
    await world.wait_until_done()
    await asyncio.sleep(60)  # far longer than any boot
    machines = set(world.cloud.hosts)
    assert len(machines) > 3
    # For a while the workers' heartbeats don't get through to the new leader.
    world.network.filters.append(
        lambda src, dst, *rest: "cut" if "m-" in src or dst.startswith("m-") else None
    )
    world.kill(str(world.leader))
    await world.until(lambda: world.leader, 10)
    await asyncio.sleep(5)
    world.network.filters.clear()
    await asyncio.sleep(20)
    assert set(world.cloud.hosts) >= machines


async def test_many_unreachable_machines_are_called_a_few_at_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Calls to a zone that is cut off hang until they time out. Guards against calling all its
    # machines at once, and against keeping connections to all machines open in addition to those
    # of their heartbeats.
    monkeypatch.setattr(command_dispatcher, "MIN_CONCURRENT_CALLS", 6)

    world = World()
    await world.start_controllers()
    for _ in range(20):
        world.cloud.add_machine()
    await asyncio.sleep(5)
    leader = str(world.leader)
    active = world.active(leader)
    concurrent_calls: list[int] = []

    def cut(src: str, dst: str, *rest: Any) -> str | None:
        if src != leader or not dst.endswith(":9000"):
            return None
        concurrent_calls.append(len(active.command_dispatcher._calls))
        return "cut"

    world.network.filters.append(cut)
    await world.submit(job(1, pieces=80, cpus=1.0))
    await world.wait_until_done(1)
    assert len(concurrent_calls) > 6
    assert max(concurrent_calls) == 6
    machines = len(active.registry.machines)
    assert command_dispatcher.CommandDispatcher(
        active.command_dispatcher._http_client, active.registry, 4 * machines
    ).may_keep_connections()
    assert not command_dispatcher.CommandDispatcher(
        active.command_dispatcher._http_client, active.registry, 2 * machines
    ).may_keep_connections()


async def test_a_leader_that_may_have_been_replaced_deletes_no_idle_machines() -> None:
    # A leader that was paused, or that alone lost the key-value store, sees machines as idle or
    # unreachable to which its successor has assigned tasks. The cloud checks no fencing token on a
    # deletion, which would end those tasks.
    world = World()
    await world.start_controllers()
    await world.submit(job(pieces=12))
    await world.wait_until_done()
    leader = str(world.leader)
    active = world.active(leader)
    assert world.cloud.hosts
    before = set(world.cloud.hosts)
    world.store.in_outage = True
    await asyncio.sleep(300)  # the machines are idle for long and exceed the recent peak
    assert not active.holds_lease()
    assert before
    assert set(world.cloud.hosts) == before
    world.store.in_outage = False
    await world.until(lambda: not world.cloud.hosts, 300)


async def test_a_machine_that_missed_heartbeats_gets_no_new_tasks_while_its_lease_runs() -> None:
    # The machines of a zone that is cut off look free until their leases expire. Tasks placed there
    # would be stuck that long, and calls to them would delay calls to the other machines.
    world = World()
    world.cloud.capacity = 2
    await world.start_controllers()
    names = [world.cloud.add_machine(), world.cloud.add_machine()]
    await asyncio.sleep(5)
    leader = str(world.leader)
    active = world.active(leader)
    world.cut_off(names[0])
    await asyncio.sleep(active._context.params.workers.suspect_after_s + 0.5)
    assert not active.registry.machines[names[0]].lease_expired
    calls: list[str] = []

    def record_call(src: str, dst: str, *rest: Any) -> None:
        calls.append(dst)

    world.network.filters.insert(0, record_call)
    await world.submit(job(1, pieces=3))
    assert await world.wait_until_done(1) < 9 + world.cloud.run_s("job-000001/0")
    assert not any(d.startswith(names[0]) for d in calls)
    assert {m for _, n, m in world.cloud.starts if n.startswith("job-000001")} == {names[1]}
