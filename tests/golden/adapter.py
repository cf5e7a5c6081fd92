"""The only place that knows the code's names: inputs into its types, its answers into JSON."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from spoolcourse.control.autoscaling.demand import DemandHistory
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.autoscaling.planner import (
    Offer,
    ProvisionRequest,
    plan_provisioning,
    top_up,
)
from spoolcourse.control.jobs.model import Attempt
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import Job, Node, Plan, RunningTask, Snapshot, Team
from spoolcourse.control.placement.preempt import choose_victims
from spoolcourse.control.workers.machine import Machine
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.identities import TaskId
from spoolcourse.wire.messages import HostStage, MachineType
from tests.golden.inputs import NOW, SIZES, Fields

# -- inputs ---------------------------------------------------------------------------


def _task(task: Fields) -> RunningTask:
    return RunningTask(
        end=task["end"],
        cpus=task["cpus"],
        gpus=task["gpus"],
        memory=task["memory_gb"],
        ref=task["reference"],
        rank=task["rank"],
        team=task["team"],
        lost=task["lost_cpu_s"],
        stopping=task["stopping"],
        safe=task["within_guarantee"],
        since=task["running_since"],
    )


def _machine(machine: Fields) -> Node:
    return Node(
        machine_type=machine["machine_type"],
        zone=machine["zone"],
        spot=machine["spot"],
        cpus=machine["free_cpus"],
        gpus=machine["free_gpus"],
        memory=machine["free_memory_gb"],
        size=machine["size_cpus"],
        fetch_rate=machine["fetch_gb_per_s"],
        images=set(machine["cached_images"]),
        fetching=dict(machine["fetches"]),
        tasks=[_task(task) for task in machine["tasks"]],
        ready_at=machine["ready_at"],
        scale_in_candidate=machine["surplus"],
        rare=machine["rare"],
        freed=machine["being_freed"],
    )


def _job(job: Fields) -> Job:
    types = job["machine_types"]
    return Job(
        pending=job["waiting_tasks"],
        cpus=job["cpus"],
        gpus=job["gpus"],
        memory=job["memory_gb"],
        image=job["image"],
        image_gb=job["image_gb"],
        team=job["team"],
        estimate=job["estimate_s"],
        machine_types=None if types is None else frozenset(types),
        zone=job["zone"],
        spot_allowed=job["spot_allowed"],
        one_zone=job["one_zone"],
        spread=job["most_in_a_zone"],
        held=dict(job["held_by_zone"]),
        lost=job["tasks_in_unknown_zones"],
        avoid=frozenset(job["avoided_machines"]),
        rank=job["rank"],
        claim=job["claim"],
        guaranteed=job["within_guarantee"],
        replicas_on=dict(job["replicas_by_machine"]),
        service=job["service"],
        ordinary_at=job["ordinary_machines_from"],
    )


def _team(team: Fields) -> Team:
    return Team(cpus=team["free_cpus"], gpus=team["free_gpus"], over=team["cpus_over_guarantee"])


def _snapshot(cluster: Fields) -> Snapshot:
    return Snapshot(
        now=cluster["now"],
        jobs=[_job(job) for job in cluster["jobs"]],
        nodes=[_machine(machine) for machine in cluster["machines"]],
        teams=[_team(team) for team in cluster["teams"]],
        zones=cluster["zones"],
        node_fetches=cluster["fetches_per_machine"],
        zone_fetches=cluster["fetches_per_zone"],
    )


def _offer(offer: Fields) -> Offer:
    return Offer(
        machine_type=offer["machine_type"],
        zone=offer["zone"],
        spot=offer["spot"],
        cpus=offer["cpus"],
        gpus=offer["gpus"],
        memory=offer["memory_gb"],
        price=offer["price_per_hour"],
        boot_s=offer["boot_s"],
    )


def _catalog() -> dict[str, MachineType]:
    return {
        f"type-{number}": MachineType(
            name=f"type-{number}",
            cpus=cpus,
            gpus=gpus,
            memory_gb=memory_gb,
            disk_gb=100.0,
            fetch_gb_per_s=0.1,
            hourly_price=1.0,
            spot_price=0.3,
            boot_s=30.0,
            zones=["a"],
        )
        for number, (cpus, gpus, memory_gb) in enumerate(SIZES)
    }


def _known_machine(machine: Fields) -> Machine:
    number = machine["machine_type"]
    known = Machine(
        id=machine["name"],
        first_seen_at=0.0,
        machine_type=None if number is None else f"type-{number}",
        spot=machine["spot"],
        confirmed=machine["confirmed"],
        last_heartbeat_at=machine["heard_at"],
        deletion_requested=machine["deleting"],
        listed_stage=HostStage.FAILED if machine["failed"] else None,
        scale_in_candidate=machine["surplus"],
    )
    for task in range(machine["attempts"]):  # only their number counts
        known.attempts[TaskId(machine["name"], task)] = cast(Attempt, None)
    return known


# -- answers --------------------------------------------------------------------------


def _plan(plan: Plan) -> Fields:
    return {
        "placements": [[d.job, d.node, d.count] for d in plan.decisions],
        "head": plan.head,
        "head_start": plan.head_start,
        "unplaced": [[job, tasks] for job, tasks in plan.unplaced.items()],
        "reasons": [[job, reason] for job, reason in sorted(plan.why.items())],
    }


def _provisions(provisions: list[ProvisionRequest]) -> list[list[Any]]:
    return [[h.offer.machine_type, h.offer.zone, h.offer.spot, h.count] for h in provisions]


def placement(cluster: Fields) -> Fields:
    return _plan(place(_snapshot(cluster)))


def preemption(cluster: Fields) -> Fields:
    snapshot = _snapshot(cluster)
    plan = place(snapshot)
    return {"victims": choose_victims(snapshot, plan, cluster["preemption_patience_s"])}


def provisioning(asked: Fields) -> Fields:
    """For all the waiting work, and for what the placement pass leaves over, as in service."""
    offers = [_offer(offer) for offer in asked["offers"]]
    limit = {} if asked["most_machines"] is None else {"most": asked["most_machines"]}
    snapshot = _snapshot(asked["cluster"])
    room = asked["free_cpus_by_team"]
    everything = [(snapshot.jobs[number], tasks) for number, tasks in asked["demand"]]
    for_all = plan_provisioning(
        demand=everything,
        nodes=snapshot.nodes,
        offers=offers,
        now=snapshot.now,
        team_room=room,
        **limit,
    )
    unplaced = place(snapshot).unplaced
    for_unplaced = plan_provisioning(
        demand=[(snapshot.jobs[number], tasks) for number, tasks in unplaced.items()],
        nodes=snapshot.nodes,
        offers=offers,
        now=snapshot.now,
        team_room=room,
        **limit,
    )
    spare = top_up(short=asked["missing_cpus"], offers=offers, machines=asked["machines_in_all"])
    return {
        "provisions": _provisions(for_all),
        "provisions_for_unplaced": _provisions(for_unplaced),
        "spare_provisions": _provisions(spare),
    }


def demand_peaks(history: Fields) -> Fields:
    demand = DemandHistory(memory_s=history["memory_s"])
    for moment, cpus in history["samples"]:
        demand.record(now=moment, cpus=cpus)
    return {
        "peaks": [
            demand.peak_cpus(now=history["asked_at"], window_s=window)
            for window in history["windows_s"]
        ]
    }


def surplus_machines(fleet: Fields) -> Fields:
    machines = {machine["name"]: _known_machine(machine) for machine in fleet["machines"]}
    rare = {f"type-{number}" for number in fleet["rare_machine_types"]}
    policy = Policy(keep_s=60.0, headroom=1.25, ordinary_keep_s=120.0, ordinary_headroom=1.0)
    excess_capacity = ExcessCapacity(
        policy=policy,
        registry=cast(Any, SimpleNamespace(machines=machines)),
        types=MachineTypeLookup(machine_types=_catalog),
        is_rare_type=rare.__contains__,
    )
    excess_capacity.demand.record(now=NOW - 90.0, cpus=1.5 * fleet["wanted_cpus"])
    excess_capacity.demand.record(now=NOW, cpus=fleet["wanted_cpus"])
    excess_capacity.mark_scale_in_candidates(
        now=NOW, initial_machines=frozenset(fleet["base"]), reserved=set(fleet["reserved"])
    )
    return {
        "missing_cpus": excess_capacity.missing_cpus(now=NOW),
        "surplus": [name for name, machine in machines.items() if machine.scale_in_candidate],
    }
