"""Reconciliation of the attempts expected on a machine with those that its heartbeat lists.

The expected attempts are those in `Machine.attempts`. A listed attempt that is not among them is
unexpected: its result is accepted; while it runs, it is adopted if its task has no other attempt,
and else stopped.

Whether an attempt that is not listed may still start is decided in `jobs.start_delivery`.
"""

from __future__ import annotations

import logging

from spoolcourse.control.jobs.backoff import ARRAY_BACKOFF, REPLICA_BACKOFF, Backoff
from spoolcourse.control.jobs.model import REPORTED_STAGES, Attempt, AttemptStage, JobState
from spoolcourse.control.jobs.start_delivery import HeartbeatKind
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.wire.identities import AttemptId, TaskId
from spoolcourse.wire.messages import (
    EndCause,
    Heartbeat,
    Submission,
    TaskStage,
    TaskStatus,
    parse_task_name,
)

log = logging.getLogger(__name__)

# How long a job avoids a machine on which one of its tasks failed; if the time had no end, a job
# could run out of machines.
FAILED_MACHINE_AVOIDANCE_S = 60.0
HEALTHY_REPLICA_S = 20.0  # a replica that has run longer resets its service's failure count
# After a worker refused a start: no starts on that machine or of that job, depending on the cause.
REFUSED_START_RETRY_DELAY_S = 2.0


class HeartbeatReconciler:
    """Updates the machine table and the job queue from heartbeats under this term's token."""

    def __init__(self, machines: MachineTable, leader: Leader) -> None:
        self._machines = machines
        self._job_queue = machines.job_queue
        self._leader = leader

    def reconcile(
        self, machine: Machine, heartbeat: Heartbeat, kind: HeartbeatKind, now: float
    ) -> None:
        """Update a machine's attempts, image fetches and idle time from its heartbeat."""
        listed_tasks = self._reconcile_reported(machine, heartbeat, now)
        unlisted = [
            attempt for task_id, attempt in machine.attempts.items() if task_id not in listed_tasks
        ]
        lost_starts = [
            attempt.start.on_newer_heartbeat_without_attempt(heartbeat.id, kind)
            for attempt in unlisted
            if attempt.stage is AttemptStage.ASSIGNED
        ]
        if any(lost_starts):
            machine.count_ineffective_response(now)
        for attempt in unlisted:
            self._reconcile_unlisted(machine, attempt)
        _update_image_fetches(machine, now)
        if machine.attempts:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    # -- attempts that the heartbeat lists ---------------------------------------------------

    def _reconcile_reported(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> set[TaskId]:
        """Apply the statuses of the listed attempts.

        Returns:
            The tasks whose expected or adopted attempt the heartbeat lists.
        """
        listed_tasks: set[TaskId] = set()
        unexpected_before = set(machine.unexpected_attempts)
        machine.unexpected_attempts.clear()
        for status in heartbeat.tasks:
            task_id = parse_task_name(status.task)
            attempt = machine.attempts.get(task_id)
            if attempt is not None and attempt.number == status.attempt:
                listed_tasks.add(task_id)
                self._update_attempt(machine, attempt, status, now)
            elif self._reconcile_unexpected(machine, task_id, status, now):
                listed_tasks.add(task_id)
        if unexpected_before != machine.unexpected_attempts:
            machine.change_count += 1
        return listed_tasks

    def _update_attempt(
        self, machine: Machine, attempt: Attempt, status: TaskStatus, now: float
    ) -> None:
        """Apply the reported status of an expected attempt."""
        if status.stage is TaskStage.ENDED:
            self._end_attempt(machine, attempt, status.cause or "", now)
            return
        stage = REPORTED_STAGES[status.stage]
        if stage is not attempt.stage:
            log.debug(
                "attempt %s: task=%s attempt=%d machine=%s",
                stage.value,
                status.task,
                attempt.number,
                machine.id,
            )
            attempt.stage, attempt.stage_since = stage, now
            machine.change_count += 1
        if attempt.is_executing:
            job_state = attempt.job_state
            self._add_cached_image(machine, job_state.record.submission)
            machine.failed_jobs.discard(job_state.id)
            is_healthy = now - attempt.stage_since > HEALTHY_REPLICA_S
            if (
                job_state.record.submission.is_service
                and job_state.consecutive_failures
                and is_healthy
            ):
                job_state.consecutive_failures = 0

    def _end_attempt(self, machine: Machine, attempt: Attempt, cause: str, now: float) -> None:
        job_state = attempt.job_state
        log.debug(
            "attempt ended: task=%s attempt=%d machine=%s cause=%s",
            attempt.name,
            attempt.number,
            machine.id,
            cause,
        )
        if _may_run_again(attempt, cause):
            machine.attempts_not_to_acknowledge.add(
                AttemptId(job_state.id, attempt.task, attempt.number)
            )
        if cause == EndCause.DONE:
            self._handle_completed_attempt(machine, attempt, now)
        elif cause == EndCause.ERROR:
            _handle_task_error(machine, attempt, now)
        elif cause == EndCause.NO_ROOM:
            machine.start_refused_until = now + REFUSED_START_RETRY_DELAY_S
            _log_refused_start(machine, attempt, cause)
        elif cause in (EndCause.OTHER_ATTEMPT_ON_MACHINE, EndCause.NO_SUCH_TASK):
            job_state.backoff_until = now + REFUSED_START_RETRY_DELAY_S
            _log_refused_start(machine, attempt, cause)
        self._machines.release_attempt(attempt)

    def _handle_completed_attempt(self, machine: Machine, attempt: Attempt, now: float) -> None:
        job_state = attempt.job_state
        self._add_cached_image(machine, job_state.record.submission)
        if job_state.record.submission.is_service:
            _count_failure(job_state, REPLICA_BACKOFF, now)  # a replica should not end by itself
            return
        job_state.consecutive_failures = 0
        self._job_queue.complete(job_state, attempt.task)

    def _add_cached_image(self, machine: Machine, submission: Submission) -> None:
        disk_gb = self._leader.disk_gb(machine.machine_type or "")
        machine.add_cached_image(submission.image, submission.image_gb, disk_gb)

    # -- listed attempts that are not expected there -----------------------------------------

    def _reconcile_unexpected(
        self, machine: Machine, task_id: TaskId, status: TaskStatus, now: float
    ) -> bool:
        """Handle a listed attempt that is not expected on this machine.

        Returns:
            Whether the attempt was adopted, so that it is expected from now on.
        """
        job_state = self._job_queue.jobs.get(task_id.job)
        if job_state is not None and task_id.index < job_state.record.submission.task_count:
            if status.stage is TaskStage.ENDED:
                self._accept_unexpected_result(job_state, task_id.index, status)
                return False
            if _needs_attempt(job_state, task_id.index):
                self._adopt(machine, job_state, task_id, status, now)
                return True
        if status.stage is not TaskStage.ENDED:
            machine.unexpected_attempts.add(AttemptId(*task_id, status.attempt))
        return False

    def _accept_unexpected_result(self, job_state: JobState, task: int, status: TaskStatus) -> None:
        """Accept an unexpected attempt's result: complete the task, stop its other attempt."""
        if status.cause != EndCause.DONE or job_state.record.submission.is_service:
            return
        self._job_queue.complete(job_state, task)
        other = job_state.attempts.get(task)
        if other is not None:
            self._machines.request_stop(other)

    def _adopt(
        self,
        machine: Machine,
        job_state: JobState,
        task_id: TaskId,
        status: TaskStatus,
        now: float,
    ) -> None:
        attempt = self._job_queue.adopt(job_state, task_id.index, machine.id, status.attempt, now)
        attempt.stage = REPORTED_STAGES[status.stage]
        machine.attempts[task_id] = attempt
        machine.change_count += 1

    # -- attempts that the heartbeat does not list -------------------------------------------

    def _reconcile_unlisted(self, machine: Machine, attempt: Attempt) -> None:
        """Release an attempt that the heartbeat does not list, if it is thereby proven gone."""
        if attempt.stage is not AttemptStage.ASSIGNED:
            log.info(
                "attempt gone: task=%s attempt=%d machine=%s",
                attempt.name,
                attempt.number,
                machine.id,
            )
            self._machines.release_attempt(attempt)
            return
        should_not_start = (
            attempt.job_state.record.cancelled or attempt.stopping or machine.is_unresponsive
        )
        if should_not_start and attempt.cannot_start:
            self._machines.release_attempt(attempt)


def _may_run_again(attempt: Attempt, cause: str) -> bool:
    """Whether a late call, or a copy of one, would run an ended attempt that the worker forgot.

    The worker ignores it as long as it lists the attempt, that is until the end is acknowledged. An
    answered start of a task that has a result is harmless: started again, the task exits at once
    (PROTOCOL, POST /v1/report, `done`). A replica of a service has no result.
    """
    if attempt.start.call_may_take_effect:
        return True
    has_result = cause == EndCause.DONE and not attempt.job_state.record.submission.is_service
    return attempt.start.may_be_repeated and not has_result


def _needs_attempt(job_state: JobState, task: int) -> bool:
    """Whether the task should run and has no attempt on any machine."""
    return (
        task not in job_state.attempts
        and not job_state.is_done(task)
        and not job_state.record.cancelled
    )


def _update_image_fetches(machine: Machine, now: float) -> None:
    """Set the images that the machine is fetching; keep the start times of ongoing fetches."""
    fetching_images = {
        attempt.job_state.record.submission.image
        for attempt in machine.attempts.values()
        if attempt.stage is AttemptStage.FETCHING
    }
    machine.image_fetch_started_at = {
        image: machine.image_fetch_started_at.get(image, now)
        for image in fetching_images
        if image not in machine.images
    }


def _handle_task_error(machine: Machine, attempt: Attempt, now: float) -> None:
    job_state = attempt.job_state
    job_state.avoided_machines[machine.id] = now + FAILED_MACHINE_AVOIDANCE_S
    machine.failed_jobs.add(job_state.id)
    is_service = job_state.record.submission.is_service
    _count_failure(job_state, REPLICA_BACKOFF if is_service else ARRAY_BACKOFF, now)
    log.info(
        "attempt failed: task=%s attempt=%d machine=%s", attempt.name, attempt.number, machine.id
    )


def _log_refused_start(machine: Machine, attempt: Attempt, cause: str) -> None:
    log.info(
        "start refused: task=%s attempt=%d machine=%s cause=%s",
        attempt.name,
        attempt.number,
        machine.id,
        cause,
    )


def _count_failure(job_state: JobState, backoff: Backoff, now: float) -> None:
    job_state.consecutive_failures += 1
    pause_s = backoff.pause_s(job_state.consecutive_failures)
    if pause_s > 0:
        job_state.backoff_until = now + pause_s
