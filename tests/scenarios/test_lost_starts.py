"""Direct starts that get no answer, of attempts that are ended before they are seen."""

from __future__ import annotations

import asyncio

import pytest

from spoolcourse.control.jobs.model import AttemptStage
from tests.fakes.network import Filter
from tests.fakes.scenario_steps import wait_until_jobs_end
from tests.fakes.world import World, job


def direct_calls_get(verdict: str) -> Filter:
    """Return a network filter for calls with commands."""

    def check(src: str, dst: str, method: str, path: str, body: object) -> str | None:
        return verdict if path == "/orders" else None

    return check


def lose_heartbeats(src: str, dst: str, method: str, path: str, body: object) -> str | None:
    """A network filter: no heartbeat arrives."""
    return "cut" if path == "/v1/report" else None


def delay_replies_to(machine: str) -> Filter:
    """Return a network filter: replies to the machine's heartbeats take seconds."""

    def check(src: str, dst: str, method: str, path: str, body: object) -> str | None:
        return "slow reply" if src == machine else None

    return check


async def assign_while_cut(world: World, verdict: str) -> None:
    """Have a job assigned to the only machine, while direct calls fail and heartbeats are lost."""
    world.cloud.capacity = 1
    await world.start_with_machine()
    world.network.filters += [direct_calls_get(verdict), lose_heartbeats]
    await world.submit(job(1))
    await world.until(lambda: assigned_attempts(world) == 4, 3.0)
    assert world.cloud.starts == []


def assigned_attempts(world: World) -> int:
    job_state = world.active().job_queue.jobs["job-000001"]
    return sum(a.stage is AttemptStage.ASSIGNED for a in job_state.attempts.values())


@pytest.mark.parametrize("verdict", ["cut", "reset", "refused", "unconnected", "lose"])
async def test_a_preempted_attempt_whose_direct_start_was_lost_frees_its_room(
    verdict: str,
) -> None:
    # Such an attempt stayed assigned for good: neither its job nor the preempting one ever ran.
    world = World()
    await assign_while_cut(world, verdict)
    await world.submit(job(2, rank="high"))
    await asyncio.sleep(2.5)
    world.network.filters.clear()
    await wait_until_jobs_end(world, (1, 2), 60)
    assert len(world.cloud.hosts) == 1


@pytest.mark.parametrize("verdict", ["cut", "reset", "refused", "unconnected"])
async def test_an_attempt_whose_direct_start_was_lost_leaves_a_machine_with_a_notice(
    verdict: str,
) -> None:
    # A machine with a termination notice gets no further starts, so the attempt waited there.
    world = World()
    await assign_while_cut(world, verdict)
    await asyncio.sleep(2.5)
    next(iter(world.cloud.workers.values())).termination_notice_s = 60.0
    world.cloud.add_machine()
    world.network.filters.clear()
    await wait_until_jobs_end(world, (1,), 40)


async def test_a_start_under_way_in_a_response_is_not_taken_for_lost_by_the_answer_to_a_call() -> (
    None
):
    # The answer to the call brings a newer heartbeat without the second job's task, while the
    # response that starts it is still under way. The task was started on the other machine too.
    world = World()
    world.cloud.capacity = 2
    world.cloud.run_s = lambda task: 30.0
    world.cloud.image_fetch_s = 0.0
    first = await world.start_with_machine()
    worker = world.cloud.workers[first]
    sequence = worker.sequence
    await world.until(lambda: worker.sequence > sequence, 2.0)
    await asyncio.sleep(0.6)  # it may send its next heartbeat as soon as something changes
    world.network.filters += [direct_calls_get("slow request"), delay_replies_to(first)]
    await world.submit(job(1, pieces=1))
    await world.until(lambda: assigned_attempts(world) == 1, 1.0)
    await world.submit(job(2, pieces=1))
    worker._changed.set()  # its heartbeat is answered with the start of job 2, slowly
    active = world.active()
    await world.until(lambda: active.job_queue.jobs["job-000002"].attempts, 1.0)
    attempt = active.job_queue.jobs["job-000002"].attempts[0]
    await world.until(lambda: attempt.start.response_to is not None, 1.0)
    active.registry.machines[first].start_refused_until = world.now() + 5.0
    world.cloud.add_machine("b")
    active.registry.end_attempt(attempt)
    await world.until(lambda: len(world.cloud.starts) >= 2, 20)
    await asyncio.sleep(4)
    world.network.filters.clear()
    await wait_until_jobs_end(world, (1, 2))


async def test_an_attempt_cancelled_during_a_call_without_connection_ends_with_it() -> None:
    # It waited for the next heartbeat, or for the deletion of its machine.
    world = World()
    await assign_while_cut(world, "unconnected")
    assert (await world.cancel()).status == 200
    await asyncio.sleep(1.5)  # the call has ended, and no heartbeat has arrived
    active = world.active()
    assert not active.registry.machines[next(iter(world.cloud.workers))].attempts
    assert world.cloud.starts == []


async def test_a_task_that_is_cancelled_during_the_call_that_starts_it_gets_a_stop_at_once() -> (
    None
):
    world = World()
    world.cloud.capacity = 1
    name = await world.start_with_machine()
    world.network.filters += [direct_calls_get("slow request"), lose_heartbeats]
    await world.submit(job(1))
    await world.until(lambda: assigned_attempts(world) == 4, 3.0)
    assert (await world.cancel()).status == 200
    world.network.filters.remove(world.network.filters[0])
    await asyncio.sleep(0.7)  # no heartbeat has arrived
    assert {task.cause for task in world.cloud.workers[name].tasks.values()} == {"halted"}


async def test_a_late_call_does_not_start_a_preempted_attempt_that_moved() -> None:
    world = World()
    await assign_while_cut(world, "hold")
    await world.submit(job(2, rank="high"))
    await asyncio.sleep(2.5)
    world.network.filters.clear()
    await wait_until_jobs_end(world, (1, 2), 60)
    world.cloud.image_fetch_s = 0.0  # a start takes effect at once
    starts_before = list(world.cloud.starts)
    assert [reply.status for reply in await world.network.release()] == [200]
    await asyncio.sleep(5)
    assert world.cloud.starts == starts_before


async def test_a_late_call_of_a_cancelled_job_is_stopped_and_its_machine_is_kept() -> None:
    world = World()
    await assign_while_cut(world, "hold")
    assert (await world.cancel()).status == 200
    await asyncio.sleep(2.5)
    world.network.filters.clear()
    await asyncio.sleep(5)
    assert world.active().job_queue.jobs["job-000001"].attempts, "released too early"
    await world.network.release()
    await asyncio.sleep(5)
    assert world.starts_after_cancellation == []
    assert "job-000001" not in world.active().job_queue.jobs
    assert len(world.cloud.hosts) == 1


async def test_a_machine_is_deleted_if_a_lost_start_of_a_cancelled_job_may_still_take_effect() -> (
    None
):
    # None of the job's tasks may be started, so nothing else proves that the call has no effect.
    world = World()
    await assign_while_cut(world, "hold")
    first = set(world.cloud.hosts)
    assert (await world.cancel()).status == 200
    await asyncio.sleep(2.5)
    world.network.filters.clear()
    jobs = world.active().job_queue.jobs
    await world.until(lambda: not first & set(world.cloud.hosts) or "job-000001" not in jobs, 40)
    assert not first & set(world.cloud.hosts), "the job ended, although the call may take effect"
    await world.until(lambda: "job-000001" not in jobs, 1.0)  # the cloud confirms the deletion
    assert world.cloud.starts == []
