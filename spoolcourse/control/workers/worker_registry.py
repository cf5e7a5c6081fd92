"""The leader's worker registry: accepts heartbeats and detects expired leases.

`reconciliation` derives the state of attempts from heartbeats, `response_commands` and
`direct_commands` the commands for a machine. The states of a machine are described in
`docs/machine-states.md`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.start_delivery import HeartbeatKind
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.leadership.renewal_deadline import MAX_RELATIVE_CLOCK_DRIFT
from spoolcourse.control.workers.direct_commands import DirectCommands
from spoolcourse.control.workers.leader_interface import Leader
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.machine_table import MachineTable
from spoolcourse.control.workers.reconciliation import HeartbeatReconciler
from spoolcourse.control.workers.response_commands import ResponseCommands
from spoolcourse.wire.commands import Command
from spoolcourse.wire.messages import Heartbeat
from spoolcourse.wire.peers import Hint
from spoolcourse.wire.settings import WorkerSettings

log = logging.getLogger(__name__)

LEASE_EXPIRY_MARGIN_S = 1.0  # beyond a lease and clock drift, for a worker to end its tasks
# A lease should not expire within this part of its duration after a response.
RENEWED_LEASE_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class AcceptedHeartbeat:
    """The heartbeat is newer than the latest one known; `commands` are those for its response."""

    commands: list[Command]


@dataclass(frozen=True, slots=True)
class OutdatedHeartbeat:
    """The heartbeat is no newer than the latest one known, or its machine has been deleted.

    Such a heartbeat is a delayed copy: it doesn't show that the machine is alive. Its response must
    not renew a lease, or lease expiry would have to wait for every delayed copy.
    """


HeartbeatOutcome = AcceptedHeartbeat | OutdatedHeartbeat


class WorkerRegistry(MachineTable):
    """The machine table of a term, updated by heartbeats and lease expiry."""

    def __init__(
        self,
        job_queue: JobQueue,
        proof: FailoverProof,
        workers: WorkerSettings,
        clock: Callable[[], float],
        leader: Leader,
    ) -> None:
        super().__init__(job_queue, clock, workers.suspect_after_s, leader.on_capacity_change)
        self.proof = proof
        self.fencing_token = proof.fencing_token
        self.leader = leader
        self._lease_s = workers.lease_s
        # A lease that began longer ago has certainly expired, and the worker's tasks have ended.
        self._lease_expired_after_s = (
            workers.lease_s * (1 + MAX_RELATIVE_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
        )
        self._clock = clock
        self.leader = leader
        self._reconciler = HeartbeatReconciler(self, leader)
        self._response_commands = ResponseCommands(self, leader)
        self.direct_commands = DirectCommands(self, leader, clock)
        # The previous leader's hints, by machine, until the machine is confirmed. The cached images
        # in a hint are valid only in the same incarnation.
        self.unapplied_hints: dict[str, Hint] = {}

    def expire_leases(self) -> None:
        """Release the attempts on machines whose leases have expired.

        Missing heartbeats alone prove nothing. An expired lease proves that attempts ended only if
        the worker reported this term's fencing token in this incarnation: then no other controller
        can have renewed the lease.
        """
        now = self._clock()
        for machine in self.machines.values():
            if (
                machine.confirmed
                and not machine.lease_expired
                and machine.lease_started_at is not None
                and now - machine.lease_started_at > self._lease_expired_after_s
            ):
                log.info("lease expired, machine silent: machine=%s", machine.id)
                machine.mark_lease_expired()
                self.release_all_attempts(machine)

    # -- heartbeats ------------------------------------------------------------------

    def process_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Process a machine's own heartbeat; its fencing token must not be above this term's."""
        now = self._clock()
        if heartbeat.machine in self.deleted_names:
            return OutdatedHeartbeat()
        machine = self.ensure_machine(heartbeat.machine)
        if not machine.is_newer(heartbeat):
            return OutdatedHeartbeat()
        self._apply_newer_heartbeat(machine, heartbeat, HeartbeatKind.OWN)
        machine.last_own_heartbeat_at = machine.last_answered_at = machine.lease_started_at = now
        has_current_token = heartbeat.fencing_token == self.fencing_token
        return AcceptedHeartbeat(
            self._response_commands.commands_for(machine, heartbeat, has_current_token)
        )

    def observe_unanswered_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a machine's own heartbeat that is refused: the response renews no lease."""
        self._observe(heartbeat, HeartbeatKind.OWN)
        machine = self.machines.get(heartbeat.machine)
        if machine is not None and heartbeat.id == (machine.incarnation, machine.sequence):
            machine.last_own_heartbeat_at = self._clock()

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat returned by a call to a worker's address."""
        self._observe(heartbeat, HeartbeatKind.RETURNED_BY_CALL)

    def _observe(self, heartbeat: Heartbeat, kind: HeartbeatKind) -> None:
        if heartbeat.machine in self.deleted_names:
            return
        machine = self.ensure_machine(heartbeat.machine)
        if machine.is_newer(heartbeat):
            self._apply_newer_heartbeat(machine, heartbeat, kind)

    def _apply_newer_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, kind: HeartbeatKind
    ) -> None:
        now = self._clock()
        if (
            heartbeat.incarnation != machine.incarnation
            or machine.lease_expired
            or machine.last_heartbeat_at is None
        ):
            self._begin_incarnation(machine, now)
        elif now - machine.responses_unproven_since > self._lease_expired_after_s:
            # The incarnation has outlived a lease since then, so responses do arrive. Commands that
            # reach the worker's address don't prove that, because they renew no lease.
            machine.reset_ineffective_responses()
        if machine.last_heartbeat_at is None:
            # The machine was booting until now, so it could not have reported anything earlier.
            machine.fencing_token_seen_at = now
            machine.last_own_heartbeat_at = now
        machine.update_from_heartbeat(heartbeat, now)
        if heartbeat.fencing_token == self.fencing_token:
            machine.fencing_token_seen_at = now
            if not machine.confirmed:
                self._confirm_incarnation(machine, now)
            self._reconciler.reconcile(machine, heartbeat, kind, now)

    def _begin_incarnation(self, machine: Machine, now: float) -> None:
        if (
            machine.confirmed
            and machine.last_answered_at is not None
            and now - machine.last_answered_at < RENEWED_LEASE_FRACTION * self._lease_s
        ):
            # The previous incarnation's lease expired although it was answered in time.
            machine.count_ineffective_response(now)
        machine.confirmed = False
        machine.attempts_not_to_acknowledge.clear()
        machine.responses_unproven_since = now

    def _confirm_incarnation(self, machine: Machine, now: float) -> None:
        """Mark the incarnation as confirmed: from now on, only this leader can renew its lease."""
        machine.confirmed = True
        # An incarnation known only from calls, because its machine reaches no controller, may have
        # begun just now. Counting its lease from an earlier response would release attempts that
        # still run.
        machine.lease_started_at = now
        log.debug(
            "incarnation confirmed: machine=%s incarnation=%d", machine.id, machine.incarnation
        )
        self.leader.record_failover_phase(FailoverPhase.FIRST_WORKER)
        self._apply_hinted_images(machine)
        self.leader.on_capacity_change()

    def _apply_hinted_images(self, machine: Machine) -> None:
        hint = self.unapplied_hints.pop(machine.id, None)
        if hint is None or hint.incarnation != machine.incarnation:
            return
        disk_gb = self.leader.disk_gb(machine.machine_type or "")
        for image, size_gb in reversed(hint.images.items()):
            machine.add_cached_image(image, size_gb, disk_gb)
