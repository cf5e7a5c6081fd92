"""Whether two job queues are interchangeable: a shadow's, and one restored from the records."""

from __future__ import annotations

from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.jobs.model import Attempt, Chunk, JobState
from spoolcourse.control.store.records import Assignment

ChunkForm = tuple[int, dict[int, Assignment], int, int, int]
AttemptForm = tuple[int, int, str, int, str]


def differences(one: RestoredJobs, other: RestoredJobs) -> list[str]:
    """What differs between them, in words; empty if either can take the other's place."""
    found: list[str] = []
    jobs, other_jobs = one.job_queue.jobs, other.job_queue.jobs
    for job in sorted(jobs.keys() ^ other_jobs.keys()):
        found.append(f"{job}: only in {'the first' if job in jobs else 'the second'}")
    for job in sorted(jobs.keys() & other_jobs.keys()):
        found += [f"{job}: {what}" for what in _job_differences(jobs[job], other_jobs[job])]
    if set(one.job_queue.pending_final_states) != set(other.job_queue.pending_final_states):
        found.append("the jobs whose final state is to be written")
    if set(one.job_queue.pending_writes) != set(other.job_queue.pending_writes):
        found.append("the chunks that are to be written")
    if set(one.leftover_keys) != set(other.leftover_keys):
        found.append("the progress that finished jobs have left behind")
    return found


def _job_differences(one: JobState, other: JobState) -> list[str]:
    pairs = {
        "record": (one.record, other.record),
        "chunks": (_chunks(one), _chunks(other)),
        "attempts": (_attempts(one), _attempts(other)),
        "tasks done": (one.done, other.done),
        "tasks to be tried again": (one.requeued, other.requeued),
        "first task that was never assigned": (one.first_unassigned, other.first_unassigned),
        "tasks that a chunk may hold": (one.max_held_per_chunk, other.max_held_per_chunk),
    }
    return [name for name, (left, right) in pairs.items() if left != right]


def _chunks(job_state: JobState) -> dict[int, ChunkForm]:
    return {index: _chunk_form(chunk) for index, chunk in job_state.chunks.items()}


def _chunk_form(chunk: Chunk) -> ChunkForm:
    progress = chunk.progress
    return (progress.done, progress.held, chunk.revision, chunk.version, chunk.persisted_version)


def _attempts(job_state: JobState) -> dict[int, AttemptForm]:
    return {task: _attempt_form(attempt) for task, attempt in job_state.attempts.items()}


def _attempt_form(attempt: Attempt) -> AttemptForm:
    return (
        attempt.task,
        attempt.number,
        attempt.machine,
        attempt.chunk_version,
        attempt.stage.value,
    )
