"""The table of a term's machines and of the attempts that may be on each of them.

A machine is suspect if its own heartbeats have been missing for `suspect_after_s`. An attempt is
proven gone if it certainly does not run and can no longer start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Attempt
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.identities import TaskId

# How long the names of deleted machines are kept, however many there are: their heartbeats, and
# machine lists that name them, may be minutes late.
DELETED_NAME_RETENTION_S = 3600.0


class MachineTable:
    """All machines of the term, by name, with the attempts that may be on them.

    An attempt is tracked until it is proven gone; releasing it frees its task in the job queue.
    """

    def __init__(
        self,
        job_queue: JobQueue,
        clock: Callable[[], float],
        suspect_after_s: float,
        on_capacity_change: Callable[[], None],
    ) -> None:
        self.job_queue = job_queue
        self._clock = clock
        self._on_capacity_change = on_capacity_change
        self.suspect_after_s = suspect_after_s
        self.machines: dict[str, Machine] = {}  # by name
        # Deletion time by name, the earliest first; names are never reused.
        self.deleted_names: OrderedDict[str, float] = OrderedDict()
        # Names of machines that may have commands to send to their addresses.
        self.machines_with_unsent_commands: set[str] = set()

    def ensure_machine(self, name: str) -> Machine:
        """Return the machine of this name, adding it if unknown."""
        machine = self.machines.get(name)
        if machine is None:
            now = self._clock()
            machine = self.machines[name] = Machine(name, now, fencing_token_seen_at=now)
        return machine

    def is_suspect(self, machine: Machine) -> bool:
        """Whether a machine's own heartbeats have been missing for `suspect_after_s`.

        This proves nothing about the machine's attempts, but it gets no new ones and is not called:
        if a zone is cut off, hundreds of hanging calls would delay those to other machines, and new
        attempts would stay assigned there until leases expire.
        """
        return machine.last_heartbeat_at is not None and machine.is_overdue(
            self._clock(), self.suspect_after_s
        )

    def is_tracked(self, attempt: Attempt) -> bool:
        """Whether the attempt is in the table: it is not proven gone yet."""
        machine = self.machines.get(attempt.machine)
        return machine is not None and machine.attempts.get(_task_id(attempt)) is attempt

    def track_attempt(self, attempt: Attempt) -> None:
        """Add an attempt to the machine that it is assigned to."""
        machine = self.ensure_machine(attempt.machine)
        machine.attempts[_task_id(attempt)] = attempt
        machine.change_count += 1
        machine.idle_since = None
        self.machines_with_unsent_commands.add(machine.id)

    def request_stop(self, attempt: Attempt) -> None:
        """Mark an attempt to be stopped; it stays tracked until it is proven gone."""
        attempt.stopping = True
        self.ensure_machine(attempt.machine).change_count += 1
        self.machines_with_unsent_commands.add(attempt.machine)

    def end_attempt(self, attempt: Attempt) -> None:
        """Release an attempt that can't start any more; have any other one stopped."""
        if attempt.cannot_start:
            self.release_attempt(attempt)
        else:
            self.request_stop(attempt)

    def release_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that is proven gone."""
        if self.is_tracked(attempt):
            machine = self.machines[attempt.machine]
            del machine.attempts[_task_id(attempt)]
            machine.change_count += 1
        self.job_queue.drop(attempt)
        self._on_capacity_change()

    def release_all_attempts(self, machine: Machine) -> None:
        """Remove all attempts on a machine: they are proven gone."""
        for attempt in list(machine.attempts.values()):
            self.release_attempt(attempt)

    def forget_deleted_machine(self, name: str) -> None:
        """Remove a machine and its attempts: the cloud has confirmed its deletion."""
        now = self._clock()
        self.deleted_names[name] = now
        self.deleted_names.move_to_end(name)
        while next(iter(self.deleted_names.values())) < now - DELETED_NAME_RETENTION_S:
            self.deleted_names.popitem(last=False)
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.release_all_attempts(machine)


def _task_id(attempt: Attempt) -> TaskId:
    return TaskId(attempt.job_state.id, attempt.task)
