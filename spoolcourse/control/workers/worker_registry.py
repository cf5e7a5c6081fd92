"""The leader's workers: which heartbeats count, and what silence and leases prove.

What a heartbeat proves about attempts is worked out in `reconciliation`, which commands a machine
gets in `command_builder`. The states of a machine are described in `docs/machine-states.md`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.leadership.renewal_deadline import CLOCK_DRIFT
from spoolcourse.control.workers.command_builder import CommandBuilder
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.control.workers.reconciliation import HeartbeatReconciler
from spoolcourse.wire.commands import Command
from spoolcourse.wire.messages import Heartbeat
from spoolcourse.wire.peers import Hint
from spoolcourse.wire.settings import Workers

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 1.0  # beyond a lease and the clocks' drift, for a worker to end its tasks
RENEWED_SHARE = 0.8  # of a lease: an answer that recent should have renewed it


@dataclass(frozen=True, slots=True)
class AcceptedHeartbeat:
    """A heartbeat that is newer than what is known, with the commands to answer it with."""

    commands: list[Command]


@dataclass(frozen=True, slots=True)
class OutdatedHeartbeat:
    """A heartbeat that is no newer than what is known, or whose machine is gone.

    It is a copy that was late on the way: no sign of life, and it must get no answer that could
    renew a lease, or the proof by lease would have to wait for every copy.
    """


HeartbeatOutcome = AcceptedHeartbeat | OutdatedHeartbeat


class WorkerRegistry(MachineTable):
    """The machine table of a term, kept up to date by heartbeats and leases."""

    def __init__(
        self,
        job_queue: JobQueue,
        proof: FailoverProof,
        workers: Workers,
        clock: Callable[[], float],
        leader: Leader,
    ) -> None:
        super().__init__(job_queue, clock, workers.quiet_s, leader.on_capacity_change)
        self.proof = proof
        self.fencing_token = proof.fencing_token
        self.leader = leader
        self._lease_s = workers.lease_s
        # After it a lease is over for certain.
        self._lease_over_s = workers.lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
        self._clock = clock
        self.leader = leader
        self._reconciler = HeartbeatReconciler(self, leader)
        self.commands = CommandBuilder(self, leader, clock)
        # What the leader before knew to be cached; it counts in the same incarnation only.
        self.hinted_images: dict[str, Hint] = {}

    def expire_leases(self) -> None:
        """Release what is proven gone by leases that have run out.

        Silence alone proves nothing. A lease proves an end only for a worker that has reported our
        fencing token in this incarnation: nobody else's answer can have renewed it.
        """
        now = self._clock()
        for machine in self.machines.values():
            if (
                machine.confirmed
                and not machine.lease_expired
                and machine.lease_started_at is not None
                and now - machine.lease_started_at > self._lease_over_s
            ):
                log.info("lease expired, machine silent: machine=%s", machine.id)
                machine.record_lease_expiry()
                self.release_all_attempts(machine)

    # -- heartbeats ------------------------------------------------------------------

    def process_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Process a machine's own heartbeat that carries no higher fencing token than ours."""
        now = self._clock()
        if heartbeat.machine in self.deleted_names:
            return OutdatedHeartbeat()
        machine = self.ensure_machine(heartbeat.machine)
        if not machine.is_newer(heartbeat):
            return OutdatedHeartbeat()
        self._apply_newer_heartbeat(machine, heartbeat)
        machine.last_own_heartbeat_at = machine.last_answered_at = machine.lease_started_at = now
        under_our_token = heartbeat.fencing_token == self.fencing_token
        return AcceptedHeartbeat(self.commands.build_response(machine, heartbeat, under_our_token))

    def observe_unanswered_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a machine's own heartbeat that is not answered, and so renews nothing."""
        self.observe_heartbeat(heartbeat)
        machine = self.machines.get(heartbeat.machine)
        if machine is not None and (heartbeat.incarnation, heartbeat.sequence) == (
            machine.incarnation,
            machine.sequence,
        ):
            machine.last_own_heartbeat_at = self._clock()

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat that came as the response to a call."""
        if heartbeat.machine in self.deleted_names:
            return
        machine = self.ensure_machine(heartbeat.machine)
        if machine.is_newer(heartbeat):
            self._apply_newer_heartbeat(machine, heartbeat)

    def _apply_newer_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> None:
        now = self._clock()
        if (
            heartbeat.incarnation != machine.incarnation
            or machine.lease_expired
            or machine.last_heartbeat_at is None
        ):
            self._begin_incarnation(machine, now)
        elif now - machine.answers_unproven_since > self._lease_over_s:
            # The incarnation has outlived a lease since, so answers do arrive. Commands that
            # arrive at its address are no such proof: they renew nothing.
            machine.clear_ineffective_answers()
        if machine.last_heartbeat_at is None:
            # It had to boot first: nothing could be proven before.
            machine.fencing_token_seen_at = now
            machine.last_own_heartbeat_at = now
        machine.record_heartbeat(heartbeat, now)
        if heartbeat.fencing_token == self.fencing_token:
            machine.fencing_token_seen_at = now
            if not machine.confirmed:
                self._confirm_incarnation(machine, now)
            self._reconciler.reconcile(machine, heartbeat, now)

    def _begin_incarnation(self, machine: Machine, now: float) -> None:
        if (
            machine.confirmed
            and machine.last_answered_at is not None
            and now - machine.last_answered_at < RENEWED_SHARE * self._lease_s
        ):
            # Its lease ran out although it was answered.
            machine.record_ineffective_answer(now)
        machine.confirmed = False
        machine.unacknowledgeable.clear()
        machine.answers_unproven_since = now

    def _confirm_incarnation(self, machine: Machine, now: float) -> None:
        """The incarnation is under our fencing token: nobody else can renew its lease now."""
        machine.confirmed = True
        # An incarnation that only calls have shown, as of a machine that reaches no controller,
        # may have begun just now. With an answer of before, its tasks would be taken for gone
        # while they run.
        machine.lease_started_at = now
        log.debug(
            "incarnation confirmed: machine=%s incarnation=%d", machine.id, machine.incarnation
        )
        self.leader.record_phase(FailoverPhase.FIRST_WORKER)
        self._apply_hinted_images(machine)
        self.leader.on_capacity_change()

    def _apply_hinted_images(self, machine: Machine) -> None:
        hint = self.hinted_images.pop(machine.id, None)
        if hint is None or hint.incarnation != machine.incarnation:
            return
        disk_gb = self.leader.disk_gb(machine.machine_type or "")
        for image, size_gb in reversed(hint.images.items()):
            machine.record_cached_image(image, size_gb, disk_gb)
