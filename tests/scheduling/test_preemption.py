"""Preemption for rank and quota: which running tasks are stopped for which jobs."""

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


def stopped(
    jobs: list[PlacementJob],
    machines: list[PlacementMachine],
    over: tuple[float, float] = (0.0, 0.0),
) -> list[int]:
    teams = [TeamBudget(1000.0, 0.0, over[0]), TeamBudget(1000.0, 0.0, over[1])]
    snapshot = Snapshot(100.0, jobs, machines, teams, 2, 2, 8)
    return choose_victims(snapshot, place(snapshot), 5.0)


def task(
    number: int,
    cpus: float = 4.0,
    loss_cpu_s: float = 9.0,
    expected_end: float = 160.0,
    **fields: object,
) -> RunningTask:
    plain = {"rank": 2} | fields
    return RunningTask(
        expected_end,
        cpus,
        0.0,
        1.0,
        attempt_number=number,
        checkpoint_loss_cpu_s=loss_cpu_s,
        **plain,  # type: ignore[arg-type]
    )


def test_a_claim_stops_the_lower_ranked_task_that_loses_least() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(0.0, tasks=[task(1, loss_cpu_s=90.0), task(2, loss_cpu_s=9.0)])]

    claim = {"rank": 1, "may_preempt": True}
    assert stopped([job(2, 2.0, **claim)], machines()) == [2]
    assert stopped([job(3, 2.0, **claim)], machines()) == [2, 1]
    assert stopped([job(2, 2.0, rank=1)], machines()) == [], "no claim"
    lost = job(2, 2.0, one_zone=True, tasks_in_unknown_zones=1, **claim)
    assert stopped([lost], machines()) == [], "it could not start there anyway"
    assert stopped([job(2, 2.0, rank=2, may_preempt=True)], machines()) == [], "not of lower rank"
    soon = [machine(0.0, tasks=[task(1, expected_end=103.0)])]
    assert stopped([job(1, 2.0, **claim)], soon) == [], "it ends by itself"
    half = [machine(0.0, tasks=[task(1, 1.0)])]
    assert stopped([job(1, 2.0, **claim)], half) == [], "stopping it would not make room"


def test_room_that_is_being_made_is_not_made_twice() -> None:
    busy = machine(0.0, tasks=[task(1, stopping=True), task(2)])
    busy.expect_release(busy.tasks[0])
    assert stopped([job(2, 2.0, rank=1, may_preempt=True)], [busy]) == []


def test_a_guarantee_takes_back_only_what_another_team_runs_beyond_its_own() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(0.0, tasks=[task(1, team=1), task(2, team=1)])]

    mine = job(4, 2.0, may_preempt=True, within_guarantee=True)
    assert stopped([mine], machines(), over=(0.0, 4.0)) == [1]
    assert stopped([mine], machines(), over=(0.0, 3.0)) == []
    safe = [machine(0.0, tasks=[task(1, team=1, within_guarantee=True), task(2, team=1, rank=1)])]
    assert stopped([mine], safe, over=(0.0, 9.0)) == []
    own = [machine(0.0, tasks=[task(1, team=0)])]
    assert stopped([mine], own, over=(8.0, 0.0)) == []
