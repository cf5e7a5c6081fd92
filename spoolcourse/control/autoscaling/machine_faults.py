"""Machines that are no longer of use: silent, late to boot, without effect, or faulty.

Why each of them is deleted: docs/design.md, "Machines" and "Machines that take no answers".
"""

from __future__ import annotations

from spoolcourse.control.autoscaling.deletion_reason import DeletionReason
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import HostStage

ISOLATION_MIN = 3  # machines that must be known before their silence says anything about us
FAULTY_JOBS = 2  # jobs whose tasks failed on a machine: then it is the machine


class MachineFaults:
    """Judges whether a machine works, by what it reports and when."""

    def __init__(self, leader: LeaderContext, types: MachineTypeLookup) -> None:
        params = leader.controller.params
        self._workers = params.workers
        self._list_lag_s = params.cloud.list_lag_s
        self._policy = leader.policy
        self._registry = leader.registry
        self._types = types

    def is_controller_isolated(self) -> bool:
        """Whether most machines are silent at once: then we are cut off, rather than they dead."""
        known = [m for m in self._registry.machines.values() if m.last_heartbeat_at is not None]
        quiet = sum(1 for machine in known if self._is_out_of_contact(machine))
        return len(known) >= ISOLATION_MIN and quiet * 2 > len(known)

    def find(self, machine: Machine, now: float, may_judge_silence: bool) -> DeletionReason | None:
        """What is wrong with the machine, if anything.

        Without `may_judge_silence`, neither silence nor a late boot counts: the cause may be that
        this controller is isolated, or no longer leads.
        """
        if _is_booting(machine):
            overdue = may_judge_silence and self._is_boot_overdue(machine, now)
            return DeletionReason.BOOT_OVERDUE if overdue else None
        if may_judge_silence:
            reason = self._find_silence(machine, now)
            if reason is not None:
                return reason
        return DeletionReason.FAULTY if _is_faulty(machine) else None

    def _find_silence(self, machine: Machine, now: float) -> DeletionReason | None:
        """Whether heartbeats, answers or the fencing token have not passed for `silent_leases`."""
        patience_s = self._policy.silent_leases * self._workers.lease_s
        if now - _last_sign_at(machine) > patience_s:
            return DeletionReason.SILENT
        unresponsive_since = machine.unresponsive_since
        if unresponsive_since is not None and now - unresponsive_since > patience_s:
            return DeletionReason.UNRESPONSIVE
        if now - machine.fencing_token_seen_at > patience_s:
            # Whether its tasks are gone could not be proven, ever.
            return DeletionReason.FENCING_TOKEN_NOT_SEEN
        return None

    def _is_out_of_contact(self, machine: Machine) -> bool:
        return (
            not machine.confirmed or machine.is_unresponsive or self._registry.is_suspect(machine)
        )

    def _is_boot_overdue(self, machine: Machine, now: float) -> bool:
        """Whether it boots for longer than `boot_patience`, and we would have heard of it."""
        if machine.expected_ready_at is None:
            return False
        boot_s = self._types.boot_s(machine)
        boots_for_s = now - (machine.expected_ready_at - boot_s)
        # A leader that was just elected has heard nobody yet, and its list may be old.
        # Measured: 100 to 150 idle machines returned a second after each change.
        known_for_s = now - machine.first_seen_at
        return (
            boots_for_s > self._policy.boot_patience * boot_s
            and known_for_s > self._workers.quiet_s + 2 * self._list_lag_s
        )


def _is_booting(machine: Machine) -> bool:
    """Whether nothing says that it is up yet."""
    return (
        machine.last_heartbeat_at is None
        and machine.expected_ready_at is not None
        and machine.listed_stage is not HostStage.RUNNING
        and not machine.attempts
    )


def _last_sign_at(machine: Machine) -> float:
    """Its last heartbeat, or when it could have sent the first one."""
    if machine.last_heartbeat_at is not None:
        return machine.last_heartbeat_at
    return machine.listed_running_since or machine.first_seen_at


def _is_faulty(machine: Machine) -> bool:
    """Whether tasks of several jobs failed there, and nothing is on it now."""
    return len(machine.failed_jobs) >= FAULTY_JOBS and not machine.attempts
