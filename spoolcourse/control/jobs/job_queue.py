"""The leader's live jobs and their pending writes.

Progress is changed in memory first; `ProgressWriter` persists it. A task's start is sent, and a
result acknowledged to a worker, only once `is_persisted` is true for the attempt or the chunk
(docs/design.md, "Rules").
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from spoolcourse.control.jobs.model import (
    UNLIMITED_HELD_TASKS,
    Attempt,
    AttemptStage,
    Chunk,
    JobState,
    RecordedProgress,
)
from spoolcourse.control.store.records import Assignment, JobRecord, Progress
from spoolcourse.wire.identities import ChunkId, TaskId


class JobQueue:
    """All live jobs of the term, with the chunks and final states that are still to be written."""

    def __init__(self, max_held_per_chunk: int = UNLIMITED_HELD_TASKS) -> None:
        self._max_held_per_chunk = max_held_per_chunk
        self.jobs: dict[str, JobState] = {}
        self.pending_writes: dict[ChunkId, Chunk] = {}  # chunks whose progress is to be written
        # Those of them with new assignments: they are written first, as the tasks can't start
        # before. Results can wait, since the workers keep them until they are durable.
        self.pending_start_writes: dict[ChunkId, Chunk] = {}
        self.pending_final_states: dict[str, JobState] = {}  # finished jobs, by ID
        self._write_listeners: list[Callable[[], None]] = []
        # Attempts that outlive their job: a task that an earlier attempt completed may still run
        # on another machine. They count against their team until they are proven gone.
        self._attempts_of_finished_jobs: dict[TaskId, Attempt] = {}

    def add_write_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called whenever a chunk or a final state must be written."""
        self._write_listeners.append(listener)

    def attempts_of_finished_jobs(self) -> list[Attempt]:
        """Return the attempts that are not proven gone although their job has finished."""
        return list(self._attempts_of_finished_jobs.values())

    # -- jobs -----------------------------------------------------------------------------

    def add(self, record: JobRecord, now: float) -> JobState:
        """Add a newly accepted job."""
        job_state = self._create(record, now)
        self.queue_final_state_if_finished(job_state)
        return job_state

    def restore(
        self, record: JobRecord, now: float, recorded_chunks: Mapping[int, RecordedProgress]
    ) -> JobState:
        """Rebuild a job from its record and its recorded chunks, which are keyed by chunk index.

        Its attempts are in stage `OPEN` until a heartbeat of their machine arrives.
        """
        job_state = self._create(record, now)
        for index, (progress, revision) in recorded_chunks.items():
            chunk = Chunk(ChunkId(job_state.id, index), progress, revision)
            self.apply_recorded_chunk(job_state, chunk, now)
        self.queue_final_state_if_finished(job_state)
        return job_state

    def _create(self, record: JobRecord, now: float) -> JobState:
        job_state = self.jobs[record.submission.id] = JobState(
            record, waiting_since=now, cancelled_known_at=now
        )
        if record.tasks_per_chunk > self._max_held_per_chunk:
            job_state.max_held_per_chunk = self._max_held_per_chunk
        return job_state

    def remove(self, job_state: JobState) -> None:
        """Remove a job whose final state is durable."""
        job_state.final_state_persisted = True
        for attempt in job_state.attempts.values():
            self._attempts_of_finished_jobs[TaskId(job_state.id, attempt.task)] = attempt
        self.jobs.pop(job_state.id, None)
        self.pending_final_states.pop(job_state.id, None)
        for chunk in job_state.chunks.values():
            self.clear_pending_write(chunk.id)

    def apply_recorded_chunk(self, job_state: JobState, recorded: Chunk, now: float) -> None:
        """Replace a chunk by its record: drop its former attempts and adopt those of the record.

        The actual stage of an adopted attempt is unknown.
        """
        previous = job_state.chunks.get(recorded.index)
        previous_progress = previous.progress if previous is not None else Progress()
        job_state.chunks[recorded.index] = recorded
        job_state.done_count += (
            recorded.progress.done.bit_count() - previous_progress.done.bit_count()
        )
        held = recorded.progress.held
        for task, assignment in previous_progress.held.items():
            if held.get(task) != assignment:
                del job_state.attempts[task]
        for task, (machine, number) in held.items():
            if task not in job_state.attempts:
                self.adopt(job_state, task, machine, number, now)

    # -- attempts and results -------------------------------------------------------------

    def assign(
        self, job_state: JobState, task: int, machine: str, number: int, now: float
    ) -> Attempt:
        """Create an attempt at a pending task on a machine.

        Its start may be sent once the attempt is persisted. Raises ValueError if the task is held
        or done, or if its job is cancelled.
        """
        if task in job_state.attempts or job_state.is_done(task) or job_state.record.cancelled:
            raise ValueError(f"{job_state.id}/{task} can't be assigned: held, done or cancelled")
        chunk = job_state.chunk(task)
        chunk.progress.held[task] = Assignment(machine, number)
        self.pending_start_writes[chunk.id] = chunk
        version = self._add_pending_write(chunk)
        attempt = Attempt(job_state, task, number, machine, version, now)
        job_state.attempts[task] = attempt
        job_state.requeued_tasks.discard(task)
        return attempt

    def adopt(
        self, job_state: JobState, task: int, machine: str, number: int, now: float
    ) -> Attempt:
        """Add an attempt found in a record or a heartbeat; its actual stage is unknown."""
        chunk = job_state.chunk(task)
        version = chunk.version
        if chunk.progress.held.get(task) != (machine, number):
            chunk.progress.held[task] = Assignment(machine, number)
            version = self._add_pending_write(chunk)
        attempt = Attempt(job_state, task, number, machine, version, now, stage=AttemptStage.OPEN)
        job_state.attempts[task] = attempt
        job_state.requeued_tasks.discard(task)
        return attempt

    def drop(self, attempt: Attempt) -> None:
        """Remove an attempt that is proven gone; unless done, its task may be assigned again."""
        job_state = attempt.job_state
        if job_state.attempts.get(attempt.task) is not attempt:
            return
        del job_state.attempts[attempt.task]
        if job_state.final_state_persisted:
            self._attempts_of_finished_jobs.pop(TaskId(job_state.id, attempt.task), None)
            return
        chunk = job_state.chunk(attempt.task)
        chunk.progress.held.pop(attempt.task, None)
        self._add_pending_write(chunk)
        if not job_state.is_done(attempt.task):
            job_state.requeued_tasks.add(attempt.task)
        self.queue_final_state_if_finished(job_state)

    def complete(self, job_state: JobState, task: int) -> None:
        """Mark a task as done.

        The task's attempt stays; the caller drops it if the result came from it. A replica of a
        service is never done, however it ended.
        """
        if job_state.record.submission.is_service or job_state.is_done(task):
            return
        chunk = job_state.chunk(task)
        chunk.progress.done |= 1 << (task % job_state.record.tasks_per_chunk)
        job_state.done_count += 1
        job_state.requeued_tasks.discard(task)
        self._add_pending_write(chunk)
        self.queue_final_state_if_finished(job_state)

    # -- pending writes -------------------------------------------------------------------

    def _add_pending_write(self, chunk: Chunk) -> int:
        """Queue a changed chunk for writing; return its new version."""
        chunk.version += 1
        self.pending_writes[chunk.id] = chunk
        self._notify_write_listeners()
        return chunk.version

    def clear_pending_write(self, chunk_id: ChunkId) -> None:
        """Remove a chunk from the pending writes: its current version needs no write."""
        self.pending_writes.pop(chunk_id, None)
        self.pending_start_writes.pop(chunk_id, None)

    def queue_final_state_if_finished(self, job_state: JobState) -> None:
        """Queue the final state for writing if the job is finished."""
        if job_state.is_finished and not job_state.final_state_persisted:
            self.pending_final_states[job_state.id] = job_state
            self._notify_write_listeners()

    def _notify_write_listeners(self) -> None:
        for listener in self._write_listeners:
            listener()
