"""Consistent reads of job states: no later answer may contradict an earlier one (PROTOCOL, Rules).

A final state never changes, so it may be answered from memory. Any other state needs a read
barrier: after it, this controller has applied every write confirmed before the request arrived.
A job that is still unknown after the barrier either was final by then or had never been accepted.
A consistent read of the job's final state shows which, before a 404 is returned.
"""

from __future__ import annotations

from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.jobs.job_records import JobRecords
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.messages import JobStatus

READ_BARRIER_TIMEOUT_S = 1.2  # then a peer is asked; a poll times out after 2 s
RETRY_AFTER_S = 1.0


class CannotAnswerError(Exception):
    """This controller can't give a certain answer at present; the message says why.

    `retry_after_s`: the delay before the user should retry.
    """

    def __init__(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class JobStates:
    """Reads job states consistently."""

    def __init__(
        self, job_index: JobIndex, job_records: JobRecords, watch_cache: WatchCache
    ) -> None:
        self._job_index = job_index
        self._job_records = job_records
        self._watch_cache = watch_cache

    async def pass_read_barrier(self) -> None:
        """Wait until every write confirmed so far has been applied.

        Raises:
            CannotAnswerError: The key-value store does not respond in time.
        """
        if not await self._watch_cache.read_barrier(READ_BARRIER_TIMEOUT_S):
            raise CannotAnswerError("read barrier timed out")

    async def read(self, job: str) -> JobStatus | None:
        """The job's current state; None if the job was never accepted.

        Raises:
            CannotAnswerError: The key-value store does not respond in time.
            StoreUnavailableError: The final state can't be read.
        """
        final = self._job_index.known_final_status(job)
        if final is not None:
            return final
        await self.pass_read_barrier()
        status = self._job_index.known_status(job)
        return status or await self._job_records.read_final_status(job)

    def is_known(self, job: str) -> bool:
        """Whether the job is in this controller's index; a job that is not may still exist."""
        return job in self._job_index.live or self._job_index.known_final_status(job) is not None
