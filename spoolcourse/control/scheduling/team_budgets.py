"""Team budgets: the resources each team may still use, and its CPUs beyond its guarantee."""

from __future__ import annotations

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.placement.model import TeamBudget
from spoolcourse.control.scheduling.name_index import NameIndex
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.settings import Team


def team_budgets(
    settings: list[Team], teams: NameIndex, job_queue: JobQueue, registry: WorkerRegistry
) -> list[TeamBudget]:
    """Return the budget of each team, by team index.

    Every task that may be running counts. That includes attempts that still run although their job
    has finished, and attempts on machines where the leader does not expect them.
    """
    budgets = [
        TeamBudget(cpus=team.cpu_limit, gpus=team.gpu_limit, cpus_over_guarantee=-team.cpus)
        for team in settings
    ]

    def charge(job_state: JobState, tasks: int, stoppable: bool = True) -> None:
        """Charge tasks of a job to its team.

        Only tasks that a preemption could stop count towards `cpus_over_guarantee`.
        """
        submission = job_state.record.submission
        budget = budgets[teams.index_of(submission.team)]
        cpus = submission.cpus * tasks
        budget.cpus -= cpus
        budget.gpus -= submission.gpus * tasks
        if stoppable:
            budget.cpus_over_guarantee += cpus

    for job_state in job_queue.jobs.values():
        charge(job_state, len(job_state.attempts))
    for attempt in job_queue.attempts_of_finished_jobs():
        charge(attempt.job_state, 1)
    for job_state in _jobs_of_unexpected_attempts(job_queue, registry):
        charge(job_state, 1, stoppable=False)
    return budgets


def _jobs_of_unexpected_attempts(job_queue: JobQueue, registry: WorkerRegistry) -> list[JobState]:
    """Return the live job of each unexpected attempt, one entry per attempt."""
    return [
        job_state
        for machine in registry.machines.values()
        for attempt_id in machine.unexpected_attempts
        if (job_state := job_queue.jobs.get(attempt_id.job)) is not None
    ]
