"""Whether a submission can ever run, by the catalog, the zones and the teams."""

from __future__ import annotations

from spoolcourse.wire.messages import Build, Submission, fits
from spoolcourse.wire.settings import Params, Team


def usable_builds(sub: Submission, builds: dict[str, Build], zones: list[str]) -> list[str]:
    """The allowed machine types that a task of the job fits on."""
    return [
        build.name
        for build in builds.values()
        if fits(sub, build) and any(z in zones and sub.yard in (None, z) for z in build.yards)
    ]


def refusal(sub: Submission, builds: dict[str, Build], params: Params) -> str | None:
    """Why the job can never run; None if it can."""
    team = next((t for t in params.teams if t.name == sub.crew), None)
    if team is None:
        return f"unknown team {sub.crew!r}"
    if sub.vcpus > team.cpus_max or sub.gpus > team.gpus_max:
        return "a task needs more than the team's limit"
    usable = usable_builds(sub, builds, params.zones)
    if not usable:
        return "a task fits no allowed machine type"
    return _standing_refusal(sub, team, usable, builds, params.zones) if sub.standing else None


def _standing_refusal(
    sub: Submission, team: Team, usable: list[str], builds: dict[str, Build], zones: list[str]
) -> str | None:
    """The replicas of a service run all at once; an array may take one task after another."""
    if sub.pieces * sub.vcpus > team.cpus_max or sub.pieces * sub.gpus > team.gpus_max:
        return "all replicas together need more than the team's limit"
    if not sub.scatter or sub.pieces < 2:
        return None
    where = {z for name in usable for z in builds[name].yards if z in zones}
    if sub.oneZone or sub.yard is not None or len(where) < 2:
        return "the replicas can't be spread over zones"
    return None
