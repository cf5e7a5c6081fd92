"""Persists the leader's progress: one batched summary per changed chunk, final states too.

Every write is conditional on the term's revision, on the job record's revision and on the
revision of the key itself. So neither a deposed leader's write nor an earlier write of
our own that arrives late can undo a newer one, and no assignment becomes durable for
a job that was cancelled before (docs/design.md, "Rules": `ran_twice`, `ran_cancelled`).
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

BUDGET_POLL_S = 0.1  # between looks whether there is budget to spare


class ProgressWriter:
    """Writes changed chunks and final states, within the budget for writes."""

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
                    await self._write_starts()
                    await self._write_next_final_state()
                    if not self._others_wait():
                        await self._write_results()
                    retry.reset()
            except StoreUnavailableError as exc:
                log.debug("progress write failed: %s", exc)
                self._wake.set()
                await retry.wait()

    def _others_wait(self) -> bool:
        """Whether something waits that goes before results."""
        return bool(self._job_queue.pending_start_writes or self._job_queue.pending_final_states)

    # -- chunks ---------------------------------------------------------------------------

    async def _write_starts(self) -> None:
        """Write what holds back starts, by rank: people wait for it."""
        jobs = self._job_queue.jobs
        chunk_ids = [key for key in self._job_queue.pending_start_writes if key.job in jobs]
        chunk_ids.sort(key=lambda key: jobs[key.job].record.submission.rank_number)
        await self._write_chunks(chunk_ids)

    async def _write_results(self) -> None:
        """Write results and ends, which nobody waits for: the workers keep them meanwhile.

        They take what is to spare, or starts would queue for the budget behind them.
        """
        while self._job_queue.pending_writes and not self._client.has_spare_writes():
            if self._others_wait():
                return
            self._wake.clear()
            await wait_for_event(self._wake, BUDGET_POLL_S)
        await self._write_chunks(list(self._job_queue.pending_writes))

    async def _write_chunks(self, chunk_ids: list[ChunkId]) -> None:
        """Write as many of the chunks, in their order, as one transaction takes."""
        limits = BatchLimits(self._client.value_bytes, self._client.max_operations)
        batch = select_batch(
            self._job_queue, chunk_ids, limits, self._transactions.expected_revisions()
        )
        if not batch.writes:
            return
        start_writes = self._take_start_writes(batch)
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

    def _take_start_writes(self, batch: ChunkBatch) -> dict[ChunkId, Chunk]:
        """Those of the batch that hold back starts; they do no longer.

        Starts that are decided while the batch is on its way put their chunk back.
        """
        pending = self._job_queue.pending_start_writes
        return {
            write.chunk.id: write.chunk
            for write in batch.writes
            if pending.pop(write.chunk.id, None) is not None
        }

    def _apply_committed(self, batch: ChunkBatch, store_revision: int) -> None:
        for write in batch.writes:
            chunk = write.chunk
            chunk.revision = store_revision
            chunk.persisted_version = write.version
            if chunk.version == write.version:
                self._job_queue.clear_pending_write(chunk.id)
            self._watch_cache.apply(write.put.key, write.put.value, store_revision)
        self._on_persisted()

    # -- final states ---------------------------------------------------------------------

    async def _write_next_final_state(self) -> None:
        job_state = self._next_finished_job()
        if job_state is None:
            return
        write = prepare_final_state(
            job_state, self._client.max_operations, self._transactions.expected_revisions()
        )
        outcome = await self._transactions.commit(write.expected_revisions, write.operations)
        if not outcome.succeeded:
            # The others first: one that goes on conflicting must not keep them waiting.
            pending = self._job_queue.pending_final_states
            pending[job_state.id] = pending.pop(job_state.id)
            await self._transactions.reconcile_after_conflict(outcome)
            return
        self._apply_final_state(job_state, write, outcome.store_revision)
        await self.delete_progress(write.leftover_keys)

    def _next_finished_job(self) -> JobState | None:
        """The job whose final state is written next; those that have none any more are left out."""
        pending = self._job_queue.pending_final_states
        for job_state in list(pending.values()):
            if job_state.finished and self._job_queue.jobs.get(job_state.id) is job_state:
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
        log.info("job final: job=%s stage=%s", job_state.id, write.stage.value)
        self._on_persisted()

    async def delete_progress(self, keys: list[str]) -> None:
        """Delete progress of jobs that are over.

        Raises RequestRefusedError or OutcomeUnknownError: the next term deletes what is left.
        """
        step = self._client.max_operations
        for start in range(0, len(keys), step):
            part = keys[start : start + step]
            outcome = await self._transactions.commit(
                self._transactions.expected_revisions(), [Delete(key) for key in part]
            )
            if not outcome.succeeded:
                await self._transactions.reconcile_after_conflict(outcome)
                return
            for key in part:
                self._watch_cache.apply(key, None, outcome.store_revision)
