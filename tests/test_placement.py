"""The placement pass: arrival order, guarded head start, fetch booking, limits."""

from __future__ import annotations

from math import inf

from spoolcourse.control.autoscaling.planner import JobDemand, Offer, plan_provisioning, top_up
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    Plan,
    RunningTask,
    Snapshot,
    TeamBudget,
)
from spoolcourse.control.placement.preempt import choose_victims


def machine(cpus: float = 8.0, total_cpus: float = 8.0, **fields: object) -> PlacementMachine:
    plain = {"machine_type": 0, "zone": 0, "spot": False} | fields
    plain = {"gpus": 0.0, "memory_gb": 64.0, "fetch_gb_per_s": 1.0} | plain
    return PlacementMachine(cpus=cpus, total_cpus=total_cpus, **plain)  # type: ignore[arg-type]


def job(
    pending: int = 1, cpus: float = 2.0, estimate_s: float = 10.0, **fields: object
) -> PlacementJob:
    plain = {"image": 0, "image_gb": 0.0, "team": 0} | fields
    return PlacementJob(
        *(pending, cpus, 0.0, 1.0),
        estimate_s=estimate_s,
        **plain,  # type: ignore[arg-type]
    )


def run(
    jobs: list[PlacementJob],
    machines: list[PlacementMachine],
    team: float = 1000.0,
    fetches_per_machine: int = 2,
    fetches_per_zone: int = 8,
) -> Plan:
    teams = [TeamBudget(team, 0.0), TeamBudget(1000.0, 0.0)]
    return place(Snapshot(100.0, jobs, machines, teams, 2, fetches_per_machine, fetches_per_zone))


def placed(plan: Plan) -> dict[int, int]:
    counts: dict[int, int] = {}
    for d in plan.placements:
        counts[d.job] = counts.get(d.job, 0) + d.task_count
    return counts


def test_an_array_starts_as_many_as_fit_and_becomes_the_head() -> None:
    plan = run([job(10), job(1)], [machine(), machine(4.0)])
    assert placed(plan) == {0: 6}
    assert plan.head == 0 and plan.unplaced_tasks[0] == 4


def test_what_is_left_for_surplus_machines_is_gathered_on_few() -> None:
    # Measured: spread over all of them, it kept 120 ordinary machines half used for minutes.
    def machines(scale_in_candidate: bool) -> list[PlacementMachine]:
        return [machine(8.0 - i, scale_in_candidate=scale_in_candidate) for i in range(3)]

    def used(plan: Plan) -> set[int]:
        return {d.machine for d in plan.placements}

    fetched = job(3, image_gb=1.0)
    assert used(run([fetched], machines(False))) == {0, 1, 2}, "fetches run side by side"
    assert used(run([job(3, image_gb=1.0)], machines(True))) == {2}, "the fullest"


def test_shadow_time_is_when_enough_has_ended() -> None:
    tasks = [RunningTask(120.0, 2.0, 0.0, 1.0), RunningTask(150.0, 4.0, 0.0, 1.0)]
    plan = run([job(1, 8.0)], [machine(2.0, tasks=tasks)])
    assert (plan.head, plan.shadow_time) == (0, 150.0)


def test_backfill_starts_only_what_leaves_the_head_start_alone() -> None:
    def machines() -> list[PlacementMachine]:
        return [machine(4.0, tasks=[RunningTask(130.0, 4.0, 0.0, 1.0)])]

    head = job(1, 8.0)
    short, long = job(1, 2.0, estimate_s=25.0), job(1, 2.0, estimate_s=40.0)
    assert placed(run([head, short], machines())) == {1: 1}
    assert placed(run([head, long], machines())) == {}
    # What the head leaves over at its start may be used for longer.
    assert placed(run([job(1, 6.0), job(2, 2.0, estimate_s=40.0)], machines())) == {1: 1}


def test_a_booting_machine_counts_for_the_shadow_time() -> None:
    plan = run([job(1, 8.0), job(1, 4.0, 50.0)], [machine(4.0), machine(ready_at=110.0)])
    assert plan.shadow_time == 110.0
    assert placed(plan) == {1: 1}


def test_fetches_are_booked_on_machine_and_zone() -> None:
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert placed(run(images, [machine()], fetches_per_machine=2)) == {0: 1, 1: 1}
    two = [machine(), machine()]
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert sum(placed(run(images, two, fetches_per_zone=3)).values()) == 3
    # One fetch serves all tasks that need it; a cached image needs none.
    same = [job(4, 1.0, image=7, image_gb=1.0), job(2, 1.0, image=8, image_gb=1.0)]
    assert placed(run(same, [machine(cached_images={8})], fetches_per_machine=1)) == {0: 4, 1: 2}


def test_a_start_above_the_fetch_budget_waits_for_a_quiet_zone() -> None:
    big = job(1, 1.0, image=1, image_gb=1.0)
    assert placed(run([big], [machine()], fetches_per_zone=0)) == {0: 1}
    busy = [machine(), machine(fetch_left_gb={5: 1.0})]
    other = job(1, 1.0, image=2, image_gb=1.0)
    assert placed(run([job(1, 1.0, image=1, image_gb=1.0), other], busy, fetches_per_zone=0)) == {}


def test_a_job_at_its_teams_limit_waits_but_is_not_the_head() -> None:
    plan = run([job(4, 2.0), job(4, 2.0, team=1)], [machine(16.0)], team=4.0)
    assert placed(plan) == {0: 2, 1: 4}
    assert plan.head is None and plan.wait_reasons[0] == "team limit"


def test_zone_rules_count_tasks_that_may_be_anywhere() -> None:
    def zoned() -> list[PlacementMachine]:
        return [machine(4.0), machine(zone=1)]

    plan = run([job(4, 2.0, one_zone=True)], zoned())
    assert {d.machine for d in plan.placements} == {1}
    assert placed(run([job(4, 2.0, one_zone=True, tasks_in_unknown_zones=1)], zoned())) == {}
    plan = run([job(5, 1.0, max_tasks_per_zone=3)], zoned())
    assert sorted(d.task_count for d in plan.placements) == [2, 3]
    assert placed(run([job(5, 1.0, max_tasks_per_zone=3, tasks_in_unknown_zones=2)], zoned())) == {
        0: 2
    }


def test_spot_types_zones_and_bad_machines_are_respected() -> None:
    spot = machine(machine_type=1, spot=True)
    assert placed(run([job(spot_allowed=False)], [spot])) == {}
    assert placed(run([job(machine_types=frozenset({0}))], [spot])) == {}
    assert placed(run([job(zone=1)], [spot])) == {}
    assert placed(run([job(avoided_machines=frozenset({0}))], [spot])) == {}


def offer(price: float, loaner: bool, cpus: float = 8.0, boot: float = 20.0) -> Offer:
    return Offer(0, 0, loaner, cpus, 0.0, 64.0, price, boot)


def test_renting_takes_the_cheapest_and_counts_what_is_on_its_way() -> None:
    offers = [offer(0.3, True), offer(1.0, False)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, ordinary_machines_from=0.0), 8)], [], offers, 100.0, [1000.0]
    )
    assert [(r.offer.spot, r.count) for r in provisions] == [(True, 2)]
    booting = [machine(ready_at=110.0)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, ordinary_machines_from=0.0), 8)], booting, offers, 100.0, [1000.0]
    )
    assert [r.count for r in provisions] == [1]
    # Ordinary machines are asked for once a job has waited for spot ones.
    only = [offer(1.0, False)]
    assert (
        plan_provisioning(
            [JobDemand(job(1, ordinary_machines_from=110.0), 1)], [], only, 100.0, [1000.0]
        )
        == []
    )
    assert (
        len(
            plan_provisioning(
                [JobDemand(job(1, ordinary_machines_from=90.0), 1)], [], only, 100.0, [1000.0]
            )
        )
        == 1
    )
    # Never more than the team may use.
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, ordinary_machines_from=0.0), 8)], [], offers, 100.0, [4.0]
    )
    assert [r.count for r in provisions] == [1]


def test_only_room_that_a_job_may_use_keeps_machines_from_being_rented_for_it() -> None:
    # Services that may not run on spot machines waited for minutes, while tasks kept ending there.
    def ending(zone: int = 0, spot: bool = True, size: float = 8.0) -> PlacementMachine:
        tasks = [RunningTask(101.0, 8.0, 0, 1)]
        return machine(0.0, size, zone=zone, spot=spot, tasks=tasks)

    def rented(wanted: PlacementJob, *machines: PlacementMachine) -> int:
        offers = [offer(1.0, False, cpus=16.0)]
        found = plan_provisioning([JobDemand(wanted, 2)], list(machines), offers, 100.0, [1000.0])
        return sum(r.count for r in found)

    plain = job(2, 4.0, ordinary_machines_from=0.0)
    assert rented(plain, ending()) == 0, "it waits for room that frees up by itself"
    assert rented(job(2, 4.0, ordinary_machines_from=0.0, spot_allowed=False), ending()) == 1
    assert (
        rented(job(2, 4.0, ordinary_machines_from=0.0, spot_allowed=False), ending(spot=False)) == 0
    )
    assert rented(job(2, 4.0, ordinary_machines_from=0.0, zone=0), ending(zone=1)) == 1
    assert (
        rented(
            job(2, 4.0, ordinary_machines_from=0.0, max_tasks_per_zone=1, tasks_by_zone={1: 1}),
            ending(zone=1),
        )
        == 1
    )
    assert (
        rented(job(2, 4.0, ordinary_machines_from=0.0, machine_types=frozenset({0})), ending()) == 0
    )
    assert rented(job(2, 12.0, ordinary_machines_from=0.0), ending(), ending()) == 2, "too small"


def test_headroom_is_filled_with_cheap_spot_machines_only() -> None:
    offers = [offer(0.3, True), offer(0.5, True, cpus=32.0), offer(0.1, False)]
    assert [(r.offer.cpus, r.count) for r in top_up(50.0, offers)] == [(32.0, 1), (8.0, 2)]
    assert top_up(7.0, offers) == [] and top_up(-5.0, offers) == []


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


def test_machines_are_rented_in_zones_that_take_more_of_the_job() -> None:
    # Two of a spread job's four pieces run in zone 0; what it lacks can't be started there, so
    # machines there would be rented and returned forever.
    here, there = offer(0.5, False), Offer(0, 1, False, 8.0, 0.0, 64.0, 1.0, 20.0)
    spread = job(2, max_tasks_per_zone=2, tasks_by_zone={0: 2}, ordinary_machines_from=0.0)
    provisions = plan_provisioning([JobDemand(spread, 2)], [], [here, there], 100.0, [1000.0])
    assert [(r.offer.zone, r.count) for r in provisions] == [(1, 1)]
    assert plan_provisioning([JobDemand(spread, 2)], [], [here], 100.0, [1000.0]) == []
    coming = [machine(ready_at=110.0)]
    assert [
        r.offer.zone
        for r in plan_provisioning([JobDemand(spread, 2)], coming, [there], 100.0, [99.0])
    ] == [1]
    one = job(8, 2.0, one_zone=True, ordinary_machines_from=0.0)
    provisions = plan_provisioning([JobDemand(one, 8)], [], [here, there], 100.0, [1000.0])
    assert [(r.offer.zone, r.count) for r in provisions] == [(0, 2)]


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


def test_a_team_without_a_limit_is_bounded_by_machines_alone() -> None:
    offer = Offer(0, 0, True, 8.0, 0.0, 64.0, price_per_hour=1.0, boot_s=10.0)
    waiting = job(100)
    plan = run([waiting], [machine()], team=inf)
    assert placed(plan) == {0: 4} and plan.wait_reasons[0] == "machines"
    provisions = plan_provisioning([JobDemand(waiting, 96)], [], [offer], 0.0, [inf])
    assert [(provision.offer, provision.count) for provision in provisions] == [(offer, 24)]
