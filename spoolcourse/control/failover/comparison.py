"""Compares a shadow's job queue with one restored from the records in the key-value store."""

from __future__ import annotations

from typing import NamedTuple

from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.jobs.model import Attempt, AttemptStage, Chunk, JobState
from spoolcourse.control.store.records import Assignment


class ComparedChunk(NamedTuple):
    """The fields of a chunk that must match; see `Chunk` and `Progress`."""

    done: int  # bit set of the tasks with a result
    held: dict[int, Assignment]  # by task: the machine and number of its attempt
    revision: int
    version: int
    persisted_version: int


class ComparedAttempt(NamedTuple):
    """The fields of an attempt that must match; see `Attempt`."""

    task: int
    number: int
    machine: str
    version: int  # `Attempt.chunk_version`
    stage: AttemptStage


def list_differences(first: RestoredJobs, second: RestoredJobs) -> list[str]:
    """Describe the differences; empty if the queues are interchangeable."""
    differences: list[str] = []
    first_jobs, second_jobs = first.job_queue.jobs, second.job_queue.jobs
    differences += [
        f"{job}: only in {'the first' if job in first_jobs else 'the second'}"
        for job in sorted(first_jobs.keys() ^ second_jobs.keys())
    ]
    for job in sorted(first_jobs.keys() & second_jobs.keys()):
        fields = _list_job_differences(first_jobs[job], second_jobs[job])
        differences += [f"{job}: {field}" for field in fields]
    if set(first.job_queue.pending_final_states) != set(second.job_queue.pending_final_states):
        differences.append("jobs with a pending final state")
    if set(first.job_queue.pending_writes) != set(second.job_queue.pending_writes):
        differences.append("chunks with pending writes")
    if set(first.leftover_keys) != set(second.leftover_keys):
        differences.append("leftover progress of finished jobs")
    return differences


def _list_job_differences(first: JobState, second: JobState) -> list[str]:
    pairs = {
        "record": (first.record, second.record),
        "chunks": (_chunks(first), _chunks(second)),
        "attempts": (_attempts(first), _attempts(second)),
        "tasks done": (first.done_count, second.done_count),
        "requeued tasks": (first.requeued_tasks, second.requeued_tasks),
        "first unassigned task": (first.first_unassigned, second.first_unassigned),
        "most held tasks per chunk": (first.max_held_per_chunk, second.max_held_per_chunk),
    }
    return [
        field for field, (first_value, second_value) in pairs.items() if first_value != second_value
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
