"""Two troubles that meet: see the table in docs/design.md."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient, UnclearError
from spoolcourse.control.store.keys import (
    FINAL,
    JOB,
    LEADER,
    PREFIX,
    PROGRESS,
    final_key,
    job_key,
    split_progress,
)
from spoolcourse.control.store.keys import TERM as TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.settings import State
from tests.fakes.clock import play
from tests.fakes.net import FakeWire
from tests.fakes.state import FakeState
from tests.fakes.world import LABELS, World, job
from tests.test_fleet import TERM, Crew, on


def test_work_on_a_machine_that_only_calls_reach_is_not_started_elsewhere_too() -> None:
    # Its lease runs out; calls show its next session. With the last answer taken for the
    # beginning of that session's lease, what was started there was thought gone while it ran.
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report(on())
    machine = crew.registry.machines["m-1"]
    crew.now += 10.2  # its lease has run out, which is not certain here yet
    shown = crew.observed(shift=2, tick=1)
    assert not crew.job_state.attempts and machine.confirmed, shown
    attempt = crew.assign(0, 2)
    crew.observed(on(0, 2), shift=2)
    crew.now += 2.0
    crew.registry.expire()
    assert crew.job_state.attempts == {0: attempt}
    crew.now += 10.0
    crew.registry.expire()
    assert not crew.job_state.attempts, "nobody renews that session: it is over by now"


def test_a_machine_that_reaches_no_controller_gets_no_new_work() -> None:
    # Its answers to calls keep coming; what calls start there dies with each lease.
    crew = Crew()
    crew.registry.quiet_s = 5.0
    crew.report()
    machine = crew.registry.machines["m-1"]
    crew.now += 4.0
    crew.observed()
    assert not crew.registry.is_quiet(machine)
    crew.assign()
    assert crew.registry.commands.due(()) == [machine]
    crew.now += 1.5
    crew.observed()
    assert machine.heard_at == crew.now and crew.registry.is_quiet(machine)
    assert crew.registry.commands.due(()) == [], "nor are starts sent"
    crew.report()
    assert crew.registry.commands.due(()) == [machine]


def test_the_first_answer_after_a_change_of_leader_ends_what_is_cancelled() -> None:
    # It renews the lease and may be the last one that arrives: the next one is too late.
    crew = Crew()
    attempt = crew.job_queue.adopt(crew.job_state, 0, "m-1", 1, crew.now)
    crew.registry.link(attempt)
    crew.job_state.record.aborted_at = crew.now - 30.0
    halt = {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}
    assert crew.report(on(), baton=TERM - 1) == [halt]
    assert crew.job_state.attempts, "that it is told proves nothing"
    # One that is not shown may still start there: the halt goes out all the same.
    assert crew.report(baton=TERM - 1) == [halt]
    assert crew.report() == [] and not crew.job_state.attempts


def test_a_claim_that_is_carried_out_late_is_not_taken_for_the_next_one() -> None:
    # Both are of the same run and for the same term, but on leases of their own: the key hangs
    # on the first one's, which nobody renews.
    async def story() -> None:
        state, wire = FakeState(), FakeWire()
        wire.hosts["state:1"] = state.serve
        limits = State(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
        client = StoreClient(wire.end_of("n0"), "state:1", limits, nodes=2)
        watch_cache = WatchCache(client, PREFIX)
        node = Leadership(client, watch_cache, "n0", "run-0")
        await watch_cache.load()
        wire.filters.append(
            lambda src, dst, method, path, body: "hold" if path == "/multi" else None
        )
        for _ in range(2):
            try:
                await node._stand()
            except UnclearError:
                if len(wire.held) == 2:
                    break
                # The first claim is carried out while the second one is under way.
                get = client.get

                async def late(key: str, get: Any = get) -> Any:
                    dst, method, path, body = wire.held[0]
                    await state.serve(method, path, body)
                    return await get(key)

                client.get = late  # type: ignore[method-assign]
        assert node.term is None and len(wire.held) == 2
        assert state.value(LEADER) is not None
        await asyncio.sleep(4)
        assert state.value(LEADER) is None, "nobody renews it, so others may stand"

    play(story())


async def shift_leader(world: World, back_s: float) -> None:
    """The leader ends and comes back after a while."""
    first = str(world.leader)
    world.kill(first)
    await asyncio.sleep(back_s)
    world.start(first)
    await world.until(lambda: world.leader, 30)


def guarded(key: str) -> set[str]:
    """Keys whose change makes a write of this one wrong."""
    if key.startswith(PROGRESS):
        return {key, job_key(split_progress(key)[0]), TERM_KEY}
    if key.startswith(FINAL):
        return {key, job_key(key[len(FINAL) :]), TERM_KEY}
    return {key, final_key(key[len(JOB) :])} if key.startswith(JOB) else {key}


def late_writes(world: World, every: int) -> Any:
    """Each so many-th transaction gets no answer and is carried out later. If anything that
    it depends on has changed since, deleted and made anew included, it must change nothing."""
    count = 0
    sent: dict[int, int] = {}
    bodies: list[Any] = []

    def judge(body: Any, reply: Any) -> None:
        needs = set().union(*(guarded(op.get("set") or op["delete"]) for op in body["apply"]))
        since = sent[id(body)]
        log = world.state.log[: -len(body["apply"])] if reply.status == 200 else world.state.log
        changed = needs & {str(e.get("set") or e["delete"]) for e in log if e["stamp"] > since}
        if changed and reply.status == 200:
            world.cloud.broken.append(f"late and carried out although {changed} changed")

    world.wire.on_late = judge

    def check(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        nonlocal count
        if path != "/multi" or not body.get("apply"):
            return None
        count += 1
        if count % every:
            return None
        sent[id(body)] = world.state.store_revision
        bodies.append(body)  # or another one could be at its place in memory
        return "late"

    return check


async def ended(world: World, numbers: Any, limit: float = 180.0) -> None:
    """Every job is final on every node, and nothing was broken on the way."""
    for number in numbers:
        name = f"job-{number:06d}"
        if name in world.cancelled:
            await world.until(lambda name=name: not world.cloud.on_machines(name), limit)
        else:
            await world.finish(number, limit)
    stages = [
        {(await world.poll(number, label)).data.get("stage") for label in world.nodes}
        for number in numbers
    ]
    assert all(len(found) == 1 for found in stages), stages
    assert world.cloud.broken == []


async def insist(world: World, ask: Any) -> Any:
    """As users do: again, at another node, until there is an answer."""
    for attempt in range(60):
        labels = [n for n in LABELS if n in world.nodes]
        if labels:
            reply = await ask(labels[attempt % len(labels)])
            if reply.status in (200, 201):
                return reply
        await asyncio.sleep(1.0)
    raise AssertionError("no answer in time")


@pytest.mark.parametrize("every", [2, 3])
def test_transactions_carried_out_late_change_nothing_that_is_newer(every: int) -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 6.0 + int(task[-1]) * 3.0
        await world.up()
        world.wire.filters.append(late_writes(world, every))
        for number in range(1, 9):
            body = job(number, pieces=3, crew="blue" if number % 2 else "red")
            await insist(world, lambda label, body=body: world.submit(body, label))
            if number % 3 == 0:
                asyncio.create_task(insist(world, lambda label, n=number: world.cancel(n, label)))
            if number == 5:
                await shift_leader(world, 0.3)
        await asyncio.sleep(60)
        world.wire.filters.clear()
        await asyncio.sleep(15)
        await ended(world, range(1, 9))

    play(story())


@pytest.mark.parametrize("out", [False, True])
def test_ten_changes_of_leader_in_two_minutes(out: bool) -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 45.0 if task.endswith("/0") else 12.0
        await world.up()
        for number in range(1, 7):
            await world.submit(job(number, pieces=3, crew="blue"))
        await asyncio.sleep(12)
        for turn in range(10):
            if out and turn in (3, 4, 5):
                world.state.out = True
            first = str(world.leader) if world.leader else LABELS[turn % 3]
            world.kill(first)
            await asyncio.sleep((0.3, 0.9, 6.0)[turn % 3])
            world.start(first)
            await asyncio.sleep(5.0)
            if out and turn == 5:
                world.state.end_outage()
            if turn == 7:
                await insist(world, lambda label: world.cancel(2, label))
            await asyncio.sleep(1.0)
        await world.until(lambda: world.leader, 30)
        await ended(world, range(1, 7))

    play(story())


def test_a_team_at_its_limit_whose_machines_cannot_be_asked_by_the_new_leader() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 300.0
        world.cloud.capacity = 12
        world.cloud.lease_s = 25.0  # long, so that unproven work is on for long
        await world.up()
        for number in (1, 2):
            await world.submit(job(number, crew="blue", pieces=8))
        await world.until(lambda: len(world.cloud.starts) == 16, 60)
        silent = sorted({machine for _, _, machine in world.cloud.starts})[:2]
        for name in silent:
            world.cut_off(name)
        world.kill(str(world.leader))
        await insist(world, lambda label: world.cancel(1, label))
        await insist(world, lambda label: world.submit(job(3, crew="blue", pieces=16), label))
        await world.until(lambda: world.leader, 30)
        await asyncio.sleep(120)
        assert world.cloud.broken == []
        on = len(world.cloud.on_machines("job-000002")) + len(world.cloud.on_machines("job-000003"))
        assert on == 16, "and its limit is used again"

    play(story())


def test_tasks_that_end_far_apart_across_a_change_of_leader() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: (3.0, 18.0, 60.0)[int(task[-1])]
        await world.up()
        for number in (1, 2, 3):
            await world.submit(job(number, pieces=3))
        await world.until(lambda: len(world.cloud.starts) == 9, 60)
        await asyncio.sleep(4)
        await shift_leader(world, 0.2)
        await asyncio.sleep(18)
        await shift_leader(world, 8.0)
        await ended(world, (1, 2, 3))
        assert len(world.cloud.starts) == 9, "what was done stays done"

    play(story())


def test_jobs_bound_to_a_zone_lose_machines() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 20.0
        await world.up()
        for yard in ("a", "b"):  # each has room for half of the first job
            world.cloud.add(yard)
        await asyncio.sleep(4)
        await world.submit(job(1, pieces=8, oneZone=True))
        await world.submit(job(2, pieces=8, scatter=True))
        await world.submit(job(3, pieces=4, oneZone=True, yard="b", crew="blue"))
        await world.until(lambda: len(world.cloud.starts) >= 16, 90)
        for name in ("job-000001", "job-000002", "job-000003"):
            machine = next(m for _, n, m in world.cloud.starts if n.startswith(name))
            if machine in world.cloud.hosts:
                world.cloud.take(machine)
        silent = next(m for _, n, m in reversed(world.cloud.starts) if m in world.cloud.hosts)
        world.cut_off(silent)
        await shift_leader(world, 0.5)
        await ended(world, (1, 2, 3))

    play(story())


@pytest.mark.parametrize("wait", [x / 8 for x in range(16)])
def test_the_end_of_the_last_task_meets_everything_that_users_ask(wait: float) -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 5.0
        world.wire.delay = 0.08  # so that what meets is under way for a while
        await world.up_with_machine()
        await world.submit(job(pieces=2))
        await world.until(lambda: len(world.cloud.starts) == 2, 60)
        await asyncio.sleep(4.5 + wait)
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
        assert world.told["job-000001"] in ("done", "aborted")
        assert world.cloud.broken == []

    play(story())


def test_a_report_held_until_a_new_leader_has_acted() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 25.0
        world.cloud.capacity = 3
        name = await world.up_with_machine()
        world.cloud.add("b")
        await world.submit(job(pieces=6))
        await world.until(lambda: len(world.cloud.starts) == 6, 60)
        held: list[Any] = []

        def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
            if src == name and path == "/v1/report":
                held.append(body)
                return "cut"
            return None

        world.wire.filters.append(hold)
        await asyncio.sleep(2)
        await shift_leader(world, 0.5)
        await asyncio.sleep(20)  # its lease has run out, and its work goes on elsewhere
        for body in list(held):
            for label in LABELS:
                reply = await world.ask(label, "POST", "/v1/report", body)
                assert not (reply.status == 200 and reply.data.get("orders"))
        world.wire.filters.clear()
        await ended(world, (1,))

    play(story())


@pytest.mark.parametrize("leader_inside", [False, True])
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(
    leader_inside: bool,
) -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 40.0
        await world.up()
        await world.submit(job(1, pieces=8, scatter=True))
        await world.submit(job(2, pieces=4, oneZone=True))
        await world.until(lambda: len(world.cloud.starts) == 12, 90)
        leader = str(world.leader)
        node = leader if leader_inside else next(n for n in LABELS if n != leader)

        def inside(end: str) -> bool:
            worker = world.cloud.workers.get(end)
            return end == node or (worker is not None and worker.host["yard"] == "b")

        world.wire.filters.append(
            lambda src, dst, *rest: (
                "hold" if inside(src) != inside(dst.split(":")[0]) and src != "user" else None
            )
        )
        world.wire.stalled.add((node, "state:1"))
        await asyncio.sleep(3)
        other = next(n for n in LABELS if n != node)
        await world.cancel(2, other)
        await asyncio.sleep(30)
        world.wire.filters.clear()
        world.wire.stalled.clear()
        for dst, method, path, body in world.wire.held:
            if dst in world.wire.hosts:
                await world.wire.hosts[dst](method, path, body)
        await ended(world, (1, 2))

    play(story())


def test_commands_are_held_up_and_the_machine_then_goes_on() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 15.0
        world.cloud.capacity = 3
        name = await world.up_with_machine()

        def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
            return "hold" if dst == f"{name}:9000" and path == "/orders" else None

        world.wire.filters.append(hold)
        await world.submit(job(1, pieces=4))
        await world.submit(job(2, pieces=4))
        await asyncio.sleep(3)
        await world.cancel(2)
        world.cut_off(name)  # it hangs for a while
        await asyncio.sleep(6)
        world.wire.filters.clear()
        await world.wire.release()
        await asyncio.sleep(12)
        await world.wire.release()
        await ended(world, (1, 2))

    play(story())


def test_all_controllers_are_away_for_longer_than_a_lease() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 30.0
        await world.up()
        await world.submit(job(1, pieces=6))
        await world.submit(job(2, pieces=6, crew="blue"))
        await world.until(lambda: len(world.cloud.starts) == 12, 60)
        for label in LABELS:
            world.kill(label)
        await asyncio.sleep(25)
        await world.up()
        await insist(world, lambda label: world.cancel(2, label))
        await ended(world, (1, 2))

    play(story())


def test_a_state_service_that_answers_slowly_while_users_cancel_and_ask() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 20.0
        await world.up()
        serve = world.state.serve

        async def slow(method: str, path: str, body: Any) -> Any:
            if not path.startswith("/watch") or "blockMs=0" in path:
                await asyncio.sleep(0.7)
            return await serve(method, path, body)

        world.wire.hosts["state:1"] = slow
        for number in range(1, 9):
            body = job(number, pieces=2)
            await insist(world, lambda label, body=body: world.submit(body, label))
        for number in (2, 5):
            await insist(world, lambda label, n=number: world.cancel(n, label))
        for _ in range(10):
            for number in range(1, 9):
                began = world.now()
                reply = await world.poll(number, LABELS[number % 3])
                assert reply.status in (200, 503) and world.now() - began < 5.0
            await asyncio.sleep(2)
        world.wire.hosts["state:1"] = serve
        await ended(world, range(1, 9))

    play(story())


def test_more_work_than_room_over_slow_links() -> None:
    async def story() -> None:
        world = World()
        world.wire.delay = 0.25
        world.cloud.capacity = 3
        world.cloud.run_s = lambda task: 8.0
        await world.up()
        numbers = range(1, 13)
        for number in numbers:
            rank = "high" if number % 3 == 0 else "standard"
            body = job(number, pieces=4, rank=rank, crew="blue" if number % 2 else "red")
            await insist(world, lambda label, body=body: world.submit(body, label))
        await ended(world, numbers, 300)
        for name in world.jobs:
            began = min(at for at, n, _ in world.cloud.starts if n.startswith(name))
            assert began - 1000.0 < 240

    play(story())


def test_jobs_cancelled_through_the_new_leader_while_workers_reach_only_the_old_one() -> None:
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 300.0
        await world.up()
        await world.submit(job(1))
        await world.submit(job(2))
        await world.until(lambda: len(world.cloud.starts) == 8, 60)
        old = str(world.leader)
        machines = tuple(world.cloud.workers)

        def alone(src: str, dst: str, *rest: Any) -> str | None:
            ends = {src, dst.split(":")[0]}
            if old in ends:
                return "cut" if ends & ({"state", "cloud", *LABELS} - {old}) else None
            return "cut" if ends & set(machines) and ends & set(LABELS) else None

        world.wire.filters.append(alone)
        world.wire.stalled.add((old, "state:1"))
        other = next(n for n in LABELS if n != old)
        await world.until(
            lambda: any(n != old and c.leader_term for n, c in world.nodes.items()), 10
        )
        assert (await world.cancel(1, other)).data["stage"] == "aborted"
        assert (await world.cancel(1, old)).status == 503
        await asyncio.sleep(60)
        world.wire.filters.clear()
        world.wire.stalled.clear()
        await asyncio.sleep(30)
        assert world.cloud.broken == [] and world.cloud.on_machines("job-000001") == []
        assert len(world.cloud.on_machines("job-000002")) == 4

    play(story())


@pytest.mark.parametrize("meanwhile", ["cancelled", "another leader", "ended"])
def test_a_write_that_is_still_on_its_way_when_things_change(meanwhile: str) -> None:
    # The key itself has not changed: what else the write depends on has.
    async def story() -> None:
        world = World()
        world.cloud.run_s = lambda task: 4.0
        await world.up_with_machine()
        kind = FINAL if meanwhile == "ended" else PROGRESS

        def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
            puts = [op.get("set", "") for op in (body or {}).get("apply", [])]
            return "hold" if any(key.startswith(kind) for key in puts) else None

        world.wire.filters.append(hold)
        await world.submit(job(pieces=2))
        await asyncio.sleep(14 if meanwhile == "ended" else 3)
        assert world.wire.held
        if meanwhile == "another leader":
            first = str(world.leader)
            world.kill(first)
            await world.until(lambda: world.leader not in (None, first), 10)
        else:
            assert (await world.cancel(1, "n1")).data["stage"] == "aborted"
        late = await world.wire.release()
        assert late and {reply.status for reply in late} == {409}
        world.wire.filters.clear()
        if meanwhile == "another leader":
            world.start(first)
        await ended(world, (1,))

    play(story())


def test_a_job_that_failed_on_every_machine_there_is_tries_them_again() -> None:
    # Machines it failed on were avoided for ever, though a fault may pass: no other could be had.
    async def story() -> None:
        world = World()
        world.cloud.capacity = 1
        await world.up_with_machine()
        failed: list[str] = []

        def cause(worker: Any, task: Any) -> str:
            if task.name not in failed:
                failed.append(task.name)
                return "error"
            return "done"

        world.cloud.cause = cause
        await world.submit(job(pieces=1))
        assert await world.finish(1, 110) < 10 + 90
        assert failed == ["job-000001/0"]

    play(story())
