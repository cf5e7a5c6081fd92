"""Whether a submission can ever run, by the catalog, the zones and the teams."""

from __future__ import annotations

from spoolcourse.wire.messages import Build, Submission, fits
from spoolcourse.wire.settings import Params


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
    if not usable_builds(sub, builds, params.zones):
        return "a task fits no allowed machine type"
    return None
