"""The only place that knows the code's names: inputs into its types, its answers into JSON."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from spoolcourse.control.autoscaling.demand import DemandHistory
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.autoscaling.planner import (
    JobDemand,
    Offer,
    ProvisionRequest,
    plan_headroom,
    plan_provisioning,
)
from spoolcourse.control.jobs.model import Attempt
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
from spoolcourse.control.workers.machine import Machine
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.identities import TaskId
from spoolcourse.wire.messages import ListedMachineStage, MachineType
from tests.recorded.plans.inputs import NOW, SIZES, Fields

# -- inputs ---------------------------------------------------------------------------


def _task(task: Fields) -> RunningTask:
    return RunningTask(
        expected_end=task["end"],
        cpus=task["cpus"],
        gpus=task["gpus"],
        memory_gb=task["memory_gb"],
        attempt_number=task["reference"],
        rank=task["rank"],
        team=task["team"],
        checkpoint_loss_cpu_s=task["lost_cpu_s"],
        stopping=task["stopping"],
        within_guarantee=task["within_guarantee"],
        unsaved_since=task["running_since"],
    )


def _machine(machine: Fields) -> PlacementMachine:
    freed_cpus, freed_gpus, freed_memory_gb = machine["being_freed"]
    return PlacementMachine(
        machine_type=machine["machine_type"],
        zone=machine["zone"],
        spot=machine["spot"],
        cpus=machine["free_cpus"],
        gpus=machine["free_gpus"],
        memory_gb=machine["free_memory_gb"],
        total_cpus=machine["size_cpus"],
        fetch_gb_per_s=machine["fetch_gb_per_s"],
        cached_images=set(machine["cached_images"]),
        fetch_left_gb=dict(machine["fetches"]),
        tasks=[_task(task) for task in machine["tasks"]],
        ready_at=machine["ready_at"],
        scale_in_candidate=machine["surplus"],
        has_scarce_type=machine["rare"],
        cpus_being_freed=freed_cpus,
        gpus_being_freed=freed_gpus,
        memory_gb_being_freed=freed_memory_gb,
    )


def _job(job: Fields) -> PlacementJob:
    types = job["machine_types"]
    return PlacementJob(
        pending_tasks=job["waiting_tasks"],
        cpus=job["cpus"],
        gpus=job["gpus"],
        memory_gb=job["memory_gb"],
        image=job["image"],
        image_gb=job["image_gb"],
        team=job["team"],
        estimate_s=job["estimate_s"],
        machine_types=None if types is None else frozenset(types),
        zone=job["zone"],
        spot_allowed=job["spot_allowed"],
        one_zone=job["one_zone"],
        max_tasks_per_zone=job["most_in_a_zone"],
        tasks_by_zone=dict(job["held_by_zone"]),
        tasks_in_unknown_zones=job["tasks_in_unknown_zones"],
        avoided_machines=frozenset(job["avoided_machines"]),
        rank=job["rank"],
        may_preempt=job["claim"],
        within_guarantee=job["within_guarantee"],
        replicas_by_machine=dict(job["replicas_by_machine"]),
        is_service=job["service"],
        on_demand_from=job["ordinary_machines_from"],
    )


def _team(team: Fields) -> TeamBudget:
    return TeamBudget(
        cpus=team["free_cpus"],
        gpus=team["free_gpus"],
        cpus_over_guarantee=team["cpus_over_guarantee"],
    )


def _snapshot(cluster: Fields) -> Snapshot:
    return Snapshot(
        now=cluster["now"],
        jobs=[_job(job) for job in cluster["jobs"]],
        machines=[_machine(machine) for machine in cluster["machines"]],
        teams=[_team(team) for team in cluster["teams"]],
        zone_count=cluster["zones"],
        fetches_per_machine=cluster["fetches_per_machine"],
        fetches_per_zone=cluster["fetches_per_zone"],
    )


def _offer(offer: Fields) -> Offer:
    return Offer(
        machine_type=offer["machine_type"],
        zone=offer["zone"],
        spot=offer["spot"],
        cpus=offer["cpus"],
        gpus=offer["gpus"],
        memory_gb=offer["memory_gb"],
        price_per_hour=offer["price_per_hour"],
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
        listed_stage=ListedMachineStage.FAILED if machine["failed"] else None,
        scale_in_candidate=machine["surplus"],
    )
    for task in range(machine["attempts"]):  # only their number counts
        known.attempts[TaskId(machine["name"], task)] = cast(Attempt, None)
    return known


# -- answers --------------------------------------------------------------------------


def _plan(plan: Plan) -> Fields:
    return {
        "placements": [[p.job, p.machine, p.task_count] for p in plan.placements],
        "head": plan.head,
        "head_start": plan.shadow_time,
        "unplaced": [[job, tasks] for job, tasks in plan.unplaced_tasks.items()],
        "reasons": [[job, reason] for job, reason in sorted(plan.wait_reasons.items())],
    }


def _provisions(provisions: list[ProvisionRequest]) -> list[list[Any]]:
    return [[r.offer.machine_type, r.offer.zone, r.offer.spot, r.count] for r in provisions]


def placement(cluster: Fields) -> Fields:
    return _plan(place(_snapshot(cluster)))


def preemption(cluster: Fields) -> Fields:
    snapshot = _snapshot(cluster)
    plan = place(snapshot)
    return {"victims": choose_victims(snapshot, plan, cluster["preemption_patience_s"])}


def provisioning(asked: Fields) -> Fields:
    """For all the waiting work, and for what the placement pass leaves over, as in service."""
    offers = [_offer(offer) for offer in asked["offers"]]
    limit = {} if asked["most_machines"] is None else {"max_machines": asked["most_machines"]}
    snapshot = _snapshot(asked["cluster"])
    room = asked["free_cpus_by_team"]
    everything = [JobDemand(snapshot.jobs[number], tasks) for number, tasks in asked["demand"]]
    for_all = plan_provisioning(
        demand=everything,
        machines=snapshot.machines,
        offers=offers,
        now=snapshot.now,
        team_cpus=room,
        **limit,
    )
    unplaced = place(snapshot).unplaced_tasks
    for_unplaced = plan_provisioning(
        demand=[JobDemand(snapshot.jobs[number], tasks) for number, tasks in unplaced.items()],
        machines=snapshot.machines,
        offers=offers,
        now=snapshot.now,
        team_cpus=room,
        **limit,
    )
    spare = plan_headroom(
        missing_cpus=asked["missing_cpus"], offers=offers, fleet_size=asked["machines_in_all"]
    )
    return {
        "provisions": _provisions(for_all),
        "provisions_for_unplaced": _provisions(for_unplaced),
        "spare_provisions": _provisions(spare),
    }


def demand_peaks(history: Fields) -> Fields:
    demand = DemandHistory(retention_s=history["memory_s"])
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
        is_scarce_type=rare.__contains__,
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
