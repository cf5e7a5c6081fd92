"""Scale in: decides which machines are deleted now, and why."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from spoolcourse.control.autoscaling.cancelled_work import CancelledWork, OverdueJobs
from spoolcourse.control.autoscaling.deletion_reason import DeletionReason
from spoolcourse.control.autoscaling.early_deletion import EarlyDeletion
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.machine_faults import MachineFaults
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.autoscaling.owner import ScaleInOwner
from spoolcourse.control.autoscaling.service_reserve import ServiceReserve
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import ListedMachineStage

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _RoundContext:
    """The values shared by all decisions of one call of `machines_to_delete`, a round."""

    now: float
    holds_lease: bool  # this controller certainly still leads
    treat_silence_as_fault: bool  # it does, and is not cut off from most machines
    overdue_jobs: OverdueJobs
    early_deletions: set[str]  # machines chosen by `EarlyDeletion`
    protected: set[str]  # machines that are not deleted for being idle
    spare_cpus: float  # above peak demand with headroom; reduced by each machine deleted as idle


class ScaleIn:
    """Chooses the machines to delete; assesses every machine anew on each call."""

    def __init__(
        self,
        leader: LeaderContext,
        owner: ScaleInOwner,
        types: MachineTypeLookup,
        excess_capacity: ExcessCapacity,
        reserve: ServiceReserve,
        early_deletion: EarlyDeletion,
    ) -> None:
        context = leader.controller
        self._clock = context.clock
        self._policy = leader.policy
        self._registry = leader.registry
        self._owner = owner
        self._types = types
        self._excess_capacity = excess_capacity
        self._reserve = reserve
        self._early_deletion = early_deletion
        self._faults = MachineFaults(leader, types)
        self._cancelled_work = CancelledWork(
            leader.job_queue,
            context.params.workers,
            context.params.skew_ms / 1000,
            context.clock,
            context.wall_clock,
        )

    def machines_to_delete(self, holds_lease: bool) -> list[str]:
        """Return the names of the machines to delete now, the most urgent ones first.

        If the process was paused or is cut off from the key-value store, this controller may no
        longer lead (`holds_lease` is false), and machines that look idle or silent may be working
        for another leader. Machines that may hold cancelled work are deleted nevertheless, as there
        may be no other leader to delete them.
        """
        round_context = self._assess_round(holds_lease)
        urgent: list[str] = []
        others: list[str] = []
        for machine in self._registry.machines.values():
            reason = self._deletion_reason(machine, round_context)
            if reason is None:
                continue
            if not machine.deletion_requested:
                log.info("machine deletion: machine=%s reason=%s", machine.id, reason)
            # A round deletes a limited number of machines: those with a deadline must go first.
            is_urgent = self._cancelled_work.may_hold_overdue_tasks(
                machine, round_context.overdue_jobs
            )
            (urgent if is_urgent else others).append(machine.id)
        return urgent + others

    def _assess_round(self, holds_lease: bool) -> _RoundContext:
        now = self._clock()
        treat_silence_as_fault = holds_lease and not self._faults.is_controller_isolated()
        overdue_jobs = self._cancelled_work.overdue_jobs()
        early_deletions = self._early_deletion.machines_to_delete()  # must be called in every round
        reserved = self._reserve.reserved_machines()
        initial_machines = self._owner.initial_machine_names()
        spare_cpus = -self._excess_capacity.missing_cpus(now)
        self._excess_capacity.mark_scale_in_candidates(now, initial_machines, reserved)
        return _RoundContext(
            now,
            holds_lease,
            treat_silence_as_fault,
            overdue_jobs,
            early_deletions if treat_silence_as_fault else set(),
            reserved | initial_machines,
            spare_cpus,
        )

    def _deletion_reason(
        self, machine: Machine, round_context: _RoundContext
    ) -> DeletionReason | None:
        """Return the first reason in `DeletionReason` that applies to the machine, if any."""
        if machine.deletion_requested:
            return DeletionReason.REQUESTED_BEFORE
        if machine.listed_stage is ListedMachineStage.FAILED:
            return DeletionReason.FAILED
        if self._cancelled_work.may_hold_overdue_tasks(machine, round_context.overdue_jobs):
            return DeletionReason.CANCELLED_WORK
        fault = self._faults.find_fault(
            machine, round_context.now, round_context.treat_silence_as_fault
        )
        if fault is not None:
            return fault
        if machine.id in round_context.early_deletions:
            return DeletionReason.REPLICAS_NOT_PROVEN_ENDED
        if round_context.holds_lease and self._is_excess(machine, round_context):
            round_context.spare_cpus -= self._types.cpus(machine)
            return DeletionReason.IDLE
        return None

    def _is_excess(self, machine: Machine, round_context: _RoundContext) -> bool:
        """Whether the machine is idle, and neither protected nor needed for peak demand."""
        if machine.id in round_context.protected or not self._is_idle(machine, round_context.now):
            return False
        return machine.scale_in_candidate or self._types.cpus(machine) <= round_context.spare_cpus

    def _is_idle(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been empty for longer than an idle machine is retained."""
        if not machine.confirmed or machine.idle_since is None:
            return False
        if machine.attempts or machine.unexpected_attempts:
            return False
        return now - machine.idle_since > self._idle_limit_s(machine)

    def _idle_limit_s(self, machine: Machine) -> float:
        """Return how long an idle machine is retained.

        It depends on whether its type is scarce, whether it is a scale-in candidate, and otherwise
        on its boot time.
        """
        if self._owner.is_scarce_type(machine.machine_type or ""):
            return self._policy.rare_s
        if machine.scale_in_candidate:
            return self._policy.surplus_idle_s
        boot_based_limit_s = self._policy.idle_boots * self._types.boot_s(machine)
        return max(self._policy.idle_min_s, boot_based_limit_s)
