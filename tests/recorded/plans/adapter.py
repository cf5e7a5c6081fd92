"""Converts inputs to the product's types and its results to JSON.

The only module of the recorded plans that uses names of the product.
"""

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
from tests.recorded.plans.inputs import MACHINE_SIZES, NOW, Fields

# -- inputs ---------------------------------------------------------------------------


def _task(task: Fields) -> RunningTask:
    return RunningTask(
        expected_end=task["expected_end"],
        cpus=task["cpus"],
        gpus=task["gpus"],
        memory_gb=task["memory_gb"],
        attempt_number=task["attempt_number"],
        rank=task["rank"],
        team=task["team"],
        checkpoint_loss_cpu_s=task["checkpoint_loss_cpu_s"],
        stopping=task["stopping"],
        within_guarantee=task["within_guarantee"],
        unsaved_since=task["unsaved_since"],
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
        total_cpus=machine["total_cpus"],
        fetch_gb_per_s=machine["fetch_gb_per_s"],
        cached_images=set(machine["cached_images"]),
        remaining_fetch_gb=dict(machine["fetch_left_gb"]),
        tasks=[_task(task) for task in machine["tasks"]],
        ready_at=machine["ready_at"],
        scale_in_candidate=machine["scale_in_candidate"],
        has_scarce_type=machine["has_scarce_type"],
        cpus_being_freed=freed_cpus,
        gpus_being_freed=freed_gpus,
        memory_gb_being_freed=freed_memory_gb,
    )


def _job(job: Fields) -> PlacementJob:
    types = job["machine_types"]
    return PlacementJob(
        pending_tasks=job["pending_tasks"],
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
        max_tasks_per_zone=job["max_tasks_per_zone"],
        tasks_by_zone=dict(job["tasks_by_zone"]),
        tasks_in_unknown_zones=job["tasks_in_unknown_zones"],
        avoided_machines=frozenset(job["avoided_machines"]),
        rank=job["rank"],
        may_preempt=job["may_preempt"],
        within_guarantee=job["within_guarantee"],
        replicas_by_machine=dict(job["replicas_by_machine"]),
        is_service=job["is_service"],
        on_demand_from=job["on_demand_from"],
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
        zone_count=cluster["zone_count"],
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
        for number, (cpus, gpus, memory_gb) in enumerate(MACHINE_SIZES)
    }


def _known_machine(machine: Fields) -> Machine:
    number = machine["machine_type"]
    known_machine = Machine(
        id=machine["name"],
        first_seen_at=0.0,
        machine_type=None if number is None else f"type-{number}",
        spot=machine["spot"],
        confirmed=machine["confirmed"],
        last_heartbeat_at=machine["last_heartbeat_at"],
        deletion_requested=machine["deletion_requested"],
        listed_stage=ListedMachineStage.FAILED if machine["failed"] else None,
        scale_in_candidate=machine["scale_in_candidate"],
    )
    for task in range(machine["attempt_count"]):  # only the number of attempts matters
        known_machine.attempts[TaskId(machine["name"], task)] = cast(Attempt, None)
    return known_machine


# -- results --------------------------------------------------------------------------


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


def provisioning(request: Fields) -> Fields:
    """Plans for all pending tasks, and for those left unplaced, as the product does."""
    offers = [_offer(offer) for offer in request["offers"]]
    limit = {} if request["max_machines"] is None else {"max_machines": request["max_machines"]}
    snapshot = _snapshot(request["cluster"])
    free_cpus_by_team = request["free_cpus_by_team"]
    all_demand = [JobDemand(snapshot.jobs[number], tasks) for number, tasks in request["demand"]]
    requests_for_all = plan_provisioning(
        demand=all_demand,
        machines=snapshot.machines,
        offers=offers,
        now=snapshot.now,
        team_cpus=free_cpus_by_team,
        **limit,
    )
    unplaced = place(snapshot).unplaced_tasks
    requests_for_unplaced = plan_provisioning(
        demand=[JobDemand(snapshot.jobs[number], tasks) for number, tasks in unplaced.items()],
        machines=snapshot.machines,
        offers=offers,
        now=snapshot.now,
        team_cpus=free_cpus_by_team,
        **limit,
    )
    headroom_requests = plan_headroom(
        missing_cpus=request["missing_cpus"], offers=offers, fleet_size=request["fleet_size"]
    )
    return {
        "provisions": _provisions(requests_for_all),
        "provisions_for_unplaced": _provisions(requests_for_unplaced),
        "spare_provisions": _provisions(headroom_requests),
    }


def demand_peaks(history: Fields) -> Fields:
    demand = DemandHistory(retention_s=history["retention_s"])
    for moment, cpus in history["samples"]:
        demand.record(now=moment, cpus=cpus)
    return {
        "peaks": [
            demand.peak_cpus(now=history["queried_at"], window_s=window)
            for window in history["windows_s"]
        ]
    }


def surplus_machines(fleet: Fields) -> Fields:
    machines = {machine["name"]: _known_machine(machine) for machine in fleet["machines"]}
    scarce = {f"type-{number}" for number in fleet["scarce_machine_types"]}
    policy = Policy(keep_s=60.0, headroom=1.25, ordinary_keep_s=120.0, ordinary_headroom=1.0)
    excess_capacity = ExcessCapacity(
        policy=policy,
        registry=cast(Any, SimpleNamespace(machines=machines)),
        types=MachineTypeLookup(machine_types=_catalog),
        is_scarce_type=scarce.__contains__,
    )
    excess_capacity.demand.record(now=NOW - 90.0, cpus=1.5 * fleet["demand_cpus"])
    excess_capacity.demand.record(now=NOW, cpus=fleet["demand_cpus"])
    excess_capacity.mark_scale_in_candidates(
        now=NOW,
        initial_machines=frozenset(fleet["initial_machines"]),
        reserved=set(fleet["reserved"]),
    )
    return {
        "missing_cpus": excess_capacity.missing_cpus(now=NOW),
        "surplus": [name for name, machine in machines.items() if machine.scale_in_candidate],
    }
