"""Detects machines that are silent, overdue to boot, unresponsive or faulty.

Silent: no heartbeat arrives. Unresponsive: heartbeats arrive, but the responses have no effect.
Faulty: tasks of several jobs failed on the machine.

The reasons for deleting them: docs/design.md, "Machines" and "Machines that get no responses".
"""

from __future__ import annotations

from spoolcourse.control.autoscaling.deletion_reason import DeletionReason
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import ListedMachineStage

ISOLATION_MACHINES_MIN = 3  # known machines needed to infer isolation from their silence
FAILED_JOBS_UNTIL_FAULTY = 2  # if tasks of this many jobs fail, the machine is the cause


class MachineFaults:
    """Detects faults of a machine from what it reports and when."""

    def __init__(self, leader: LeaderContext, types: MachineTypeLookup) -> None:
        params = leader.controller.params
        self._workers = params.workers
        self._list_lag_s = params.cloud.list_lag_s
        self._policy = leader.policy
        self._registry = leader.registry
        self._types = types

    def is_controller_isolated(self) -> bool:
        """Whether most machines are silent at once, so that this controller is likely cut off."""
        known = [m for m in self._registry.machines.values() if m.last_heartbeat_at is not None]
        out_of_contact = sum(1 for machine in known if self._is_out_of_contact(machine))
        return len(known) >= ISOLATION_MACHINES_MIN and out_of_contact * 2 > len(known)

    def find_fault(
        self, machine: Machine, now: float, treat_silence_as_fault: bool
    ) -> DeletionReason | None:
        """Return the fault of the machine, if any.

        Without `treat_silence_as_fault`, only `FAULTY` counts, as this controller may be isolated
        or may no longer lead.
        """
        if _is_booting(machine):
            overdue = treat_silence_as_fault and self._is_boot_overdue(machine, now)
            return DeletionReason.BOOT_OVERDUE if overdue else None
        if treat_silence_as_fault:
            reason = self._find_communication_fault(machine, now)
            if reason is not None:
                return reason
        return DeletionReason.FAULTY if _is_faulty(machine) else None

    def _find_communication_fault(self, machine: Machine, now: float) -> DeletionReason | None:
        """Return the fault if heartbeats, responses or the token were lost for too long.

        The limit is `silent_leases` of the policy, in leases.
        """
        timeout_s = self._policy.silent_leases * self._workers.lease_s
        if now - _last_contact_at(machine) > timeout_s:
            return DeletionReason.SILENT
        unresponsive_since = machine.unresponsive_since
        if unresponsive_since is not None and now - unresponsive_since > timeout_s:
            return DeletionReason.UNRESPONSIVE
        if now - machine.fencing_token_seen_at > timeout_s:
            # Without this term's token on the machine, an end of its tasks can't be proven.
            return DeletionReason.FENCING_TOKEN_NOT_SEEN
        return None

    def _is_out_of_contact(self, machine: Machine) -> bool:
        return (
            not machine.confirmed or machine.is_unresponsive or self._registry.is_suspect(machine)
        )

    def _is_boot_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the boot exceeds `boot_patience`, and a heartbeat would have arrived by now."""
        if machine.expected_ready_at is None:
            return False
        boot_s = self._types.boot_s(machine)
        booting_for_s = now - (machine.expected_ready_at - boot_s)
        # A newly elected leader has received no heartbeats yet, and its list may be outdated.
        # Without the wait, each change of leader deleted 100 to 150 idle machines after a second.
        known_for_s = now - machine.first_seen_at
        return (
            booting_for_s > self._policy.boot_patience * boot_s
            and known_for_s > self._workers.suspect_after_s + 2 * self._list_lag_s
        )


def _is_booting(machine: Machine) -> bool:
    """Whether the machine is expected to boot, and nothing shows yet that it is up."""
    return (
        machine.last_heartbeat_at is None
        and machine.expected_ready_at is not None
        and machine.listed_stage is not ListedMachineStage.RUNNING
        and not machine.attempts
    )


def _last_contact_at(machine: Machine) -> float:
    """Return the time of the machine's last heartbeat, or when it could have sent the first."""
    if machine.last_heartbeat_at is not None:
        return machine.last_heartbeat_at
    return machine.listed_running_since or machine.first_seen_at


def _is_faulty(machine: Machine) -> bool:
    """Whether tasks of several jobs failed on the machine, and nothing runs there now."""
    return len(machine.failed_jobs) >= FAILED_JOBS_UNTIL_FAULTY and not machine.attempts
