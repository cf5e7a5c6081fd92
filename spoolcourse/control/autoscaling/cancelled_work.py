"""Cancelled work on machines that can't be reached: the machine is deleted within `cancel_s`.

The time left is counted from the cancellation itself, not from when this leader heard of it.
Nothing of a cancelled job may run after `cancel_s` (PROTOCOL, `POST /submissions/{id}/withdraw`).
"""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.settings import Workers

# Of `cancel_s`: tasks should have ended by then, and a deletion may need retries.
OVERDUE_SHARE = 0.4
TRANSIT_S = 0.5  # of a heartbeat
DELETION_S = 5.0  # kept for the deletion itself

OverdueJobs = dict[str, float]  # job: seconds that a machine is given after its cancellation


class CancelledWork:
    """Finds machines that may hold cancelled work and can't be reached."""

    def __init__(
        self,
        job_queue: JobQueue,
        workers: Workers,
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
        """Cancelled jobs whose tasks should have ended by now.

        With each, the seconds that a machine is given after this leader first heard of it.
        """
        now, wall_clock = self._clock(), self._wall_clock()
        overdue: OverdueJobs = {}
        for job_state in self._job_queue.jobs.values():
            cancelled_at = job_state.record.cancelled_at
            if cancelled_at is None:
                continue
            age_s = wall_clock - cancelled_at + self._skew_s
            known_for_s = now - job_state.cancelled_known_at
            patience_s = self._patience_s(age_s - known_for_s)
            if age_s > OVERDUE_SHARE * self._workers.cancel_s and known_for_s > patience_s:
                overdue[job_state.id] = patience_s
        return overdue

    def may_be_on(self, machine: Machine, overdue: OverdueJobs) -> bool:
        """Whether a task of the overdue jobs may be on the machine.

        Whether the machine is silent or only our answers don't reach it: no stop reaches its tasks,
        so the machine is deleted.
        """
        if not overdue:
            return False
        known_for_s = self._clock() - machine.first_seen_at
        jobs = {job for job, _ in machine.attempts} | {
            attempt_id.job for attempt_id in machine.unexpected_attempts
        }
        return any(known_for_s > overdue[job] for job in jobs if job in overdue)

    def _patience_s(self, age_when_learned_s: float) -> float:
        """How long a machine is given to stop the tasks.

        A leader that took over, or learned late, has less left; but each machine is given its next
        heartbeat, or a fleet that is about to get the stop would be deleted (and leases end what no
        leader that knows less may keep alive).
        """
        next_heartbeat_s = self._workers.heartbeat_gap_s + TRANSIT_S
        left_s = self._workers.cancel_s - DELETION_S - age_when_learned_s
        return min(self._workers.quiet_s, max(left_s, next_heartbeat_s))
