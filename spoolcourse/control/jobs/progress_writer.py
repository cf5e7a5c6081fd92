"""Persists the progress of jobs in batches of changed chunks, and the final states of jobs.

Every write of progress or of a final state is conditional on the revisions of the term, of the
job's record and of the key itself. So no late write, of a deposed leader or of this one, overwrites
a newer write, and no assignment becomes durable for a job that was cancelled before
(docs/design.md, "Rules": `ran_twice`, `ran_cancelled`).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from spoolcourse.control.async_utils import wait_for_event
from spoolcourse.control.jobs.chunk_batch import BatchLimits, ChunkBatch, select_batch
from spoolcourse.control.jobs.final_state import FinalStateWrite, prepare_final_state
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Chunk, JobState
from spoolcourse.control.jobs.term_transactions import TermTransactions
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.key_value_store import Delete

log = logging.getLogger(__name__)

BUDGET_POLL_PERIOD_S = 0.1  # between checks for spare write budget


class ProgressWriter:
    """Writes changed chunks and final states within this controller's write budget."""

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        job_queue: JobQueue,
        proof: FailoverProof,
        step_down: Callable[[str], None],
        on_persisted: Callable[[], None],
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._job_queue = job_queue
        self._on_persisted = on_persisted
        self._transactions = TermTransactions(
            client, watch_cache, job_queue, proof.term, step_down, on_persisted
        )
        self._wake = asyncio.Event()
        job_queue.add_write_listener(self._wake.set)

    async def run(self) -> None:
        """Run until cancelled."""
        queue = self._job_queue
        retry = RetryDelay()
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                while queue.pending_writes or queue.pending_final_states:
                    await self._write_pending_starts()
                    await self._write_next_final_state()
                    if not self._has_urgent_writes():
                        await self._write_results()
                    retry.reset()
            except StoreUnavailableError as exc:
                log.debug("write of progress or a final state failed: %s", exc)
                self._wake.set()
                await retry.wait()

    def _has_urgent_writes(self) -> bool:
        """Whether writes are pending that take precedence over results."""
        return bool(self._job_queue.pending_start_writes or self._job_queue.pending_final_states)

    # -- chunks ---------------------------------------------------------------------------

    async def _write_pending_starts(self) -> None:
        """Write the chunks with new assignments, the highest rank first.

        The tasks can't start before the write, and users wait for them.
        """
        jobs = self._job_queue.jobs
        chunk_ids = [key for key in self._job_queue.pending_start_writes if key.job in jobs]
        chunk_ids.sort(key=lambda key: jobs[key.job].record.submission.rank_number)
        await self._write_chunks(chunk_ids)

    async def _write_results(self) -> None:
        """Write results and other changes that no start waits for.

        These writes use only spare write budget; otherwise starts would queue behind them. Workers
        keep their results until then.
        """
        while self._job_queue.pending_writes and not self._client.has_spare_writes():
            if self._has_urgent_writes():
                return
            self._wake.clear()
            await wait_for_event(self._wake, BUDGET_POLL_PERIOD_S)
        await self._write_chunks(list(self._job_queue.pending_writes))

    async def _write_chunks(self, chunk_ids: list[ChunkId]) -> None:
        """Write as many of the chunks, in the given order, as fit into one transaction."""
        limits = BatchLimits(self._client.max_value_bytes, self._client.max_transaction_operations)
        batch = select_batch(
            self._job_queue, chunk_ids, limits, self._transactions.expected_revisions()
        )
        if not batch.writes:
            return
        start_writes = self._pop_start_writes(batch)
        committed = False
        try:
            outcome = await self._transactions.commit(batch.expected_revisions, batch.operations)
            committed = outcome.succeeded
        finally:
            if not committed:
                self._job_queue.pending_start_writes.update(start_writes)
        if not committed:
            await self._transactions.reconcile_after_conflict(outcome)
            return
        self._apply_committed(batch, outcome.store_revision)

    def _pop_start_writes(self, batch: ChunkBatch) -> dict[ChunkId, Chunk]:
        """Remove the batch's chunks from the pending start writes; return the removed ones.

        A task assigned while the batch is being committed adds its chunk again.
        """
        pending = self._job_queue.pending_start_writes
        return {
            write.chunk.id: write.chunk
            for write in batch.writes
            if pending.pop(write.chunk.id, None) is not None
        }

    def _apply_committed(self, batch: ChunkBatch, store_revision: int) -> None:
        """Record that a batch was written with this revision."""
        for write in batch.writes:
            chunk = write.chunk
            chunk.revision = store_revision
            chunk.persisted_version = write.chunk_version
            if chunk.version == write.chunk_version:
                self._job_queue.clear_pending_write(chunk.id)
            self._watch_cache.apply(write.put.key, write.put.value, store_revision)
        self._on_persisted()

    # -- final states ---------------------------------------------------------------------

    async def _write_next_final_state(self) -> None:
        """Write the final state of one finished job, if there is one."""
        job_state = self._next_finished_job()
        if job_state is None:
            return
        write = prepare_final_state(
            job_state,
            self._client.max_transaction_operations,
            self._transactions.expected_revisions(),
        )
        outcome = await self._transactions.commit(write.expected_revisions, write.operations)
        if not outcome.succeeded:
            # Moved to the end: a job that keeps conflicting must not block the others.
            pending = self._job_queue.pending_final_states
            pending[job_state.id] = pending.pop(job_state.id)
            await self._transactions.reconcile_after_conflict(outcome)
            return
        self._apply_final_state(job_state, write, outcome.store_revision)
        await self.delete_progress(write.leftover_keys)

    def _next_finished_job(self) -> JobState | None:
        """Return the job whose final state is next; drop jobs that no longer need one."""
        pending = self._job_queue.pending_final_states
        for job_state in list(pending.values()):
            if job_state.is_finished and self._job_queue.jobs.get(job_state.id) is job_state:
                return job_state
            pending.pop(job_state.id, None)
        return None

    def _apply_final_state(
        self, job_state: JobState, write: FinalStateWrite, store_revision: int
    ) -> None:
        self._job_queue.remove(job_state)
        self._watch_cache.apply(write.final_state.key, write.final_state.value, store_revision)
        for deleted in write.deletions:
            self._watch_cache.apply(deleted.key, None, store_revision)
        log.info("final state written: job=%s stage=%s", job_state.id, write.stage.value)
        self._on_persisted()

    async def delete_progress(self, keys: list[str]) -> None:
        """Delete progress keys of jobs that have ended.

        Raises RequestRefusedError or OutcomeUnknownError. The leader of the next term deletes keys
        that this call has not deleted.
        """
        batch_size = self._client.max_transaction_operations
        for start in range(0, len(keys), batch_size):
            batch_keys = keys[start : start + batch_size]
            outcome = await self._transactions.commit(
                self._transactions.expected_revisions(), [Delete(key) for key in batch_keys]
            )
            if not outcome.succeeded:
                await self._transactions.reconcile_after_conflict(outcome)
                return
            for key in batch_keys:
                self._watch_cache.apply(key, None, outcome.store_revision)
