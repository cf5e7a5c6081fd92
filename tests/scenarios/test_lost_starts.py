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


@pytest.mark.parametrize("verdict", ["cut", "reset", "refused", "lose"])
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


@pytest.mark.parametrize("verdict", ["cut", "reset", "refused"])
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
