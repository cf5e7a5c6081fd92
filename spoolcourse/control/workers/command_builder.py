"""Which commands a machine is to be given: with the answer to a heartbeat, or at its address."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

from spoolcourse.control.jobs.model import Attempt, AttemptStage, JobState
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.commands import Acknowledge, Command, Start, Stop
from spoolcourse.wire.messages import EndCause, Heartbeat, TaskStage, TaskStatus, split_task_name

if TYPE_CHECKING:
    from spoolcourse.control.workers.worker_registry import Leader, WorkerRegistry

COMMANDS_MAX = 300  # in one answer, well below 64 KiB


class CommandBuilder:
    """Derives commands from what should run on a machine and what it reports."""

    def __init__(
        self, registry: WorkerRegistry, leader: Leader, clock: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._job_queue = registry.job_queue
        self._leader = leader
        self._clock = clock

    # -- with the answer to a heartbeat ------------------------------------------------------

    def answer(
        self, machine: Machine, heartbeat: Heartbeat, under_our_token: bool
    ) -> list[Command]:
        """The commands to answer a heartbeat with, those that can't wait first.

        A heartbeat under an older fencing token gets nothing else: older commands may still reach
        the machine, and its next heartbeat tells what is there. But this answer renews its lease,
        and may be the last one that arrives, so what is cancelled ends now.
        """
        urgent, others = self._for_reported_tasks(machine, heartbeat, under_our_token)
        urgent += self._stops_of_cancelled_starts(machine, heartbeat)
        commands = urgent + others
        if under_our_token:
            self._add_starts(machine, heartbeat, commands)
        return commands[:COMMANDS_MAX]

    def _for_reported_tasks(
        self, machine: Machine, heartbeat: Heartbeat, under_our_token: bool
    ) -> tuple[list[Command], list[Command]]:
        urgent: list[Command] = []
        others: list[Command] = []
        for item in heartbeat.tasks:
            job, task = split_task_name(item.task)
            if item.stage is not TaskStage.ENDED and self._is_cancelled(job):
                urgent.append(Stop(item.task, item.attempt, 0.0))
                continue
            if not under_our_token:
                continue
            if item.stage is not TaskStage.ENDED:
                grace_s = self._stop_grace_s(machine, job, task, item)
                if grace_s is not None:
                    others.append(Stop(item.task, item.attempt, grace_s))
            elif (job, task, item.attempt) in machine.unacknowledged:
                continue
            elif self._may_acknowledge(job, task, item):
                others.append(Acknowledge(item.task, item.attempt))
        return urgent, others

    def _is_cancelled(self, job: str) -> bool:
        """Whether its tasks must end at once; so must those of jobs that nobody knows."""
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            return self._leader.is_over(job)
        return job_state.record.cancelled

    def _stops_of_cancelled_starts(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Stops of cancelled starts that no heartbeat shows yet.

        A start may be on its way to the machine's address. Whichever arrives first: if it is the
        stop, a later report shows the attempt.
        """
        cancelled = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.job_state.record.cancelled and not attempt.never_sent
        ]
        if not cancelled:
            return []
        listed = {split_task_name(item.task) for item in heartbeat.tasks}
        return [
            Stop(attempt.name, attempt.number, 0.0)
            for attempt in cancelled
            if (attempt.job_state.id, attempt.task) not in listed
        ]

    def _add_starts(self, machine: Machine, heartbeat: Heartbeat, commands: list[Command]) -> None:
        if not (self._leader.may_start() and machine.placeable):
            return
        for attempt in machine.attempts.values():
            if len(commands) >= COMMANDS_MAX:
                return
            if attempt.stage is AttemptStage.ASSIGNED and self._startable(attempt):
                attempt.start_sent_with = (heartbeat.incarnation, heartbeat.sequence)
                self._leader.reached(FailoverPhase.FIRST_START)
                commands.append(Start(attempt.name, attempt.number))

    # -- at the machine's address ---------------------------------------------------------

    def due(self, busy: Container[str]) -> list[Machine]:
        """Machines that something can be sent to now.

        What may become due later stays on the list; the fleet as a whole is never gone through.
        """
        now, may_start = self._clock(), self._leader.may_start()
        found = []
        for name in list(self._registry.pending_commands):
            machine = self._registry.machines.get(name)
            attempts = machine.attempts.values() if machine is not None else ()
            if machine is None or not any(_must_stop(a) or _must_start(a) for a in attempts):
                self._registry.pending_commands.discard(name)
            elif (
                name not in busy
                and machine.address
                and machine.confirmed
                and machine.unreachable_until <= now
                and not self._registry.is_quiet(machine)
                and (
                    any(map(_must_stop, attempts))
                    or (may_start and machine.placeable and any(map(self._fresh, attempts)))
                )
            ):
                found.append(machine)
        return found

    def take_stops(self, machine: Machine) -> list[Command]:
        """Stops to be sent to its address; they name an attempt, so late ones do no harm."""
        commands: list[Command] = []
        for attempt in machine.attempts.values():
            if _must_stop(attempt):
                attempt.stop_sent = True
                grace = _grace(attempt.job_state)
                commands.append(Stop(attempt.name, attempt.number, grace))
        return commands

    def take_fresh_starts(self, machine: Machine) -> list[Attempt]:
        """Starts to be sent to its address; from here on they may arrive at any time."""
        if not (self._leader.may_start() and machine.placeable):
            return []
        fresh = [a for a in machine.attempts.values() if self._fresh(a)][:COMMANDS_MAX]
        if fresh:
            self._leader.reached(FailoverPhase.FIRST_START)
        for attempt in fresh:
            attempt.sent_directly = True
            attempt.in_flight_incarnation = machine.incarnation
        return fresh

    def _fresh(self, attempt: Attempt) -> bool:
        return _must_start(attempt) and self._startable(attempt)

    @staticmethod
    def _startable(attempt: Attempt) -> bool:
        return (
            attempt.is_persisted and not attempt.stopping and not attempt.job_state.record.cancelled
        )

    def _may_acknowledge(self, job: str, task: int, item: TaskStatus) -> bool:
        """A result is forgotten by the worker only once it is durable here."""
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            return self._leader.is_over(job)
        submission = job_state.record.submission
        if task >= submission.task_count or item.cause != EndCause.DONE or submission.is_service:
            return True
        chunk = job_state.chunk(task)
        return job_state.is_done(task) and chunk.is_persisted

    def _stop_grace_s(
        self, machine: Machine, job: str, task: int, item: TaskStatus
    ) -> float | None:
        """The grace to stop with, or None to let it go on."""
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            return None
        if (job, task, item.attempt) in machine.unexpected_tasks:
            return 0.0
        attempt = machine.attempts.get((job, task))
        if attempt is not None and attempt.stopping and item.stage is not TaskStage.SAVING:
            return _grace(job_state)
        return None


def _grace(job_state: JobState) -> float:
    submission = job_state.record.submission
    return submission.checkpoint_cost_s + 1.0 if submission.checkpoint_every_s > 0 else 0.0


def _must_stop(attempt: Attempt) -> bool:
    return (
        attempt.stopping
        and not attempt.stop_sent
        and attempt.stage in (AttemptStage.FETCHING, AttemptStage.RUNNING)
    )


def _must_start(attempt: Attempt) -> bool:
    """Not sent to the worker's address yet; perhaps not saved yet either."""
    return attempt.stage is AttemptStage.ASSIGNED and not attempt.sent_directly
