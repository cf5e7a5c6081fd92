"""The placement pass: arrival order, the head's reservation, image fetches and limits."""

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


def test_a_job_starts_the_tasks_that_fit_and_becomes_the_head() -> None:
    plan = run_pass([job(10), job(1)], [machine(), machine(4.0)])
    assert tasks_placed_by_job(plan) == {0: 6}
    assert plan.head == 0
    assert plan.unplaced_tasks[0] == 4


def test_tasks_left_for_scale_in_candidates_are_packed_on_few_machines() -> None:
    # Measured: spread over all of them, they kept 120 on-demand machines half used for minutes.
    def machines(scale_in_candidate: bool) -> list[PlacementMachine]:
        return [machine(8.0 - i, scale_in_candidate=scale_in_candidate) for i in range(3)]

    def machines_used(plan: Plan) -> set[int]:
        return {p.machine for p in plan.placements}

    job_with_fetch = job(3, image_gb=1.0)
    assert machines_used(run_pass([job_with_fetch], machines(False))) == {0, 1, 2}, (
        "image fetches do not run in parallel"
    )
    assert machines_used(run_pass([job(3, image_gb=1.0)], machines(True))) == {2}, (
        "tasks are not packed on the fullest machine"
    )


def test_shadow_time_is_when_enough_tasks_have_ended_for_the_head() -> None:
    tasks = [RunningTask(120.0, 2.0, 0.0, 1.0), RunningTask(150.0, 4.0, 0.0, 1.0)]
    plan = run_pass([job(1, 8.0)], [machine(2.0, tasks=tasks)])
    assert (plan.head, plan.shadow_time) == (0, 150.0)


def test_backfill_does_not_delay_the_start_of_the_head() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(4.0, tasks=[RunningTask(130.0, 4.0, 0.0, 1.0)])]

    head = job(1, 8.0)
    short, long = job(1, 2.0, estimate_s=25.0), job(1, 2.0, estimate_s=40.0)
    assert tasks_placed_by_job(run_pass([head, short], machines())) == {1: 1}
    assert tasks_placed_by_job(run_pass([head, long], machines())) == {}
    # Capacity that the head does not need at its start may be used beyond it.
    assert tasks_placed_by_job(
        run_pass([job(1, 6.0), job(2, 2.0, estimate_s=40.0)], machines())
    ) == {1: 1}


def test_a_booting_machine_counts_for_the_shadow_time() -> None:
    plan = run_pass([job(1, 8.0), job(1, 4.0, 50.0)], [machine(4.0), machine(ready_at=110.0)])
    assert plan.shadow_time == 110.0
    assert tasks_placed_by_job(plan) == {1: 1}


def test_image_fetches_are_limited_per_machine_and_zone() -> None:
    image_jobs = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert tasks_placed_by_job(run_pass(image_jobs, [machine()], fetches_per_machine=2)) == {
        0: 1,
        1: 1,
    }
    two_machines = [machine(), machine()]
    image_jobs = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert (
        sum(tasks_placed_by_job(run_pass(image_jobs, two_machines, fetches_per_zone=3)).values())
        == 3
    )
    # One fetch serves all tasks that need it; a cached image needs none.
    jobs = [job(4, 1.0, image=7, image_gb=1.0), job(2, 1.0, image=8, image_gb=1.0)]
    assert tasks_placed_by_job(
        run_pass(jobs, [machine(cached_images={8})], fetches_per_machine=1)
    ) == {0: 4, 1: 2}


def test_a_start_above_the_fetch_budget_waits_until_its_zone_has_no_fetch() -> None:
    fetching = job(1, 1.0, image=1, image_gb=1.0)
    assert tasks_placed_by_job(run_pass([fetching], [machine()], fetches_per_zone=0)) == {0: 1}
    busy_zone = [machine(), machine(remaining_fetch_gb={5: 1.0})]
    other = job(1, 1.0, image=2, image_gb=1.0)
    assert (
        tasks_placed_by_job(
            run_pass([job(1, 1.0, image=1, image_gb=1.0), other], busy_zone, fetches_per_zone=0)
        )
        == {}
    )


def test_a_job_at_its_teams_limit_waits_but_is_not_the_head() -> None:
    plan = run_pass([job(4, 2.0), job(4, 2.0, team=1)], [machine(16.0)], team=4.0)
    assert tasks_placed_by_job(plan) == {0: 2, 1: 4}
    assert plan.head is None
    assert plan.wait_reasons[0] == "team limit"


def test_zone_rules_count_tasks_in_unknown_zones() -> None:
    def machines_in_two_zones() -> list[PlacementMachine]:
        return [machine(4.0), machine(zone=1)]

    plan = run_pass([job(4, 2.0, one_zone=True)], machines_in_two_zones())
    assert {p.machine for p in plan.placements} == {1}
    assert (
        tasks_placed_by_job(
            run_pass(
                [job(4, 2.0, one_zone=True, tasks_in_unknown_zones=1)], machines_in_two_zones()
            )
        )
        == {}
    )
    plan = run_pass([job(5, 1.0, max_tasks_per_zone=3)], machines_in_two_zones())
    assert sorted(p.task_count for p in plan.placements) == [2, 3]
    assert tasks_placed_by_job(
        run_pass(
            [job(5, 1.0, max_tasks_per_zone=3, tasks_in_unknown_zones=2)], machines_in_two_zones()
        )
    ) == {0: 2}


def test_limits_on_spot_machine_type_and_zone_and_avoided_machines_are_respected() -> None:
    spot = machine(machine_type=1, spot=True)
    assert tasks_placed_by_job(run_pass([job(spot_allowed=False)], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(machine_types=frozenset({0}))], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(zone=1)], [spot])) == {}
    assert tasks_placed_by_job(run_pass([job(avoided_machines=frozenset({0}))], [spot])) == {}


def test_replicas_are_placed_on_different_machines_where_that_costs_no_fetch() -> None:
    def snapshot(
        *machines: PlacementMachine,
        pending: int = 2,
        replicas_by_machine: dict[int, int] | None = None,
    ) -> Snapshot:
        service = PlacementJob(pending, 2.0, 0.0, 2.0, 0, 1.0, 0, float("inf"))
        service.is_service, service.replicas_by_machine = True, replicas_by_machine or {}
        return Snapshot(0.0, [service], list(machines), [TeamBudget(100.0, 0.0)], 1, 2, 16)

    def service_machine(cached: bool = True, cpus: float = 8.0) -> PlacementMachine:
        return machine(cpus, memory_gb=32.0, cached_images={0} if cached else set())

    plan = place(snapshot(service_machine(cpus=4.0), service_machine()))
    assert sorted((p.machine, p.task_count) for p in plan.placements) == [(0, 1), (1, 1)]
    plan = place(
        snapshot(
            service_machine(cpus=4.0), service_machine(), pending=1, replicas_by_machine={0: 1}
        )
    )
    assert [(p.machine, p.task_count) for p in plan.placements] == [(1, 1)]
    # A cached image counts more: the replica is ready sooner there.
    plan = place(
        snapshot(
            service_machine(), service_machine(cached=False), pending=1, replicas_by_machine={0: 1}
        )
    )
    assert [(p.machine, p.task_count) for p in plan.placements] == [(0, 1)]
    # A single machine takes all replicas.
    plan = place(snapshot(service_machine(), pending=3))
    assert sum(p.task_count for p in plan.placements) == 3
