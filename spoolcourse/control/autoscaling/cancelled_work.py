"""Finds unreachable machines with cancelled work, which are deleted within `cancel_s`.

No task of a cancelled job may run after `cancel_s` (PROTOCOL, `POST /submissions/{id}/withdraw`).
This time counts from the cancellation itself, not from when this leader learned of it.
"""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.settings import WorkerSettings

# Share of `cancel_s` after which tasks of a cancelled job should have ended. The rest of `cancel_s`
# leaves time to retry a deletion.
OVERDUE_SHARE = 0.4
HEARTBEAT_TRANSIT_S = 0.5  # for a heartbeat to arrive
DELETION_TIME_S = 5.0  # reserved for the deletion itself

OverdueJobs = dict[str, float]  # job ID -> grace period of a machine, in seconds


class CancelledWork:
    """Finds machines that may still have tasks of cancelled jobs after their grace period."""

    def __init__(
        self,
        job_queue: JobQueue,
        workers: WorkerSettings,
        skew_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._job_queue = job_queue
        self._workers = workers
        self._skew_s = skew_s
        self._clock = clock
        self._wall_clock = wall_clock

    def overdue_jobs(self) -> OverdueJobs:
        """Return the cancelled jobs whose tasks should have ended by now, with grace periods.

        The grace period of a machine counts from when this leader first learned of the machine.
        """
        now, wall_clock = self._clock(), self._wall_clock()
        overdue: OverdueJobs = {}
        for job_state in self._job_queue.jobs.values():
            cancelled_at = job_state.record.cancelled_at
            if cancelled_at is None:
                continue
            age_s = wall_clock - cancelled_at + self._skew_s
            known_for_s = now - job_state.cancelled_known_at
            grace_period_s = self._grace_period_s(age_s - known_for_s)
            if age_s > OVERDUE_SHARE * self._workers.cancel_s and known_for_s > grace_period_s:
                overdue[job_state.id] = grace_period_s
        return overdue

    def may_hold_overdue_tasks(self, machine: Machine, overdue: OverdueJobs) -> bool:
        """Whether a task of the overdue jobs may be on the machine, after its grace period.

        The machine may be silent, or responses to its heartbeats may not reach it: in both cases no
        stop command reaches its tasks, so the machine is deleted.
        """
        if not overdue:
            return False
        known_for_s = self._clock() - machine.first_seen_at
        jobs = {job for job, _ in machine.attempts} | {
            attempt_id.job for attempt_id in machine.unexpected_attempts
        }
        return any(known_for_s > overdue[job] for job in jobs if job in overdue)

    def _grace_period_s(self, age_when_learned_s: float) -> float:
        """Return how long a machine has to stop the tasks of a cancelled job.

        `age_when_learned_s`: how old the cancellation was when this leader learned of it.

        A leader that was elected after the cancellation, or learned of it late, has less time left.
        Each machine still gets the time of one more heartbeat, or a fleet about to receive the stop
        command would be deleted. That is safe: a leader that does not know of a cancellation may
        not renew leases, so the tasks end when the leases expire.
        """
        next_heartbeat_s = self._workers.max_heartbeat_interval_s + HEARTBEAT_TRANSIT_S
        remaining_s = self._workers.cancel_s - DELETION_TIME_S - age_when_learned_s
        return min(self._workers.suspect_after_s, max(remaining_s, next_heartbeat_s))
