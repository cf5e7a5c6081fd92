"""Reads and writes of jobs in the key-value store on behalf of users."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson

from spoolcourse.control.jobs.job_index import JobIndex, final_status
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import OutcomeUnknownError
from spoolcourse.control.store.keys import final_key, job_key
from spoolcourse.control.store.records import FinalState, JobRecord, max_tasks_per_chunk
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import JobStatus, Submission

CANCELLATION_BYTES = 64  # kept free in a record for its cancellation


class RecordTooLargeError(Exception):
    """A job's record exceeds the value size of the key-value store.

    Attributes:
        job: The job's id.
        record_bytes: The record's size.
        max_bytes: The largest size that is accepted.
    """

    def __init__(self, job: str, record_bytes: int, max_bytes: int) -> None:
        super().__init__("the job is too long to be stored")  # shown to users
        self.job = job
        self.record_bytes = record_bytes
        self.max_bytes = max_bytes


class JobRecords:
    """Accepts and cancels jobs, and reads their final states.

    Every method raises RequestRefusedError if the key-value store has certainly not carried out
    the request, and OutcomeUnknownError if that is not known.
    """

    def __init__(self, client: StoreClient, watch_cache: WatchCache, job_index: JobIndex) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._job_index = job_index

    async def read_final_status(self, job: str) -> JobStatus | None:
        """Read the final status of a job from the key-value store; None if there is none.

        The caller first syncs the watch cache, and calls this if the cache does not show the job as
        live. A job that had ended by the sync is then found here; one that is not found had not
        been accepted by the sync (docs/design.md, "Rules", `forgotten`, `invented`).
        """
        entry = await self._client.get(final_key(job))
        if entry is None:
            return None
        final_state = FinalState.from_value(entry.value)
        self._job_index.cache_final_state(job, final_state)
        return final_status(job, final_state)

    async def accept(self, submission: Submission, accepted_at: float) -> bool:
        """Write the record of a new job; return False if a job with its id already exists.

        `accepted_at` is wall-clock time in seconds since the epoch.

        Also raises RecordTooLargeError.
        """
        limit_kb = self._client.limits.value_kb
        record = JobRecord(submission, accepted_at, max_tasks_per_chunk(limit_kb), None, 0)
        key = job_key(submission.id)
        value = record.value()
        record_bytes, max_bytes = len(orjson.dumps(value)), limit_kb * 1024 - CANCELLATION_BYTES
        if record_bytes > max_bytes:
            raise RecordTooLargeError(submission.id, record_bytes, int(max_bytes))
        return await self._put(key, value, {key: 0, final_key(submission.id): 0})

    async def cancel(self, job: str, cancelled_at: float) -> bool:
        """Mark the record of a live job as cancelled; `cancelled_at` is wall-clock time.

        Returns False if the record has changed meanwhile: the caller reads it again. The
        cancellation and the leader's write of the final state both require the same revision of the
        record, so only one of them succeeds (docs/design.md, "Rules", `ran_cancelled`).
        """
        record = self._job_index.live[job]
        if record.cancelled:
            return True
        cancelled = replace(record, cancelled_at=cancelled_at)
        key = job_key(job)
        return await self._put(key, cancelled.value(), {key: record.revision})

    async def _put(
        self, key: str, value: dict[str, Any], expected_revisions: dict[str, int]
    ) -> bool:
        """Write a record if the keys have the expected revisions; return whether it was written.

        If the outcome is unknown, the record is read back.
        """
        try:
            outcome = await self._client.compare_and_swap(expected_revisions, [Put(key, value)])
        except OutcomeUnknownError:
            entry = await self._client.get(key)
            if entry is None or entry.value != value:
                raise
            self._watch_cache.apply(key, entry.value, entry.revision)
            return True
        if outcome.succeeded:
            self._watch_cache.apply(key, value, outcome.store_revision)
        return outcome.succeeded
