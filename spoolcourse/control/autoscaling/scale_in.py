"""Scale in: which machines are deleted now, and why."""

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
from spoolcourse.wire.messages import HostStage

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Situation:
    """What holds for all machines in one round of decisions."""

    now: float
    holds_lease: bool
    may_judge_silence: bool
    overdue_jobs: OverdueJobs
    early_deletions: set[str]  # for the replicas on them
    kept: set[str]  # not deleted for being idle
    spare_cpus: float  # above the peak of demand with headroom; shrinks with each idle machine


class ScaleIn:
    """Judges each machine again every time it is asked."""

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
        """The names of the machines to be deleted now, the most urgent ones first.

        After a standstill, or cut off from the key-value store, this controller may no longer lead
        (`holds_lease` is false): what looks idle or silent here may be at work for another. What a
        cancelled job may hold is deleted nevertheless; there may be no other leader to do it.
        """
        situation = self._assess(holds_lease)
        urgent: list[str] = []
        others: list[str] = []
        for machine in self._registry.machines.values():
            reason = self._reason(machine, situation)
            if reason is None:
                continue
            if not machine.deletion_requested:
                log.info("machine deletion: machine=%s reason=%s", machine.id, reason)
            # One round deletes a bounded number: what must be gone in time does not wait in line.
            is_urgent = self._cancelled_work.may_be_on(machine, situation.overdue_jobs)
            (urgent if is_urgent else others).append(machine.id)
        return urgent + others

    def _assess(self, holds_lease: bool) -> _Situation:
        now = self._clock()
        may_judge_silence = holds_lease and not self._faults.is_controller_isolated()
        overdue_jobs = self._cancelled_work.overdue_jobs()
        early = self._early_deletion.machines_to_delete()  # called all the time: see there
        reserved = self._reserve.reserved_machines()
        initial_machines = self._owner.initial_machine_names()
        spare_cpus = -self._excess_capacity.missing_cpus(now)
        self._excess_capacity.mark_scale_in_candidates(now, initial_machines, reserved)
        return _Situation(
            now,
            holds_lease,
            may_judge_silence,
            overdue_jobs,
            early if may_judge_silence else set(),
            reserved | initial_machines,
            spare_cpus,
        )

    def _reason(self, machine: Machine, situation: _Situation) -> DeletionReason | None:
        """Why the machine is deleted, if it is: the first reason of `DeletionReason` that holds."""
        if machine.deletion_requested:
            return DeletionReason.REQUESTED_BEFORE
        if machine.listed_stage is HostStage.FAILED:
            return DeletionReason.FAILED
        if self._cancelled_work.may_be_on(machine, situation.overdue_jobs):
            return DeletionReason.CANCELLED_WORK
        fault = self._faults.find(machine, situation.now, situation.may_judge_silence)
        if fault is not None:
            return fault
        if machine.id in situation.early_deletions:
            return DeletionReason.REPLICAS_UNPROVEN
        if situation.holds_lease and self._is_excess(machine, situation):
            situation.spare_cpus -= self._types.cpus(machine)
            return DeletionReason.IDLE
        return None

    def _is_excess(self, machine: Machine, situation: _Situation) -> bool:
        """Whether it is idle, and neither kept nor needed for the peak of demand."""
        if machine.id in situation.kept or not self._is_idle(machine, situation.now):
            return False
        return machine.scale_in_candidate or self._types.cpus(machine) <= situation.spare_cpus

    def _is_idle(self, machine: Machine, now: float) -> bool:
        """Whether nothing has been on it for so long that it may be deleted."""
        if not machine.confirmed or machine.idle_since is None:
            return False
        if machine.attempts or machine.unexpected_attempts:
            return False
        return now - machine.idle_since > self._idle_limit_s(machine)

    def _idle_limit_s(self, machine: Machine) -> float:
        """Seconds that an idle machine is kept: by its type, its mark, or its boot time."""
        if self._owner.is_scarce_type(machine.machine_type or ""):
            return self._policy.rare_s
        if machine.scale_in_candidate:
            return self._policy.surplus_idle_s
        boots_s = self._policy.idle_boots * self._types.boot_s(machine)
        return max(self._policy.idle_min_s, boots_s)
