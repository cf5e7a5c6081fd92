"""Compares a shadow's job queue with one restored from the records."""

from __future__ import annotations

from typing import NamedTuple

from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.jobs.model import Attempt, AttemptStage, Chunk, JobState
from spoolcourse.control.store.records import Assignment


class ComparedChunk(NamedTuple):
    """The fields of a chunk of tasks that must match."""

    done: int  # bit set of tasks
    held: dict[int, Assignment]  # by task
    revision: int
    version: int
    persisted_version: int


class ComparedAttempt(NamedTuple):
    """The fields of an attempt that must match."""

    task: int
    number: int
    machine: str
    version: int
    stage: AttemptStage


def list_differences(left: RestoredJobs, right: RestoredJobs) -> list[str]:
    """Describe the differences; empty if the queues are interchangeable."""
    differences: list[str] = []
    left_jobs, right_jobs = left.job_queue.jobs, right.job_queue.jobs
    differences += [
        f"{job}: only in {'the first' if job in left_jobs else 'the second'}"
        for job in sorted(left_jobs.keys() ^ right_jobs.keys())
    ]
    for job in sorted(left_jobs.keys() & right_jobs.keys()):
        fields = _list_job_differences(left_jobs[job], right_jobs[job])
        differences += [f"{job}: {field}" for field in fields]
    if set(left.job_queue.pending_final_states) != set(right.job_queue.pending_final_states):
        differences.append("jobs with a pending final state")
    if set(left.job_queue.pending_writes) != set(right.job_queue.pending_writes):
        differences.append("chunks with pending writes")
    if set(left.leftover_keys) != set(right.leftover_keys):
        differences.append("leftover progress of finished jobs")
    return differences


def _list_job_differences(left: JobState, right: JobState) -> list[str]:
    pairs = {
        "record": (left.record, right.record),
        "chunks": (_chunks(left), _chunks(right)),
        "attempts": (_attempts(left), _attempts(right)),
        "tasks done": (left.done_count, right.done_count),
        "requeued tasks": (left.requeued_tasks, right.requeued_tasks),
        "first unassigned task": (left.first_unassigned, right.first_unassigned),
        "most held tasks per chunk": (left.max_held_per_chunk, right.max_held_per_chunk),
    }
    return [
        field for field, (left_value, right_value) in pairs.items() if left_value != right_value
    ]


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
