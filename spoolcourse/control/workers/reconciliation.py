"""What a heartbeat proves about the attempts that may be on its machine.

A worker has one heartbeat in flight, executes an answer within its time-out or never, and drops it
in a later incarnation; so the next newer heartbeat under our fencing token tells for certain
whether a start in an answer arrived. Starts sent to the worker's address may come late: they stay
possible until the incarnation or our term ends.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from spoolcourse.control.jobs.backoff import ARRAY_BACKOFF, REPLICA_BACKOFF, Backoff
from spoolcourse.control.jobs.model import REPORTED_STAGES, Attempt, AttemptStage, JobState
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import (
    EndCause,
    Heartbeat,
    Submission,
    TaskStage,
    TaskStatus,
    split_task_name,
)

if TYPE_CHECKING:
    from spoolcourse.control.workers.worker_registry import Leader, WorkerRegistry

log = logging.getLogger(__name__)

AVOID_S = 60.0  # a machine that a job failed on; forever, it might be left with none
HEALTHY_S = 20.0  # a replica that has run for so long clears its service's pause
REFUSED_START_PAUSE_S = 2.0  # after a start that the worker has refused


class HeartbeatReconciler:
    """Brings the registry in line with heartbeats under our fencing token."""

    def __init__(self, registry: WorkerRegistry, leader: Leader) -> None:
        self._registry = registry
        self._job_queue = registry.job_queue
        self._leader = leader

    def reconcile(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Bring what is known of a machine in line with its heartbeat."""
        present = self._take_tasks(machine, heartbeat, now)
        if any(
            _awaits_effect(attempt) and key not in present
            for key, attempt in machine.attempts.items()
        ):
            self._registry.note_ineffective_answer(machine)
        for key, attempt in list(machine.attempts.items()):
            if key not in present:
                self._take_absence(machine, attempt, heartbeat)
        self._note_fetches(machine, now)
        if machine.attempts:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _take_tasks(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> set[tuple[str, int]]:
        """What the heartbeat lists; the tasks whose attempts are there."""
        present: set[tuple[str, int]] = set()
        unexpected_tasks = set(machine.unexpected_tasks)
        machine.unexpected_tasks.clear()
        for item in heartbeat.tasks:
            job, task = split_task_name(item.task)
            attempt = machine.attempts.get((job, task))
            if attempt is not None and attempt.number == item.attempt:
                present.add((job, task))
                self._take_progress(machine, attempt, item, now)
            elif self._take_unexpected(machine, job, task, item, now):
                present.add((job, task))
        if unexpected_tasks != machine.unexpected_tasks:
            machine.changes += 1
        return present

    def _take_absence(self, machine: Machine, attempt: Attempt, heartbeat: Heartbeat) -> None:
        """An attempt that the heartbeat does not list."""
        if attempt.in_flight_incarnation != heartbeat.incarnation:
            attempt.in_flight_incarnation = None  # of another incarnation: it would be refused
        if attempt.stage is not AttemptStage.ASSIGNED:
            log.info("%s: no longer on %s", attempt.name, machine.id)
            self._registry.drop(attempt)
            return
        sent_with = attempt.start_sent_with
        if sent_with is not None and sent_with >= (heartbeat.incarnation, heartbeat.sequence):
            return
        attempt.start_sent_with = None  # that start never arrived and can't any more
        unwanted = (
            attempt.job_state.record.cancelled
            or attempt.stopping
            or machine.unresponsive_since is not None
        )
        if unwanted and attempt.in_flight_incarnation is None:
            self._registry.drop(attempt)

    @staticmethod
    def _note_fetches(machine: Machine, now: float) -> None:
        """Since when images are being fetched there."""
        fetched = {
            attempt.job_state.record.submission.image
            for attempt in machine.attempts.values()
            if attempt.stage is AttemptStage.FETCHING
        }
        machine.fetching = {
            image: machine.fetching.get(image, now)
            for image in fetched
            if image not in machine.images
        }

    def _take_progress(
        self, machine: Machine, attempt: Attempt, item: TaskStatus, now: float
    ) -> None:
        """What a heartbeat says of the attempt that counts there."""
        if item.stage is TaskStage.ENDED:
            self._take_end(machine, attempt, item.cause or "", now)
            return
        stage = REPORTED_STAGES[item.stage]
        if stage is not attempt.stage:
            log.debug("%s: %s on %s", item.task, stage.value, machine.id)
            attempt.stage, attempt.since = stage, now
            machine.changes += 1
        if attempt.is_executing:
            job_state = attempt.job_state
            self._note_image(machine, job_state.record.submission)
            machine.errors.discard(job_state.id)
            runs_well = now - attempt.since > HEALTHY_S
            if job_state.record.submission.is_service and job_state.failures and runs_well:
                job_state.failures = 0

    def _take_end(self, machine: Machine, attempt: Attempt, cause: str, now: float) -> None:
        job_state = attempt.job_state
        log.debug("%s: ended, %s, on %s", attempt.name, cause, machine.id)
        if attempt.in_flight_incarnation is not None or (
            attempt.sent_directly and cause != EndCause.DONE
        ):
            # A copy of the start may still be on its way to the worker's address. While the
            # worker remembers the attempt, the copy has no effect; once it has forgotten it, the
            # copy would start it.
            machine.unacknowledged.add((job_state.id, attempt.task, attempt.number))
        if cause == EndCause.DONE:
            self._take_result(machine, attempt, now)
        elif cause == EndCause.ERROR:
            self._take_error(machine, attempt, now)
        elif cause == EndCause.NO_ROOM:
            machine.full_until = now + REFUSED_START_PAUSE_S
            log.info("%s: no room on %s", attempt.name, machine.id)
        elif cause in (EndCause.OTHER_ATTEMPT_THERE, EndCause.NO_SUCH_TASK):
            job_state.retry_at = now + REFUSED_START_PAUSE_S
            log.info("%s: %s on %s", attempt.name, cause, machine.id)
        self._registry.drop(attempt)

    def _take_result(self, machine: Machine, attempt: Attempt, now: float) -> None:
        job_state = attempt.job_state
        self._note_image(machine, job_state.record.submission)
        if job_state.record.submission.is_service:
            _count_failure(job_state, REPLICA_BACKOFF, now)
            return
        job_state.failures = 0
        self._job_queue.complete(job_state, attempt.task)

    def _take_error(self, machine: Machine, attempt: Attempt, now: float) -> None:
        job_state = attempt.job_state
        job_state.bad_machines[machine.id] = now + AVOID_S
        machine.errors.add(job_state.id)
        is_service = job_state.record.submission.is_service
        _count_failure(job_state, REPLICA_BACKOFF if is_service else ARRAY_BACKOFF, now)
        log.info("%s: failed on %s", attempt.name, machine.id)

    def _note_image(self, machine: Machine, submission: Submission) -> None:
        disk_gb = self._leader.disk_gb(machine.machine_type or "")
        machine.note_image(submission.image, submission.image_gb, disk_gb)

    def _take_unexpected(
        self, machine: Machine, job: str, task: int, item: TaskStatus, now: float
    ) -> bool:
        """Take in a task that is not the attempt counted there.

        True if it was adopted as the attempt.
        """
        job_state = self._job_queue.jobs.get(job)
        if job_state is not None and task < job_state.record.submission.task_count:
            if item.stage is TaskStage.ENDED:
                if item.cause == EndCause.DONE and not job_state.record.submission.is_service:
                    self._job_queue.complete(job_state, task)
                    other = job_state.attempts.get(task)
                    if other is not None:
                        self._registry.stop(other)
                return False
            if (
                task not in job_state.attempts
                and not job_state.is_done(task)
                and not job_state.record.cancelled
            ):
                # It runs and nobody else does: keep it.
                attempt = self._job_queue.adopt(job_state, task, machine.id, item.attempt, now)
                attempt.stage = REPORTED_STAGES[item.stage]
                machine.attempts[job, task] = attempt
                machine.changes += 1
                return True
        if item.stage is not TaskStage.ENDED:
            machine.unexpected_tasks.add((job, task, item.attempt))
        return False


def _awaits_effect(attempt: Attempt) -> bool:
    """An answer carried its start, so the next heartbeat should show it."""
    return attempt.stage is AttemptStage.ASSIGNED and attempt.start_sent_with is not None


def _count_failure(job_state: JobState, backoff: Backoff, now: float) -> None:
    job_state.failures += 1
    pause_s = backoff.pause_s(job_state.failures)
    if pause_s > 0:
        job_state.retry_at = now + pause_s
