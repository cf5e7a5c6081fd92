"""Checks whether a submission can ever run, given the catalog, the zones and the teams."""

from __future__ import annotations

from spoolcourse.wire.messages import MachineType, Submission, task_fits
from spoolcourse.wire.settings import DeploymentSettings, Team


def usable_machine_types(
    submission: Submission, machine_types: dict[str, MachineType], zones: list[str]
) -> list[str]:
    """The allowed machine types that a task of the job fits on."""
    return [
        machine_type.name
        for machine_type in machine_types.values()
        if task_fits(submission, machine_type)
        and any(z in zones and submission.zone in (None, z) for z in machine_type.zones)
    ]


def rejection_reason(
    submission: Submission, machine_types: dict[str, MachineType], params: DeploymentSettings
) -> str | None:
    """Why the job can never run; None if it can run."""
    team = next((t for t in params.teams if t.name == submission.team), None)
    if team is None:
        return f"unknown team {submission.team!r}"
    if submission.cpus > team.cpu_limit or submission.gpus > team.gpu_limit:
        return "a task needs more than the team's limit"
    usable = usable_machine_types(submission, machine_types, params.zones)
    if not usable:
        return "a task fits no allowed machine type"
    if not submission.is_service:
        return None
    zones = {z for name in usable for z in machine_types[name].zones if z in params.zones}
    return _service_rejection_reason(submission, team, zones)


def _service_rejection_reason(submission: Submission, team: Team, zones: set[str]) -> str | None:
    """Why a service can never run, though one task fits; None if it can run.

    All replicas of a service run at once; an array may run one task after another. `zones`: those
    with usable machine types.
    """
    if (
        submission.task_count * submission.cpus > team.cpu_limit
        or submission.task_count * submission.gpus > team.gpu_limit
    ):
        return "all replicas together need more than the team's limit"
    if not submission.spread_over_zones or submission.task_count < 2:
        return None
    if submission.one_zone or submission.zone is not None or len(zones) < 2:
        return "the replicas can't be spread over zones"
    return None
