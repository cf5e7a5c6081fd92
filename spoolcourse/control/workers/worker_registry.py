"""The leader's workers: which heartbeats count, and what silence and leases prove.

What a heartbeat proves about tasks is worked out in `report_reconciler`, what a machine is told in
`command_builder`.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Attempt
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.leadership.renewal_deadline import DRIFT
from spoolcourse.control.workers.command_builder import CommandBuilder
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.reconciliation import HeartbeatReconciler
from spoolcourse.wire.commands import Command
from spoolcourse.wire.messages import Heartbeat
from spoolcourse.wire.peers import Hint
from spoolcourse.wire.settings import Workers

log = logging.getLogger(__name__)

INEFFECTIVE_ANSWERS_MAX = 3  # within a lease: later answers will have no effect either
# Names of deleted machines are remembered for so long, however many they are: heartbeats and lists
# of them come late, by minutes at most.
DELETED_NAMES_KEPT_S = 3600.0
LEASE_MARGIN_S = 1.0  # beyond a lease and the clocks' drift, for a worker to end its tasks
RENEWED_SHARE = 0.8  # of a lease: an answer that recent should have renewed it


@dataclass(frozen=True, slots=True)
class Answer:
    """A heartbeat that is news: the commands to answer it with."""

    commands: list[Command]


@dataclass(frozen=True, slots=True)
class Outdated:
    """A heartbeat that is no newer than what is known, or whose machine is gone.

    It is a copy that was late on the way: no sign of life, and it must get no answer that could
    renew a lease, or the proof by lease would have to wait for every copy.
    """


HeartbeatOutcome = Answer | Outdated


class Leader(Protocol):
    """What the registry asks of the leader, and tells it."""

    def may_start(self) -> bool:
        """Whether nobody else can lead by now."""
        ...

    def is_over(self, job: str) -> bool:
        """Whether the job can't be live any more."""
        ...

    def disk_gb(self, machine_type: str) -> float:
        """How much a machine of the type caches."""
        ...

    def on_room(self) -> None:
        """Something may be placed now that could not be before."""
        ...

    def reached(self, phase: FailoverPhase) -> None:
        """The failover has come to a phase; told again and again, and noted once."""
        ...


class WorkerRegistry:
    """All machines of the term."""

    def __init__(
        self,
        job_queue: JobQueue,
        proof: FailoverProof,
        workers: Workers,
        clock: Callable[[], float],
        leader: Leader,
    ) -> None:
        self.job_queue = job_queue
        self.proof = proof
        self.fencing_token = proof.fencing_token
        self._lease_s = workers.lease_s
        # After it a lease is over for certain.
        self._lease_over_s = workers.lease_s * (1 + DRIFT) + LEASE_MARGIN_S
        self._clock = clock
        self.leader = leader
        self._reconciler = HeartbeatReconciler(self, leader)
        self.commands = CommandBuilder(self, leader, clock)
        self.machines: dict[str, Machine] = {}
        # When each was deleted, the earliest first; names never come back.
        self.deleted_names: OrderedDict[str, float] = OrderedDict()
        self.pending_commands: set[str] = set()  # machines that may have something to be sent
        self.quiet_s = workers.quiet_s
        # What the leader before knew to be cached; it counts in the same incarnation only.
        self.hinted_images: dict[str, Hint] = {}

    def machine(self, name: str) -> Machine:
        """The machine of this name; made known if it was not."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(
                name, self._clock(), token_seen_at=self._clock()
            )
        return machine

    def is_quiet(self, machine: Machine) -> bool:
        """Whether a machine has missed its heartbeats for certain.

        Its answers to calls don't count: a machine that reaches no controller loses with its lease
        whatever calls start there. That proves nothing about what it holds, but nothing new is put
        there, nor is it called: with a zone cut off, hundreds of calls that hang would keep those
        to the rest waiting, and work would be bound until leases end.
        """
        return machine.heard_at is not None and self._clock() - machine.reported_at > self.quiet_s

    def link(self, attempt: Attempt) -> None:
        """Note on its machine that an attempt may be there."""
        machine = self.machine(attempt.machine)
        machine.attempts[attempt.job_state.id, attempt.task] = attempt
        machine.changes += 1
        machine.idle_since = None
        self.pending_commands.add(machine.id)

    def stop(self, attempt: Attempt) -> None:
        """Have an attempt stopped; it counts until it is proven gone."""
        attempt.stopping = True
        self.machine(attempt.machine).changes += 1
        self.pending_commands.add(attempt.machine)

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt that is proven gone."""
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            key = (attempt.job_state.id, attempt.task)
            if machine.attempts.get(key) is attempt:
                del machine.attempts[key]
                machine.changes += 1
        self.job_queue.drop(attempt)
        self.leader.on_room()

    def confirm_deleted(self, name: str) -> None:
        """The cloud has confirmed that the machine and all on it are gone."""
        now = self._clock()
        self.deleted_names[name] = now
        self.deleted_names.move_to_end(name)
        while next(iter(self.deleted_names.values())) < now - DELETED_NAMES_KEPT_S:
            self.deleted_names.popitem(last=False)
        machine = self.machines.pop(name, None)
        if machine is not None:
            for attempt in list(machine.attempts.values()):
                self.drop(attempt)

    def expire(self) -> None:
        """Drop what is proven gone by leases that have run out.

        Silence alone proves nothing. A lease proves an end only for a worker that has reported our
        fencing token in this incarnation: nobody else's answer can have renewed it.
        """
        now = self._clock()
        for machine in self.machines.values():
            if (
                machine.confirmed
                and not machine.lease_expired
                and machine.leased_at is not None
                and now - machine.leased_at > self._lease_over_s
            ):
                log.info("%s: silent, its lease has run out", machine.id)
                machine.lease_expired = True
                # What still comes from that incarnation was held on the way: a sign of life
                # starts with the next one.
                machine.incarnation, machine.sequence = machine.incarnation + 1, -1
                machine.confirmed = False
                machine.unexpected_tasks.clear()
                machine.changes += 1
                for attempt in list(machine.attempts.values()):
                    self.drop(attempt)

    # -- machines that don't get our answers ------------------------------------------

    def note_ineffective_answer(self, machine: Machine) -> None:
        """Count an answer that had no effect.

        After some of them the machine gets no more work, and what it was to start goes elsewhere
        once that is proven not to have arrived: those tasks would stay bound to it forever, for
        its heartbeats go on and it is never silent.
        """
        machine.ineffective_answers += 1
        machine.answers_doubted_at = self._clock()
        if (
            machine.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX
            and machine.unresponsive_since is None
        ):
            log.info("%s: takes no answers", machine.id)
            machine.unresponsive_since = self._clock()

    # -- heartbeats ------------------------------------------------------------------

    def accept(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Take in a heartbeat that carries no higher fencing token than ours."""
        now = self._clock()
        if heartbeat.machine in self.deleted_names:
            return Outdated()
        machine = self.machine(heartbeat.machine)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return Outdated()
        self.learn(machine, heartbeat)
        machine.reported_at = machine.answered_at = machine.leased_at = now
        under_our_token = heartbeat.fencing_token == self.fencing_token
        return Answer(self.commands.answer(machine, heartbeat, under_our_token))

    def _take_hinted_images(self, machine: Machine) -> None:
        hint = self.hinted_images.pop(machine.id, None)
        if hint is None or hint.incarnation != machine.incarnation:
            return
        disk_gb = self.leader.disk_gb(machine.machine_type or "")
        for image, size_gb in reversed(hint.images.items()):
            machine.note_image(image, size_gb, disk_gb)

    def observe_unanswered(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat that is not answered, and so renews nothing."""
        self.observe(heartbeat)
        machine = self.machines.get(heartbeat.machine)
        if machine is not None and (heartbeat.incarnation, heartbeat.sequence) == (
            machine.incarnation,
            machine.sequence,
        ):
            machine.reported_at = self._clock()

    def observe(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat that came as the answer to a call."""
        if heartbeat.machine in self.deleted_names:
            return
        machine = self.machine(heartbeat.machine)
        if (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence):
            self.learn(machine, heartbeat)

    def learn(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat that is newer than what is known."""
        now = self._clock()
        if (
            heartbeat.incarnation != machine.incarnation
            or machine.lease_expired
            or machine.heard_at is None
        ):
            if (
                machine.confirmed
                and machine.answered_at is not None
                and now - machine.answered_at < RENEWED_SHARE * self._lease_s
            ):
                self.note_ineffective_answer(machine)  # its lease ran out although it was answered
            machine.confirmed = False
            machine.unacknowledged.clear()
            machine.answers_doubted_at = now
        elif now - machine.answers_doubted_at > self._lease_over_s:
            # The incarnation has outlived a lease since, so answers do arrive. Commands that
            # arrive at its address are no such proof: they renew nothing.
            machine.ineffective_answers = 0
            machine.unresponsive_since = None
        if machine.heard_at is None:
            machine.token_seen_at = now  # it had to boot first: nothing could be proven before
            machine.reported_at = now
        machine.heard_at = now
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.machine_type, machine.zone = heartbeat.machine_type, heartbeat.zone
        machine.spot, machine.address = heartbeat.spot, heartbeat.address
        machine.up_at = None
        machine.lease_expired = False
        if heartbeat.terminates_in_s is not None:
            machine.terminates_at = now + max(heartbeat.terminates_in_s, 0.0)
        else:
            machine.terminates_at = None
        if heartbeat.fencing_token == self.fencing_token:
            machine.token_seen_at = now
            if not machine.confirmed:
                machine.confirmed = True
                # A incarnation that only calls have shown, as of a machine that reaches nobody: it
                # may have begun just now. With an answer of before, its tasks would be taken
                # for gone while they run.
                machine.leased_at = now
                log.debug("%s: confirmed in incarnation %d", machine.id, heartbeat.incarnation)
                self.leader.reached(FailoverPhase.FIRST_WORKER)
                self._take_hinted_images(machine)
                self.leader.on_room()
            self._reconciler.reconcile(machine, heartbeat, now)
