"""Builders for machines and jobs of the placement model, and a placement pass over them."""

from __future__ import annotations

from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import (
    PlacementJob,
    PlacementMachine,
    Plan,
    Snapshot,
    TeamBudget,
)


def machine(cpus: float = 8.0, total_cpus: float = 8.0, **fields: object) -> PlacementMachine:
    values = {"machine_type": 0, "zone": 0, "spot": False} | fields
    values = {"gpus": 0.0, "memory_gb": 64.0, "fetch_gb_per_s": 1.0} | values
    return PlacementMachine(cpus=cpus, total_cpus=total_cpus, **values)  # type: ignore[arg-type]


def job(
    pending: int = 1, cpus: float = 2.0, estimate_s: float = 10.0, **fields: object
) -> PlacementJob:
    values = {"image": 0, "image_gb": 0.0, "team": 0} | fields
    return PlacementJob(
        *(pending, cpus, 0.0, 1.0),
        estimate_s=estimate_s,
        **values,  # type: ignore[arg-type]
    )


def run_pass(
    jobs: list[PlacementJob],
    machines: list[PlacementMachine],
    team: float = 1000.0,
    fetches_per_machine: int = 2,
    fetches_per_zone: int = 8,
) -> Plan:
    teams = [TeamBudget(team, 0.0), TeamBudget(1000.0, 0.0)]
    return place(Snapshot(100.0, jobs, machines, teams, 2, fetches_per_machine, fetches_per_zone))


def tasks_placed_by_job(plan: Plan) -> dict[int, int]:
    task_counts: dict[int, int] = {}
    for d in plan.placements:
        task_counts[d.job] = task_counts.get(d.job, 0) + d.task_count
    return task_counts
