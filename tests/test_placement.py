"""The placement pass: arrival order, guarded head start, fetch booking, limits."""

from __future__ import annotations

from math import inf

from spoolcourse.control.autoscaling.planner import Offer, plan_provisioning, top_up
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import Job, Node, Plan, RunningTask, Snapshot, Team
from spoolcourse.control.placement.preempt import choose_victims


def node(cpus: float = 8.0, size: float = 8.0, **fields: object) -> Node:
    return Node(0, 0, False, cpus, 0.0, 64.0, size, 1.0, **fields)  # type: ignore[arg-type]


def job(pending: int = 1, cpus: float = 2.0, estimate: float = 10.0, **fields: object) -> Job:
    plain = {"image": 0, "image_gb": 0.0, "team": 0} | fields
    return Job(pending, cpus, 0.0, 1.0, estimate=estimate, **plain)  # type: ignore[arg-type]


def run(
    jobs: list[Job], nodes: list[Node], team: float = 1000.0, node_fetches: int = 2, zone: int = 8
) -> Plan:
    teams = [Team(team, 0.0), Team(1000.0, 0.0)]
    return place(Snapshot(100.0, jobs, nodes, teams, 2, node_fetches, zone))


def placed(plan: Plan) -> dict[int, int]:
    counts: dict[int, int] = {}
    for d in plan.decisions:
        counts[d.job] = counts.get(d.job, 0) + d.count
    return counts


def test_an_array_starts_as_many_as_fit_and_becomes_the_head() -> None:
    plan = run([job(10), job(1)], [node(), node(4.0)])
    assert placed(plan) == {0: 6}
    assert plan.head == 0 and plan.unplaced[0] == 4


def test_what_is_left_for_surplus_machines_is_gathered_on_few() -> None:
    # Measured: spread over all of them, it kept 120 ordinary machines half used for minutes.
    def nodes(scale_in_candidate: bool) -> list[Node]:
        return [node(8.0 - i, scale_in_candidate=scale_in_candidate) for i in range(3)]

    def used(plan: Plan) -> set[int]:
        return {d.node for d in plan.decisions}

    fetched = job(3, image_gb=1.0)
    assert used(run([fetched], nodes(False))) == {0, 1, 2}, "fetches run side by side"
    assert used(run([job(3, image_gb=1.0)], nodes(True))) == {2}, "the fullest"


def test_shadow_time_is_when_enough_has_ended() -> None:
    tasks = [RunningTask(120.0, 2.0, 0.0, 1.0), RunningTask(150.0, 4.0, 0.0, 1.0)]
    plan = run([job(1, 8.0)], [node(2.0, tasks=tasks)])
    assert (plan.head, plan.head_start) == (0, 150.0)


def test_backfill_starts_only_what_leaves_the_head_start_alone() -> None:
    def nodes() -> list[Node]:
        return [node(4.0, tasks=[RunningTask(130.0, 4.0, 0.0, 1.0)])]

    head = job(1, 8.0)
    short, long = job(1, 2.0, estimate=25.0), job(1, 2.0, estimate=40.0)
    assert placed(run([head, short], nodes())) == {1: 1}
    assert placed(run([head, long], nodes())) == {}
    # What the head leaves over at its start may be used for longer.
    assert placed(run([job(1, 6.0), job(2, 2.0, estimate=40.0)], nodes())) == {1: 1}


def test_a_booting_machine_counts_for_the_head_start() -> None:
    plan = run([job(1, 8.0), job(1, 4.0, 50.0)], [node(4.0), node(ready_at=110.0)])
    assert plan.head_start == 110.0
    assert placed(plan) == {1: 1}


def test_fetches_are_booked_on_machine_and_zone() -> None:
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert placed(run(images, [node()], node_fetches=2)) == {0: 1, 1: 1}
    two = [node(), node()]
    images = [job(1, 1.0, image=i, image_gb=1.0) for i in range(4)]
    assert sum(placed(run(images, two, zone=3)).values()) == 3
    # One fetch serves all tasks that need it; a cached image needs none.
    same = [job(4, 1.0, image=7, image_gb=1.0), job(2, 1.0, image=8, image_gb=1.0)]
    assert placed(run(same, [node(images={8})], node_fetches=1)) == {0: 4, 1: 2}


def test_a_start_above_the_fetch_budget_waits_for_a_quiet_zone() -> None:
    big = job(1, 1.0, image=1, image_gb=1.0)
    assert placed(run([big], [node()], zone=0)) == {0: 1}
    busy = [node(), node(fetching={5: 1.0})]
    other = job(1, 1.0, image=2, image_gb=1.0)
    assert placed(run([job(1, 1.0, image=1, image_gb=1.0), other], busy, zone=0)) == {}


def test_a_job_at_its_teams_limit_waits_but_is_not_the_head() -> None:
    plan = run([job(4, 2.0), job(4, 2.0, team=1)], [node(16.0)], team=4.0)
    assert placed(plan) == {0: 2, 1: 4}
    assert plan.head is None and plan.why[0] == "team limit"


def test_zone_rules_count_tasks_that_may_be_anywhere() -> None:
    def zoned() -> list[Node]:
        return [node(4.0), Node(0, 1, False, 8.0, 0.0, 64.0, 8.0, 1.0)]

    plan = run([job(4, 2.0, one_zone=True)], zoned())
    assert {d.node for d in plan.decisions} == {1}
    assert placed(run([job(4, 2.0, one_zone=True, lost=1)], zoned())) == {}
    plan = run([job(5, 1.0, spread=3)], zoned())
    assert sorted(d.count for d in plan.decisions) == [2, 3]
    assert placed(run([job(5, 1.0, spread=3, lost=2)], zoned())) == {0: 2}


def test_spot_types_zones_and_bad_machines_are_respected() -> None:
    spot = Node(1, 0, True, 8.0, 0.0, 64.0, 8.0, 1.0)
    assert placed(run([job(spot_allowed=False)], [spot])) == {}
    assert placed(run([job(machine_types=frozenset({0}))], [spot])) == {}
    assert placed(run([job(zone=1)], [spot])) == {}
    assert placed(run([job(avoid=frozenset({0}))], [spot])) == {}


def offer(price: float, loaner: bool, cpus: float = 8.0, boot: float = 20.0) -> Offer:
    return Offer(0, 0, loaner, cpus, 0.0, 64.0, price, boot)


def test_renting_takes_the_cheapest_and_counts_what_is_on_its_way() -> None:
    offers = [offer(0.3, True), offer(1.0, False)]
    provisions = plan_provisioning([(job(8, 2.0, ordinary_at=0.0), 8)], [], offers, 100.0, [1000.0])
    assert [(h.offer.spot, h.count) for h in provisions] == [(True, 2)]
    booting = [node(ready_at=110.0)]
    provisions = plan_provisioning(
        [(job(8, 2.0, ordinary_at=0.0), 8)], booting, offers, 100.0, [1000.0]
    )
    assert [h.count for h in provisions] == [1]
    # Ordinary machines are asked for once a job has waited for spot ones.
    only = [offer(1.0, False)]
    assert plan_provisioning([(job(1, ordinary_at=110.0), 1)], [], only, 100.0, [1000.0]) == []
    assert len(plan_provisioning([(job(1, ordinary_at=90.0), 1)], [], only, 100.0, [1000.0])) == 1
    # Never more than the team may use.
    provisions = plan_provisioning([(job(8, 2.0, ordinary_at=0.0), 8)], [], offers, 100.0, [4.0])
    assert [h.count for h in provisions] == [1]


def test_only_room_that_a_job_may_use_keeps_machines_from_being_rented_for_it() -> None:
    # Services that may not run on spot machines waited for minutes, while tasks kept ending there.
    def ending(zone: int = 0, spot: bool = True, size: float = 8.0) -> Node:
        return Node(0, zone, spot, 0.0, 0.0, 64.0, size, 1.0, tasks=[RunningTask(101.0, 8.0, 0, 1)])

    def hired(wanted: Job, *nodes: Node) -> int:
        offers = [offer(1.0, False, cpus=16.0)]
        found = plan_provisioning([(wanted, 2)], list(nodes), offers, 100.0, [1000.0])
        return sum(h.count for h in found)

    plain = job(2, 4.0, ordinary_at=0.0)
    assert hired(plain, ending()) == 0, "it waits for room that frees up by itself"
    assert hired(job(2, 4.0, ordinary_at=0.0, spot_allowed=False), ending()) == 1
    assert hired(job(2, 4.0, ordinary_at=0.0, spot_allowed=False), ending(spot=False)) == 0
    assert hired(job(2, 4.0, ordinary_at=0.0, zone=0), ending(zone=1)) == 1
    assert hired(job(2, 4.0, ordinary_at=0.0, spread=1, held={1: 1}), ending(zone=1)) == 1
    assert hired(job(2, 4.0, ordinary_at=0.0, machine_types=frozenset({0})), ending()) == 0
    assert hired(job(2, 12.0, ordinary_at=0.0), ending(), ending()) == 2, "too small"


def test_headroom_is_filled_with_cheap_spot_machines_only() -> None:
    offers = [offer(0.3, True), offer(0.5, True, cpus=32.0), offer(0.1, False)]
    assert [(h.offer.cpus, h.count) for h in top_up(50.0, offers)] == [(32.0, 1), (8.0, 2)]
    assert top_up(7.0, offers) == [] and top_up(-5.0, offers) == []


def stopped(
    jobs: list[Job], nodes: list[Node], over: tuple[float, float] = (0.0, 0.0)
) -> list[int]:
    teams = [Team(1000.0, 0.0, over[0]), Team(1000.0, 0.0, over[1])]
    snapshot = Snapshot(100.0, jobs, nodes, teams, 2, 2, 8)
    return choose_victims(snapshot, place(snapshot), 5.0)


def task(ref: int, cpus: float = 4.0, lost: float = 9.0, **fields: object) -> RunningTask:
    plain = {"rank": 2, "end": 160.0} | fields
    end = plain.pop("end")
    return RunningTask(end, cpus, 0.0, 1.0, ref=ref, lost=lost, **plain)  # type: ignore[arg-type]


def test_a_claim_stops_the_lower_ranked_task_that_loses_least() -> None:
    def nodes() -> list[Node]:
        return [node(0.0, tasks=[task(1, lost=90.0), task(2, lost=9.0)])]

    claim = {"rank": 1, "claim": True}
    assert stopped([job(2, 2.0, **claim)], nodes()) == [2]
    assert stopped([job(3, 2.0, **claim)], nodes()) == [2, 1]
    assert stopped([job(2, 2.0, rank=1)], nodes()) == [], "no claim"
    lost = job(2, 2.0, one_zone=True, lost=1, **claim)
    assert stopped([lost], nodes()) == [], "it could not start there anyway"
    assert stopped([job(2, 2.0, rank=2, claim=True)], nodes()) == [], "not of lower rank"
    soon = [node(0.0, tasks=[task(1, end=103.0)])]
    assert stopped([job(1, 2.0, **claim)], soon) == [], "it ends by itself"
    half = [node(0.0, tasks=[task(1, 1.0)])]
    assert stopped([job(1, 2.0, **claim)], half) == [], "stopping it would not make room"


def test_room_that_is_being_made_is_not_made_twice() -> None:
    busy = node(0.0, tasks=[task(1, stopping=True), task(2)])
    busy.free(busy.tasks[0])
    assert stopped([job(2, 2.0, rank=1, claim=True)], [busy]) == []


def test_a_guarantee_takes_back_only_what_another_team_runs_beyond_its_own() -> None:
    def nodes() -> list[Node]:
        return [node(0.0, tasks=[task(1, team=1), task(2, team=1)])]

    mine = job(4, 2.0, claim=True, guaranteed=True)
    assert stopped([mine], nodes(), over=(0.0, 4.0)) == [1]
    assert stopped([mine], nodes(), over=(0.0, 3.0)) == []
    safe = [node(0.0, tasks=[task(1, team=1, safe=True), task(2, team=1, rank=1)])]
    assert stopped([mine], safe, over=(0.0, 9.0)) == []
    own = [node(0.0, tasks=[task(1, team=0)])]
    assert stopped([mine], own, over=(8.0, 0.0)) == []


def test_machines_are_rented_in_zones_that_take_more_of_the_job() -> None:
    # Two of a spread job's four pieces run in zone 0; what it lacks can't be started there, so
    # machines there would be rented and returned forever.
    here, there = offer(0.5, False), Offer(0, 1, False, 8.0, 0.0, 64.0, 1.0, 20.0)
    spread = job(2, spread=2, held={0: 2}, ordinary_at=0.0)
    provisions = plan_provisioning([(spread, 2)], [], [here, there], 100.0, [1000.0])
    assert [(h.offer.zone, h.count) for h in provisions] == [(1, 1)]
    assert plan_provisioning([(spread, 2)], [], [here], 100.0, [1000.0]) == []
    coming = [node(ready_at=110.0)]
    assert [
        h.offer.zone for h in plan_provisioning([(spread, 2)], coming, [there], 100.0, [99.0])
    ] == [1]
    one = job(8, 2.0, one_zone=True, ordinary_at=0.0)
    provisions = plan_provisioning([(one, 8)], [], [here, there], 100.0, [1000.0])
    assert [(h.offer.zone, h.count) for h in provisions] == [(0, 2)]


def test_replicas_of_a_service_lie_on_different_machines_where_that_costs_nothing() -> None:
    def snapshot(*nodes: Node, pending: int = 2, on: dict[int, int] | None = None) -> Snapshot:
        service = Job(pending, 2.0, 0.0, 2.0, 0, 1.0, 0, float("inf"))
        service.service, service.replicas_on = True, on or {}
        return Snapshot(0.0, [service], list(nodes), [Team(100.0, 0.0)], 1, 2, 16)

    def node(cached: bool = True, cpus: float = 8.0) -> Node:
        return Node(0, 0, False, cpus, 0.0, 32.0, 8.0, 1.0, images={0} if cached else set())

    plan = place(snapshot(node(cpus=4.0), node()))
    assert sorted((d.node, d.count) for d in plan.decisions) == [(0, 1), (1, 1)]
    plan = place(snapshot(node(cpus=4.0), node(), pending=1, on={0: 1}))
    assert [(d.node, d.count) for d in plan.decisions] == [(1, 1)]
    # An image at hand counts more: a replica there is up sooner.
    plan = place(snapshot(node(), node(cached=False), pending=1, on={0: 1}))
    assert [(d.node, d.count) for d in plan.decisions] == [(0, 1)]
    # With one machine all of them go there.
    plan = place(snapshot(node(), pending=3))
    assert sum(d.count for d in plan.decisions) == 3


def test_a_team_without_a_limit_is_bounded_by_machines_alone() -> None:
    offer = Offer(0, 0, True, 8.0, 0.0, 64.0, price=1.0, boot_s=10.0)
    waiting = job(100)
    plan = run([waiting], [node()], team=inf)
    assert placed(plan) == {0: 4} and plan.why[0] == "machines"
    provisions = plan_provisioning([(waiting, 96)], [], [offer], 0.0, [inf])
    assert [(provision.offer, provision.count) for provision in provisions] == [(offer, 24)]
