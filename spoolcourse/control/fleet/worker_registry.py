"""The leader's workers: what their reports prove, and what they are told.

A worker has one report in flight, executes a response within its time-out or never, and
drops it in a later session; so the next newer report under our fencing token tells for certain
whether a start in a response arrived. Starts sent to `/orders` (`courier`) may come late:
they stay possible until the session or our term ends.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from typing import Any

from spoolcourse.control.jobs.job_queue import Attempt, JobQueue, JobState
from spoolcourse.control.leadership.renewal_deadline import DRIFT
from spoolcourse.wire.messages import Report, TaskReport, split_task_name

log = logging.getLogger(__name__)

ORDERS_MAX = 300  # per response, well below 64 KiB
AVOID_S = 60.0  # a machine that a job failed on; for ever, it might be left with none
HEALTHY_S = 20.0  # a replica that has run for so long clears its service's pause
REPLICA_PAUSE_S = 10.0  # the longest
UNHEEDED_MOST = 3  # answers without effect within a lease: later ones will have none either


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as the leader knows it. Unknown things are None."""

    id: str
    since: float  # when this node first heard of it
    machine_type: str | None = None
    zone: str | None = None
    spot: bool | None = None
    address: str = ""
    session: int = 0
    sequence: int = -1
    confirmed: bool = False  # has reported our fencing token in this session
    heard_at: float | None = None  # a report of any kind
    spoke_at: float = 0.0  # a report of its own accord, or when it was first heard of
    answered_at: float | None = None  # a 200 of ours, which may have renewed its lease
    # The latest moment at which its lease can have begun: an answer of ours, or, for a session
    # that was under our fencing token before we answered it, when we heard of that.
    leased_at: float | None = None
    silent_proof: bool = False  # its lease has run out since our last answer
    unheeded: int = 0  # answers that had no effect, of late
    doubted_at: float = 0.0  # the last of them, or when this session was first heard of
    deaf_since: float | None = None  # its reports arrive, our answers don't
    proven_at: float = 0.0  # the last report under our fencing token, or `since`
    listed: str | None = None  # its stage in the cloud's list
    running_at: float | None = None  # since when it is listed as running
    rented_at: float | None = None
    up_at: float | None = None  # when it is expected, while it boots
    terminates_at: float | None = None
    surplus: bool = False  # gets work only if nothing else has room, and goes when idle
    deleting: bool = False  # a deletion has been asked for
    idle_since: float | None = None
    errors: set[str] = field(default_factory=set)  # jobs that failed here
    shut_until: float = 0.0  # its address did not answer
    refuse_until: float = 0.0  # a start was refused for lack of room
    changes: int = 0  # of what its attempts, strays and images are: see `placement/sights`
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    strays: set[tuple[str, int, int]] = field(default_factory=set)  # ours no longer, still there
    kept: set[tuple[str, int, int]] = field(default_factory=set)  # ended, not to be reaped
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # seen cached, by use
    pulling: dict[str, float] = field(default_factory=dict)  # image: since when

    @property
    def placeable(self) -> bool:
        return (
            self.confirmed
            and not self.deleting
            and not self.silent_proof
            and self.deaf_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )


class WorkerRegistry:
    """All machines of the term."""

    def __init__(
        self,
        works: JobQueue,
        term: int,
        lease_s: float,
        clock: Callable[[], float],
        may_start: Callable[[], bool],
        gone_for_good: Callable[[str], bool],
        on_room: Callable[[], None],
    ) -> None:
        self.works = works
        self.term = term
        self._lease_s = lease_s
        self._margin_s = lease_s * (1 + DRIFT) + 1.0  # after it a lease is over for certain
        self._clock = clock
        self._may_start = may_start
        self._over = gone_for_good
        self._on_room = on_room
        self.machines: dict[str, Machine] = {}
        self.buried: OrderedDict[str, None] = OrderedDict()  # names never come back
        self.errands: set[str] = set()  # machines that may have starts or halts to be sent
        self.disk_gb: Callable[[str], float] = lambda machine_type: 0.0
        self.quiet_s = float("inf")

    def machine(self, name: str) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, self._clock(), proven_at=self._clock())
        return machine

    def quiet(self, machine: Machine) -> bool:
        """It has missed its reports for certain. Its answers to calls don't count: a machine
        that reaches no controller loses with its lease whatever calls start there. That proves
        nothing about what it holds, but nothing new is put there, nor is it called: with a zone
        cut off, hundreds of calls that hang would keep those to the rest waiting, and work would
        be bound until leases end.
        """
        return machine.heard_at is not None and self._clock() - machine.spoke_at > self.quiet_s

    def link(self, attempt: Attempt) -> None:
        machine = self.machine(attempt.machine)
        machine.attempts[attempt.work.id, attempt.task] = attempt
        machine.changes += 1
        machine.idle_since = None
        self.errands.add(machine.id)

    def halt(self, attempt: Attempt) -> None:
        attempt.halting = True
        self.machine(attempt.machine).changes += 1
        self.errands.add(attempt.machine)

    def drop(self, attempt: Attempt) -> None:
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            key = (attempt.work.id, attempt.task)
            if machine.attempts.get(key) is attempt:
                del machine.attempts[key]
                machine.changes += 1
        self.works.drop(attempt)
        self._on_room()

    def gone(self, name: str) -> None:
        """The cloud has confirmed that the machine and all on it are gone."""
        self.buried[name] = None
        while len(self.buried) > 5000:
            self.buried.popitem(last=False)
        machine = self.machines.pop(name, None)
        if machine is not None:
            for attempt in list(machine.attempts.values()):
                self.drop(attempt)

    def expire(self) -> None:
        """Silence alone proves nothing. A lease proves an end only for a worker that has
        reported our fencing token in this session: nobody else's answer can have renewed it."""
        now = self._clock()
        for machine in self.machines.values():
            if (
                machine.confirmed
                and not machine.silent_proof
                and machine.leased_at is not None
                and now - machine.leased_at > self._margin_s
            ):
                log.info("%s: silent, its lease has run out", machine.id)
                machine.silent_proof = True
                # What still comes from that session was held on the way: a sign of life
                # starts with the next one.
                machine.session, machine.sequence = machine.session + 1, -1
                machine.confirmed = False
                machine.strays.clear()
                machine.changes += 1
                for attempt in list(machine.attempts.values()):
                    self.drop(attempt)

    # -- machines that don't get our answers ------------------------------------------

    def _unheeded(self, machine: Machine) -> None:
        """An answer had no effect. After some of them the machine gets no more work, and
        what it was to start goes elsewhere once that is proven not to have arrived: those
        tasks would stay bound to it for ever, for its reports go on and it is never silent.
        """
        machine.unheeded += 1
        machine.doubted_at = self._clock()
        if machine.unheeded >= UNHEEDED_MOST and machine.deaf_since is None:
            log.info("%s: takes no answers", machine.id)
            machine.deaf_since = self._clock()

    # -- reports ------------------------------------------------------------------

    def accept(self, report: Report) -> list[dict[str, Any]] | None:
        """Take in a report that carries no higher fencing token than ours; the orders to answer.

        None for one that is no newer than what is known, or whose machine is gone: a copy
        that was late on the way. It is no sign of life and must get no answer that could
        renew a lease, or the proof by lease would have to wait for every copy.
        """
        now = self._clock()
        if report.machine in self.buried:
            return None
        machine = self.machine(report.machine)
        if (report.session, report.sequence) <= (machine.session, machine.sequence):
            return None
        self.learn(machine, report)
        machine.spoke_at = machine.answered_at = machine.leased_at = now
        halts = self._halts(machine, report)
        if report.fencing_token != self.term:
            # Older orders may still reach it. Our fencing token in the answer ends that, and its
            # next report tells what is there. But what is cancelled ends now: this answer
            # renews its lease, and it may be the last one that arrives.
            return halts[:ORDERS_MAX]
        return self._orders(machine, report, halts)

    def overhear(self, report: Report) -> None:
        """Take in a report that is not answered, and so renews nothing."""
        self.observe(report)
        machine = self.machines.get(report.machine)
        if machine is not None and (report.session, report.sequence) == (
            machine.session,
            machine.sequence,
        ):
            machine.spoke_at = self._clock()

    def observe(self, report: Report) -> None:
        """Take in a report that came as the answer to `/orders` or `/show`."""
        if report.machine in self.buried:
            return
        machine = self.machine(report.machine)
        if (report.session, report.sequence) > (machine.session, machine.sequence):
            self.learn(machine, report)

    def learn(self, machine: Machine, report: Report) -> None:
        now = self._clock()
        if report.session != machine.session or machine.silent_proof or machine.heard_at is None:
            if (
                machine.confirmed
                and machine.answered_at is not None
                and now - machine.answered_at < 0.8 * self._lease_s  # some were on the way for long
            ):
                self._unheeded(machine)  # its lease ran out although it was answered
            machine.confirmed = False
            machine.kept.clear()
            machine.doubted_at = now
        elif now - machine.doubted_at > self._margin_s:
            # The session has outlived a lease since, so answers do arrive. Commands that
            # arrive by `/orders` are no such proof: they renew nothing.
            machine.unheeded = 0
            machine.deaf_since = None
        if machine.heard_at is None:
            machine.proven_at = now  # it had to boot first: nothing could be proven before
            machine.spoke_at = now
        machine.heard_at = now
        machine.session, machine.sequence = report.session, report.sequence
        machine.machine_type, machine.zone = report.machine_type, report.zone
        machine.spot, machine.address = report.spot, report.address
        machine.up_at = None
        machine.silent_proof = False
        if report.terminates_in_s is not None:
            machine.terminates_at = now + max(report.terminates_in_s, 0.0)
        else:
            machine.terminates_at = None
        if report.fencing_token == self.term:
            machine.proven_at = now
            if not machine.confirmed:
                machine.confirmed = True
                # A session that only calls have shown, as of a machine that reaches nobody: it
                # may have begun just now. With an answer of before, its tasks would be taken
                # for gone while they run.
                machine.leased_at = now
                log.debug("%s: confirmed in session %d", machine.id, report.session)
                self._on_room()
            self._reconcile(machine, report, now)

    def _reconcile(self, machine: Machine, report: Report, now: float) -> None:
        """A report under our fencing token is proof of what is on the machine, and what is not."""
        revision = (report.session, report.sequence)
        present: set[tuple[str, int]] = set()
        strays = set(machine.strays)
        machine.strays.clear()
        for item in report.tasks:
            job, task = split_task_name(item.task)
            attempt = machine.attempts.get((job, task))
            if attempt is not None and attempt.number == item.attempt:
                present.add((job, task))
                self._progress(machine, attempt, item, now)
            elif self._stray(machine, job, task, item, now):
                present.add((job, task))
        if strays != machine.strays:
            machine.changes += 1
        if any(
            a.stage == "assigned" and a.sent is not None and key not in present
            for key, a in machine.attempts.items()
        ):
            self._unheeded(machine)
        for key, attempt in list(machine.attempts.items()):
            if key in present:
                continue
            if attempt.loose is not None and attempt.loose != report.session:
                attempt.loose = None  # another session: it would be refused
            if attempt.stage == "assigned" and (attempt.sent is None or attempt.sent < revision):
                attempt.sent = None  # that start never arrived and can't any more
                unwanted = attempt.work.record.aborted or attempt.halting
                unwanted = unwanted or machine.deaf_since is not None
                if unwanted and attempt.loose is None:
                    self.drop(attempt)
            elif attempt.stage != "assigned":
                log.info("%s/%d: no longer on %s", *key, machine.id)
                self.drop(attempt)
        machine.pulling = {
            image: machine.pulling.get(image, now)
            for image in {
                a.work.record.sub.image for a in machine.attempts.values() if a.stage == "pulling"
            }
            if image not in machine.images
        }
        if machine.attempts:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _progress(self, machine: Machine, attempt: Attempt, item: TaskReport, now: float) -> None:
        work, sub = attempt.work, attempt.work.record.sub
        if item.stage != "ended":
            if item.stage != attempt.stage:
                log.debug("%s: %s on %s", item.task, item.stage, machine.id)
                attempt.stage, attempt.since = item.stage, now
                machine.changes += 1
            if item.stage in ("running", "flushing"):
                self._cached(machine, sub.image, sub.image_gb)
                machine.errors.discard(work.id)
                if sub.is_service and work.failures and now - attempt.since > HEALTHY_S:
                    work.failures = 0
            return
        cause = item.cause or ""
        log.debug("%s: ended, %s, on %s", item.task, cause, machine.id)
        if attempt.loose is not None or (attempt.direct and cause != "done"):
            # A copy of the start may still be on its way to `/orders`. While the worker
            # remembers the attempt, the copy has no effect; after a reap it would start.
            machine.kept.add((work.id, attempt.task, attempt.number))
        if cause == "done" and sub.is_service:
            self._cached(machine, sub.image, sub.image_gb)
            self._replica_ended(work, now)
        elif cause == "done":
            self._cached(machine, sub.image, sub.image_gb)
            work.failures = 0
            self.works.complete(work, attempt.task)
        elif cause == "error":
            work.bad_machines[machine.id] = now + AVOID_S
            machine.errors.add(work.id)
            if sub.is_service:
                self._replica_ended(work, now)
            else:
                work.failures += 1
            # A job with a mistake fails everywhere: let it not eat up the machines.
            if work.failures >= 3 and not sub.is_service:
                work.retry_at = now + min(60.0, 2.0 ** min(work.failures - 2, 6))
            log.info("%s/%d: failed on %s", work.id, attempt.task, machine.id)
        elif cause == "no_room":
            machine.refuse_until = now + 2.0
            log.info("%s/%d: no room on %s", work.id, attempt.task, machine.id)
        elif cause in ("in_use", "no_such"):
            work.retry_at = now + 2.0
            log.info("%s/%d: %s on %s", work.id, attempt.task, cause, machine.id)
        self.drop(attempt)

    @staticmethod
    def _replica_ended(work: JobState, now: float) -> None:
        """A service that keeps ending must not eat up the machines; people wait for it, so
        its pause is short, and over for good once a replica has run well for a while."""
        work.failures += 1
        if work.failures > 1:
            work.retry_at = now + min(REPLICA_PAUSE_S, 0.5 * 2.0 ** min(work.failures - 2, 10))

    def _stray(self, machine: Machine, job: str, task: int, item: TaskReport, now: float) -> bool:
        """Something on the machine that is not the attempt we count there; true if it
        was taken over as such."""
        work = self.works.jobs.get(job)
        if work is not None and task < work.record.sub.task_count:
            if item.stage == "ended":
                if item.cause == "done" and not work.record.sub.is_service:
                    self.works.complete(work, task)
                    other = work.attempts.get(task)
                    if other is not None:
                        self.halt(other)
                return False
            if task not in work.attempts and not work.is_done(task) and not work.record.aborted:
                # It runs and nobody else does: keep it.
                attempt = self.works.adopt(work, task, machine.id, item.attempt, now)
                attempt.stage = item.stage
                machine.attempts[job, task] = attempt
                machine.changes += 1
                return True
        if item.stage != "ended":
            machine.strays.add((job, task, item.attempt))
        return False

    def _cached(self, machine: Machine, image: str, size: float) -> None:
        if next(reversed(machine.images), None) == image:
            return
        machine.changes += image not in machine.images
        machine.images[image] = size
        machine.images.move_to_end(image)
        room = self.disk_gb(machine.machine_type or "")
        while len(machine.images) > 1 and sum(machine.images.values()) > room:
            machine.images.popitem(last=False)

    # -- orders -------------------------------------------------------------------

    def _halts(self, machine: Machine, report: Report) -> list[dict[str, Any]]:
        """Cancelled work, and what no job knows, ends at once. So does a cancelled start that
        is on its way by `/orders` and not reported yet: whichever comes first, and if it is
        the halt, a later report shows it."""
        orders: list[dict[str, Any]] = []
        listed = set()
        for item in report.tasks:
            job, task = split_task_name(item.task)
            listed.add((job, task))
            if item.stage == "ended":
                continue
            work = self.works.jobs.get(job)
            if work.record.aborted if work is not None else self._over(job):
                orders.append(_halt_order(item.task, item.attempt, 0.0))
        for key, attempt in machine.attempts.items():
            if attempt.work.record.aborted and not attempt.never_sent and key not in listed:
                orders.append(_halt_order(attempt.name, attempt.number, 0.0))
        return orders

    def _orders(
        self, machine: Machine, report: Report, orders: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """`orders`: those that go first."""
        halted = {(order["piece"], order["try"]) for order in orders}
        for item in report.tasks:
            job, task = split_task_name(item.task)
            if item.stage == "ended":
                if (job, task, item.attempt) in machine.kept:
                    continue
                if self._may_reap(job, task, item):
                    orders.append({"verb": "reap", "piece": item.task, "try": item.attempt})
            elif (item.task, item.attempt) not in halted:
                grace = self._halt(machine, job, task, item)
                if grace is not None:
                    orders.append(_halt_order(item.task, item.attempt, grace))
        if self._may_start() and machine.placeable:
            revision = (report.session, report.sequence)
            for attempt in machine.attempts.values():
                if len(orders) >= ORDERS_MAX:
                    break
                if attempt.stage == "assigned" and self._startable(attempt):
                    attempt.sent = revision
                    orders.append(start_order(attempt))
        return orders[:ORDERS_MAX]

    def due(self, busy: Container[str]) -> list[Machine]:
        """Machines that something can be sent to now. What may become due later stays on
        the list of errands; the fleet as a whole is never gone through."""
        now, may_start = self._clock(), self._may_start()
        found = []
        for name in list(self.errands):
            machine = self.machines.get(name)
            attempts = machine.attempts.values() if machine is not None else ()
            if machine is None or not any(_to_halt(a) or _to_start(a) for a in attempts):
                self.errands.discard(name)
            elif (
                name not in busy
                and machine.address
                and machine.confirmed
                and machine.shut_until <= now
                and not self.quiet(machine)
                and (
                    any(map(_to_halt, attempts))
                    or (may_start and machine.placeable and any(map(self._fresh, attempts)))
                )
            ):
                found.append(machine)
        return found

    def take_halts(self, machine: Machine) -> list[dict[str, Any]]:
        """Halts to be sent to `/orders`; they name an attempt, so late ones do no harm."""
        orders = []
        for attempt in machine.attempts.values():
            if _to_halt(attempt):
                attempt.halt_sent = True
                grace = _grace(attempt.work)
                orders.append(_halt_order(attempt.name, attempt.number, grace))
        return orders

    def take_fresh_starts(self, machine: Machine) -> list[Attempt]:
        """Starts to be sent to `/orders`; from here on they may arrive at any time."""
        if not (self._may_start() and machine.placeable):
            return []
        fresh = [a for a in machine.attempts.values() if self._fresh(a)][:ORDERS_MAX]
        for attempt in fresh:
            attempt.direct = True
            attempt.loose = machine.session
        return fresh

    def _fresh(self, attempt: Attempt) -> bool:
        return _to_start(attempt) and self._startable(attempt)

    @staticmethod
    def _startable(attempt: Attempt) -> bool:
        return attempt.saved and not attempt.halting and not attempt.work.record.aborted

    def _may_reap(self, job: str, task: int, item: TaskReport) -> bool:
        """A result is forgotten by the worker only once it is durable here."""
        work = self.works.jobs.get(job)
        if work is None:
            return self._over(job)
        sub = work.record.sub
        if task >= sub.task_count or item.cause != "done" or sub.is_service:
            return True
        chunk = work.chunk(task)
        return work.is_done(task) and chunk.saved == chunk.version

    def _halt(self, machine: Machine, job: str, task: int, item: TaskReport) -> float | None:
        """The grace to stop with, or None to let it go on."""
        work = self.works.jobs.get(job)
        if work is None:
            return None
        if (job, task, item.attempt) in machine.strays:
            return 0.0
        attempt = machine.attempts.get((job, task))
        if attempt is not None and attempt.halting and item.stage != "flushing":
            return _grace(work)
        return None


def _grace(work: JobState) -> float:
    sub = work.record.sub
    return sub.checkpoint_cost_s + 1.0 if sub.checkpoint_every_s > 0 else 0.0


def _to_halt(attempt: Attempt) -> bool:
    return attempt.halting and not attempt.halt_sent and attempt.stage in ("pulling", "running")


def _to_start(attempt: Attempt) -> bool:
    """Not sent to `/orders` yet; perhaps not saved yet either."""
    return attempt.stage == "assigned" and not attempt.direct


def _halt_order(name: str, number: int, grace: float) -> dict[str, Any]:
    return {"verb": "halt", "piece": name, "try": number, "windDownS": grace}


def start_order(attempt: Attempt) -> dict[str, Any]:
    return {"verb": "start", "piece": attempt.name, "try": attempt.number}
