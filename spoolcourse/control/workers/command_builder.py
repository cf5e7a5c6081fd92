"""Which commands a machine gets: in the response to a heartbeat, or at its address."""

from __future__ import annotations

from collections.abc import Callable, Container

from spoolcourse.control.jobs.model import Attempt, AttemptStage, JobState
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.wire.commands import Acknowledge, Command, Start, Stop
from spoolcourse.wire.identities import AttemptId, HeartbeatId, TaskId
from spoolcourse.wire.messages import EndCause, Heartbeat, TaskStage, TaskStatus, parse_task_name

COMMANDS_MAX = 300  # in one response, well below 64 KiB


class CommandBuilder:
    """Derives commands from what should run on a machine and what it reports."""

    def __init__(self, machines: MachineTable, leader: Leader, clock: Callable[[], float]) -> None:
        self._machines = machines
        self._job_queue = machines.job_queue
        self._leader = leader
        self._clock = clock

    # -- in the response to a heartbeat ------------------------------------------------------

    def build_response(
        self, machine: Machine, heartbeat: Heartbeat, under_our_token: bool
    ) -> list[Command]:
        """The commands to answer a heartbeat with, the urgent ones first.

        A heartbeat under an older fencing token gets only stops of cancelled work: older commands
        may still reach the machine, and its next heartbeat shows what is there. But this answer
        renews its lease, and may be the last one that arrives, so what is cancelled ends now.
        """
        urgent, others = self._commands_for_reported(machine, heartbeat, under_our_token)
        urgent += self._stops_of_cancelled_starts(machine, heartbeat)
        commands = urgent + others
        if under_our_token:
            self._add_starts(machine, heartbeat, commands)
        return commands[:COMMANDS_MAX]

    def _commands_for_reported(
        self, machine: Machine, heartbeat: Heartbeat, under_our_token: bool
    ) -> tuple[list[Command], list[Command]]:
        """Commands for the attempts that the heartbeat lists: urgent ones, and the others."""
        urgent: list[Command] = []
        others: list[Command] = []
        for status in heartbeat.tasks:
            task_id = parse_task_name(status.task)
            if status.stage is not TaskStage.ENDED:
                if self._is_cancelled(task_id.job):
                    urgent.append(Stop(status.task, status.attempt, 0.0))
                elif under_our_token:
                    grace_s = self._stop_grace_s(machine, task_id, status)
                    if grace_s is not None:
                        others.append(Stop(status.task, status.attempt, grace_s))
            elif under_our_token and self._may_acknowledge(machine, task_id, status):
                others.append(Acknowledge(status.task, status.attempt))
        return urgent, others

    def _is_cancelled(self, job: str) -> bool:
        """Whether the job's tasks must end at once; so must those of unknown jobs."""
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            return self._leader.is_job_over(job)
        return job_state.record.cancelled

    def _stops_of_cancelled_starts(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Stops of cancelled attempts that the heartbeat does not list.

        Their starts may be on the way to the machine's address. If the stop arrives first, a later
        heartbeat lists the attempt, and it is stopped again.
        """
        cancelled = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.job_state.record.cancelled and not attempt.never_sent
        ]
        if not cancelled:
            return []
        listed = {parse_task_name(status.task) for status in heartbeat.tasks}
        return [
            Stop(attempt.name, attempt.number, 0.0)
            for attempt in cancelled
            if (attempt.job_state.id, attempt.task) not in listed
        ]

    def _add_starts(self, machine: Machine, heartbeat: Heartbeat, commands: list[Command]) -> None:
        if not (self._leader.holds_lease() and machine.is_schedulable):
            return
        for attempt in machine.attempts.values():
            if len(commands) >= COMMANDS_MAX:
                return
            if attempt.stage is AttemptStage.ASSIGNED and _is_startable(attempt):
                attempt.start_sent_with = HeartbeatId(heartbeat.incarnation, heartbeat.sequence)
                self._leader.record_phase(FailoverPhase.FIRST_START)
                commands.append(Start(attempt.name, attempt.number))

    # -- at the machine's address ------------------------------------------------------------

    def machines_to_call(self, busy: Container[str]) -> list[Machine]:
        """Machines that some command can be sent to now; those in `busy` are left out.

        Machines whose commands can be sent later stay pending. Only pending machines are examined,
        never all of them.
        """
        now, holds_lease = self._clock(), self._leader.holds_lease()
        machines: list[Machine] = []
        for name in list(self._machines.pending_commands):
            machine = self._machines.machines.get(name)
            attempts = machine.attempts.values() if machine is not None else ()
            if machine is None or not any(_must_stop(a) or _must_start(a) for a in attempts):
                self._machines.pending_commands.discard(name)
            elif (
                name not in busy
                and machine.confirmed
                and machine.is_reachable(now)
                and not self._machines.is_suspect(machine)
                and (
                    any(map(_must_stop, attempts))
                    or (holds_lease and machine.is_schedulable and any(map(_can_start, attempts)))
                )
            ):
                machines.append(machine)
        return machines

    def claim_stops(self, machine: Machine) -> list[Command]:
        """The stops to send to its address, marked as sent.

        They name an attempt, so late ones do no harm.
        """
        commands: list[Command] = []
        for attempt in machine.attempts.values():
            if _must_stop(attempt):
                attempt.stop_sent = True
                grace_s = _checkpoint_grace_s(attempt.job_state)
                commands.append(Stop(attempt.name, attempt.number, grace_s))
        return commands

    def claim_starts(self, machine: Machine) -> list[Attempt]:
        """The attempts whose starts to send to its address, marked as sent.

        From here on the starts may arrive at any time.
        """
        if not (self._leader.holds_lease() and machine.is_schedulable):
            return []
        attempts = [a for a in machine.attempts.values() if _can_start(a)][:COMMANDS_MAX]
        if attempts:
            self._leader.record_phase(FailoverPhase.FIRST_START)
        for attempt in attempts:
            attempt.sent_directly = True
            attempt.in_flight_incarnation = machine.incarnation
        return attempts

    def _may_acknowledge(self, machine: Machine, task_id: TaskId, status: TaskStatus) -> bool:
        """Whether the worker may forget an ended attempt: not before its result is durable."""
        if _contains(machine.unacknowledgeable, task_id, status.attempt):
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
        """The grace period to stop an attempt with, or None to let it run on."""
        job_state = self._job_queue.jobs.get(task_id.job)
        if job_state is None:
            return None
        if _contains(machine.unexpected_attempts, task_id, status.attempt):
            return 0.0
        attempt = machine.attempts.get(task_id)
        if attempt is not None and attempt.stopping and status.stage is not TaskStage.SAVING:
            return _checkpoint_grace_s(job_state)
        return None


def _contains(attempt_ids: set[AttemptId], task_id: TaskId, number: int) -> bool:
    """Whether the attempt is among them; mostly there are none, so no identity is built."""
    return bool(attempt_ids) and AttemptId(*task_id, number) in attempt_ids


def _checkpoint_grace_s(job_state: JobState) -> float:
    """Time enough to save progress, for a job with checkpoints; 0 for others."""
    submission = job_state.record.submission
    return submission.checkpoint_cost_s + 1.0 if submission.checkpoint_every_s > 0 else 0.0


def _must_stop(attempt: Attempt) -> bool:
    """Its stop is to be sent to the worker's address."""
    return (
        attempt.stopping
        and not attempt.stop_sent
        and attempt.stage in (AttemptStage.FETCHING, AttemptStage.RUNNING)
    )


def _must_start(attempt: Attempt) -> bool:
    """Its start is to be sent to the worker's address, perhaps once it is saved."""
    return attempt.stage is AttemptStage.ASSIGNED and not attempt.sent_directly


def _can_start(attempt: Attempt) -> bool:
    """Its start can be sent to the worker's address now."""
    return _must_start(attempt) and _is_startable(attempt)


def _is_startable(attempt: Attempt) -> bool:
    """Its record is durable and it is still wanted."""
    return attempt.is_persisted and not attempt.stopping and not attempt.job_state.record.cancelled
