"""Commands in calls to the addresses of machines."""

from __future__ import annotations

from collections.abc import Callable, Container

from spoolcourse.control.jobs.model import Attempt, AttemptStage
from spoolcourse.control.jobs.start_delivery import CallState
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.wire.commands import MAX_COMMANDS_PER_MESSAGE, Command, Stop

# A machine keeps listing the ended attempts that must not be acknowledged. With this many of them,
# further starts go only into responses, which are not repeated: heartbeats must not pass 64 KiB.
MAX_ATTEMPTS_NOT_ACKNOWLEDGED = 200


class DirectCommands:
    """Chooses the machines to call, and the starts and stops that each call carries."""

    def __init__(self, machines: MachineTable, leader: Leader, clock: Callable[[], float]) -> None:
        self._machines = machines
        self._leader = leader
        self._clock = clock

    def machines_to_call(self, machines_being_called: Container[str]) -> list[Machine]:
        """Return the machines to send commands to now, without `machines_being_called`.

        Only the machines in `machines_with_unsent_commands` are examined, never the whole fleet.
        Machines whose commands must wait stay in this set.
        """
        now, holds_lease = self._clock(), self._leader.holds_lease()
        machines: list[Machine] = []
        for name in list(self._machines.machines_with_unsent_commands):
            machine = self._machines.machines.get(name)
            attempts = machine.attempts.values() if machine is not None else ()
            if machine is None or not any(
                _needs_direct_stop(a) or _needs_direct_start(a) for a in attempts
            ):
                self._machines.machines_with_unsent_commands.discard(name)
            elif (
                name not in machines_being_called
                and machine.confirmed
                and machine.is_reachable(now)
                and not self._machines.is_suspect(machine)
                and (
                    any(map(_needs_direct_stop, attempts))
                    or (
                        holds_lease
                        and _takes_direct_starts(machine)
                        and any(map(_can_start_directly, attempts))
                    )
                )
            ):
                machines.append(machine)
        return machines

    def claim_stops(self, machine: Machine) -> list[Command]:
        """Return the stops to send to the machine's address; mark them as sent.

        A stop names its attempt, so one that arrives late does no harm.
        """
        commands: list[Command] = []
        for attempt in machine.attempts.values():
            if _needs_direct_stop(attempt):
                attempt.stop_sent = True
                grace_s = attempt.job_state.checkpoint_grace_s
                commands.append(Stop(attempt.name, attempt.number, grace_s))
        return commands

    def claim_starts(self, machine: Machine) -> list[Attempt]:
        """Return the attempts to start by a call to the machine's address; mark them as sent.

        Once they are marked, the starts may reach the worker at any time.
        """
        if not (self._leader.holds_lease() and _takes_direct_starts(machine)):
            return []
        attempts = [a for a in machine.attempts.values() if _can_start_directly(a)][
            :MAX_COMMANDS_PER_MESSAGE
        ]
        if attempts:
            self._leader.record_failover_phase(FailoverPhase.FIRST_START)
        for attempt in attempts:
            attempt.start.call_begins(machine.incarnation)
        return attempts


def _takes_direct_starts(machine: Machine) -> bool:
    """Whether starts may be sent to the machine's address."""
    return (
        machine.is_schedulable
        and len(machine.attempts_not_to_acknowledge) < MAX_ATTEMPTS_NOT_ACKNOWLEDGED
    )


def _needs_direct_stop(attempt: Attempt) -> bool:
    """Whether the attempt's stop must still be sent to the worker's address."""
    return (
        attempt.stopping
        and not attempt.stop_sent
        and attempt.stage in (AttemptStage.FETCHING, AttemptStage.RUNNING)
    )


def _needs_direct_start(attempt: Attempt) -> bool:
    """Whether the attempt's start must still be sent, now or once its record is durable."""
    return attempt.stage is AttemptStage.ASSIGNED and attempt.start.call_state is CallState.NOT_SENT


def _can_start_directly(attempt: Attempt) -> bool:
    """Whether the start can be sent to the worker's address now."""
    return _needs_direct_start(attempt) and attempt.is_startable
