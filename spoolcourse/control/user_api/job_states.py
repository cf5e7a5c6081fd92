"""A job's state for certain: what a user is told must stay true (PROTOCOL, Rules).

A final state never changes, so it may be answered from memory. Any other state is answered only
after a read barrier: then this controller knows every write that was confirmed before the request
came. That a job is unknown (404) takes a consistent read of its final state besides, after the
barrier: a job that was final by then is read there, and any other was never accepted before.
"""

from __future__ import annotations

from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.jobs.job_records import JobRecords
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.messages import JobStatus

READ_BARRIER_S = 1.2  # a poll waits 2 s, and then a peer is asked
RETRY_AFTER_S = 1.0


class CannotAnswerError(Exception):
    """This controller can't answer for certain just now; the message says why.

    `retry_after_s`: when the user's next try is worth it.
    """

    def __init__(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class JobStates:
    """Reads jobs' states."""

    def __init__(
        self, job_index: JobIndex, job_records: JobRecords, watch_cache: WatchCache
    ) -> None:
        self._job_index = job_index
        self._job_records = job_records
        self._watch_cache = watch_cache

    async def pass_read_barrier(self) -> None:
        """Catch up with every write that has been confirmed so far.

        Raises:
            CannotAnswerError: The key-value store does not answer in time.
        """
        if not await self._watch_cache.read_barrier(READ_BARRIER_S):
            raise CannotAnswerError("no sync")

    async def read(self, job: str) -> JobStatus | None:
        """The job's current state for certain; None if it was never accepted.

        Raises:
            CannotAnswerError: The key-value store does not answer in time.
            StoreUnavailableError: The final state can't be read.
        """
        final = self._job_index.known_final_status(job)
        if final is not None:
            return final
        await self.pass_read_barrier()
        status = self._job_index.known_status(job)
        return status or await self._job_records.read_final_status(job)

    def is_known(self, job: str) -> bool:
        """Whether this controller remembers the job; if not, it may exist nevertheless."""
        return job in self._job_index.live or self._job_index.known_final_status(job) is not None
