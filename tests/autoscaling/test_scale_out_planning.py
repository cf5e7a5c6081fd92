"""Scale-out planning: which machines are provisioned for waiting jobs and as headroom."""

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


def test_provisioning_takes_the_cheapest_offer_and_counts_booting_machines() -> None:
    offers = [offer(0.3, True), offer(1.0, False)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], [], offers, 100.0, [1000.0]
    )
    assert [(p.offer.spot, p.count) for p in provisions] == [(True, 2)]
    booting = [machine(ready_at=110.0)]
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], booting, offers, 100.0, [1000.0]
    )
    assert [p.count for p in provisions] == [1]
    # On-demand machines are provisioned only after the job has waited for spot machines.
    on_demand_only = [offer(1.0, False)]
    assert (
        plan_provisioning(
            [JobDemand(job(1, on_demand_from=110.0), 1)], [], on_demand_only, 100.0, [1000.0]
        )
        == []
    )
    assert (
        len(
            plan_provisioning(
                [JobDemand(job(1, on_demand_from=90.0), 1)], [], on_demand_only, 100.0, [1000.0]
            )
        )
        == 1
    )
    # The team's limit bounds the count.
    provisions = plan_provisioning(
        [JobDemand(job(8, 2.0, on_demand_from=0.0), 8)], [], offers, 100.0, [4.0]
    )
    assert [p.count for p in provisions] == [1]


def test_only_capacity_that_a_job_may_use_keeps_machines_from_being_provisioned_for_it() -> None:
    # Services that may not run on spot machines waited for minutes, because tasks that kept ending
    # there counted as capacity for them.
    def machine_freed_soon(zone: int = 0, spot: bool = True, cpus: float = 8.0) -> PlacementMachine:
        tasks = [RunningTask(101.0, 8.0, 0, 1)]
        return machine(0.0, cpus, zone=zone, spot=spot, tasks=tasks)

    def provisioned_count(waiting: PlacementJob, *machines: PlacementMachine) -> int:
        offers = [offer(1.0, False, cpus=16.0)]
        provisions = plan_provisioning(
            [JobDemand(waiting, 2)], list(machines), offers, 100.0, [1000.0]
        )
        return sum(p.count for p in provisions)

    unrestricted = job(2, 4.0, on_demand_from=0.0)
    assert provisioned_count(unrestricted, machine_freed_soon()) == 0, (
        "provisioned despite capacity that frees up by itself"
    )
    assert (
        provisioned_count(job(2, 4.0, on_demand_from=0.0, spot_allowed=False), machine_freed_soon())
        == 1
    )
    assert (
        provisioned_count(
            job(2, 4.0, on_demand_from=0.0, spot_allowed=False), machine_freed_soon(spot=False)
        )
        == 0
    )
    assert (
        provisioned_count(job(2, 4.0, on_demand_from=0.0, zone=0), machine_freed_soon(zone=1)) == 1
    )
    assert (
        provisioned_count(
            job(2, 4.0, on_demand_from=0.0, max_tasks_per_zone=1, tasks_by_zone={1: 1}),
            machine_freed_soon(zone=1),
        )
        == 1
    )
    assert (
        provisioned_count(
            job(2, 4.0, on_demand_from=0.0, machine_types=frozenset({0})), machine_freed_soon()
        )
        == 0
    )
    assert (
        provisioned_count(
            job(2, 12.0, on_demand_from=0.0), machine_freed_soon(), machine_freed_soon()
        )
        == 2
    ), "counted machines that are too small for a task"


def test_headroom_is_filled_with_cheap_spot_machines_only() -> None:
    offers = [offer(0.3, True), offer(0.5, True, cpus=32.0), offer(0.1, False)]
    assert [(p.offer.cpus, p.count) for p in plan_headroom(50.0, offers)] == [(32.0, 1), (8.0, 2)]
    assert plan_headroom(7.0, offers) == []
    assert plan_headroom(-5.0, offers) == []


def test_machines_are_provisioned_in_zones_that_can_take_more_tasks_of_the_job() -> None:
    # Two of a spread job's four tasks run in zone 0, its limit there. Machines provisioned there
    # could not take the others and would be provisioned and deleted in turn forever.
    zone_0_offer, zone_1_offer = offer(0.5, False), Offer(0, 1, False, 8.0, 0.0, 64.0, 1.0, 20.0)
    spread = job(2, max_tasks_per_zone=2, tasks_by_zone={0: 2}, on_demand_from=0.0)
    provisions = plan_provisioning(
        [JobDemand(spread, 2)], [], [zone_0_offer, zone_1_offer], 100.0, [1000.0]
    )
    assert [(p.offer.zone, p.count) for p in provisions] == [(1, 1)]
    assert plan_provisioning([JobDemand(spread, 2)], [], [zone_0_offer], 100.0, [1000.0]) == []
    booting = [machine(ready_at=110.0)]
    assert [
        p.offer.zone
        for p in plan_provisioning([JobDemand(spread, 2)], booting, [zone_1_offer], 100.0, [99.0])
    ] == [1]
    one_zone_job = job(8, 2.0, one_zone=True, on_demand_from=0.0)
    provisions = plan_provisioning(
        [JobDemand(one_zone_job, 8)], [], [zone_0_offer, zone_1_offer], 100.0, [1000.0]
    )
    assert [(p.offer.zone, p.count) for p in provisions] == [(0, 2)]


def test_a_team_without_a_limit_is_bounded_by_machines_alone() -> None:
    offer = Offer(0, 0, True, 8.0, 0.0, 64.0, price_per_hour=1.0, boot_s=10.0)
    waiting = job(100)
    plan = run_pass([waiting], [machine()], team=inf)
    assert tasks_placed_by_job(plan) == {0: 4}
    assert plan.wait_reasons[0] == "machines"
    provisions = plan_provisioning([JobDemand(waiting, 96)], [], [offer], 0.0, [inf])
    assert [(provision.offer, provision.count) for provision in provisions] == [(offer, 24)]
