"""The order of service: which job the placement pass looks at first."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.scheduling.name_index import NameIndex
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.settings import Team


@dataclass(frozen=True, slots=True)
class OrderOfService:
    """The live jobs in the order of service, and two sets of them that decide it."""

    job_states: list[JobState]
    within_guarantee: set[str]  # with the earlier ones of their teams
    overdue_to_begin: set[str]  # their first task goes before rank


def order_of_service(
    jobs: Iterable[JobState],
    team_settings: list[Team],
    teams: NameIndex,
    policy: Policy,
    now: float,
) -> OrderOfService:
    """Put the jobs in the order of service.

    The first exception to the arrival order (docs/design.md): rank goes first, then work
    within its team's guarantee, then arrival. Preemption follows the same order: otherwise
    two claims would stop each other in turn.
    """
    job_states = sorted(
        (state for state in jobs if not state.record.cancelled),
        key=lambda state: state.arrival_order,
    )
    overdue_to_begin = {
        state.id for state in job_states if _is_overdue_to_begin(state, policy.begin_s, now)
    }
    within_guarantee = _jobs_within_guarantee(job_states, team_settings, teams)
    job_states.sort(
        key=lambda state: (
            state.id not in overdue_to_begin,
            state.record.submission.rank_number,
            state.id not in within_guarantee,
            state.arrival_order,
        )
    )
    return OrderOfService(job_states, within_guarantee, overdue_to_begin)


def _is_overdue_to_begin(job_state: JobState, begin_s: float, now: float) -> bool:
    """Whether the job has waited so long that its first task goes before rank.

    The fourth exception: urgent work that keeps arriving must not keep a job from ever
    beginning. It holds for the first task, and no more.
    """
    return (
        not job_state.attempts
        and job_state.done_count == 0
        and now - job_state.waiting_since > begin_s
    )


def _jobs_within_guarantee(
    job_states: list[JobState], team_settings: list[Team], teams: NameIndex
) -> set[str]:
    """Jobs that fit into their teams' guarantees together with the earlier ones."""
    within_guarantee: set[str] = set()
    left_cpus = [team.cpus for team in team_settings]
    left_gpus = [team.gpus for team in team_settings]
    for job_state in job_states:
        submission = job_state.record.submission
        team = teams.number_of(submission.team)
        left_cpus[team] -= submission.cpus * (submission.task_count - job_state.done_count)
        left_gpus[team] -= submission.gpus * (submission.task_count - job_state.done_count)
        if left_cpus[team] >= 0 and left_gpus[team] >= 0:
            within_guarantee.add(job_state.id)
    return within_guarantee
