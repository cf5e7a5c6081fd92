"""The index of jobs that every controller keeps, updated from the watch cache."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import Any, NamedTuple

from spoolcourse.control.jobs.cancellations import Cancellations
from spoolcourse.control.store.keys import (
    FINAL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    job_key,
    parse_progress_key,
)
from spoolcourse.control.store.records import FinalState, JobRecord, Progress
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.messages import JobStage, JobStatus
from spoolcourse.wire.peers import Cancellation

FINAL_STATES_MAX = 20_000  # kept in memory; the oldest are evicted


class TaskCounts(NamedTuple):
    """The numbers of tasks of one chunk that are done and held."""

    done: int  # tasks with a result
    held: int  # tasks with an attempt, which may be on a machine


class JobIndex:
    """The live jobs with their numbers of tasks, and the most recent final states."""

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache
        self.live: dict[str, JobRecord] = {}
        self.cancellations = Cancellations()
        self._task_counts: dict[str, dict[int, TaskCounts]] = {}  # by job and chunk
        self._final_states: OrderedDict[str, FinalState] = OrderedDict()
        watch_cache.add_listener(self._apply_change)

    # -- changes --------------------------------------------------------------------------

    def _apply_change(self, key: str, value: Any, revision: int) -> None:
        if key.startswith(JOB_PREFIX):
            self._apply_record(key[len(JOB_PREFIX) :], value, revision)
        elif key.startswith(PROGRESS_PREFIX):
            job, chunk = parse_progress_key(key)
            self._apply_progress(job, chunk, value)
        elif key.startswith(FINAL_PREFIX) and value is not None:
            self.cache_final_state(key[len(FINAL_PREFIX) :], FinalState.from_value(value))

    def _apply_record(self, job: str, value: dict[str, Any] | None, revision: int) -> None:
        if value is None:
            self.live.pop(job, None)
            return
        record = self.live[job] = JobRecord.from_value(value, revision)
        if record.cancelled_at is not None:
            self.cancellations.add(Cancellation(job, record.cancelled_at, revision))

    def _apply_progress(self, job: str, chunk: int, value: dict[str, Any] | None) -> None:
        if value is not None:
            counts = TaskCounts(*Progress.counts_of(value))
            self._task_counts.setdefault(job, {})[chunk] = counts
            return
        chunks = self._task_counts.get(job)
        if chunks is not None:
            chunks.pop(chunk, None)
            if not chunks:
                del self._task_counts[job]

    def apply_cancellation(self, cancellation: Cancellation) -> None:
        """Apply a cancellation from a peer's response, if this controller does not know it yet."""
        record = self.live.get(cancellation.job)
        if record is not None and not record.cancelled:
            cancelled = replace(record, cancelled_at=cancellation.at)
            self._watch_cache.apply(
                job_key(cancellation.job), cancelled.value(), cancellation.revision
            )

    def cache_final_state(self, job: str, final_state: FinalState) -> None:
        """Cache the final state of a job; the oldest ones are evicted."""
        self._final_states[job] = final_state
        self._final_states.move_to_end(job)
        while len(self._final_states) > FINAL_STATES_MAX:
            self._final_states.popitem(last=False)

    # -- queries --------------------------------------------------------------------------

    def known_final_status(self, job: str) -> JobStatus | None:
        """Return the job's final status if this controller knows it, else None.

        A final status never changes, so the caller need not sync the watch cache first.
        """
        record = self.live.get(job)
        if record is not None and record.cancelled:
            return self._status(job, JobStage.CANCELLED)
        final_state = self._final_states.get(job)
        return final_status(job, final_state) if final_state is not None else None

    def known_status(self, job: str) -> JobStatus | None:
        """Return the job's status in the watch cache; None if this controller does not know it."""
        final = self.known_final_status(job)
        if final is not None:
            return final
        if job not in self.live:
            return None
        is_running = any(counts.held for counts in self._task_counts.get(job, {}).values())
        return self._status(job, JobStage.RUNNING if is_running else JobStage.QUEUED)

    def _status(self, job: str, stage: JobStage) -> JobStatus:
        done = held = 0
        for chunk_done, chunk_held in self._task_counts.get(job, {}).values():
            done += chunk_done
            held += chunk_held
        return JobStatus(job, stage, done, held if stage is JobStage.RUNNING else 0)


def final_status(job: str, final_state: FinalState) -> JobStatus:
    """Return the status that users see of a job that has ended."""
    return JobStatus(job, final_state.stage, final_state.done)
