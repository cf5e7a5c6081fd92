"""A job queue that is kept in line with the records change by change.

It is what a restore from the records would make at any moment: the same jobs, progress and
attempts. A change costs no more than the chunk of tasks that it names, however large fleet and
backlog are.
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


class MisfitError(Exception):
    """A change that can't follow on what is known: something before it was missed."""


@dataclass(slots=True)
class TeamUsage:
    """What a team's attempts hold, wherever they are."""

    cpus: float = 0.0
    gpus: float = 0.0


class Shadow:
    """Jobs, progress, attempts and what teams use, as the changes taken in so far show them."""

    def __init__(self, context: ControllerContext) -> None:
        self._clock = context.clock
        self._job_queue = empty_job_queue(context)
        # Progress whose job is not live: left behind by a finished job, or read ahead of its job.
        self._unattached: defaultdict[str, dict[int, Chunk]] = defaultdict(dict)
        self._term = 0
        self.attempts = 0
        self.team_usage: defaultdict[str, TeamUsage] = defaultdict(TeamUsage)

    @property
    def jobs(self) -> int:
        """How many jobs are live."""
        return len(self._job_queue.jobs)

    def rebuild(self, entries: Iterable[Entry]) -> None:
        """Take in all records again; this shadow must be an empty one."""
        for entry in entries:
            self.apply(entry.key, entry.value, entry.revision)

    def apply(self, key: str, value: Any, revision: int) -> None:
        """Take in one change; `value` is None where the key was deleted."""
        if key.startswith(JOB_PREFIX):
            self._apply_job(key[len(JOB_PREFIX) :], value, revision)
        elif key.startswith(PROGRESS_PREFIX):
            job, index = parse_progress_key(key)
            self._apply_progress(job, index, value, revision)
        elif key == TERM_KEY:
            self._apply_term(value)

    def hand_over(self) -> RestoredJobs:
        """Give the job queue away as of now; this shadow must not be used any more."""
        now = self._clock()
        for job_state in self._job_queue.jobs.values():
            job_state.cancelled_known_at = now
            for attempt in job_state.attempts.values():
                attempt.since = now
        leftover_keys = [
            progress_key(job, index) for job, chunks in self._unattached.items() for index in chunks
        ]
        return RestoredJobs(self._job_queue, leftover_keys)

    # -- changes --------------------------------------------------------------------------

    def _apply_term(self, value: dict[str, Any] | None) -> None:
        number = TermRecord.number_of(value)
        if number < self._term:
            raise MisfitError(f"term {number} after term {self._term}")
        self._term = number

    def _apply_job(self, job: str, value: dict[str, Any] | None, revision: int) -> None:
        job_state = self._job_queue.jobs.get(job)
        if value is None:
            if job_state is not None:
                self._remove(job_state)
            return
        record = JobRecord.from_value(value, revision)
        if job_state is not None:
            _check_same_job(job_state.record, record)
            job_state.record = record
            self._note_finished(job_state)
            return
        job_state = self._job_queue.restore(record, self._clock(), {})
        for chunk in self._unattached.pop(job, {}).values():
            self._take_chunk(job_state, chunk)

    def _remove(self, job_state: JobState) -> None:
        self._count(job_state, -len(job_state.attempts))
        del self._job_queue.jobs[job_state.id]
        self._job_queue.pending_final_states.pop(job_state.id, None)
        if job_state.chunks:
            self._unattached[job_state.id] = job_state.chunks

    def _apply_progress(
        self, job: str, index: int, value: dict[str, Any] | None, revision: int
    ) -> None:
        job_state = self._job_queue.jobs.get(job)
        if value is None:
            if job_state is None:
                self._forget_unattached(job, index)
            else:
                self._take_chunk(job_state, Chunk(ChunkId(job, index)))
                del job_state.chunks[index]
            return
        chunk = Chunk(ChunkId(job, index), Progress.from_value(value), revision)
        if job_state is None:
            self._unattached[job][index] = chunk
        else:
            _check_progress(job_state, chunk)
            self._take_chunk(job_state, chunk)

    def _forget_unattached(self, job: str, index: int) -> None:
        chunks = self._unattached[job]
        chunks.pop(index, None)
        if not chunks:
            del self._unattached[job]

    def _take_chunk(self, job_state: JobState, chunk: Chunk) -> None:
        before = len(job_state.attempts)
        self._job_queue.apply_recorded_chunk(job_state, chunk, self._clock())
        self._count(job_state, len(job_state.attempts) - before)
        self._note_finished(job_state)

    def _note_finished(self, job_state: JobState) -> None:
        if job_state.finished:
            self._job_queue.queue_final_state_if_finished(job_state)
        else:
            self._job_queue.pending_final_states.pop(job_state.id, None)

    def _count(self, job_state: JobState, attempts: int) -> None:
        submission = job_state.record.submission
        usage = self.team_usage[submission.team]
        usage.cpus += attempts * submission.cpus
        usage.gpus += attempts * submission.gpus
        self.attempts += attempts


def _check_same_job(known: JobRecord, found: JobRecord) -> None:
    if (known.submission, known.accepted_at, known.tasks_per_chunk) != (
        found.submission,
        found.accepted_at,
        found.tasks_per_chunk,
    ):
        raise MisfitError(f"{known.submission.id} is another job than before")
    if known.cancelled and not found.cancelled:
        raise MisfitError(f"{known.submission.id} was cancelled, and is not any more")


def _check_progress(job_state: JobState, chunk: Chunk) -> None:
    """Results never vanish, and every task belongs to its chunk."""
    record = job_state.record
    name = progress_key(job_state.id, chunk.index)
    first = chunk.index * record.tasks_per_chunk
    tasks = min(record.tasks_per_chunk, record.submission.task_count - first)
    if not 0 <= chunk.index < record.chunk_count or chunk.progress.done >> tasks:
        raise MisfitError(f"{name} is beyond the job's tasks")
    if any(not first <= task < first + tasks for task in chunk.progress.held):
        raise MisfitError(f"{name} holds a task of another chunk")
    known = job_state.chunks.get(chunk.index)
    if known is not None and known.progress.done & ~chunk.progress.done:
        raise MisfitError(f"{name} has lost results")
