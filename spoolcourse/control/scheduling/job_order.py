"""The scheduling order: the order in which a placement pass considers the jobs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.scheduling.name_index import NameIndex
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.settings import Team


@dataclass(frozen=True, slots=True)
class JobOrder:
    """The live jobs in scheduling order, and the sets of job IDs that determine it."""

    job_states: list[JobState]
    # Jobs that fit into their team's guarantee together with the team's earlier jobs.
    within_guarantee: set[str]
    # Jobs that have waited so long without any task that their first task is placed before the
    # tasks of all other jobs, whatever their rank.
    starved_jobs: set[str]


def order_jobs(
    jobs: Iterable[JobState],
    team_settings: list[Team],
    teams: NameIndex,
    policy: Policy,
    now: float,
) -> JobOrder:
    """Sort the jobs, except cancelled ones, into scheduling order.

    This is the first exception to the arrival order (docs/design.md): jobs are sorted by rank,
    then by whether they are within their team's guarantee, then by arrival. Preemption uses the
    same order; otherwise two jobs would preempt each other in turn. Starved jobs come before all
    others.
    """
    job_states = sorted(
        (state for state in jobs if not state.record.cancelled),
        key=lambda state: state.arrival_order,
    )
    starved_jobs = {state.id for state in job_states if _is_starved(state, policy.begin_s, now)}
    within_guarantee = _jobs_within_guarantee(job_states, team_settings, teams)
    job_states.sort(
        key=lambda state: (
            state.id not in starved_jobs,
            state.record.submission.rank_number,
            state.id not in within_guarantee,
            state.arrival_order,
        )
    )
    return JobOrder(job_states, within_guarantee, starved_jobs)


def _is_starved(job_state: JobState, begin_s: float, now: float) -> bool:
    """Whether the job has waited for longer than `begin_s` and no task of it is held or done.

    `begin_s` is a policy key. This is the fourth exception to the arrival order (docs/design.md):
    a steady arrival of urgent jobs must not starve a job forever. It applies only to the job's
    first task, which is then placed before the tasks of all other jobs, whatever their rank.
    """
    return (
        not job_state.attempts
        and job_state.done_count == 0
        and now - job_state.waiting_since > begin_s
    )


def _jobs_within_guarantee(
    job_states: list[JobState], team_settings: list[Team], teams: NameIndex
) -> set[str]:
    """Return the IDs of the jobs within their team's guarantee.

    They fit into its guaranteed CPUs and GPUs together with the team's earlier jobs; finished tasks
    don't count.
    """
    within_guarantee: set[str] = set()
    remaining_cpus = [team.cpus for team in team_settings]
    remaining_gpus = [team.gpus for team in team_settings]
    for job_state in job_states:
        submission = job_state.record.submission
        team = teams.index_of(submission.team)
        remaining_cpus[team] -= submission.cpus * (submission.task_count - job_state.done_count)
        remaining_gpus[team] -= submission.gpus * (submission.task_count - job_state.done_count)
        if remaining_cpus[team] >= 0 and remaining_gpus[team] >= 0:
            within_guarantee.add(job_state.id)
    return within_guarantee
