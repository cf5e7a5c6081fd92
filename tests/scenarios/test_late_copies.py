"""Copies of start commands that were executed and answered before, delivered once more."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest

from tests.fakes.cloud import FakeWorker, Task
from tests.fakes.scenario_steps import restart_leader
from tests.fakes.world import World, job

HEARTBEATS_TO_ACKNOWLEDGE_S = 6.0  # four heartbeats: result, write, acknowledgement, absence
COPY_INTERVAL_S = 0.7
JOB = "job-000001"


def copy_starts(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
    """A network filter: each call with a start is answered, and kept to be delivered again."""
    if path != "/orders":
        return None
    return "copy" if any(command["verb"] == "start" for command in body["orders"]) else None


@dataclass
class Scene:
    """A job's only task, started by a call on the first of two machines, and both machines."""

    world: World
    first: str  # the machine on which the task was started first

    def worker(self) -> FakeWorker:
        return self.world.cloud.workers[self.first]

    def task(self) -> Task:
        return next(t for t in self.worker().tasks.values() if t.name == f"{JOB}/0")

    def end_on_first_machine(self, cause: str) -> None:
        """The task ends on the first machine, which reports that."""
        self.worker()._end(self.task(), cause)
        self.worker()._changed.set()

    def started_on(self) -> list[str]:
        return [machine for _, task, machine in self.world.cloud.starts if task == f"{JOB}/0"]

    def take_no_more_starts(self) -> None:
        """The first machine gets no further starts from this leader."""
        self.world.active().registry.machines[self.first].start_refused_until = math.inf

    async def until_moved(self) -> None:
        await self.world.until(lambda: len(self.started_on()) == 2, 40)
        assert self.started_on()[1] != self.first


async def start_task(**fields: object) -> Scene:
    """Start a job of one task by a call that is answered, and that is copied on its way."""
    world = World()
    world.cloud.capacity = 2
    world.cloud.run_s = lambda task: 10_000.0
    await world.start_with_machine()
    world.cloud.add_machine("b")
    await asyncio.sleep(3)
    world.network.filters.append(copy_starts)
    await world.submit(job(1, **({"pieces": 1} | fields)))
    await world.until(lambda: len(world.cloud.starts) >= 1, 20)
    scene = Scene(world, world.cloud.starts[0][2])
    assert world.network.copies, "no start was sent by a call"
    await asyncio.sleep(2)  # the call was answered, and the machine has reported the task
    world.cloud.image_fetch_s = 0.0  # the image is cached from now on: a start takes effect at once
    return scene


async def nothing(scene: Scene) -> None:
    """Nothing happens: the task still runs."""


async def completed(scene: Scene) -> None:
    """The task completes; its result is acknowledged, and the worker forgets the attempt."""
    scene.end_on_first_machine("done")
    await scene.world.wait_until_done()
    await asyncio.sleep(HEARTBEATS_TO_ACKNOWLEDGE_S)
    assert not scene.worker().tasks, "the attempt was not acknowledged"


async def failed_and_moved(scene: Scene) -> None:
    """The task fails and is started on the other machine."""
    scene.take_no_more_starts()
    scene.end_on_first_machine("error")
    await scene.until_moved()


async def stopped_and_moved(scene: Scene) -> None:
    """The task is stopped, as for a preemption, and is started on the other machine."""
    scene.take_no_more_starts()
    active = scene.world.active()
    active.registry.end_attempt(active.job_queue.jobs[JOB].attempts[0])
    await scene.until_moved()


async def moved_for_a_notice(scene: Scene) -> None:
    """The machine gets a termination notice, and the task is started on the other machine."""
    scene.take_no_more_starts()
    scene.worker().termination_notice_s = 600.0
    active = scene.world.active()
    active.registry.end_attempt(active.job_queue.jobs[JOB].attempts[0])
    await scene.until_moved()


async def cancelled(scene: Scene) -> None:
    """The job is cancelled, and its task is gone."""
    assert (await scene.world.cancel()).status == 200
    await scene.world.until(lambda: not scene.world.cloud.running_tasks(JOB), 20)


async def replica_completed(scene: Scene) -> None:
    """A service's replica ends as completed, and is started again."""
    scene.take_no_more_starts()
    scene.end_on_first_machine("done")
    await scene.until_moved()


async def leader_back_at_once(scene: Scene) -> None:
    """The leader ends and is back within a second."""
    await restart_leader(scene.world, 0.3)


async def another_leader(scene: Scene) -> None:
    """The leader ends, and another controller is elected."""
    first = str(scene.world.leader)
    scene.world.kill(first)
    await scene.world.until(lambda: scene.world.leader not in (None, first), 20)
    scene.world.start(first)


async def leadership_released(scene: Scene) -> None:
    """The leader steps down and releases its lease, as for an upgrade."""
    world = scene.world
    first = str(world.leader)
    await world.controllers[first].leadership.step_down_and_release_lease("a test")
    await world.until(lambda: world.leader not in (None, first), 20)


async def machine_back_at_once(scene: Scene) -> None:
    """The machine is cut off and back within a second."""
    filters = list(scene.world.network.filters)
    scene.world.cut_off(scene.first)
    await asyncio.sleep(0.7)
    scene.world.network.filters[:] = filters


async def lease_expired(scene: Scene) -> None:
    """The machine is cut off for longer than its lease, and begins its next incarnation."""
    filters = list(scene.world.network.filters)
    scene.world.cut_off(scene.first)
    await asyncio.sleep(14)
    scene.world.network.filters[:] = filters
    await asyncio.sleep(3)


Step = Callable[[Scene], Awaitable[None]]
ENDS: list[Step] = [
    nothing,
    completed,
    failed_and_moved,
    stopped_and_moved,
    moved_for_a_notice,
    cancelled,
]
RETURNS: list[Step] = [
    nothing,
    leader_back_at_once,
    another_leader,
    leadership_released,
    machine_back_at_once,
    lease_expired,
]


async def deliver_copies_for(scene: Scene, seconds: float) -> None:
    """Deliver the copies again and again."""
    for _ in range(int(seconds / COPY_INTERVAL_S)):
        await scene.world.network.deliver_copies()
        await asyncio.sleep(COPY_INTERVAL_S)


async def check_copies_start_nothing(scene: Scene) -> None:
    """Deliver the copies for longer than a lease; no task starts and no rule is broken."""
    world = scene.world
    world.network.filters.remove(copy_starts)
    starts_before = list(world.cloud.starts)
    assert await world.network.deliver_copies()
    await deliver_copies_for(scene, 2 * world.cloud.lease_s)
    assert world.cloud.starts == starts_before
    assert world.cloud.violations == []
    assert world.starts_after_cancellation == []


@pytest.mark.parametrize("returns", RETURNS, ids=lambda step: str(step.__name__))
@pytest.mark.parametrize("ends", ENDS, ids=lambda step: str(step.__name__))
async def test_a_copy_of_an_executed_start_starts_nothing(ends: Step, returns: Step) -> None:
    scene = await start_task()
    await ends(scene)
    await returns(scene)
    await check_copies_start_nothing(scene)


@pytest.mark.parametrize("ends", ENDS[2:], ids=lambda step: str(step.__name__))
async def test_a_copy_that_arrives_while_the_leader_changes_starts_nothing(ends: Step) -> None:
    scene = await start_task()
    await ends(scene)
    await asyncio.gather(another_leader(scene), deliver_copies_for(scene, 6.0))
    await check_copies_start_nothing(scene)


async def test_a_copy_does_not_start_a_replica_that_ended_and_moved() -> None:
    # A completed replica was acknowledged like a completed task. But a replica has no result with
    # which it would exit at once: the copy started it again, beside its successor.
    scene = await start_task(shape="standing", rank="prod", expectS=0.0)
    await replica_completed(scene)
    await asyncio.sleep(HEARTBEATS_TO_ACKNOWLEDGE_S)
    await check_copies_start_nothing(scene)
