"""The shadow: a follower's copy of the job queue, updated with each change of the records.

The copy always equals what a restore from the records would build: the same jobs, progress and
attempts. The cost of applying a change is bounded by the size of one chunk of tasks, whatever the
size of the fleet and the backlog.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.restore import RestoredJobs, empty_job_queue
from spoolcourse.control.jobs.model import Chunk, JobState
from spoolcourse.control.store.keys import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    TERM_KEY,
    parse_progress_key,
    progress_key,
)
from spoolcourse.control.store.records import JobRecord, Progress, TermRecord
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.key_value_store import Entry


class InconsistentChangeError(Exception):
    """A change contradicts the shadow: an earlier change was missed."""

    def __init__(self, subject: str, problem: str) -> None:
        super().__init__(f"{subject} {problem}")
        self.subject = subject  # the changed job, progress key or term
        self.problem = problem


@dataclass(slots=True)
class TeamUsage:
    """Resources that a team's attempts use on all machines."""

    cpus: float = 0.0
    gpus: float = 0.0


class ShadowJobQueue:
    """The shadow's jobs, progress, attempts and usage by team, from the changes applied so far."""

    def __init__(self, context: ControllerContext) -> None:
        self._clock = context.clock
        self._job_queue = empty_job_queue(context)
        # Progress without a live job: left over from a finished job, or read before its job.
        self._orphaned_chunks: defaultdict[str, dict[int, Chunk]] = defaultdict(dict)
        self._term = 0  # the latest term in the records
        self.attempt_count = 0
        self.team_usage: defaultdict[str, TeamUsage] = defaultdict(TeamUsage)

    @property
    def job_count(self) -> int:
        """The number of live jobs."""
        return len(self._job_queue.jobs)

    def load(self, entries: Iterable[Entry]) -> None:
        """Apply all records to an empty queue; raises as `apply` does."""
        for entry in entries:
            self.apply(entry.key, entry.value, entry.revision)

    def apply(self, key: str, value: Any, revision: int) -> None:
        """Apply one change; `value` is None where the key was deleted.

        Raises `InconsistentChangeError`, or `ValueError`, `KeyError` or `TypeError` for a record
        that can't be read; the queue must not be used after any of them.
        """
        if key.startswith(JOB_PREFIX):
            self._apply_job(key[len(JOB_PREFIX) :], value, revision)
        elif key.startswith(PROGRESS_PREFIX):
            job, index = parse_progress_key(key)
            self._apply_progress(job, index, value, revision)
        elif key == TERM_KEY:
            self._apply_term(value)

    def as_restored(self) -> RestoredJobs:
        """The job queue as a restore would build it now; ages of attempts count from this call.

        The queue is not copied: after a leader modifies it, apply no further changes here.
        """
        now = self._clock()
        for job_state in self._job_queue.jobs.values():
            job_state.cancelled_known_at = now
            for attempt in job_state.attempts.values():
                attempt.stage_since = now
        leftover_keys = [
            progress_key(job, index)
            for job, chunks in self._orphaned_chunks.items()
            for index in chunks
        ]
        return RestoredJobs(self._job_queue, leftover_keys)

    # -- changes --------------------------------------------------------------------------

    def _apply_term(self, value: dict[str, Any] | None) -> None:
        number = TermRecord.number_of(value)
        if number < self._term:
            raise InconsistentChangeError(f"term {number}", f"after term {self._term}")
        self._term = number

    def _apply_job(self, job: str, value: dict[str, Any] | None, revision: int) -> None:
        job_state = self._job_queue.jobs.get(job)
        if value is None:
            if job_state is not None:
                self._remove_job(job_state)
            return
        record = JobRecord.from_value(value, revision)
        if job_state is not None:
            _check_same_job(job_state.record, record)
            job_state.record = record
            self._update_pending_final_state(job_state)
            return
        job_state = self._job_queue.restore(record, self._clock(), {})
        for chunk in self._orphaned_chunks.pop(job, {}).values():
            self._replace_chunk(job_state, chunk)

    def _remove_job(self, job_state: JobState) -> None:
        self._add_to_usage(job_state, -len(job_state.attempts))
        del self._job_queue.jobs[job_state.id]
        self._job_queue.pending_final_states.pop(job_state.id, None)
        if job_state.chunks:
            self._orphaned_chunks[job_state.id] = job_state.chunks

    def _apply_progress(
        self, job: str, index: int, value: dict[str, Any] | None, revision: int
    ) -> None:
        job_state = self._job_queue.jobs.get(job)
        if value is None:
            if job_state is None:
                self._remove_orphaned_chunk(job, index)
            else:
                self._replace_chunk(job_state, Chunk(ChunkId(job, index)))
                del job_state.chunks[index]
            return
        chunk = Chunk(ChunkId(job, index), Progress.from_value(value), revision)
        if job_state is None:
            self._orphaned_chunks[job][index] = chunk
        else:
            _check_progress(job_state, chunk)
            self._replace_chunk(job_state, chunk)

    def _remove_orphaned_chunk(self, job: str, index: int) -> None:
        chunks = self._orphaned_chunks[job]
        chunks.pop(index, None)
        if not chunks:
            del self._orphaned_chunks[job]

    def _replace_chunk(self, job_state: JobState, chunk: Chunk) -> None:
        attempts_before = len(job_state.attempts)
        self._job_queue.apply_recorded_chunk(job_state, chunk, self._clock())
        self._add_to_usage(job_state, len(job_state.attempts) - attempts_before)
        self._update_pending_final_state(job_state)

    def _update_pending_final_state(self, job_state: JobState) -> None:
        if job_state.is_finished:
            self._job_queue.queue_final_state_if_finished(job_state)
        else:
            self._job_queue.pending_final_states.pop(job_state.id, None)

    def _add_to_usage(self, job_state: JobState, added_attempts: int) -> None:
        submission = job_state.record.submission
        usage = self.team_usage[submission.team]
        usage.cpus += added_attempts * submission.cpus
        usage.gpus += added_attempts * submission.gpus
        self.attempt_count += added_attempts


def _check_same_job(known: JobRecord, changed: JobRecord) -> None:
    """Raise `InconsistentChangeError` for a changed submission or an undone cancellation."""
    job = known.submission.id
    known_identity = (known.submission, known.accepted_at, known.tasks_per_chunk)
    if known_identity != (changed.submission, changed.accepted_at, changed.tasks_per_chunk):
        raise InconsistentChangeError(job, "is another job than before")
    if known.cancelled and not changed.cancelled:
        raise InconsistentChangeError(job, "was cancelled, and is not any more")


def _check_progress(job_state: JobState, chunk: Chunk) -> None:
    """Raise `InconsistentChangeError` if the chunk's record contradicts the job or the shadow.

    The chunk or a bit of `done` is outside the job's tasks, an attempt in `held` is at a task of
    another chunk, or a task that was done is not done any more.
    """
    record = job_state.record
    key = progress_key(job_state.id, chunk.index)
    first_task = chunk.index * record.tasks_per_chunk
    task_count = min(record.tasks_per_chunk, record.submission.task_count - first_task)
    if not 0 <= chunk.index < record.chunk_count or chunk.progress.done >> task_count:
        raise InconsistentChangeError(key, "is beyond the job's tasks")
    if any(not first_task <= task < first_task + task_count for task in chunk.progress.held):
        raise InconsistentChangeError(key, "holds a task of another chunk")
    known = job_state.chunks.get(chunk.index)
    if known is not None and known.progress.done & ~chunk.progress.done:
        raise InconsistentChangeError(key, "has lost results")
