"""Every controller's index of the jobs, from the watch cache, and the writes of the user API."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import Any

import orjson

from spoolcourse.control.jobs.cancellations import Cancellations
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import OutcomeUnknownError
from spoolcourse.control.store.keys import (
    FINAL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    final_key,
    job_key,
    parse_progress_key,
)
from spoolcourse.control.store.records import FinalState, JobRecord, Progress, chunk_tasks
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import JobStage, JobStatus, Submission
from spoolcourse.wire.peers import Cancellation

FINALS_MAX = 20_000
CANCELLATION_BYTES = 64  # what a cancellation adds to a record


class RecordTooLargeError(Exception):
    """The job's record fits into no value of the key-value store."""


class JobIndex:
    """Live jobs, and the most recent final states."""

    def __init__(self, client: StoreClient, watch_cache: WatchCache) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self.live: dict[str, JobRecord] = {}
        self.counts: dict[str, dict[int, tuple[int, int]]] = {}  # per chunk: done, held
        self.cancellations = Cancellations()
        self._finals: OrderedDict[str, FinalState] = OrderedDict()
        watch_cache.add_listener(self._on_change)

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if key.startswith(JOB_PREFIX):
            job = key[len(JOB_PREFIX) :]
            if value is None:
                self.live.pop(job, None)
            else:
                record = self.live[job] = JobRecord.from_value(value, revision)
                if record.cancelled_at is not None:
                    self.cancellations.note(Cancellation(job, record.cancelled_at, revision))
        elif key.startswith(PROGRESS_PREFIX):
            job, chunk = parse_progress_key(key)
            if value is None:
                chunks = self.counts.get(job)
                if chunks is not None:
                    chunks.pop(chunk, None)
                    if not chunks:
                        del self.counts[job]
            else:
                self.counts.setdefault(job, {})[chunk] = Progress.counts_of(value)
        elif key.startswith(FINAL_PREFIX) and value is not None:
            self.remember_final(key[len(FINAL_PREFIX) :], FinalState.from_value(value))

    def remember_final(self, job: str, final: FinalState) -> None:
        """Remember how a job ended; the oldest are forgotten here."""
        self._finals[job] = final
        self._finals.move_to_end(job)
        while len(self._finals) > FINALS_MAX:
            self._finals.popitem(last=False)

    def final(self, job: str) -> JobStatus | None:
        """A final state known here: final states never change."""
        record = self.live.get(job)
        if record is not None and record.cancelled:
            return self._status(job, JobStage.CANCELLED)
        final = self._finals.get(job)
        return JobStatus(job, final.stage, final.done) if final is not None else None

    def _status(self, job: str, stage: JobStage) -> JobStatus:
        done = held = 0
        for chunk_done, chunk_held in self.counts.get(job, {}).values():
            done += chunk_done
            held += chunk_held
        return JobStatus(job, stage, done, held if stage is JobStage.RUNNING else 0)

    def current(self, job: str) -> JobStatus | None:
        """The state as of the last sync; None if this controller knows nothing of the job."""
        final = self.final(job)
        if final is not None:
            return final
        if job not in self.live:
            return None
        busy = any(held for _, held in self.counts.get(job, {}).values())
        return self._status(job, JobStage.RUNNING if busy else JobStage.QUEUED)

    async def read_final_state(self, job: str) -> JobStatus | None:
        """A consistent answer about a job that the synced cache does not hold live.

        The sync comes first, then this read: a job that was final by the sync is found
        here, and one that was not has never been accepted by then.
        """
        entry = await self._client.get(final_key(job))
        if entry is None:
            return None
        final = FinalState.from_value(entry.value)
        self.remember_final(job, final)
        return JobStatus(job, final.stage, final.done)

    async def accept(self, submission: Submission, at: float) -> bool:
        """Write a new job; False if the id is known already.

        Raises if it is not known whether the write was carried out.
        """
        record = JobRecord(submission, at, chunk_tasks(self._client.limits.value_kb), None, 0)
        key = job_key(submission.id)
        value = record.value()
        if len(orjson.dumps(value)) > self._client.limits.value_kb * 1024 - CANCELLATION_BYTES:
            raise RecordTooLargeError("the job is too long to be stored")
        return await self._write(key, value, {key: 0, final_key(submission.id): 0})

    def learn_cancelled(self, found: Cancellation) -> None:
        """Take over a peer's word for a cancellation that is in the key-value store."""
        record = self.live.get(found.job)
        if record is not None and not record.cancelled:
            cancelled = replace(record, cancelled_at=found.at)
            self._watch_cache.apply(job_key(found.job), cancelled.value(), found.revision)

    async def cancel(self, job: str, at: float) -> bool:
        """Mark a live job aborted; False if it changed meanwhile (look again).

        Conditional on the record's revision, like the leader's `done`: one of them wins.
        """
        record = self.live[job]
        if record.cancelled:
            return True
        cancelled = replace(record, cancelled_at=at)
        key = job_key(job)
        return await self._write(key, cancelled.value(), {key: record.revision})

    async def _write(self, key: str, value: dict[str, Any], conditions: dict[str, int]) -> bool:
        """Write a record; where the answer is unclear, read back whether it is there."""
        try:
            outcome = await self._client.compare_and_swap(conditions, [Put(key, value)])
        except OutcomeUnknownError:
            entry = await self._client.get(key)
            if entry is None or entry.value != value:
                raise
            self._watch_cache.apply(key, entry.value, entry.revision)
            return True
        if outcome.succeeded:
            self._watch_cache.apply(key, value, outcome.store_revision)
        return outcome.succeeded
