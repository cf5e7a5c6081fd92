"""Preemption by rank and by guarantee: which running tasks are stopped for which jobs."""

from __future__ import annotations

from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    RunningTask,
    Snapshot,
    TeamBudget,
)
from spoolcourse.control.placement.preempt import choose_victims
from tests.fakes.placement import job, machine


def victims(
    jobs: list[PlacementJob],
    machines: list[PlacementMachine],
    cpus_over_guarantee: tuple[float, float] = (0.0, 0.0),
) -> list[int]:
    teams = [
        TeamBudget(1000.0, 0.0, cpus_over_guarantee[0]),
        TeamBudget(1000.0, 0.0, cpus_over_guarantee[1]),
    ]
    snapshot = Snapshot(100.0, jobs, machines, teams, 2, 2, 8)
    return choose_victims(snapshot, place(snapshot), 5.0)


def task(
    number: int,
    cpus: float = 4.0,
    loss_cpu_s: float = 9.0,
    expected_end: float = 160.0,
    **fields: object,
) -> RunningTask:
    options = {"rank": 2} | fields
    return RunningTask(
        expected_end,
        cpus,
        0.0,
        1.0,
        attempt_number=number,
        checkpoint_loss_cpu_s=loss_cpu_s,
        **options,  # type: ignore[arg-type]
    )


def test_preemption_stops_the_lower_ranked_task_with_the_least_checkpoint_loss() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(0.0, tasks=[task(1, loss_cpu_s=90.0), task(2, loss_cpu_s=9.0)])]

    preempting = {"rank": 1, "may_preempt": True}
    assert victims([job(2, 2.0, **preempting)], machines()) == [2]
    assert victims([job(3, 2.0, **preempting)], machines()) == [2, 1]
    assert victims([job(2, 2.0, rank=1)], machines()) == [], (
        "preempted for a job that may not preempt"
    )
    unplaceable = job(2, 2.0, one_zone=True, tasks_in_unknown_zones=1, **preempting)
    assert victims([unplaceable], machines()) == [], (
        "preempted for a job that could not start there"
    )
    assert victims([job(2, 2.0, rank=2, may_preempt=True)], machines()) == [], (
        "preempted a task that is not of lower rank"
    )
    ending_soon = [machine(0.0, tasks=[task(1, expected_end=103.0)])]
    assert victims([job(1, 2.0, **preempting)], ending_soon) == [], (
        "preempted a task that is about to end"
    )
    small_task = [machine(0.0, tasks=[task(1, 1.0)])]
    assert victims([job(1, 2.0, **preempting)], small_task) == [], (
        "preempted a task that would free too little"
    )


def test_capacity_that_is_being_freed_is_not_freed_twice() -> None:
    busy = machine(0.0, tasks=[task(1, stopping=True), task(2)])
    busy.expect_release(busy.tasks[0])
    assert victims([job(2, 2.0, rank=1, may_preempt=True)], [busy]) == []


def test_a_guarantee_preempts_only_what_another_team_runs_beyond_its_own_guarantee() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(0.0, tasks=[task(1, team=1), task(2, team=1)])]

    guaranteed_job = job(4, 2.0, may_preempt=True, within_guarantee=True)
    assert victims([guaranteed_job], machines(), cpus_over_guarantee=(0.0, 4.0)) == [1]
    assert victims([guaranteed_job], machines(), cpus_over_guarantee=(0.0, 3.0)) == []
    protected_tasks = [
        machine(0.0, tasks=[task(1, team=1, within_guarantee=True), task(2, team=1, rank=1)])
    ]
    assert victims([guaranteed_job], protected_tasks, cpus_over_guarantee=(0.0, 9.0)) == []
    own_tasks = [machine(0.0, tasks=[task(1, team=0)])]
    assert victims([guaranteed_job], own_tasks, cpus_over_guarantee=(8.0, 0.0)) == []
