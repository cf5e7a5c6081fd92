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

from spoolcourse.control.jobs.job_queue import Attempt, JobQueue, JobState
from spoolcourse.control.leadership.renewal_deadline import DRIFT
from spoolcourse.wire.commands import Acknowledge, Command, Start, Stop
from spoolcourse.wire.messages import Report, TaskReport, split_task_name

log = logging.getLogger(__name__)

COMMANDS_MAX = 300  # per response, well below 64 KiB
AVOID_S = 60.0  # a machine that a job failed on; for ever, it might be left with none
HEALTHY_S = 20.0  # a replica that has run for so long clears its service's pause
REPLICA_PAUSE_S = 10.0  # the longest
INEFFECTIVE_ANSWERS_MAX = (
    3  # answers without effect within a lease: later ones will have none either
)


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
    reported_at: float = 0.0  # a report of its own accord, or when it was first heard of
    answered_at: float | None = None  # a 200 of ours, which may have renewed its lease
    # The latest moment at which its lease can have begun: an answer of ours, or, for a session
    # that was under our fencing token before we answered it, when we heard of that.
    leased_at: float | None = None
    lease_expired: bool = False  # its lease has run out since our last answer
    ineffective_answers: int = 0  # answers that had no effect, of late
    answers_doubted_at: float = 0.0  # the last of them, or when this session was first heard of
    unresponsive_since: float | None = None  # its reports arrive, our answers don't
    token_seen_at: float = 0.0  # the last report under our fencing token, or `since`
    listed_stage: str | None = None  # its stage in the cloud's list
    running_at: float | None = None  # since when it is listed as running
    rented_at: float | None = None
    up_at: float | None = None  # when it is expected, while it boots
    terminates_at: float | None = None
    surplus: bool = False  # gets work only if nothing else has room, and goes when idle
    deleting: bool = False  # a deletion has been asked for
    idle_since: float | None = None
    errors: set[str] = field(default_factory=set)  # jobs that failed here
    unreachable_until: float = 0.0  # its address did not answer
    full_until: float = 0.0  # a start was refused for lack of room
    changes: int = 0  # of what its attempts, strays and images are: see `placement/sights`
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    unexpected_tasks: set[tuple[str, int, int]] = field(
        default_factory=set
    )  # ours no longer, still there
    unacknowledged: set[tuple[str, int, int]] = field(
        default_factory=set
    )  # ended, not to be reaped
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # seen cached, by use
    pulling: dict[str, float] = field(default_factory=dict)  # image: since when

    @property
    def placeable(self) -> bool:
        return (
            self.confirmed
            and not self.deleting
            and not self.lease_expired
            and self.unresponsive_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )


class WorkerRegistry:
    """All machines of the term."""

    def __init__(
        self,
        job_queue: JobQueue,
        term: int,
        lease_s: float,
        clock: Callable[[], float],
        may_start: Callable[[], bool],
        gone_for_good: Callable[[str], bool],
        on_room: Callable[[], None],
    ) -> None:
        self.job_queue = job_queue
        self.term = term
        self._lease_s = lease_s
        self._margin_s = lease_s * (1 + DRIFT) + 1.0  # after it a lease is over for certain
        self._clock = clock
        self._may_start = may_start
        self._is_over = gone_for_good
        self._on_room = on_room
        self.machines: dict[str, Machine] = {}
        self.deleted_names: OrderedDict[str, None] = OrderedDict()  # names never come back
        self.pending_commands: set[str] = set()  # machines that may have starts or halts to be sent
        self.disk_gb: Callable[[str], float] = lambda machine_type: 0.0
        self.quiet_s = float("inf")

    def machine(self, name: str) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(
                name, self._clock(), token_seen_at=self._clock()
            )
        return machine

    def is_quiet(self, machine: Machine) -> bool:
        """It has missed its reports for certain. Its answers to calls don't count: a machine
        that reaches no controller loses with its lease whatever calls start there. That proves
        nothing about what it holds, but nothing new is put there, nor is it called: with a zone
        cut off, hundreds of calls that hang would keep those to the rest waiting, and work would
        be bound until leases end.
        """
        return machine.heard_at is not None and self._clock() - machine.reported_at > self.quiet_s

    def link(self, attempt: Attempt) -> None:
        machine = self.machine(attempt.machine)
        machine.attempts[attempt.job_state.id, attempt.task] = attempt
        machine.changes += 1
        machine.idle_since = None
        self.pending_commands.add(machine.id)

    def stop(self, attempt: Attempt) -> None:
        attempt.stopping = True
        self.machine(attempt.machine).changes += 1
        self.pending_commands.add(attempt.machine)

    def drop(self, attempt: Attempt) -> None:
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            key = (attempt.job_state.id, attempt.task)
            if machine.attempts.get(key) is attempt:
                del machine.attempts[key]
                machine.changes += 1
        self.job_queue.drop(attempt)
        self._on_room()

    def confirm_deleted(self, name: str) -> None:
        """The cloud has confirmed that the machine and all on it are gone."""
        self.deleted_names[name] = None
        while len(self.deleted_names) > 5000:
            self.deleted_names.popitem(last=False)
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
                and not machine.lease_expired
                and machine.leased_at is not None
                and now - machine.leased_at > self._margin_s
            ):
                log.info("%s: silent, its lease has run out", machine.id)
                machine.lease_expired = True
                # What still comes from that session was held on the way: a sign of life
                # starts with the next one.
                machine.session, machine.sequence = machine.session + 1, -1
                machine.confirmed = False
                machine.unexpected_tasks.clear()
                machine.changes += 1
                for attempt in list(machine.attempts.values()):
                    self.drop(attempt)

    # -- machines that don't get our answers ------------------------------------------

    def _note_ineffective_answer(self, machine: Machine) -> None:
        """An answer had no effect. After some of them the machine gets no more work, and
        what it was to start goes elsewhere once that is proven not to have arrived: those
        tasks would stay bound to it for ever, for its reports go on and it is never silent.
        """
        machine.ineffective_answers += 1
        machine.answers_doubted_at = self._clock()
        if (
            machine.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX
            and machine.unresponsive_since is None
        ):
            log.info("%s: takes no answers", machine.id)
            machine.unresponsive_since = self._clock()

    # -- reports ------------------------------------------------------------------

    def accept(self, report: Report) -> list[Command] | None:
        """Take in a report that carries no higher fencing token than ours; the orders to answer.

        None for one that is no newer than what is known, or whose machine is gone: a copy
        that was late on the way. It is no sign of life and must get no answer that could
        renew a lease, or the proof by lease would have to wait for every copy.
        """
        now = self._clock()
        if report.machine in self.deleted_names:
            return None
        machine = self.machine(report.machine)
        if (report.session, report.sequence) <= (machine.session, machine.sequence):
            return None
        self.learn(machine, report)
        machine.reported_at = machine.answered_at = machine.leased_at = now
        stops = self._urgent_stops(machine, report)
        if report.fencing_token != self.term:
            # Older orders may still reach it. Our fencing token in the answer ends that, and its
            # next report tells what is there. But what is cancelled ends now: this answer
            # renews its lease, and it may be the last one that arrives.
            return stops[:COMMANDS_MAX]
        return self._commands(machine, report, stops)

    def overhear(self, report: Report) -> None:
        """Take in a report that is not answered, and so renews nothing."""
        self.observe(report)
        machine = self.machines.get(report.machine)
        if machine is not None and (report.session, report.sequence) == (
            machine.session,
            machine.sequence,
        ):
            machine.reported_at = self._clock()

    def observe(self, report: Report) -> None:
        """Take in a report that came as the answer to `/orders` or `/show`."""
        if report.machine in self.deleted_names:
            return
        machine = self.machine(report.machine)
        if (report.session, report.sequence) > (machine.session, machine.sequence):
            self.learn(machine, report)

    def learn(self, machine: Machine, report: Report) -> None:
        now = self._clock()
        if report.session != machine.session or machine.lease_expired or machine.heard_at is None:
            if (
                machine.confirmed
                and machine.answered_at is not None
                and now - machine.answered_at < 0.8 * self._lease_s  # some were on the way for long
            ):
                self._note_ineffective_answer(machine)  # its lease ran out although it was answered
            machine.confirmed = False
            machine.unacknowledged.clear()
            machine.answers_doubted_at = now
        elif now - machine.answers_doubted_at > self._margin_s:
            # The session has outlived a lease since, so answers do arrive. Commands that
            # arrive by `/orders` are no such proof: they renew nothing.
            machine.ineffective_answers = 0
            machine.unresponsive_since = None
        if machine.heard_at is None:
            machine.token_seen_at = now  # it had to boot first: nothing could be proven before
            machine.reported_at = now
        machine.heard_at = now
        machine.session, machine.sequence = report.session, report.sequence
        machine.machine_type, machine.zone = report.machine_type, report.zone
        machine.spot, machine.address = report.spot, report.address
        machine.up_at = None
        machine.lease_expired = False
        if report.terminates_in_s is not None:
            machine.terminates_at = now + max(report.terminates_in_s, 0.0)
        else:
            machine.terminates_at = None
        if report.fencing_token == self.term:
            machine.token_seen_at = now
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
        unexpected_tasks = set(machine.unexpected_tasks)
        machine.unexpected_tasks.clear()
        for item in report.tasks:
            job, task = split_task_name(item.task)
            attempt = machine.attempts.get((job, task))
            if attempt is not None and attempt.number == item.attempt:
                present.add((job, task))
                self._progress(machine, attempt, item, now)
            elif self._take_unexpected(machine, job, task, item, now):
                present.add((job, task))
        if unexpected_tasks != machine.unexpected_tasks:
            machine.changes += 1
        if any(
            a.stage == "assigned" and a.start_sent_with is not None and key not in present
            for key, a in machine.attempts.items()
        ):
            self._note_ineffective_answer(machine)
        for key, attempt in list(machine.attempts.items()):
            if key in present:
                continue
            if (
                attempt.in_flight_session is not None
                and attempt.in_flight_session != report.session
            ):
                attempt.in_flight_session = None  # another session: it would be refused
            if attempt.stage == "assigned" and (
                attempt.start_sent_with is None or attempt.start_sent_with < revision
            ):
                attempt.start_sent_with = None  # that start never arrived and can't any more
                unwanted = attempt.job_state.record.aborted or attempt.stopping
                unwanted = unwanted or machine.unresponsive_since is not None
                if unwanted and attempt.in_flight_session is None:
                    self.drop(attempt)
            elif attempt.stage != "assigned":
                log.info("%s/%d: no longer on %s", *key, machine.id)
                self.drop(attempt)
        machine.pulling = {
            image: machine.pulling.get(image, now)
            for image in {
                a.job_state.record.sub.image
                for a in machine.attempts.values()
                if a.stage == "pulling"
            }
            if image not in machine.images
        }
        if machine.attempts:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _progress(self, machine: Machine, attempt: Attempt, item: TaskReport, now: float) -> None:
        job_state, sub = attempt.job_state, attempt.job_state.record.sub
        if item.stage != "ended":
            if item.stage != attempt.stage:
                log.debug("%s: %s on %s", item.task, item.stage, machine.id)
                attempt.stage, attempt.since = item.stage, now
                machine.changes += 1
            if item.stage in ("running", "flushing"):
                self._cached(machine, sub.image, sub.image_gb)
                machine.errors.discard(job_state.id)
                if sub.is_service and job_state.failures and now - attempt.since > HEALTHY_S:
                    job_state.failures = 0
            return
        cause = item.cause or ""
        log.debug("%s: ended, %s, on %s", item.task, cause, machine.id)
        if attempt.in_flight_session is not None or (attempt.sent_directly and cause != "done"):
            # A copy of the start may still be on its way to `/orders`. While the worker
            # remembers the attempt, the copy has no effect; after a reap it would start.
            machine.unacknowledged.add((job_state.id, attempt.task, attempt.number))
        if cause == "done" and sub.is_service:
            self._cached(machine, sub.image, sub.image_gb)
            self._replica_ended(job_state, now)
        elif cause == "done":
            self._cached(machine, sub.image, sub.image_gb)
            job_state.failures = 0
            self.job_queue.complete(job_state, attempt.task)
        elif cause == "error":
            job_state.bad_machines[machine.id] = now + AVOID_S
            machine.errors.add(job_state.id)
            if sub.is_service:
                self._replica_ended(job_state, now)
            else:
                job_state.failures += 1
            # A job with a mistake fails everywhere: let it not eat up the machines.
            if job_state.failures >= 3 and not sub.is_service:
                job_state.retry_at = now + min(60.0, 2.0 ** min(job_state.failures - 2, 6))
            log.info("%s/%d: failed on %s", job_state.id, attempt.task, machine.id)
        elif cause == "no_room":
            machine.full_until = now + 2.0
            log.info("%s/%d: no room on %s", job_state.id, attempt.task, machine.id)
        elif cause in ("in_use", "no_such"):
            job_state.retry_at = now + 2.0
            log.info("%s/%d: %s on %s", job_state.id, attempt.task, cause, machine.id)
        self.drop(attempt)

    @staticmethod
    def _replica_ended(job_state: JobState, now: float) -> None:
        """A service that keeps ending must not eat up the machines; people wait for it, so
        its pause is short, and over for good once a replica has run well for a while."""
        job_state.failures += 1
        if job_state.failures > 1:
            job_state.retry_at = now + min(
                REPLICA_PAUSE_S, 0.5 * 2.0 ** min(job_state.failures - 2, 10)
            )

    def _take_unexpected(
        self, machine: Machine, job: str, task: int, item: TaskReport, now: float
    ) -> bool:
        """Something on the machine that is not the attempt we count there; true if it
        was taken over as such."""
        job_state = self.job_queue.jobs.get(job)
        if job_state is not None and task < job_state.record.sub.task_count:
            if item.stage == "ended":
                if item.cause == "done" and not job_state.record.sub.is_service:
                    self.job_queue.complete(job_state, task)
                    other = job_state.attempts.get(task)
                    if other is not None:
                        self.stop(other)
                return False
            if (
                task not in job_state.attempts
                and not job_state.is_done(task)
                and not job_state.record.aborted
            ):
                # It runs and nobody else does: keep it.
                attempt = self.job_queue.adopt(job_state, task, machine.id, item.attempt, now)
                attempt.stage = item.stage
                machine.attempts[job, task] = attempt
                machine.changes += 1
                return True
        if item.stage != "ended":
            machine.unexpected_tasks.add((job, task, item.attempt))
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

    def _urgent_stops(self, machine: Machine, report: Report) -> list[Command]:
        """Cancelled work, and what no job knows, ends at once. So does a cancelled start that
        is on its way by `/orders` and not reported yet: whichever comes first, and if it is
        the halt, a later report shows it."""
        commands: list[Command] = []
        listed = set()
        for item in report.tasks:
            job, task = split_task_name(item.task)
            listed.add((job, task))
            if item.stage == "ended":
                continue
            job_state = self.job_queue.jobs.get(job)
            if job_state.record.aborted if job_state is not None else self._is_over(job):
                commands.append(Stop(item.task, item.attempt, 0.0))
        for key, attempt in machine.attempts.items():
            if attempt.job_state.record.aborted and not attempt.never_sent and key not in listed:
                commands.append(Stop(attempt.name, attempt.number, 0.0))
        return commands

    def _commands(self, machine: Machine, report: Report, commands: list[Command]) -> list[Command]:
        """`orders`: those that go first."""
        already_stopped = {(command.task, command.attempt) for command in commands}
        for item in report.tasks:
            job, task = split_task_name(item.task)
            if item.stage == "ended":
                if (job, task, item.attempt) in machine.unacknowledged:
                    continue
                if self._may_acknowledge(job, task, item):
                    commands.append(Acknowledge(item.task, item.attempt))
            elif (item.task, item.attempt) not in already_stopped:
                grace = self._stop_grace(machine, job, task, item)
                if grace is not None:
                    commands.append(Stop(item.task, item.attempt, grace))
        if self._may_start() and machine.placeable:
            revision = (report.session, report.sequence)
            for attempt in machine.attempts.values():
                if len(commands) >= COMMANDS_MAX:
                    break
                if attempt.stage == "assigned" and self._startable(attempt):
                    attempt.start_sent_with = revision
                    commands.append(Start(attempt.name, attempt.number))
        return commands[:COMMANDS_MAX]

    def due(self, busy: Container[str]) -> list[Machine]:
        """Machines that something can be sent to now. What may become due later stays on
        the list of errands; the fleet as a whole is never gone through."""
        now, may_start = self._clock(), self._may_start()
        found = []
        for name in list(self.pending_commands):
            machine = self.machines.get(name)
            attempts = machine.attempts.values() if machine is not None else ()
            if machine is None or not any(_must_stop(a) or _must_start(a) for a in attempts):
                self.pending_commands.discard(name)
            elif (
                name not in busy
                and machine.address
                and machine.confirmed
                and machine.unreachable_until <= now
                and not self.is_quiet(machine)
                and (
                    any(map(_must_stop, attempts))
                    or (may_start and machine.placeable and any(map(self._fresh, attempts)))
                )
            ):
                found.append(machine)
        return found

    def take_stops(self, machine: Machine) -> list[Command]:
        """Halts to be sent to `/orders`; they name an attempt, so late ones do no harm."""
        commands: list[Command] = []
        for attempt in machine.attempts.values():
            if _must_stop(attempt):
                attempt.stop_sent = True
                grace = _grace(attempt.job_state)
                commands.append(Stop(attempt.name, attempt.number, grace))
        return commands

    def take_fresh_starts(self, machine: Machine) -> list[Attempt]:
        """Starts to be sent to `/orders`; from here on they may arrive at any time."""
        if not (self._may_start() and machine.placeable):
            return []
        fresh = [a for a in machine.attempts.values() if self._fresh(a)][:COMMANDS_MAX]
        for attempt in fresh:
            attempt.sent_directly = True
            attempt.in_flight_session = machine.session
        return fresh

    def _fresh(self, attempt: Attempt) -> bool:
        return _must_start(attempt) and self._startable(attempt)

    @staticmethod
    def _startable(attempt: Attempt) -> bool:
        return attempt.saved and not attempt.stopping and not attempt.job_state.record.aborted

    def _may_acknowledge(self, job: str, task: int, item: TaskReport) -> bool:
        """A result is forgotten by the worker only once it is durable here."""
        job_state = self.job_queue.jobs.get(job)
        if job_state is None:
            return self._is_over(job)
        sub = job_state.record.sub
        if task >= sub.task_count or item.cause != "done" or sub.is_service:
            return True
        chunk = job_state.chunk(task)
        return job_state.is_done(task) and chunk.saved == chunk.version

    def _stop_grace(self, machine: Machine, job: str, task: int, item: TaskReport) -> float | None:
        """The grace to stop with, or None to let it go on."""
        job_state = self.job_queue.jobs.get(job)
        if job_state is None:
            return None
        if (job, task, item.attempt) in machine.unexpected_tasks:
            return 0.0
        attempt = machine.attempts.get((job, task))
        if attempt is not None and attempt.stopping and item.stage != "flushing":
            return _grace(job_state)
        return None


def _grace(job_state: JobState) -> float:
    sub = job_state.record.sub
    return sub.checkpoint_cost_s + 1.0 if sub.checkpoint_every_s > 0 else 0.0


def _must_stop(attempt: Attempt) -> bool:
    return attempt.stopping and not attempt.stop_sent and attempt.stage in ("pulling", "running")


def _must_start(attempt: Attempt) -> bool:
    """Not sent to `/orders` yet; perhaps not saved yet either."""
    return attempt.stage == "assigned" and not attempt.sent_directly
