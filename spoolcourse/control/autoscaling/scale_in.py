"""Which machines are returned to the cloud, and why."""

from __future__ import annotations

import logging
from typing import Protocol

from spoolcourse.control.autoscaling.cancelled_work import CancelledWork
from spoolcourse.control.autoscaling.early_deletion import EarlyDeletion
from spoolcourse.control.autoscaling.excess_capacity import ExcessCapacity
from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.autoscaling.service_reserve import ServiceReserve
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import HostStage

log = logging.getLogger(__name__)

ISOLATED_LEAST = 3  # machines that must be known before their silence says anything of us
FAULTY_JOBS = 2  # jobs whose tasks failed on a machine: then it is the machine


class ScaleInOwner(Protocol):
    """What is asked of the leader before a machine is returned."""

    def base(self) -> frozenset[str]:
        """Machines that are not returned for being idle."""
        ...

    def is_rare(self, machine_type: str) -> bool:
        """Whether jobs depend on the type, so that it is kept, within reason."""
        ...


class ScaleIn:
    """Judges each machine again every time it is asked."""

    def __init__(
        self,
        leader: LeaderContext,
        owner: ScaleInOwner,
        view: FleetView,
        excess_capacity: ExcessCapacity,
        reserve: ServiceReserve,
        early_deletion: EarlyDeletion,
    ) -> None:
        context = leader.controller
        self._clock = context.clock
        self._workers = context.params.workers
        self._list_lag_s = context.params.cloud.list_lag_s
        self._policy = leader.policy
        self._registry = leader.registry
        self._owner = owner
        self._view = view
        self._excess_capacity = excess_capacity
        self._reserve = reserve
        self._early_deletion = early_deletion
        self._cancelled = CancelledWork(
            leader.job_queue,
            context.params.workers,
            context.params.skew_ms / 1000,
            context.clock,
            context.wall_clock,
        )

    def machines(self, leads: bool) -> list[str]:
        """The names of the machines to be deleted now, the most pressing ones first.

        After a standstill, or cut off from the key-value store, this controller may lead no more
        (`leads`): what looks idle or silent here may be at work for another. What a cancelled
        job may hold goes nevertheless; nobody else may be there to see to it.
        """
        now = self._clock()
        blind = self._isolated() or not leads
        overdue = self._cancelled.overdue()
        early = self._early_deletion.due()
        if blind:
            early = set()
        reserved = self._reserve.machines()
        base = self._owner.base()
        spare_cpus = -self._excess_capacity.short_cpus(now)
        self._excess_capacity.mark(now, base, reserved)
        pressing: list[str] = []
        names: list[str] = []
        for machine in self._registry.machines.values():
            reason = self._reason(machine, now, blind, overdue)
            if reason is None and machine.id in early:
                reason = "it is silent, and replicas wait for a proof that they are gone"
            kept = machine.id in reserved or machine.id in base
            if reason is None and leads and not kept and self._is_idle(machine, now):
                cpus = self._view.cpus(machine)
                if machine.scale_in_candidate or cpus <= spare_cpus:
                    reason = "it is idle"
                    spare_cpus -= cpus
            if reason is None:
                continue
            if not machine.deletion_requested:
                log.info("%s: returned: %s", machine.id, reason)
            # One round deletes a bounded number: what must be gone in time does not wait in line.
            held_too_long = self._cancelled.may_be_on(machine, overdue)
            (pressing if held_too_long else names).append(machine.id)
        return pressing + names

    def _isolated(self) -> bool:
        """Most machines silent at once: more likely we are cut off than they are dead."""
        known = [m for m in self._registry.machines.values() if m.last_heartbeat_at is not None]
        quiet = sum(1 for machine in known if self._is_out_of_touch(machine))
        return len(known) >= ISOLATED_LEAST and quiet * 2 > len(known)

    def _is_out_of_touch(self, machine: Machine) -> bool:
        return (
            not machine.confirmed or machine.is_unresponsive or self._registry.is_suspect(machine)
        )

    def _reason(
        self, machine: Machine, now: float, blind: bool, overdue: dict[str, float]
    ) -> str | None:
        if machine.deletion_requested:
            return "asked for before"
        if machine.listed_stage is HostStage.FAILED:
            return "it failed"
        if self._cancelled.may_be_on(machine, overdue):
            return "a cancelled job may be on it, and it can't be told"
        if self._is_booting(machine):
            late = not blind and self._is_overdue(machine, now)
            return "it does not come up" if late else None
        if not blind:
            reason = self._silence(machine, now)
            if reason is not None:
                return reason
        if len(machine.failed_jobs) >= FAULTY_JOBS and not machine.attempts:
            return "tasks of several jobs fail on it"
        return None

    @staticmethod
    def _is_booting(machine: Machine) -> bool:
        return (
            machine.last_heartbeat_at is None
            and machine.expected_ready_at is not None
            and machine.listed_stage is not HostStage.RUNNING
            and not machine.attempts
        )

    def _is_overdue(self, machine: Machine, now: float) -> bool:
        if machine.expected_ready_at is None:
            return False
        boot_s = self._view.boot_s(machine)
        boots_for_s = now - (machine.expected_ready_at - boot_s)
        # A leader that was just elected has heard nobody yet, and its list may be old.
        # Measured: 100 to 150 idle machines returned a second after each change.
        known_for_s = now - machine.first_seen_at
        return (
            boots_for_s > self._policy.boot_patience * boot_s
            and known_for_s > self._workers.quiet_s + 2 * self._list_lag_s
        )

    def _silence(self, machine: Machine, now: float) -> str | None:
        patience_s = self._policy.silent_leases * self._workers.lease_s
        last_sign = machine.last_heartbeat_at
        if last_sign is None:
            last_sign = machine.listed_running_since or machine.first_seen_at
        if now - last_sign > patience_s:
            return "it is silent"
        unresponsive_since = machine.unresponsive_since
        if unresponsive_since is not None and now - unresponsive_since > patience_s:
            return "it takes no answers"
        if now - machine.fencing_token_seen_at > patience_s:
            # What it holds would stay open forever.
            return "our fencing token does not reach it"
        return None

    def _is_idle(self, machine: Machine, now: float) -> bool:
        if not machine.confirmed or machine.idle_since is None:
            return False
        if machine.attempts or machine.unexpected_attempts:
            return False
        return now - machine.idle_since > self._idle_limit_s(machine)

    def _idle_limit_s(self, machine: Machine) -> float:
        if self._owner.is_rare(machine.machine_type or ""):
            return self._policy.rare_s
        if machine.scale_in_candidate:
            return self._policy.surplus_idle_s
        boots_s = self._policy.idle_boots * self._view.boot_s(machine)
        return max(self._policy.idle_min_s, boots_s)
