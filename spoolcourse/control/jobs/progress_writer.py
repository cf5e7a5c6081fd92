"""Saves the leader's progress: one batched summary per changed chunk, final states too.

Every write is conditional on the term's revision, on the job record's revision and on the
revision of the key itself. So neither a deposed leader's write nor an earlier write of
our own that arrives late can undo a newer one, and no assignment becomes durable for
a job that was cancelled before.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import orjson

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Chunk, JobState
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.store.client import OutcomeUnknownError, RequestRefusedError, StoreClient
from spoolcourse.control.store.keys import TERM, final_key, job_key, progress_key
from spoolcourse.control.store.records import FinalState
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.key_value_store import Delete, Outcome, Put
from spoolcourse.wire.messages import JobStage

log = logging.getLogger(__name__)

PAUSE_S = 0.1  # between looks whether there is budget to spare
KEYS_BYTES = 300  # of a change: its key, its conditions and their spelling, at the most
TXN_BYTES = 48 * 1024  # of 64 KiB: the rest is for conditions and spelling


class ProgressWriter:
    """Writes dirty chunks and final states, within the budget for writes."""

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        job_queue: JobQueue,
        proof: FailoverProof,
        step_down: Callable[[str], None],
        on_saved: Callable[[], None],
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._job_queue = job_queue
        self._term = proof.term
        self._step_down = step_down
        self._on_saved = on_saved
        self._wake = asyncio.Event()
        job_queue.add_write_listener(self._wake.set)

    async def run(self) -> None:
        """Run until cancelled."""
        retry = RetryDelay()
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                while self._job_queue.pending_writes or self._job_queue.pending_final_states:
                    await self._save_starts()
                    await self._finish_one()
                    if (
                        not self._job_queue.pending_start_writes
                        and not self._job_queue.pending_final_states
                    ):
                        await self._save_results()
                    retry.reset()
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("write: %s", exc)
                self._wake.set()
                await retry.wait()

    async def _save_starts(self) -> None:
        """What holds back starts, by rank: people wait for it."""
        jobs = self._job_queue.jobs
        keys = [key for key in self._job_queue.pending_start_writes if key[0] in jobs]
        await self._save(sorted(keys, key=lambda key: jobs[key[0]].record.submission.rank_number))

    async def _save_results(self) -> None:
        """Save results and ends, which nobody waits for: the workers keep them meanwhile.

        They take what is to spare, or starts would queue for the budget behind them.
        """
        while self._job_queue.pending_writes and not self._client.writes_to_spare():
            if self._job_queue.pending_start_writes or self._job_queue.pending_final_states:
                return
            self._wake.clear()
            try:
                async with asyncio.timeout(PAUSE_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
        await self._save(list(self._job_queue.pending_writes))

    async def _save(self, keys: list[ChunkId]) -> None:
        conditions = {TERM: self._term.revision}
        ops: list[Put | Delete] = []
        taken: list[tuple[JobState, Chunk, int, Put]] = []
        size = 0
        for job, index in keys:
            job_state = self._job_queue.jobs.get(job)
            chunk = self._job_queue.pending_writes.get(ChunkId(job, index))
            if job_state is None or chunk is None or job in self._job_queue.pending_final_states:
                self._job_queue.clear_pending_write(ChunkId(job, index))
                continue
            value = chunk.progress.value()
            length = len(orjson.dumps(value))
            if length > self._client.value_bytes:
                # Made for a limit that has dropped: the results stay with the workers until
                # what it holds has ended and it fits. It comes back with its next change.
                self._job_queue.clear_pending_write(ChunkId(job, index))
                continue
            size += length + KEYS_BYTES
            if ops and (size > TXN_BYTES or len(ops) >= self._client.ops_most):
                break
            put = Put(progress_key(job, index), value)
            conditions[put.key] = chunk.revision
            conditions[job_key(job)] = job_state.record.revision
            ops.append(put)
            taken.append((job_state, chunk, chunk.version, put))
        if not ops:
            return
        # Starts that are decided while this is on its way put their chunk back.
        starting = self._job_queue.pending_start_writes
        held_back = {
            chunk.id: chunk for _, chunk, *_ in taken if starting.pop(chunk.id, None) is not None
        }
        written = False
        try:
            outcome = await self._commit(conditions, ops)
            written = outcome.ok
        finally:
            if not written:
                starting.update(held_back)
        if not outcome.ok:
            await self._after_conflict(outcome)
            return
        for _, chunk, version, put in taken:
            chunk.revision = outcome.store_revision
            chunk.persisted_version = version
            if chunk.version == version:
                self._job_queue.clear_pending_write(chunk.id)
            self._watch_cache.apply(put.key, put.value, outcome.store_revision)
        self._on_saved()

    async def _finish_one(self) -> None:
        for job_state in list(self._job_queue.pending_final_states.values()):
            if not job_state.finished or self._job_queue.jobs.get(job_state.id) is not job_state:
                self._job_queue.pending_final_states.pop(job_state.id, None)
                continue
            key = job_key(job_state.id)
            stage = JobStage.CANCELLED if job_state.record.cancelled else JobStage.DONE
            value = FinalState(stage, job_state.done, job_state.record.at).value()
            saved = [c for c in job_state.chunks.values() if c.revision]
            room = self._client.ops_most - 2
            # A job of very many chunks loses the first of them beforehand; with its
            # record still there the rest would be taken for undone after a crash. So the
            # final state goes first, and what is left is swept up later.
            ops: list[Put | Delete] = [Put(final_key(job_state.id), value), Delete(key)]
            ops += [Delete(progress_key(job_state.id, c.index)) for c in saved[:room]]
            conditions = {
                TERM: self._term.revision,
                key: job_state.record.revision,
                final_key(job_state.id): 0,
            }
            outcome = await self._commit(conditions, ops)
            if not outcome.ok:
                # The others first: one that goes on conflicting must not keep them waiting.
                self._job_queue.pending_final_states[job_state.id] = (
                    self._job_queue.pending_final_states.pop(job_state.id)
                )
                await self._after_conflict(outcome)
                return
            self._job_queue.remove(job_state)
            self._watch_cache.apply(final_key(job_state.id), value, outcome.store_revision)
            self._watch_cache.apply(key, None, outcome.store_revision)
            for chunk in saved[:room]:
                self._watch_cache.apply(
                    progress_key(job_state.id, chunk.index), None, outcome.store_revision
                )
            log.info("%s is %s", job_state.id, stage.value)
            self._on_saved()
            await self.sweep([progress_key(job_state.id, c.index) for c in saved[room:]])
            return

    async def sweep(self, keys: list[str]) -> None:
        """Delete progress of jobs that are over."""
        step = self._client.ops_most
        for start in range(0, len(keys), step):
            part = keys[start : start + step]
            outcome = await self._commit({TERM: self._term.revision}, [Delete(k) for k in part])
            if not outcome.ok:
                await self._after_conflict(outcome)
                return
            for key in part:
                self._watch_cache.apply(key, None, outcome.store_revision)

    async def _commit(self, conditions: dict[str, int], ops: list[Put | Delete]) -> Outcome:
        try:
            return await self._client.compare_and_swap(conditions, ops)
        except OutcomeUnknownError:
            # It may have been carried out, or may still be. Look; the same conditions
            # make sure that it and the next try can't both be carried out.
            if not await self._watch_cache.read_barrier():
                raise
            self._adopt()
            raise

    async def _after_conflict(self, outcome: Outcome) -> None:
        if TERM in outcome.failed:
            self._step_down("a write was refused: the term has passed")
            raise RequestRefusedError("deposed")
        log.debug("write conflict: %s", outcome.failed)
        if not await self._watch_cache.read_barrier():
            raise RequestRefusedError("no sync after a conflict")
        self._adopt()

    def _adopt(self) -> None:
        """Take over the revisions, and finished jobs, that the synced cache shows."""
        for job, job_state in list(self._job_queue.jobs.items()):
            revision = self._watch_cache.revision(job_key(job))
            if revision == 0 and job in self._job_queue.pending_final_states:
                self._job_queue.remove(job_state)
                self._on_saved()
                continue
            for chunk in job_state.chunks.values():
                entry = self._watch_cache.get(progress_key(job, chunk.index))
                if entry is not None and entry.revision != chunk.revision:
                    chunk.revision = entry.revision
                    if entry.value == chunk.progress.value():
                        chunk.persisted_version = chunk.version
                        self._job_queue.clear_pending_write(chunk.id)
                        self._on_saved()
