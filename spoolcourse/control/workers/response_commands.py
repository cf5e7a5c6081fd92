"""Commands in the responses to heartbeats."""

from __future__ import annotations

from spoolcourse.control.jobs.model import Attempt, AttemptStage
from spoolcourse.control.jobs.start_delivery import CallState
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.wire.commands import MAX_COMMANDS_PER_MESSAGE, Acknowledge, Command, Start, Stop
from spoolcourse.wire.identities import AttemptId, TaskId
from spoolcourse.wire.messages import EndCause, Heartbeat, TaskStage, TaskStatus, parse_task_name


class ResponseCommands:
    """Derives a machine's commands from the attempts assigned to it and those it reports."""

    def __init__(self, machines: MachineTable, leader: Leader) -> None:
        self._job_queue = machines.job_queue
        self._leader = leader

    def commands_for(
        self, machine: Machine, heartbeat: Heartbeat, has_current_token: bool
    ) -> list[Command]:
        """Return the commands for the response to a heartbeat, the urgent ones first.

        `has_current_token`: the heartbeat reports this term's fencing token. Otherwise the response
        contains only stops of cancelled attempts, as an earlier leader's commands may still reach
        the machine; its next heartbeat shows their effect.
        The stops can't wait: this response renews the lease and may be the last that arrives.
        """
        urgent, others = self._commands_for_reported_attempts(machine, heartbeat, has_current_token)
        urgent += self._stops_of_unlisted_cancelled(machine, heartbeat)
        commands = (urgent + others)[:MAX_COMMANDS_PER_MESSAGE]
        if has_current_token and self._leader.holds_lease():
            self._add_starts_with_stops(machine, heartbeat, commands)
            self._add_starts(machine, heartbeat, commands)
        return commands

    def _commands_for_reported_attempts(
        self, machine: Machine, heartbeat: Heartbeat, has_current_token: bool
    ) -> tuple[list[Command], list[Command]]:
        """Return the commands for the attempts that the heartbeat lists: (urgent, others)."""
        urgent: list[Command] = []
        others: list[Command] = []
        for status in heartbeat.tasks:
            task_id = parse_task_name(status.task)
            if status.stage is not TaskStage.ENDED:
                if self._is_cancelled(task_id.job):
                    urgent.append(Stop(status.task, status.attempt, 0.0))
                elif has_current_token:
                    grace_s = self._stop_grace_s(machine, task_id, status)
                    if grace_s is not None:
                        others.append(Stop(status.task, status.attempt, grace_s))
            elif has_current_token and self._may_acknowledge(machine, task_id, status):
                others.append(Acknowledge(status.task, status.attempt))
        return urgent, others

    def _is_cancelled(self, job: str) -> bool:
        """Whether the job's tasks must end at once: the job is cancelled, or unknown and over."""
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            return self._leader.is_job_over(job)
        return job_state.record.cancelled

    def _stops_of_unlisted_cancelled(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Return stops for cancelled attempts that the heartbeat does not list.

        Their starts may be in flight to the machine's address. If a stop arrives before the start,
        a later heartbeat lists the attempt, and its response carries the stop again.
        """
        cancelled = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.job_state.record.cancelled and not attempt.cannot_start
        ]
        if not cancelled:
            return []
        listed = {parse_task_name(status.task) for status in heartbeat.tasks}
        return [
            Stop(attempt.name, attempt.number, 0.0)
            for attempt in cancelled
            if (attempt.job_state.id, attempt.task) not in listed
        ]

    def _add_starts_with_stops(
        self, machine: Machine, heartbeat: Heartbeat, commands: list[Command]
    ) -> None:
        """Add starts, each with a stop behind it, of attempts that a late call may still start.

        An unanswered call may be executed as long as the worker does not know the attempt, and the
        leader must not release an attempt that may still start. After these two commands the worker
        lists it as ended: that ends the wait, and a late call has no effect any more. Attempts of
        cancelled jobs are excluded, as none of them may be started.
        """
        if not machine.is_in_service:
            return
        for attempt in machine.attempts.values():
            if not _needs_start_with_stop(attempt):
                continue
            if len(commands) + 2 > MAX_COMMANDS_PER_MESSAGE:
                return
            attempt.start.sent_in_response(heartbeat.id)
            commands.append(Start(attempt.name, attempt.number))
            commands.append(Stop(attempt.name, attempt.number, 0.0))

    def _add_starts(self, machine: Machine, heartbeat: Heartbeat, commands: list[Command]) -> None:
        if not machine.is_schedulable:
            return
        for attempt in machine.attempts.values():
            if len(commands) >= MAX_COMMANDS_PER_MESSAGE:
                return
            if attempt.stage is AttemptStage.ASSIGNED and attempt.is_startable:
                attempt.start.sent_in_response(heartbeat.id)
                self._leader.record_failover_phase(FailoverPhase.FIRST_START)
                commands.append(Start(attempt.name, attempt.number))

    def _may_acknowledge(self, machine: Machine, task_id: TaskId, status: TaskStatus) -> bool:
        """Whether the worker may forget an ended attempt: a result must be durable first."""
        if _includes_attempt(machine.attempts_not_to_acknowledge, task_id, status.attempt):
            return False
        job_state = self._job_queue.jobs.get(task_id.job)
        if job_state is None:
            return self._leader.is_job_over(task_id.job)
        submission = job_state.record.submission
        task = task_id.index
        if task >= submission.task_count or status.cause != EndCause.DONE or submission.is_service:
            return True
        chunk = job_state.chunk(task)
        return job_state.is_done(task) and chunk.is_persisted

    def _stop_grace_s(self, machine: Machine, task_id: TaskId, status: TaskStatus) -> float | None:
        """Return the grace period for stopping an attempt, or None if it may continue."""
        job_state = self._job_queue.jobs.get(task_id.job)
        if job_state is None:
            return None
        if _includes_attempt(machine.unexpected_attempts, task_id, status.attempt):
            return 0.0
        attempt = machine.attempts.get(task_id)
        if attempt is not None and attempt.stopping and status.stage is not TaskStage.SAVING:
            return job_state.checkpoint_grace_s
        return None


def _includes_attempt(attempt_ids: set[AttemptId], task_id: TaskId, number: int) -> bool:
    """Whether the set has the attempt; most sets are empty, and need no `AttemptId` built."""
    return bool(attempt_ids) and AttemptId(*task_id, number) in attempt_ids


def _needs_start_with_stop(attempt: Attempt) -> bool:
    """Whether the attempt is being stopped, but an unanswered call may still start it."""
    return (
        attempt.stopping
        and attempt.stage is AttemptStage.ASSIGNED
        and attempt.start.call_state is CallState.UNANSWERED
        and not attempt.job_state.record.cancelled
    )
