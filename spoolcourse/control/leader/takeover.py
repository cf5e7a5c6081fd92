"""A new leader's first step: the job queue as the records show it."""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.store.keys import PROGRESS, split_progress
from spoolcourse.control.store.records import Progress

log = logging.getLogger(__name__)

RETRY_S = 0.1

SavedProgress = dict[str, dict[int, tuple[Progress, int]]]  # job, chunk: progress and revision


async def take_over(
    context: ControllerContext, job_queue: JobQueue, registry: WorkerRegistry
) -> list[str]:
    """Fill queue and registry from the records; every attempt in them may be anywhere still.

    Returns the keys of progress that finished jobs have left behind.
    """
    while not await context.watch_cache.sync():
        await asyncio.sleep(RETRY_S)
    now = context.clock()
    saved, leftover_keys = _saved_progress(context)
    for job, record in context.job_index.live.items():
        job_state = job_queue.restore(record, now, saved.get(job, {}))
        age_s = max(0.0, context.wall_clock() - record.at)
        job_state.waiting_since = now - age_s
        for attempt in job_state.attempts.values():
            registry.link(attempt)
    log.info(
        "term %d: took over %d jobs, %d attempts to find",
        registry.fencing_token,
        len(job_queue.jobs),
        sum(len(job_state.attempts) for job_state in job_queue.jobs.values()),
    )
    return leftover_keys


def _saved_progress(context: ControllerContext) -> tuple[SavedProgress, list[str]]:
    saved: SavedProgress = {}
    leftover_keys: list[str] = []
    for entry in context.watch_cache.below(PROGRESS):
        job, chunk = split_progress(entry.key)
        if job not in context.job_index.live:
            leftover_keys.append(entry.key)
            continue
        progress = Progress.from_value(entry.value)
        saved.setdefault(job, {})[chunk] = (progress, entry.revision)
    return saved, leftover_keys
