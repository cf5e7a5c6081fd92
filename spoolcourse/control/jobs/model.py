"""The leader's data model of jobs: attempts, chunks of progress and job states.

- Attempt: the assignment of a task to a machine. It exists until the leader knows that it does not
  run and can no longer start; then it is proven gone.
- Held task: a task that has an attempt.
- Chunk: consecutive tasks of a job whose progress (done and held tasks) is stored under one key.
- Persisted: durable in the key-value store.

`JobQueue` changes these objects and `ProgressWriter` persists them.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcourse.control.jobs.start_delivery import StartDelivery
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.messages import TaskStage, task_name

CHECKPOINT_MARGIN_S = 1.0  # in addition to the time that the owner states for a checkpoint
UNLIMITED_HELD_TASKS = sys.maxsize  # only the chunk size limits the held tasks of a chunk


class AttemptStage(Enum):
    """The stage of an attempt, as far as the leader knows."""

    OPEN = "open"  # found in a record or a heartbeat; its actual stage is unknown
    ASSIGNED = "assigned"  # not yet reported by its machine
    FETCHING = "fetching"  # the machine fetches its image
    RUNNING = "running"
    SAVING = "saving"  # it saves a checkpoint


# The attempt's stage by the stage that a heartbeat reports.
REPORTED_STAGES = {
    TaskStage.FETCHING: AttemptStage.FETCHING,
    TaskStage.RUNNING: AttemptStage.RUNNING,
    TaskStage.SAVING: AttemptStage.SAVING,
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a task. It exists until it is proven gone."""

    job_state: JobState
    task: int  # index of the task in the job
    number: int  # the attempt number
    machine: str  # ID of the machine
    chunk_version: int  # a version of its chunk that contains the attempt
    stage_since: float  # when `stage` began, in seconds of the monotonic clock
    stage: AttemptStage = AttemptStage.ASSIGNED
    start: StartDelivery = field(default_factory=StartDelivery)
    # The first task of a starved job, placed before all ranks: it is not preempted.
    exempt_from_preemption: bool = False
    stopping: bool = False  # the leader has decided to stop it
    stop_sent: bool = False  # the stop was sent directly to the machine's address

    @property
    def name(self) -> str:
        """The task's name in heartbeats and commands."""
        return task_name(self.job_state.id, self.task)

    @property
    def is_executing(self) -> bool:
        """Whether the attempt runs or saves a checkpoint; its image was fetched by then."""
        return self.stage is AttemptStage.RUNNING or self.stage is AttemptStage.SAVING

    @property
    def cannot_start(self) -> bool:
        """Whether no start command has taken effect, and none that was sent still can."""
        return self.stage is AttemptStage.ASSIGNED and not self.start.may_take_effect

    @property
    def is_startable(self) -> bool:
        """Whether the attempt is recorded durably and is neither stopping nor cancelled."""
        return self.is_persisted and not self.stopping and not self.job_state.record.cancelled

    @property
    def is_persisted(self) -> bool:
        """Whether the record of the attempt is durable; no start may be sent before.

        Safety condition: docs/design.md, "Rules", `ran_twice`.
        """
        return self.job_state.chunk(self.task).persisted_version >= self.chunk_version


@dataclass(slots=True, eq=False)
class Chunk:
    """The progress of a chunk in memory, and which version of it is durable."""

    id: ChunkId  # stored, so that changes and lookups don't construct a key each time
    progress: Progress = field(default_factory=Progress)
    revision: int = 0  # of its key in the key-value store; 0 if it has not been written
    version: int = 0  # number of changes of `progress` in this term
    persisted_version: int = 0  # latest version known to be durable

    @property
    def index(self) -> int:
        """The index of the chunk in its job, from 0."""
        return self.id.index

    @property
    def is_persisted(self) -> bool:
        """Whether the whole progress is durable; no result may be acknowledged before.

        Safety condition: docs/design.md, "Rules", `not_done`.
        """
        return self.persisted_version == self.version


class RecordedProgress(NamedTuple):
    """A chunk's progress as the key-value store holds it."""

    progress: Progress
    revision: int  # of the progress key


@dataclass(slots=True, eq=False)
class JobState:
    """A live job on the leader; times are in seconds of the monotonic clock."""

    record: JobRecord
    chunks: dict[int, Chunk] = field(default_factory=dict)  # by chunk index
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by task: the held tasks
    done_count: int = 0  # tasks with a result
    requeued_tasks: set[int] = field(default_factory=set)  # pending tasks whose attempt was dropped
    first_unassigned: int = 0  # all lower tasks are held, done or requeued
    backoff_until: float = 0.0  # no task is placed before this time
    consecutive_failures: int = 0  # attempts in a row that ended in error
    # Machines on which its attempts failed, and until when each is avoided.
    avoided_machines: dict[str, float] = field(default_factory=dict)
    final_state_persisted: bool = False  # the job has ended, and that is durable
    waiting_since: float = 0.0  # when the job was accepted; its waiting time counts from here
    # The most tasks of one chunk that may be held at once. It applies to chunks sized for a larger
    # value limit than the key-value store will have: fewer held tasks make a smaller value. Held
    # tasks beyond it end one by one and are not replaced.
    max_held_per_chunk: int = UNLIMITED_HELD_TASKS
    # When this leader learned that the job is cancelled; without meaning for other jobs.
    cancelled_known_at: float = 0.0

    @property
    def id(self) -> str:
        """The job's id."""
        return self.record.submission.id

    @property
    def arrival_order(self) -> tuple[float, str]:
        """The sort key that orders jobs by arrival."""
        return (self.record.accepted_at, self.id)

    @property
    def checkpoint_grace_s(self) -> float:
        """The time a stopped task needs to save a checkpoint; 0 for a job without them."""
        submission = self.record.submission
        if submission.checkpoint_every_s <= 0:
            return 0.0
        return submission.checkpoint_cost_s + CHECKPOINT_MARGIN_S

    @property
    def pending_count(self) -> int:
        """The number of pending tasks: those neither done nor held."""
        return self.record.submission.task_count - self.done_count - len(self.attempts)

    @property
    def all_running(self) -> bool:
        """Whether every task runs and none is being stopped."""
        return self.pending_count == 0 and all(
            a.stage is AttemptStage.RUNNING and not a.stopping for a in self.attempts.values()
        )

    @property
    def assignable_count(self) -> int:
        """The number of pending tasks that may be assigned now; see `max_held_per_chunk`."""
        if self.max_held_per_chunk >= self.record.tasks_per_chunk:
            return self.pending_count
        chunk_size, task_count = self.record.tasks_per_chunk, self.record.submission.task_count
        total = 0
        for index in range(self.record.chunk_count):
            pending = min(chunk_size, task_count - index * chunk_size)
            chunk = self.chunks.get(index)
            if chunk is not None:
                held = len(chunk.progress.held)
                pending -= held + chunk.progress.done.bit_count()
                total += max(0, min(pending, self.max_held_per_chunk - held))
            else:
                total += min(pending, self.max_held_per_chunk)
        return total

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to do for the job but to write its final state."""
        if self.record.cancelled:
            return not self.attempts
        if self.record.submission.is_service:
            return False  # a service ends only when it is cancelled
        return self.done_count == self.record.submission.task_count

    def chunk(self, task: int) -> Chunk:
        """Return the chunk that a task belongs to, creating it if needed."""
        index = task // self.record.tasks_per_chunk
        chunk = self.chunks.get(index)
        if chunk is None:
            chunk = self.chunks[index] = Chunk(ChunkId(self.id, index))
        return chunk

    def is_done(self, task: int) -> bool:
        """Whether the task has a result."""
        chunk = self.chunks.get(task // self.record.tasks_per_chunk)
        return chunk is not None and bool(
            chunk.progress.done >> (task % self.record.tasks_per_chunk) & 1
        )

    def assignable_tasks(self) -> Iterator[int]:
        """Yield pending tasks that may be assigned: requeued tasks first, then in task order."""
        if self.max_held_per_chunk >= self.record.tasks_per_chunk:
            yield from self._pending_tasks()
            return
        held_by_chunk = {i: len(c.progress.held) for i, c in self.chunks.items()}
        for task in self._pending_tasks():
            index = task // self.record.tasks_per_chunk
            if held_by_chunk.get(index, 0) < self.max_held_per_chunk:
                held_by_chunk[index] = held_by_chunk.get(index, 0) + 1
                yield task

    def _pending_tasks(self) -> Iterator[int]:
        yield from sorted(t for t in self.requeued_tasks if t not in self.attempts)
        task = self.first_unassigned
        while task < self.record.submission.task_count:
            if task not in self.attempts and task not in self.requeued_tasks:
                if not self.is_done(task):
                    yield task
                elif task == self.first_unassigned:
                    self.first_unassigned += 1
            elif task == self.first_unassigned:
                self.first_unassigned += 1
            task += 1
