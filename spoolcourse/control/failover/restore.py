"""The job queue as the records show it."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.store.keys import PROGRESS_PREFIX, parse_progress_key
from spoolcourse.control.store.records import Progress, chunk_tasks

SavedProgress = dict[str, dict[int, tuple[Progress, int]]]  # job, chunk: progress and revision


@dataclass(frozen=True, slots=True)
class RestoredJobs:
    """A job queue in which every attempt may be anywhere still."""

    job_queue: JobQueue
    leftover_keys: list[str]  # of progress that finished jobs have left behind


def empty_job_queue(context: ControllerContext) -> JobQueue:
    """A job queue for the limits of the deployment's key-value store."""
    return JobQueue(chunk_tasks(context.params.state.least.value_kb))


def restore_from_records(context: ControllerContext) -> RestoredJobs:
    """Build the job queue from the records that the watch cache holds."""
    now = context.clock()
    saved, leftover_keys = _saved_progress(context)
    job_queue = empty_job_queue(context)
    for job, record in context.job_index.live.items():
        job_queue.restore(record, now, saved.get(job, {}))
    return RestoredJobs(job_queue, leftover_keys)


def note_waiting_times(context: ControllerContext, job_queue: JobQueue) -> None:
    """Have every job wait since it was accepted, by the time of day in its record."""
    now, wall_now = context.clock(), context.wall_clock()
    for job_state in job_queue.jobs.values():
        age_s = max(0.0, wall_now - job_state.record.accepted_at)
        job_state.waiting_since = now - age_s


def _saved_progress(context: ControllerContext) -> tuple[SavedProgress, list[str]]:
    saved: SavedProgress = {}
    leftover_keys: list[str] = []
    for entry in context.watch_cache.entries_below(PROGRESS_PREFIX):
        job, chunk = parse_progress_key(entry.key)
        if job not in context.job_index.live:
            leftover_keys.append(entry.key)
            continue
        progress = Progress.from_value(entry.value)
        saved.setdefault(job, {})[chunk] = (progress, entry.revision)
    return saved, leftover_keys
