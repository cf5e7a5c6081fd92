"""Failovers by a warm standby, with the former leader paused, dead or cut off at each step."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from spoolcourse.control.failover.strategies import FailoverResult
from spoolcourse.control.failover.warm_standby import ShadowState
from spoolcourse.control.http_client import Response
from spoolcourse.control.leadership.failover_proof import ProofSource
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import PROGRESS_PREFIX, TERM_KEY, parse_progress_key
from spoolcourse.wire.standby_settings import StandbySettings
from tests.fakes.clock import play
from tests.fakes.world import LABELS, World, job

ON = StandbySettings(enabled=True, verify=True)
Step = Callable[[str, str, Any], bool]  # whether a request, by method, path and body, is the one


def sets(prefix: str) -> Step:
    """A transaction that sets a key with the prefix."""

    def is_one(method: str, path: str, body: Any) -> bool:
        return path == "/multi" and any(
            op.get("set", "").startswith(prefix) for op in body.get("apply", ())
        )

    return is_one


def after_step(world: World, host: str, step: Step, act: Callable[[], Awaitable[Any]]) -> None:
    """Act once, right after the host has carried out such a request, before it answers."""
    serve = world.wire.hosts[host]
    acted: list[bool] = []

    async def serve_and_act(method: str, path: str, body: Any) -> Response:
        reply = await serve(method, path, body)
        if not acted and reply.status == 200 and step(method, path, body):
            acted.append(True)
            await act()
        return reply

    world.wire.hosts[host] = serve_and_act


class Paused:
    """A node that stands still: what it sent is held, and nothing reaches it until it wakes."""

    def __init__(self, world: World, label: str) -> None:
        self.world, self.label, self.awake = world, label, False
        self.late_placements: list[Response] = []  # the answers to what it would have written
        world.wire.filters.append(self._verdict)

    def _verdict(self, src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if self.awake or self.label not in (src, dst.split(":")[0]):
            return None
        return "hold" if src == self.label and method == "POST" else "cut"

    async def wake(self) -> None:
        self.awake = True
        held = [(path, body) for _, _, path, body in self.world.wire.held]
        replies = await self.world.wire.release()
        for (path, body), reply in zip(held, replies, strict=True):
            if sets(PROGRESS_PREFIX)("POST", path, body):
                self.late_placements.append(reply)


Placement = tuple[str, int, str, int]  # job, task, machine and attempt


def note_placements_at_claim(world: World) -> set[Placement]:
    """Filled, at the next claim, with every placement that the key-value store then holds."""
    found: set[Placement] = set()

    async def note() -> None:
        for key, (value, _, _) in world.state.keys.items():
            if key.startswith(PROGRESS_PREFIX):
                job = parse_progress_key(key)[0]
                found.update((job, int(t), m, n) for t, (m, n) in value["held"].items())

    after_step(world, "state:1", sets(TERM_KEY), note)
    return found


def note_placements_taken_over(world: World) -> set[Placement]:
    """Filled, at the next failover, with the placements that it ends with."""
    found: set[Placement] = set()

    def noting(run: Callable[[Term], Awaitable[FailoverResult]]) -> Any:
        async def run_and_note(term: Term) -> FailoverResult:
            taken = await run(term)
            for job_state in taken.restored.job_queue.jobs.values():
                for a in job_state.attempts.values():
                    found.add((job_state.id, a.task, a.machine, a.number))
            return taken

        return run_and_note

    for node in world.nodes.values():
        node._failover.run = noting(node._failover.run)  # type: ignore[method-assign]
    return found


async def busy(world: World, tasks: int = 12) -> str:
    """Controllers, machines and a job whose tasks run; the leader's label."""
    world.cloud.run_s = lambda task: 15.0
    await world.up_with_machine()
    await world.submit(job(1, pieces=tasks, vcpus=1.0))
    await world.until(lambda: len(world.cloud.starts) >= 4)
    return str(world.leader)


def is_active(world: World, label: str) -> bool:
    term = world.nodes[label].leader_term if label in world.nodes else None
    return term is not None and term.active is not None


async def failover(world: World, former: str, limit: float = 20.0) -> str:
    """Wait for another node that decides; its label."""

    def found() -> list[str]:
        return [n for n in world.nodes if n != former and is_active(world, n)]

    await world.until(found, limit)
    return found()[0]


async def all_done(world: World, *numbers: int) -> None:
    for number in numbers:
        await world.finish(number)
    assert world.cloud.broken == []
    names = [name for _, name, _ in world.cloud.starts]
    assert len(names) == len(set(names)), "no task was started twice, for no machine was lost"


def test_a_follower_takes_over_from_its_shadow_without_a_restore() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        world.kill(former)
        successor = await failover(world, former)
        follower = next(n for n in world.nodes if n != successor)
        await world.until(lambda: world.nodes[follower].leadership.leader_label == successor, 5)
        assert world.nodes[follower].leadership.vacant_at is None, "another has filled it"
        proof = world.active(successor).proof
        assert proof.source is ProofSource.SHADOW
        assert proof.applied_revision >= proof.claim_revision
        standby = world.nodes[successor].standby
        assert standby is not None
        states = [standby.state]
        world.nodes[successor].leadership.step_down("test")
        states.append(standby.state)
        assert states == [ShadowState.LEADING, ShadowState.FIT], "it is a standby again"
        await all_done(world, 1)

    play(story())


WAKES: dict[str, tuple[str, Step]] = {
    "before the claim": ("state:1", lambda method, path, body: path == "/holds"),
    "at the claim": ("state:1", sets(TERM_KEY)),
    "before the first write": (
        "m-000000:9000",
        lambda method, path, body: path == "/orders" and not body["orders"],
    ),
    "at the first write": ("state:1", sets(PROGRESS_PREFIX)),
    "after the first start": (
        "m-000000:9000",
        lambda method, path, body: path == "/orders" and bool(body["orders"]),
    ),
}


@pytest.mark.parametrize("when", WAKES)
def test_a_leader_that_was_paused_wakes_during_the_take_over(when: str) -> None:
    # Its writes, commands and cloud calls arrive late, and it goes on for a moment as a leader.
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world, tasks=6)
        paused = Paused(world, former)
        await world.submit(job(2, pieces=6, vcpus=1.0), next(n for n in LABELS if n != former))
        await asyncio.sleep(0.3)  # it decides and writes: that is held
        host, step = WAKES[when]
        after_step(world, host, step, paused.wake)
        placed, known = note_placements_at_claim(world), note_placements_taken_over(world)
        await failover(world, former)
        assert placed and placed == known
        await world.until(lambda: paused.awake, 30)
        statuses = {reply.status for reply in paused.late_placements}
        if when == "before the claim":
            assert 200 in statuses, "carried out, and seen"
        else:
            assert statuses == {409}, "refused, whatever else has not changed"
        await all_done(world, 1, 2)

    play(story())


@pytest.mark.parametrize("watch", ["slow", "broken"])
def test_a_standby_behind_a_burst_of_changes_decides_only_once_it_has_caught_up(
    watch: str,
) -> None:
    # Placements that it has not seen run already: to decide without them starts tasks twice.
    async def story() -> None:
        world = World(standby=ON)
        world.cloud.run_s = lambda task: 15.0
        await world.up_with_machine()
        former = str(world.leader)
        others = [n for n in LABELS if n != former]
        world.wire.stalled |= {(n, "state:1") for n in others}
        await world.submit(job(1, pieces=8, vcpus=1.0), former)
        await world.until(lambda: len(world.cloud.starts) >= 8)
        for number in range(1000):
            world.state._apply([{"set": f"{PROGRESS_PREFIX}job-999999/{number % 7}", "v": EMPTY}])
        if watch == "broken":
            world.state.forget_changes()
        world.kill(former)
        world.wire.stalled.clear()
        placed, known = note_placements_at_claim(world), note_placements_taken_over(world)
        successor = await failover(world, former, 30)
        assert len(placed) == 8 and placed == known
        proof = world.active(successor).proof
        assert proof.applied_revision >= proof.claim_revision > 1000
        await all_done(world, 1)

    play(story())


EMPTY: dict[str, Any] = {"done": "0", "held": {}}


def test_the_chosen_one_dies_in_the_middle_and_three_lead_in_a_row() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        claimed: list[str] = []

        async def kill_claimant() -> None:
            run = world.state.value(TERM_KEY)["run"]
            label = next(n for n, c in world.nodes.items() if c.leadership.run_id == run)
            claimed.append(label)
            world.kill(label)

        after_step(world, "state:1", sets(TERM_KEY), kill_claimant)
        world.kill(former)
        await world.until(lambda: claimed, 20)
        third = await failover(world, former)
        assert third not in claimed and world.active(third).proof.source is ProofSource.SHADOW
        world.start(former, *claimed)
        await all_done(world, 1)

    play(story())


@pytest.mark.parametrize("claim", ["lose", "hold", "outage"])
def test_a_claim_without_a_clear_answer(claim: str) -> None:
    # Carried out and the answer lost, carried out late, or an outage right after it.
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        verdicts = [claim] if claim != "outage" else []

        def unclear(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
            return verdicts.pop() if verdicts and sets(TERM_KEY)(method, path, body or {}) else None

        async def go_out() -> None:
            world.state.in_outage = True

        if claim == "outage":
            after_step(world, "state:1", sets(TERM_KEY), go_out)
        world.wire.filters.append(unclear)
        world.kill(former)
        if claim == "outage":
            await world.until(lambda: world.state.in_outage, 20)
            await asyncio.sleep(2)
            assert not any(is_active(world, n) for n in world.nodes), "nothing is proven yet"
            world.state.end_outage()
        successor = await failover(world, former, 30)
        if claim == "lose":
            assert world.active(successor).proof.fencing_token == 2, "it reads that it was elected"
        await asyncio.sleep(3)
        await world.wire.release()
        await all_done(world, 1)

    play(story())


def test_cancellations_around_a_take_over_end_the_work_in_time() -> None:
    async def story() -> None:
        world = World(standby=ON)
        world.cloud.run_s = lambda task: 500.0
        await world.up_with_machine()
        former = str(world.leader)
        other = next(n for n in LABELS if n != former)
        for number in (1, 2):
            await world.submit(job(number, pieces=2, vcpus=1.0))
        await world.until(lambda: len(world.cloud.starts) == 4)
        paused = Paused(world, former)
        assert (await world.cancel(1, other)).data["stage"] == "aborted"
        successor = await failover(world, former)
        assert (await world.cancel(2, successor)).data["stage"] == "aborted"
        await paused.wake()
        await asyncio.sleep(45)
        assert not world.cloud.on_machines("job-000001")
        assert not world.cloud.on_machines("job-000002")
        assert world.cloud.broken == [] and world.late_starts == []

    play(story())


def test_results_and_starts_that_the_former_leader_has_not_written_down() -> None:
    # Tasks that have ended without an acknowledgement, and starts that no heartbeat has shown.
    async def story() -> None:
        world = World(standby=ON)
        world.cloud.run_s = lambda task: 3.0
        await world.up_with_machine()
        former = str(world.leader)
        await world.submit(job(1, pieces=8, vcpus=1.0))
        await world.until(lambda: len(world.cloud.starts) >= 4)
        world.wire.filters.append(  # heartbeats and results reach it no more, its starts go out
            lambda src, dst, method, path, body: (
                "cut" if dst == f"{former}:80" and path == "/v1/report" else None
            )
        )
        await world.submit(job(2, pieces=4, vcpus=1.0), former)
        await asyncio.sleep(0.5)
        world.kill(former)
        second = await failover(world, former)
        world.wire.filters.append(  # it hears the results, and can't write them down
            lambda src, dst, method, path, body: (
                "cut" if src == second and path == "/multi" else None
            )
        )
        await asyncio.sleep(3)
        world.kill(second)
        await failover(world, second)
        await all_done(world, 1, 2)

    play(story())


def test_replicas_of_a_service_are_taken_over_where_they_run() -> None:
    async def story() -> None:
        world = World(standby=ON)
        world.cloud.run_s = lambda task: 500.0
        await world.up_with_machine()
        former = str(world.leader)
        await asyncio.sleep(3)
        body = job(1, shape="standing", pieces=2, vcpus=1.0, expectS=0.0)
        assert (await world.submit(body)).status == 201
        await world.until(lambda: len(world.cloud.on_machines("job-000001")) == 2)
        for _ in range(2):
            world.kill(former)
            successor = await failover(world, former)
            await asyncio.sleep(12)
            assert len(world.cloud.starts) == 2, "they run on"
            world.start(former)
            await asyncio.sleep(2)
            former = successor
        assert world.cloud.broken == []

    play(story())


def test_a_process_back_within_a_second_stands_with_a_shadow_built_anew() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        world.kill(former)
        await asyncio.sleep(0.4)
        world.start(former)
        await world.until(lambda: any(is_active(world, n) for n in world.nodes), 10)
        assert world.active().proof.source is ProofSource.SHADOW
        await all_done(world, 1)

    play(story())


def refuse_one_lease(world: World, label: str) -> None:
    refused: list[str] = []

    def refuse(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src == label and path == "/holds" and not refused:
            refused.append(src)
            return "503"
        return None

    world.wire.filters.append(refuse)


def test_a_follower_that_is_behind_lets_another_stand_and_leads_if_all_are() -> None:
    async def story() -> None:
        for behind in (1, 2):
            world = World(standby=ON)
            former = await busy(world)
            others = [n for n in LABELS if n != former]
            for label in others[:behind]:
                standby = world.nodes[label].standby
                assert standby is not None
                standby._become_unfit("test")
            refuse_one_lease(world, others[1])  # it is slower, which a bounded wait makes up for
            world.kill(former)
            successor = await failover(world, former)
            assert successor == others[1] or behind == 2
            source = world.active(successor).proof.source
            assert source is (ProofSource.SHADOW if behind == 1 else ProofSource.RECORDS)
            await all_done(world, 1)

    play(story())
