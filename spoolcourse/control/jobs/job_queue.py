"""The leader's working state of jobs: what is pending, held or done, and what is saved.

Progress is changed in memory first; the writer saves it. Whatever must not be said or
sent before it is durable asks `saved` first.
"""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.jobs.model import (
    UNBOUNDED,
    Attempt,
    AttemptStage,
    Chunk,
    JobState,
)
from spoolcourse.control.store.records import JobRecord, Progress


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
