"""The placement pass: arrival order, reservation of the head, fetch booking, limits."""

from __future__ import annotations

from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    Plan,
    RunningTask,
    Snapshot,
    TeamBudget,
)
from tests.fakes.placement import job, machine, run_pass, tasks_placed_by_job


def test_an_array_starts_as_many_as_fit_and_becomes_the_head() -> None:
    plan = run_pass([job(10), job(1)], [machine(), machine(4.0)])
    assert tasks_placed_by_job(plan) == {0: 6}
    assert plan.head == 0
    assert plan.unplaced_tasks[0] == 4


def test_what_is_left_for_scale_in_candidates_is_gathered_on_few() -> None:
    # Measured: spread over all of them, it kept 120 ordinary machines half used for minutes.
    def machines(scale_in_candidate: bool) -> list[PlacementMachine]:
        return [machine(8.0 - i, scale_in_candidate=scale_in_candidate) for i in range(3)]

    def used(plan: Plan) -> set[int]:
        return {d.machine for d in plan.placements}

    fetched = job(3, image_gb=1.0)
    assert used(run_pass([fetched], machines(False))) == {0, 1, 2}, "fetches run side by side"
    assert used(run_pass([job(3, image_gb=1.0)], machines(True))) == {2}, "the fullest"


def test_shadow_time_is_when_enough_has_ended() -> None:
    tasks = [RunningTask(120.0, 2.0, 0.0, 1.0), RunningTask(150.0, 4.0, 0.0, 1.0)]
    plan = run_pass([job(1, 8.0)], [machine(2.0, tasks=tasks)])
    assert (plan.head, plan.shadow_time) == (0, 150.0)


def test_backfill_starts_only_what_leaves_the_head_start_alone() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(4.0, tasks=[RunningTask(130.0, 4.0, 0.0, 1.0)])]

    head = job(1, 8.0)
    short, long = job(1, 2.0, estimate_s=25.0), job(1, 2.0, estimate_s=40.0)
    assert tasks_placed_by_job(run_pass([head, short], machines())) == {1: 1}
    assert tasks_placed_by_job(run_pass([head, long], machines())) == {}
    # What the head leaves over at its start may be used for longer.
    assert tasks_placed_by_job(
        run_pass([job(1, 6.0), job(2, 2.0, estimate_s=40.0)], machines())
    ) == {1: 1}


def test_a_booting_machine_counts_for_the_shadow_time() -> None:
    plan = run_pass([job(1, 8.0), job(1, 4.0, 50.0)], [machine(4.0), machine(ready_at=110.0)])
    assert plan.shadow_time == 110.0
    assert tasks_placed_by_job(plan) == {1: 1}


def test_fetches_are_booked_on_machine_and_zone() -> None:
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert tasks_placed_by_job(run_pass(images, [machine()], fetches_per_machine=2)) == {0: 1, 1: 1}
    two = [machine(), machine()]
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert sum(tasks_placed_by_job(run_pass(images, two, fetches_per_zone=3)).values()) == 3
    # One fetch serves all tasks that need it; a cached image needs none.
    same = [job(4, 1.0, image=7, image_gb=1.0), job(2, 1.0, image=8, image_gb=1.0)]
    assert tasks_placed_by_job(
        run_pass(same, [machine(cached_images={8})], fetches_per_machine=1)
    ) == {0: 4, 1: 2}


def test_a_start_above_the_fetch_budget_waits_for_a_quiet_zone() -> None:
    big = job(1, 1.0, image=1, image_gb=1.0)
    assert tasks_placed_by_job(run_pass([big], [machine()], fetches_per_zone=0)) == {0: 1}
    busy = [machine(), machine(remaining_fetch_gb={5: 1.0})]
    other = job(1, 1.0, image=2, image_gb=1.0)
    assert (
        tasks_placed_by_job(
            run_pass([job(1, 1.0, image=1, image_gb=1.0), other], busy, fetches_per_zone=0)
        )
        == {}
    )


def test_a_job_at_its_teams_limit_waits_but_is_not_the_head() -> None:
    plan = run_pass([job(4, 2.0), job(4, 2.0, team=1)], [machine(16.0)], team=4.0)
    assert tasks_placed_by_job(plan) == {0: 2, 1: 4}
    assert plan.head is None
    assert plan.wait_reasons[0] == "team limit"


def test_zone_rules_count_tasks_that_may_be_anywhere() -> None:
    def zoned() -> list[PlacementMachine]:
        return [machine(4.0), machine(zone=1)]

    plan = run_pass([job(4, 2.0, one_zone=True)], zoned())
    assert {d.machine for d in plan.placements} == {1}
    assert (
        tasks_placed_by_job(
            run_pass([job(4, 2.0, one_zone=True, tasks_in_unknown_zones=1)], zoned())
        )
        == {}
    )
    plan = run_pass([job(5, 1.0, max_tasks_per_zone=3)], zoned())
    assert sorted(d.task_count for d in plan.placements) == [2, 3]
    assert tasks_placed_by_job(
        run_pass([job(5, 1.0, max_tasks_per_zone=3, tasks_in_unknown_zones=2)], zoned())
    ) == {0: 2}


def test_spot_types_zones_and_bad_machines_are_respected() -> None:
    spot = machine(machine_type=1, spot=True)
    assert tasks_placed_by_job(run_pass([job(spot_allowed=False)], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(machine_types=frozenset({0}))], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(zone=1)], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(avoided_machines=frozenset({0}))], [spot])) == {}


def test_replicas_of_a_service_lie_on_different_machines_where_that_costs_nothing() -> None:
    def snapshot(
        *machines: PlacementMachine, pending: int = 2, on: dict[int, int] | None = None
    ) -> Snapshot:
        service = PlacementJob(pending, 2.0, 0.0, 2.0, 0, 1.0, 0, float("inf"))
        service.is_service, service.replicas_by_machine = True, on or {}
        return Snapshot(0.0, [service], list(machines), [TeamBudget(100.0, 0.0)], 1, 2, 16)

    def host(cached: bool = True, cpus: float = 8.0) -> PlacementMachine:
        return machine(cpus, memory_gb=32.0, cached_images={0} if cached else set())

    plan = place(snapshot(host(cpus=4.0), host()))
    assert sorted((d.machine, d.task_count) for d in plan.placements) == [(0, 1), (1, 1)]
    plan = place(snapshot(host(cpus=4.0), host(), pending=1, on={0: 1}))
    assert [(d.machine, d.task_count) for d in plan.placements] == [(1, 1)]
    # An image at hand counts more: a replica there is up sooner.
    plan = place(snapshot(host(), host(cached=False), pending=1, on={0: 1}))
    assert [(d.machine, d.task_count) for d in plan.placements] == [(0, 1)]
    # With one machine all of them go there.
    plan = place(snapshot(host(), pending=3))
    assert sum(d.task_count for d in plan.placements) == 3
