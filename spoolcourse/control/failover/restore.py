"""Rebuilds the job queue from the records in the key-value store."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import RecordedProgress
from spoolcourse.control.store.keys import PROGRESS_PREFIX, parse_progress_key
from spoolcourse.control.store.records import Progress, max_tasks_per_chunk

ProgressByJob = dict[str, dict[int, RecordedProgress]]  # by job and chunk index


@dataclass(frozen=True, slots=True)
class RestoredJobs:
    """A restored job queue; each of its attempts may or may not still be on its machine."""

    job_queue: JobQueue
    leftover_keys: list[str]  # progress keys of finished jobs, to be deleted


def empty_job_queue(context: ControllerContext) -> JobQueue:
    """An empty job queue, with chunks sized for the key-value store's limits."""
    return JobQueue(max_tasks_per_chunk(context.params.state.lower_limits.value_kb))


def restore_from_records(context: ControllerContext) -> RestoredJobs:
    """Build the job queue from the records that the watch cache holds."""
    now = context.clock()
    progress_by_job, leftover_keys = _read_progress(context)
    job_queue = empty_job_queue(context)
    for job, record in context.job_index.live.items():
        job_queue.restore(record, now, progress_by_job.get(job, {}))
    return RestoredJobs(job_queue, leftover_keys)


def restore_waiting_times(context: ControllerContext, job_queue: JobQueue) -> None:
    """Count each job's waiting time from the wall-clock time at which it was accepted."""
    now, wall_now = context.clock(), context.wall_clock()
    for job_state in job_queue.jobs.values():
        age_s = max(0.0, wall_now - job_state.record.accepted_at)
        job_state.waiting_since = now - age_s


def _read_progress(context: ControllerContext) -> tuple[ProgressByJob, list[str]]:
    progress_by_job: ProgressByJob = {}
    leftover_keys: list[str] = []
    for entry in context.watch_cache.entries_below(PROGRESS_PREFIX):
        job, chunk = parse_progress_key(entry.key)
        if job not in context.job_index.live:
            leftover_keys.append(entry.key)
            continue
        progress = Progress.from_value(entry.value)
        progress_by_job.setdefault(job, {})[chunk] = RecordedProgress(progress, entry.revision)
    return progress_by_job, leftover_keys
