"""Scale-out planning: which machines are rented for which jobs, and as headroom."""

from __future__ import annotations

from math import inf

from spoolcourse.control.autoscaling.planner import (
    JobDemand,
    Offer,
    plan_headroom,
    plan_provisioning,
)
from spoolcourse.control.placement.model import PlacementJob, PlacementMachine, RunningTask
from tests.fakes.placement import job, machine, run_pass, tasks_placed_by_job


def offer(price: float, spot: bool, cpus: float = 8.0, boot: float = 20.0) -> Offer:
    return Offer(0, 0, spot, cpus, 0.0, 64.0, price, boot)


def test_renting_takes_the_cheapest_and_counts_what_is_on_its_way() -> None:
    offers = [offer(0.3, True), offer(1.0, False)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], [], offers, 100.0, [1000.0]
    )
    assert [(r.offer.spot, r.count) for r in provisions] == [(True, 2)]
    booting = [machine(ready_at=110.0)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], booting, offers, 100.0, [1000.0]
    )
    assert [r.count for r in provisions] == [1]
    # Ordinary machines are asked for once a job has waited for spot ones.
    only = [offer(1.0, False)]
    assert (
        plan_provisioning([JobDemand(job(1, on_demand_from=110.0), 1)], [], only, 100.0, [1000.0])
        == []
    )
    assert (
        len(
            plan_provisioning(
                [JobDemand(job(1, on_demand_from=90.0), 1)], [], only, 100.0, [1000.0]
            )
        )
        == 1
    )
    # Never more than the team may use.
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], [], offers, 100.0, [4.0]
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

    plain = job(2, 4.0, on_demand_from=0.0)
    assert rented(plain, ending()) == 0, "it waits for room that frees up by itself"
    assert rented(job(2, 4.0, on_demand_from=0.0, spot_allowed=False), ending()) == 1
    assert rented(job(2, 4.0, on_demand_from=0.0, spot_allowed=False), ending(spot=False)) == 0
    assert rented(job(2, 4.0, on_demand_from=0.0, zone=0), ending(zone=1)) == 1
    assert (
        rented(
            job(2, 4.0, on_demand_from=0.0, max_tasks_per_zone=1, tasks_by_zone={1: 1}),
            ending(zone=1),
        )
        == 1
    )
    assert rented(job(2, 4.0, on_demand_from=0.0, machine_types=frozenset({0})), ending()) == 0
    assert rented(job(2, 12.0, on_demand_from=0.0), ending(), ending()) == 2, "too small"


def test_headroom_is_filled_with_cheap_spot_machines_only() -> None:
    offers = [offer(0.3, True), offer(0.5, True, cpus=32.0), offer(0.1, False)]
    assert [(r.offer.cpus, r.count) for r in plan_headroom(50.0, offers)] == [(32.0, 1), (8.0, 2)]
    assert plan_headroom(7.0, offers) == []
    assert plan_headroom(-5.0, offers) == []


def test_machines_are_rented_in_zones_that_take_more_of_the_job() -> None:
    # Two of a spread job's four pieces run in zone 0; what it lacks can't be started there, so
    # machines there would be rented and returned forever.
    here, there = offer(0.5, False), Offer(0, 1, False, 8.0, 0.0, 64.0, 1.0, 20.0)
    spread = job(2, max_tasks_per_zone=2, tasks_by_zone={0: 2}, on_demand_from=0.0)
    provisions = plan_provisioning([JobDemand(spread, 2)], [], [here, there], 100.0, [1000.0])
    assert [(r.offer.zone, r.count) for r in provisions] == [(1, 1)]
    assert plan_provisioning([JobDemand(spread, 2)], [], [here], 100.0, [1000.0]) == []
    coming = [machine(ready_at=110.0)]
    assert [
        r.offer.zone
        for r in plan_provisioning([JobDemand(spread, 2)], coming, [there], 100.0, [99.0])
    ] == [1]
    one = job(8, 2.0, one_zone=True, on_demand_from=0.0)
    provisions = plan_provisioning([JobDemand(one, 8)], [], [here, there], 100.0, [1000.0])
    assert [(r.offer.zone, r.count) for r in provisions] == [(0, 2)]


def test_a_team_without_a_limit_is_bounded_by_machines_alone() -> None:
    offer = Offer(0, 0, True, 8.0, 0.0, 64.0, price_per_hour=1.0, boot_s=10.0)
    waiting = job(100)
    plan = run_pass([waiting], [machine()], team=inf)
    assert tasks_placed_by_job(plan) == {0: 4}
    assert plan.wait_reasons[0] == "machines"
    provisions = plan_provisioning([JobDemand(waiting, 96)], [], [offer], 0.0, [inf])
    assert [(provision.offer, provision.count) for provision in provisions] == [(offer, 24)]
