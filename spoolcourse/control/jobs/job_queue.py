"""The leader's working state of jobs: what is pending, held or done, and what is saved.

Progress is changed in memory first; the writer saves it. Whatever must not be said or
sent before it is durable asks `saved` first.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.wire.messages import TaskStage, task_name

UNBOUNDED = sys.maxsize  # tasks that a chunk may hold, where its size alone bounds them


class AttemptStage(Enum):
    """What is known of an attempt."""

    OPEN = "open"  # adopted from the records; it may be anywhere
    ASSIGNED = "assigned"  # not seen on its machine
    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"


REPORTED_STAGES = {
    TaskStage.FETCHING: AttemptStage.FETCHING,
    TaskStage.RUNNING: AttemptStage.RUNNING,
    TaskStage.SAVING: AttemptStage.SAVING,
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a task. It exists until it is proven gone."""

    job_state: JobState
    task: int
    number: int
    machine: str
    version: int  # of its chunk when it was assigned
    since: float  # when `stage` began
    stage: AttemptStage = AttemptStage.ASSIGNED
    start_sent_with: tuple[int, int] | None = None  # the heartbeat whose response carried the start
    sent_directly: bool = False  # the start was also sent to the machine's address
    in_flight_incarnation: int | None = None  # the incarnation in which that may still arrive
    first: bool = False  # it went before rank, so that its job begins: no claim stops it
    stopping: bool = False
    stop_sent: bool = False  # to the machine's address

    @property
    def name(self) -> str:
        """The task's name in heartbeats and commands."""
        return task_name(self.job_state.id, self.task)

    @property
    def is_on(self) -> bool:
        """Whether it has its image: it runs, or saves its progress."""
        return self.stage is AttemptStage.RUNNING or self.stage is AttemptStage.SAVING

    @property
    def never_sent(self) -> bool:
        """No start is under way, nor can have arrived."""
        return (
            self.stage is AttemptStage.ASSIGNED
            and self.start_sent_with is None
            and self.in_flight_incarnation is None
        )

    @property
    def saved(self) -> bool:
        """Whether the record of the attempt is durable."""
        return self.job_state.chunk(self.task).saved >= self.version


@dataclass(slots=True, eq=False)
class Chunk:
    """A progress key: the wanted content, and how much of it is durable."""

    index: int
    progress: Progress = field(default_factory=Progress)
    revision: int = 0
    version: int = 0
    saved: int = 0


@dataclass(slots=True, eq=False)
class JobState:
    """A live job while this controller leads."""

    record: JobRecord
    chunks: dict[int, Chunk] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    done: int = 0
    requeued: set[int] = field(default_factory=set)
    first_unassigned: int = 0  # tasks from here on were never assigned, but for those held or done
    retry_at: float = 0.0
    failures: int = 0  # attempts in a row that ended in error
    bad_machines: dict[str, float] = field(default_factory=dict)  # it failed there: until when
    final: bool = False  # the final state is durable
    waiting_since: float = 0.0
    # Chunks made for a larger limit of the key-value store than the one to come never hold more
    # than fits into that; what they hold beyond it ends gradually.
    max_held_per_chunk: int = UNBOUNDED
    cancelled_known_at: float = 0.0  # when this leader heard of it; only if it is cancelled

    @property
    def id(self) -> str:
        """The job's id."""
        return self.record.submission.id

    @property
    def order(self) -> tuple[float, str]:
        """What jobs are ordered by: their arrival."""
        return (self.record.at, self.id)

    @property
    def pending(self) -> int:
        """How many tasks are neither done nor held by an attempt."""
        return self.record.submission.task_count - self.done - len(self.attempts)

    @property
    def all_running(self) -> bool:
        """All its tasks run, and none is being stopped."""
        return self.pending == 0 and all(
            a.stage is AttemptStage.RUNNING and not a.stopping for a in self.attempts.values()
        )

    @property
    def assignable(self) -> int:
        """Pending tasks that may be assigned now: see `held_most`."""
        if self.max_held_per_chunk >= self.record.chunk:
            return self.pending
        size, tasks, total = self.record.chunk, self.record.submission.task_count, 0
        for index in range(self.record.chunks):
            here = min(size, tasks - index * size)
            chunk = self.chunks.get(index)
            if chunk is not None:
                held = len(chunk.progress.held)
                here -= held + chunk.progress.done.bit_count()
                total += max(0, min(here, self.max_held_per_chunk - held))
            else:
                total += min(here, self.max_held_per_chunk)
        return total

    @property
    def finished(self) -> bool:
        """Nothing is left to do but to write the final state."""
        if self.record.cancelled:
            return not self.attempts
        if self.record.submission.is_service:
            return False  # only its user ends it
        return self.done == self.record.submission.task_count

    def chunk(self, task: int) -> Chunk:
        """The chunk that a task belongs to."""
        index = task // self.record.chunk
        chunk = self.chunks.get(index)
        if chunk is None:
            chunk = self.chunks[index] = Chunk(index)
        return chunk

    def is_done(self, task: int) -> bool:
        """Whether the task has a result."""
        chunk = self.chunks.get(task // self.record.chunk)
        return chunk is not None and bool(chunk.progress.done >> (task % self.record.chunk) & 1)

    def candidates(self) -> Iterator[int]:
        """Pending tasks: those that lost an attempt first, then in order."""
        if self.max_held_per_chunk >= self.record.chunk:
            yield from self._candidates()
            return
        held = {i: len(c.progress.held) for i, c in self.chunks.items()}
        for task in self._candidates():
            index = task // self.record.chunk
            if held.get(index, 0) < self.max_held_per_chunk:
                held[index] = held.get(index, 0) + 1
                yield task

    def _candidates(self) -> Iterator[int]:
        yield from sorted(p for p in self.requeued if p not in self.attempts)
        task = self.first_unassigned
        while task < self.record.submission.task_count:
            if task not in self.attempts and task not in self.requeued:
                if not self.is_done(task):
                    yield task
                elif task == self.first_unassigned:
                    self.first_unassigned += 1
            elif task == self.first_unassigned:
                self.first_unassigned += 1
            task += 1


class JobQueue:
    """All live jobs of the term, with the chunks that wait to be saved."""

    def __init__(self, chunk_tasks: int = UNBOUNDED) -> None:
        self._chunk_tasks = chunk_tasks
        self.jobs: dict[str, JobState] = {}
        self.dirty: dict[tuple[str, int], Chunk] = {}
        # Those of the dirty ones that hold back starts: they are written first. Results
        # can wait, for the workers keep them until they are durable.
        self.starting: dict[tuple[str, int], Chunk] = {}
        self.finished: dict[str, JobState] = {}
        self.on_dirty: Callable[[], None] = lambda: None
        # Attempts that outlive their job: a task that an earlier attempt completed elsewhere
        # may still run. They count against their team until they are proven gone.
        self._attempts_of_finished_jobs: dict[tuple[str, int], Attempt] = {}

    def attempts_of_finished_jobs(self) -> list[Attempt]:
        """Attempts that outlive their finished job and are not proven gone yet."""
        return list(self._attempts_of_finished_jobs.values())

    def touch(self, job_state: JobState, chunk: Chunk) -> int:
        """Note that a chunk has changed and must be saved; its new version."""
        chunk.version += 1
        self.dirty[job_state.id, chunk.index] = chunk
        self.on_dirty()
        return chunk.version

    def forget(self, job: str, index: int) -> None:
        """The chunk, as it is now, needs no more writing."""
        self.dirty.pop((job, index), None)
        self.starting.pop((job, index), None)

    def assign(
        self, job_state: JobState, task: int, machine: str, number: int, now: float
    ) -> Attempt:
        """Make a new attempt at a free task on a machine."""
        if task in job_state.attempts or job_state.is_done(task) or job_state.record.cancelled:
            raise ValueError(f"{job_state.id}/{task} is not free to start")
        chunk = job_state.chunk(task)
        chunk.progress.held[task] = (machine, number)
        self.starting[job_state.id, chunk.index] = chunk
        attempt = Attempt(job_state, task, number, machine, self.touch(job_state, chunk), now)
        job_state.attempts[task] = attempt
        job_state.requeued.discard(task)
        return attempt

    def adopt(
        self, job_state: JobState, task: int, machine: str, number: int, now: float
    ) -> Attempt:
        """Take over an attempt that the records or a heartbeat show; it may be anywhere."""
        chunk = job_state.chunk(task)
        version = chunk.version
        if chunk.progress.held.get(task) != (machine, number):
            chunk.progress.held[task] = (machine, number)
            version = self.touch(job_state, chunk)
        attempt = Attempt(job_state, task, number, machine, version, now, stage=AttemptStage.OPEN)
        job_state.attempts[task] = attempt
        job_state.requeued.discard(task)
        return attempt

    def drop(self, attempt: Attempt) -> None:
        """The attempt is proven gone: its task may be tried again."""
        job_state = attempt.job_state
        if job_state.attempts.get(attempt.task) is not attempt:
            return
        del job_state.attempts[attempt.task]
        if job_state.final:
            self._attempts_of_finished_jobs.pop((job_state.id, attempt.task), None)
            return
        chunk = job_state.chunk(attempt.task)
        chunk.progress.held.pop(attempt.task, None)
        self.touch(job_state, chunk)
        if not job_state.is_done(attempt.task):
            job_state.requeued.add(attempt.task)
        self.check(job_state)

    def complete(self, job_state: JobState, task: int) -> None:
        """Note that a task has a result.

        Its attempt, if it is the one that ended, is dropped by the caller. A replica of a service
        has no result, however it ended.
        """
        if job_state.record.submission.is_service or job_state.is_done(task):
            return
        chunk = job_state.chunk(task)
        chunk.progress.done |= 1 << (task % job_state.record.chunk)
        job_state.done += 1
        job_state.requeued.discard(task)
        self.touch(job_state, chunk)
        self.check(job_state)

    def check(self, job_state: JobState) -> None:
        """Have the final state written if nothing else is left to do."""
        if job_state.finished and not job_state.final:
            self.finished[job_state.id] = job_state
            self.on_dirty()

    def add(self, record: JobRecord, now: float) -> JobState:
        """Take up a newly accepted job."""
        job_state = self._begin(record, now)
        self.check(job_state)
        return job_state

    def _begin(self, record: JobRecord, now: float) -> JobState:
        job_state = self.jobs[record.submission.id] = JobState(
            record, waiting_since=now, cancelled_known_at=now
        )
        if record.chunk > self._chunk_tasks:
            job_state.max_held_per_chunk = self._chunk_tasks
        return job_state

    def remove(self, job_state: JobState) -> None:
        """Forget a job whose final state is durable."""
        job_state.final = True
        for attempt in job_state.attempts.values():
            self._attempts_of_finished_jobs[job_state.id, attempt.task] = attempt
        self.jobs.pop(job_state.id, None)
        self.finished.pop(job_state.id, None)
        for index in job_state.chunks:
            self.forget(job_state.id, index)

    def restore(
        self, record: JobRecord, now: float, saved: dict[int, tuple[Progress, int]]
    ) -> JobState:
        """Rebuild from the records; attempts are open until their machines have spoken."""
        job_state = self._begin(record, now)
        for index, (progress, revision) in saved.items():
            self.take_record(job_state, Chunk(index, progress, revision), now)
        self.check(job_state)
        return job_state

    def take_record(self, job_state: JobState, recorded: Chunk, now: float) -> None:
        """Bring a chunk in line with its record; the attempts that it names may be anywhere."""
        former = job_state.chunks.get(recorded.index, Chunk(recorded.index)).progress
        job_state.chunks[recorded.index] = recorded
        job_state.done += recorded.progress.done.bit_count() - former.done.bit_count()
        held = recorded.progress.held
        for task, holder in former.held.items():
            if held.get(task) != holder:
                del job_state.attempts[task]
        for task, (machine, number) in held.items():
            if task not in job_state.attempts:
                self.adopt(job_state, task, machine, number, now)
