"""Failovers to a warm standby, with the former leader paused, dead or cut off at each step."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.failover.shadow_status import ShadowState
from spoolcourse.control.leadership.failover_proof import ProofSource, TermSupersededError
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import PROGRESS_PREFIX, TERM_KEY
from tests.fakes.failover import (
    STANDBY_ON,
    PausedController,
    RequestMatcher,
    finish_each_task_once,
    is_active,
    other_labels,
    record_placements_at_claim,
    record_placements_of_failover,
    run_after_request,
    sets_key_below,
    standby_of,
    start_with_running_job,
    wait_for_failover,
)
from tests.fakes.world import World, job


async def test_a_failover_to_a_caught_up_follower_needs_no_restore() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    world.kill(former)
    successor = await wait_for_failover(world, former)
    follower = next(label for label in world.controllers if label != successor)
    await world.until(lambda: world.controllers[follower].leadership.leader_label == successor, 5)
    assert world.controllers[follower].leadership.leaderless_since is None, (
        "still leaderless, although another controller leads"
    )
    proof = world.active(successor).proof
    assert proof.source is ProofSource.SHADOW
    assert proof.applied_revision >= proof.claim_revision
    standby = standby_of(world, successor)
    states = [standby.status.state]
    world.controllers[successor].leadership.step_down("test")
    states.append(standby.status.state)
    assert states == [ShadowState.LEADING, ShadowState.USABLE], (
        "the controller is not a usable standby after it stepped down"
    )
    await finish_each_task_once(world, 1)


# When the paused leader resumes: after the given host has executed the matching request.
RESUME_TRIGGERS: dict[str, tuple[str, RequestMatcher]] = {
    "before the claim": ("state:1", lambda method, path, body: path == "/holds"),
    "at the claim": ("state:1", sets_key_below(TERM_KEY)),
    "before the first write": (
        "m-000000:9000",
        lambda method, path, body: path == "/orders" and not body["orders"],
    ),
    "at the first write": ("state:1", sets_key_below(PROGRESS_PREFIX)),
    "after the first start": (
        "m-000000:9000",
        lambda method, path, body: path == "/orders" and bool(body["orders"]),
    ),
}


@pytest.mark.parametrize("moment", RESUME_TRIGGERS)
async def test_late_writes_of_a_leader_that_resumes_during_a_failover_start_no_task_twice(
    moment: str,
) -> None:
    # Its writes, commands and cloud calls arrive late, and it acts as leader for a moment.
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world, tasks=6)
    paused = PausedController(world, former)
    await world.submit(job(2, pieces=6, vcpus=1.0), other_labels(former)[0])
    await asyncio.sleep(0.3)  # the paused leader places tasks; its writes are held
    host, request = RESUME_TRIGGERS[moment]
    run_after_request(world, host, request, paused.resume)
    stored, adopted = record_placements_at_claim(world), record_placements_of_failover(world)
    await wait_for_failover(world, former)
    assert stored
    assert stored == adopted
    await world.until(lambda: paused.is_resumed, 30)
    statuses = {reply.status for reply in paused.late_placements}
    if moment == "before the claim":
        assert 200 in statuses, (
            "every late placement was refused, although it came before the claim"
        )
    else:
        assert statuses == {409}, (
            "a late placement was not refused, although at least the term had changed"
        )
    await finish_each_task_once(world, 1, 2)


@pytest.mark.parametrize("watch", ["slow", "broken"])
async def test_a_standby_behind_a_burst_of_changes_decides_only_after_it_has_caught_up(
    watch: str,
) -> None:
    # The tasks of the unseen placements already run: deciding without them starts tasks twice.
    world = World(standby=STANDBY_ON)
    world.cloud.run_s = lambda task: 15.0
    await world.start_with_machine()
    former = str(world.leader)
    world.network.stalled |= {(label, "state:1") for label in other_labels(former)}
    await world.submit(job(1, pieces=8, vcpus=1.0), former)
    await world.until(lambda: len(world.cloud.starts) >= 8)
    for number in range(1000):
        world.store._apply(
            [{"set": f"{PROGRESS_PREFIX}job-999999/{number % 7}", "v": EMPTY_PROGRESS}]
        )
    if watch == "broken":
        world.store.compact()
    world.kill(former)
    world.network.stalled.clear()
    stored, adopted = record_placements_at_claim(world), record_placements_of_failover(world)
    successor = await wait_for_failover(world, former, 30)
    assert len(stored) == 8
    assert stored == adopted
    proof = world.active(successor).proof
    assert proof.applied_revision >= proof.claim_revision > 1000
    await finish_each_task_once(world, 1)


EMPTY_PROGRESS: dict[str, Any] = {"done": "0", "held": {}}


async def test_a_third_controller_leads_if_the_second_dies_right_after_its_claim() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    claimed: list[str] = []

    async def kill_claimant() -> None:
        run_id = world.store.value(TERM_KEY)["run"]
        label = next(n for n, c in world.controllers.items() if c.leadership.run_id == run_id)
        claimed.append(label)
        world.kill(label)

    run_after_request(world, "state:1", sets_key_below(TERM_KEY), kill_claimant)
    world.kill(former)
    await world.until(lambda: claimed, 20)
    third = await wait_for_failover(world, former)
    assert third not in claimed
    assert world.active(third).proof.source is ProofSource.SHADOW
    world.start(former, *claimed)
    await finish_each_task_once(world, 1)


@pytest.mark.parametrize("fault", ["lose", "hold", "outage"])
async def test_a_claim_whose_outcome_is_unknown_starts_no_task_twice(fault: str) -> None:
    # It is stored and the answer lost, it is stored late, or an outage begins right after it.
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    verdicts = [fault] if fault != "outage" else []

    def disturb_claim(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        is_claim = sets_key_below(TERM_KEY)(method, path, body or {})
        return verdicts.pop() if verdicts and is_claim else None

    async def begin_outage() -> None:
        world.store.in_outage = True

    if fault == "outage":
        run_after_request(world, "state:1", sets_key_below(TERM_KEY), begin_outage)
    world.network.filters.append(disturb_claim)
    world.kill(former)
    if fault == "outage":
        await world.until(lambda: world.store.in_outage, 20)
        await asyncio.sleep(2)
        assert not any(is_active(world, n) for n in world.controllers), (
            "a controller leads before its claim is proven"
        )
        world.store.end_outage()
    successor = await wait_for_failover(world, former, 30)
    if fault == "lose":
        assert world.active(successor).proof.fencing_token == 2, (
            "the successor claimed again instead of reading that it leads"
        )
    await asyncio.sleep(3)
    await world.network.release()
    await finish_each_task_once(world, 1)


async def test_jobs_cancelled_before_and_after_a_failover_stop_in_time() -> None:
    world = World(standby=STANDBY_ON)
    world.cloud.run_s = lambda task: 500.0
    await world.start_with_machine()
    former = str(world.leader)
    other = other_labels(former)[0]
    for number in (1, 2):
        await world.submit(job(number, pieces=2, vcpus=1.0))
    await world.until(lambda: len(world.cloud.starts) == 4)
    paused = PausedController(world, former)
    assert (await world.cancel(1, other)).data["stage"] == "aborted"
    successor = await wait_for_failover(world, former)
    assert (await world.cancel(2, successor)).data["stage"] == "aborted"
    await paused.resume()
    await asyncio.sleep(45)
    assert not world.cloud.running_tasks("job-000001")
    assert not world.cloud.running_tasks("job-000002")
    assert world.cloud.violations == []
    assert world.starts_after_cancellation == []


async def test_tasks_whose_results_or_starts_two_leaders_did_not_store_are_not_repeated() -> None:
    # Tasks whose end was not acknowledged, and starts that no heartbeat has reported.
    world = World(standby=STANDBY_ON)
    world.cloud.run_s = lambda task: 3.0
    await world.start_with_machine()
    former = str(world.leader)
    await world.submit(job(1, pieces=8, vcpus=1.0))
    await world.until(lambda: len(world.cloud.starts) >= 4)
    world.network.filters.append(  # it receives no heartbeats or results; its starts still go out
        lambda src, dst, method, path, body: (
            "cut" if dst == f"{former}:80" and path == "/v1/report" else None
        )
    )
    await world.submit(job(2, pieces=4, vcpus=1.0), former)
    await asyncio.sleep(0.5)
    world.kill(former)
    second = await wait_for_failover(world, former)
    world.network.filters.append(  # it receives the results and can't store them
        lambda src, dst, method, path, body: "cut" if src == second and path == "/multi" else None
    )
    await asyncio.sleep(3)
    world.kill(second)
    await wait_for_failover(world, second)
    await finish_each_task_once(world, 1, 2)


async def test_replicas_of_a_service_run_on_across_failovers() -> None:
    world = World(standby=STANDBY_ON)
    world.cloud.run_s = lambda task: 500.0
    await world.start_with_machine()
    former = str(world.leader)
    await asyncio.sleep(3)
    body = job(1, shape="standing", pieces=2, vcpus=1.0, expectS=0.0)
    assert (await world.submit(body)).status == 201
    await world.until(lambda: len(world.cloud.running_tasks("job-000001")) == 2)
    for _ in range(2):
        world.kill(former)
        successor = await wait_for_failover(world, former)
        await asyncio.sleep(12)
        assert len(world.cloud.starts) == 2, "a replica was started again"
        world.start(former)
        await asyncio.sleep(2)
        former = successor
    assert world.cloud.violations == []


async def test_a_controller_restarted_within_a_second_has_a_usable_shadow() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    world.kill(former)
    await asyncio.sleep(0.4)
    world.start(former)
    await world.until(lambda: any(is_active(world, n) for n in world.controllers), 10)
    assert world.active().proof.source is ProofSource.SHADOW
    await finish_each_task_once(world, 1)


def refuse_first_lease_request(world: World, label: str) -> None:
    refused: list[str] = []

    def refuse(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src == label and path == "/holds" and not refused:
            refused.append(src)
            return "503"
        return None

    world.network.filters.append(refuse)


async def test_a_stale_follower_defers_its_candidacy_and_leads_if_all_are_stale() -> None:
    for stale_count in (1, 2):
        world = World(standby=STANDBY_ON)
        former = await start_with_running_job(world)
        first, second = other_labels(former)
        for label in (first, second)[:stale_count]:
            standby_of(world, label)._mark_stale("test")
        # It loses time by this, but less than the bounded wait of a stale follower.
        refuse_first_lease_request(world, second)
        world.kill(former)
        successor = await wait_for_failover(world, former)
        assert successor == second or stale_count == 2
        source = world.active(successor).proof.source
        assert source is (ProofSource.SHADOW if stale_count == 1 else ProofSource.RECORDS)
        await finish_each_task_once(world, 1)


async def test_a_shadow_that_differs_from_records_is_counted_and_replaced_by_a_restore() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    for label in other_labels(former):
        shadow = standby_of(world, label).shadow
        assert shadow is not None
        job_state = shadow.as_restored().job_queue.jobs["job-000001"]
        del job_state.attempts[next(iter(job_state.attempts))]
    world.kill(former)
    successor = await wait_for_failover(world, former)
    assert world.active(successor).proof.source is ProofSource.RECORDS
    status = standby_of(world, successor).status
    assert status.mismatches == 1
    assert status.stale_reason == "it differs from the records"
    await finish_each_task_once(world, 1)


async def test_a_superseded_controller_keeps_its_shadow() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    follower = other_labels(former)[0]
    controller, standby = world.controllers[follower], standby_of(world, follower)
    assert standby.shadow is not None
    shadow, rebuilds = standby.shadow, standby.status.rebuilds
    superseded_term = Term(0, controller.watch_cache.revision(TERM_KEY) - 1, 0)
    with pytest.raises(TermSupersededError):
        await controller._failover.run(superseded_term)
    assert standby.shadow is shadow
    assert standby.status.state is ShadowState.USABLE
    assert (standby.status.rebuilds, standby.status.mismatches) == (rebuilds, 0)
    await finish_each_task_once(world, 1)
