"""Jobs through changes of leader, lost machines and outages."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.clock import play
from tests.fakes.world import LABELS, World, job


async def test_leader_dies_between_the_write_and_the_start() -> None:
    world = World()
    await world.up_with_machine()
    first = world.leader
    assert first

    def mute(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        # The answers to heartbeats are lost: assignments get written, starts don't arrive.
        return "lose" if path == "/v1/report" and dst == f"{first}:80" else None

    world.network.filters.append(mute)
    other = next(n for n in LABELS if n != first)
    assert (await world.submit(job(), other)).status == 201
    await world.until(lambda: world.state.value("spoolcourse/live/prog/job-000001/0"))
    world.kill(first)
    world.network.filters.clear()
    await world.finish()
    assert world.cloud.broken == []
    assert len(world.cloud.starts) == 4


async def test_tasks_survive_a_change_of_leader() -> None:
    world = World()
    world.cloud.run_s = lambda task: 30.0
    await world.up()
    await world.submit(job(pieces=8))
    await world.until(lambda: len(world.cloud.starts) == 8)
    world.kill(str(world.leader))
    took = await world.until(lambda: world.leader, 10)
    assert took < 4
    await world.finish()
    assert len(world.cloud.starts) == 8, "nothing was started again"


async def test_a_deposed_leaders_late_transaction_changes_nothing() -> None:
    world = World()
    await world.up()
    first = str(world.leader)

    def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src != first or dst != "state:1":
            return None
        return "hold" if path == "/multi" else "cut"

    other, _ = (n for n in LABELS if n != first)
    world.network.filters.append(hold)
    world.cloud.add()
    await world.submit(job(), other)
    await world.until(lambda: world.leader not in (None, first), 30)
    world.network.filters.clear()
    await world.finish()
    before = dict(world.state.keys)
    late = await world.network.release()
    assert all(reply.status in (400, 409) for reply in late)
    assert {k: v[:2] for k, v in world.state.keys.items()} == {k: v[:2] for k, v in before.items()}
    assert world.cloud.broken == []


async def test_a_silent_machine_is_not_believed_dead_before_its_lease() -> None:
    world = World()
    world.cloud.run_s = lambda task: 40.0
    name = await world.up_with_machine()
    await world.submit(job(pieces=1))
    await world.until(lambda: len(world.cloud.starts) == 1)
    cut_at = world.now()
    world.cut_off(name)
    world.cloud.add("b")
    await world.until(lambda: len(world.cloud.starts) == 2)
    assert world.now() - cut_at > world.cloud.lease_s
    await world.finish()
    assert world.cloud.broken == []


async def test_a_lost_machines_tasks_are_run_again() -> None:
    world = World()
    await world.up()
    await world.submit(job(pieces=6))
    await world.until(lambda: len(world.cloud.starts) >= 3)
    world.cloud.take(world.cloud.starts[0][2])
    await world.finish()
    assert world.cloud.broken == []


async def test_a_cancelled_job_is_gone_in_time_even_on_a_silent_machine() -> None:
    world = World()
    world.cloud.run_s = lambda task: 500.0
    world.cloud.lease_s = 300.0  # it would go on for long
    name = await world.up_with_machine()
    await world.submit(job())
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.cut_off(name)
    reply = await world.cancel()
    assert (reply.status, reply.data["stage"]) == (200, "aborted")
    await world.until(lambda: not world.cloud.on_machines("job-000001"), 40)
    await world.until(lambda: world.state.value("spoolcourse/fin/job-000001"))
    assert {(await world.poll(1, n)).data["stage"] for n in LABELS} == {"aborted"}


async def test_a_cancellation_and_the_end_of_a_job_exclude_each_other() -> None:
    for wait in (13.0, 13.5, 14.0, 14.5, 15.0, 15.5, 16.0):
        world = World()
        await world.up_with_machine()
        await world.submit(job(pieces=1))
        await asyncio.sleep(wait)
        answer = (await world.cancel(1, "n1")).data["stage"]
        await asyncio.sleep(10)
        for label in LABELS:
            assert (await world.poll(1, label)).data["stage"] == answer


async def test_all_controllers_restart_and_nothing_is_forgotten() -> None:
    world = World()
    world.cloud.run_s = lambda task: 20.0
    await world.up()
    await world.submit(job(1))
    await world.submit(job(2))
    await world.cancel(2)
    await world.until(lambda: len(world.cloud.starts) >= 4)
    for label in LABELS:
        world.kill(label)
    await asyncio.sleep(3)
    await world.up()
    assert (await world.poll(1)).status == 200
    assert (await world.poll(2)).data["stage"] == "aborted"
    await world.finish()
    assert world.cloud.broken == []
    assert len(world.cloud.starts) == 4, "the tasks went on meanwhile"


async def test_work_survives_an_outage_of_the_state_service() -> None:
    world = World()
    world.cloud.run_s = lambda task: 60.0
    await world.up()
    await world.submit(job())
    await world.until(lambda: len(world.cloud.starts) == 4)
    world.state.in_outage = True
    await asyncio.sleep(25)
    reply = await world.submit(job(2))
    assert reply.status == 503
    assert reply.headers["Retry-After"]
    assert (await world.poll(1)).status == 503
    assert (await world.ask("n0", "GET", "/healthz")).status == 200
    world.state.end_outage()
    await world.finish()
    assert len(world.cloud.starts) == 4


async def test_workers_cut_off_from_the_leader_alone_go_on_through_a_follower() -> None:
    world = World()
    world.cloud.run_s = lambda task: 40.0
    await world.up()
    await world.submit(job(1))
    await world.until(lambda: len(world.cloud.starts) == 4)
    leader = str(world.leader)
    cut = world.now()

    def apart(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        ends = {src, dst.split(":", maxsplit=1)[0]}
        worker = any(end.startswith("m-") for end in ends)
        return "cut" if worker and leader in ends else None

    world.network.filters.append(apart)
    await asyncio.sleep(20)
    await world.submit(job(2, pieces=2))
    await world.until(lambda: len(world.cloud.starts) == 6, 20)
    await world.finish(1)
    assert len(world.cloud.starts) == 6, "no lease ran out"
    assert world.leader == leader
    world.network.filters.clear()
    await world.finish(2)
    await asyncio.sleep(40)
    assert not world.active(leader).heartbeat_handler.receives_no_heartbeats(), "they are back"
    assert world.now() > cut
    assert world.cloud.broken == []


def test_wider_rounds_keep_the_order_and_the_rules() -> None:
    async def story(gap: str) -> list[str]:
        world = World({"pass_gap_s": gap})
        world.cloud.capacity = 1
        await world.up_with_machine()
        for number in range(1, 6):
            await world.submit(job(number, pieces=2, vcpus=4.0), LABELS[number % 3])
            await asyncio.sleep(0.05)
        for number in range(1, 6):
            await world.finish(number, 300)
        assert world.cloud.broken == []
        names = [name for _, name, _ in world.cloud.starts]
        assert len(names) == 10
        return list(dict.fromkeys(name.split("/")[0] for name in names))

    narrow, wide = play(story("0.1")), play(story("5"))
    assert narrow == wide == sorted(narrow)


async def test_machines_found_at_the_first_start_stay_and_rented_ones_go() -> None:
    world = World()
    found = world.cloud.add()
    await world.up()
    await world.submit(job(pieces=12))
    await world.until(lambda: len(world.cloud.hosts) > 1, 30)
    await world.finish()
    await world.until(lambda: list(world.cloud.hosts) == [found], 900)
    for label in LABELS:
        world.kill(label)
    await world.up()
    late = world.cloud.add()  # nobody here has asked for it
    await world.until(lambda: list(world.cloud.hosts) == [found], 900)
    assert late not in world.cloud.hosts


async def test_a_loop_that_fails_is_begun_again_and_a_new_term_with_it() -> None:
    world = World()
    await world.up()
    first = str(world.leader)
    leader_term, active = world.nodes[first].leader_term, world.active(first)

    def broken(snapshot: Any, builds: Any) -> None:
        raise KeyError("unforeseen")

    active.snapshot_builder.build_snapshot = broken  # type: ignore[method-assign,assignment]
    await world.submit(job())
    await world.finish()
    assert world.nodes[first].leader_term is not leader_term
    assert world.cloud.broken == []


async def test_a_job_that_cannot_be_judged_does_not_stop_the_others() -> None:
    world = World()
    await world.up()
    leader_term, active = world.nodes[str(world.leader)].leader_term, world.active()
    build = active.snapshot_builder._placement_job_builder._build_placement_job

    def partly(job_state: Any, context: Any) -> Any:
        if job_state.id == "job-000001":
            raise TypeError("unforeseen")
        return build(job_state, context)

    active.snapshot_builder._placement_job_builder._build_placement_job = partly  # type: ignore[method-assign]
    await world.submit(job(1))
    await world.submit(job(2))
    await world.finish(2)
    assert world.nodes[str(world.leader)].leader_term is leader_term
    assert (await world.poll(1)).data["stage"] == "queued"
