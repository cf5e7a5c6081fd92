"""Compares job queues: a shadow's, and one restored from the records."""

from __future__ import annotations

from typing import NamedTuple

from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.jobs.model import Attempt, AttemptStage, Chunk, JobState
from spoolcourse.control.store.records import Assignment


class ComparedChunk(NamedTuple):
    """What must be equal of a chunk of tasks."""

    done: int  # bits
    held: dict[int, Assignment]  # by task
    revision: int
    version: int
    saved: int


class ComparedAttempt(NamedTuple):
    """What must be equal of an attempt."""

    task: int
    number: int
    machine: str
    version: int
    stage: AttemptStage


def list_differences(left: RestoredJobs, right: RestoredJobs) -> list[str]:
    """What differs, in words; empty if either can be used in place of the other."""
    differences: list[str] = []
    left_jobs, right_jobs = left.job_queue.jobs, right.job_queue.jobs
    differences += [
        f"{job}: only in {'the first' if job in left_jobs else 'the second'}"
        for job in sorted(left_jobs.keys() ^ right_jobs.keys())
    ]
    for job in sorted(left_jobs.keys() & right_jobs.keys()):
        names = _list_job_differences(left_jobs[job], right_jobs[job])
        differences += [f"{job}: {name}" for name in names]
    if set(left.job_queue.pending_final_states) != set(right.job_queue.pending_final_states):
        differences.append("the jobs whose final state is to be written")
    if set(left.job_queue.pending_writes) != set(right.job_queue.pending_writes):
        differences.append("the chunks that are to be written")
    if set(left.leftover_keys) != set(right.leftover_keys):
        differences.append("the progress that finished jobs have left behind")
    return differences


def _list_job_differences(left: JobState, right: JobState) -> list[str]:
    pairs = {
        "record": (left.record, right.record),
        "chunks": (_chunks(left), _chunks(right)),
        "attempts": (_attempts(left), _attempts(right)),
        "tasks done": (left.done_count, right.done_count),
        "tasks to be tried again": (left.requeued, right.requeued),
        "first task that was never assigned": (left.first_unassigned, right.first_unassigned),
        "tasks that a chunk may hold": (left.max_held_per_chunk, right.max_held_per_chunk),
    }
    return [name for name, (one, other) in pairs.items() if one != other]


def _chunks(job_state: JobState) -> dict[int, ComparedChunk]:
    return {index: _compared_chunk(chunk) for index, chunk in job_state.chunks.items()}


def _compared_chunk(chunk: Chunk) -> ComparedChunk:
    progress = chunk.progress
    return ComparedChunk(
        progress.done, progress.held, chunk.revision, chunk.version, chunk.persisted_version
    )


def _attempts(job_state: JobState) -> dict[int, ComparedAttempt]:
    return {task: _compared_attempt(attempt) for task, attempt in job_state.attempts.items()}


def _compared_attempt(attempt: Attempt) -> ComparedAttempt:
    return ComparedAttempt(
        attempt.task, attempt.number, attempt.machine, attempt.chunk_version, attempt.stage
    )
