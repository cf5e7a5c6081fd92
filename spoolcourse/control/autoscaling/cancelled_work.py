"""Cancelled work on machines that can't be told: the machine goes before `cancel_s` is over.

The time left is counted from the cancellation itself, not from when this leader heard of it.
"""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.settings import Workers

SHARE = 0.4  # of `cancel_s`: its tasks should have ended by then, and a deletion may need retries
TRANSIT_S = 0.5  # of a heartbeat
LAST_CALL_S = 5.0  # for the deletion itself


class CancelledWork:
    """Finds machines that may hold cancelled work and can't be told."""

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

    def _patience(self, age_when_learned: float) -> float:
        """How long machines are given to be told.

        A leader that took over, or learned late, has less left; but each is given its next
        heartbeat, or a fleet that is about to be told would be deleted (and leases end what no
        leader that knows less may keep alive).
        """
        next_report = self._workers.heartbeat_gap_s + TRANSIT_S
        left = self._workers.cancel_s - LAST_CALL_S - age_when_learned
        return min(self._workers.quiet_s, max(left, next_report))

    def overdue(self) -> dict[str, float]:
        """Cancelled jobs whose tasks should have ended by now.

        With each, the time that a machine is given after this leader first heard of it.
        """
        now, wall_clock = self._clock(), self._wall_clock()
        found = {}
        for job_state in self._job_queue.jobs.values():
            at = job_state.record.cancelled_at
            if at is None:
                continue
            age = wall_clock - at + self._skew_s
            known = now - job_state.cancelled_known_at
            patience = self._patience(age - known)
            if age > SHARE * self._workers.cancel_s and known > patience:
                found[job_state.id] = patience
        return found

    def may_be_on(self, machine: Machine, overdue: dict[str, float]) -> bool:
        """Whether a task of these jobs may be there.

        Whether the machine is silent or only our answers don't reach it: it can't be told, so it
        goes itself.
        """
        if not overdue:
            return False
        known = self._clock() - machine.first_seen_at
        jobs = {job for job, _ in machine.attempts} | {
            attempt_id.job for attempt_id in machine.unexpected_attempts
        }
        return any(known > overdue[job] for job in jobs if job in overdue)
