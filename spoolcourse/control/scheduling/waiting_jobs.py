"""Reports the waiting jobs and their wait reasons in `/status` and in the log."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.leader_context import LeaderContext

log = logging.getLogger(__name__)

# Wait reasons shown in `/status` in addition to those of the placement pass.
NEXT_PASS_REASON = "next pass"  # the latest pass gave no reason
BACKOFF_REASON = "an error's pause"  # its tasks failed, so none starts for some time


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with pending tasks, and why they wait."""

    id: str
    job_class: str
    team: str
    tasks: int  # pending ones
    waits_s: float  # since the job was accepted
    reason: str


class WaitingJobs:
    """Lists the waiting jobs with the wait reasons of the latest pass."""

    def __init__(self, leader: LeaderContext) -> None:
        self._clock = leader.controller.clock
        self._job_queue = leader.job_queue
        self._reasons: dict[str, str] = {}  # by job ID

    def set_reasons(self, reasons: dict[str, str]) -> None:
        """Replace the wait reasons by those of a new pass."""
        self._reasons = reasons

    def list(self) -> list[WaitingJob]:
        """Return the jobs with pending tasks in arrival order."""
        now = self._clock()
        return [
            WaitingJob(
                id=job_state.id,
                job_class=job_state.record.submission.job_class,
                team=job_state.record.submission.team,
                tasks=job_state.pending_count,
                waits_s=round(now - job_state.waiting_since, 1),
                reason=self._reason(job_state, now),
            )
            for job_state in sorted(
                self._job_queue.jobs.values(), key=lambda job: job.arrival_order
            )
            if job_state.pending_count > 0 and not job_state.record.cancelled
        ]

    def _reason(self, job_state: JobState, now: float) -> str:
        if job_state.backoff_until > now:
            return BACKOFF_REASON
        return self._reasons.get(job_state.id, NEXT_PASS_REASON)

    def log_summary(self) -> None:
        """Log the number of pending tasks by job class and wait reason."""
        tasks: dict[tuple[str, str], int] = {}
        for job in self.list():
            key = (job.job_class, job.reason)
            tasks[key] = tasks.get(key, 0) + job.tasks
        for (job_class, reason), count in sorted(tasks.items()):
            log.info("waiting: class=%s tasks=%d reason=%s", job_class, count, reason)
