"""The progress writer: order of writes, skipped writes, and what stays pending after a failure."""

from __future__ import annotations

import asyncio
from typing import Any

from spoolcourse.control.jobs.chunk_batch import BatchLimits, select_batch
from spoolcourse.control.jobs.final_state import prepare_final_state
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import JobState, RecordedProgress
from spoolcourse.control.jobs.progress_writer import ProgressWriter
from spoolcourse.control.leadership.failover_proof import FailoverProof, ProofSource
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX, TERM_KEY, final_key, job_key, progress_key
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import Submission, parse
from spoolcourse.wire.settings import NextLimits, StoreLimits
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork
from tests.fakes.world import job


class WriterHarness:
    """A term's progress writer, job queue and key-value store; needs a running event loop."""

    def __init__(self, limits: StoreLimits) -> None:
        self.store, network = FakeKeyValueStore(), FakeNetwork()
        network.hosts["state:1"] = self.store.serve
        self.client = StoreClient(network.client_of("n0"), "state:1", limits, controllers=1)
        self.client.set_leader(True)
        self.watch_cache = WatchCache(self.client, PREFIX)
        self.job_queue = JobQueue()
        self.step_downs: list[str] = []

    async def write(self, key: str, value: dict[str, Any]) -> int:
        await self.client.compare_and_swap({}, [Put(key, value)], urgent=True)
        return self.store.store_revision

    async def add_job(self, number: int = 1, **fields: Any) -> JobState:
        record = JobRecord(parse(job(number, **fields), Submission), 1.0, 170, None, 0)
        record.revision = await self.write(job_key(record.submission.id), record.value())
        return self.job_queue.add(record, 0.0)

    async def start(self, term_revision: int) -> asyncio.Task[None]:
        await self.watch_cache.reload()
        proof = FailoverProof(Term(1, term_revision, 0), self.watch_cache, ProofSource.RECORDS)
        writer = ProgressWriter(
            self.client,
            self.watch_cache,
            self.job_queue,
            proof,
            self.step_downs.append,
            lambda: None,
        )
        return asyncio.create_task(writer.run())

    def now(self) -> float:
        return asyncio.get_running_loop().time()


async def test_start_writes_are_ordered_by_rank_and_precede_results() -> None:
    harness = WriterHarness(StoreLimits(rps=200.0, write_rps=6.0, value_kb=8.0, txn_ops=12))
    queue = harness.job_queue
    term_revision = await harness.write(TERM_KEY, {"term": 1})
    ranks = ["standard"] * 20 + ["best_effort", "high"]
    jobs = [await harness.add_job(number, rank=rank) for number, rank in enumerate(ranks, 1)]
    await asyncio.sleep(10)
    writer_task = await harness.start(term_revision)
    for job_state in jobs[:20]:
        queue.complete(job_state, 0)
    low = queue.assign(jobs[20], 0, "m-1", 1, 0.0)
    high = queue.assign(jobs[21], 0, "m-1", 2, 0.0)
    began = harness.now()
    while not (low.is_persisted and high.is_persisted):
        await asyncio.sleep(0.02)
    assert harness.now() - began < 1.0
    written = [
        op["set"] for transaction in harness.store.transactions[-1:] for op in transaction["apply"]
    ]
    assert [key.split("/")[3] for key in written[:2]] == [jobs[21].id, jobs[20].id]
    # A start that is assigned while results wait for the write budget does not wait for them.
    began = harness.now()
    late = queue.assign(jobs[21], 1, "m-1", 3, 0.0)
    while not late.is_persisted:
        await asyncio.sleep(0.02)
    assert harness.now() - began < 1.0
    while queue.pending_writes:  # the writes of the results follow
        await asyncio.sleep(0.1)
    writer_task.cancel()


async def test_a_value_above_a_lowered_limit_is_not_retried_repeatedly() -> None:
    harness = WriterHarness(StoreLimits(200.0, 100.0, 8.0, 24, NextLimits(value_kb=1.0)))
    store, queue = harness.store, harness.job_queue
    term_revision = await harness.write(TERM_KEY, {"term": 1})
    job_state = await harness.add_job(pieces=170)
    writer_task = await harness.start(term_revision)
    attempts = [queue.assign(job_state, task, "m-000001", task, 0.0) for task in range(100)]
    await asyncio.sleep(2)
    assert attempts[0].is_persisted, "not written, though the former limit still holds"
    store.max_value_bytes = 1024
    queue.complete(job_state, 150)
    await asyncio.sleep(10)
    assert store.oversized_count == 1
    assert not writer_task.done()
    for attempt in attempts[:80]:
        queue.drop(attempt)  # the attempts end over time
    await asyncio.sleep(2)
    assert store.oversized_count == 1
    assert job_state.chunk(0).is_persisted
    writer_task.cancel()


async def test_a_start_write_stays_pending_after_a_conflict() -> None:
    harness = WriterHarness(StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24))
    queue = harness.job_queue
    term_revision = await harness.write(TERM_KEY, {"term": 1})
    job_state = await harness.add_job(pieces=2)
    writer_task = await harness.start(term_revision)
    # The leader has not seen this cancellation yet: the start must not become durable.
    await harness.write(job_key(job_state.id), job_state.record.value() | {"aborted": 2.0})
    attempt = queue.assign(job_state, 0, "m-1", 1, 0.0)
    await asyncio.sleep(5)
    assert not attempt.is_persisted
    assert not writer_task.done()
    assert not harness.step_downs
    assert harness.store.value(progress_key(job_state.id, 0)) is None
    chunk = job_state.chunk(0)
    assert queue.pending_writes == queue.pending_start_writes == {chunk.id: chunk}
    # The leader sees the cancellation: the attempt, never sent, is dropped and the job ends.
    job_state.record.cancelled_at = 2.0
    job_state.record.revision = harness.watch_cache.revision(job_key(job_state.id))
    queue.drop(attempt)
    await asyncio.sleep(5)
    assert harness.store.value(final_key(job_state.id))["stage"] == "aborted"
    assert not queue.jobs
    assert not queue.pending_writes
    assert not queue.pending_start_writes
    writer_task.cancel()


async def test_a_writer_of_a_superseded_term_changes_nothing_and_steps_down() -> None:
    harness = WriterHarness(StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24))
    term_revision = await harness.write(TERM_KEY, {"term": 1})
    job_state = await harness.add_job(pieces=2)
    writer_task = await harness.start(term_revision)
    await harness.write(TERM_KEY, {"term": 2})
    attempt = harness.job_queue.assign(job_state, 0, "m-1", 1, 0.0)
    await asyncio.sleep(5)
    assert harness.step_downs
    assert not attempt.is_persisted
    assert harness.store.value(progress_key(job_state.id, 0)) is None
    writer_task.cancel()


def test_a_batch_fits_one_transaction_and_has_its_expected_revisions() -> None:
    queue = JobQueue()
    job_states = [
        queue.add(JobRecord(parse(job(number), Submission), 1.0, 170, None, 40 + number), 0.0)
        for number in range(1, 5)
    ]
    for job_state in job_states:
        queue.assign(job_state, 0, "m-1", 1, 0.0)
    ended, *live = job_states
    queue.remove(ended)
    chunk_ids = [job_state.chunk(0).id for job_state in job_states]
    batch = select_batch(queue, chunk_ids, BatchLimits(8192, max_operations=2), {TERM_KEY: 7})
    assert [write.chunk.id for write in batch.writes] == chunk_ids[1:3]
    assert batch.expected_revisions == {TERM_KEY: 7} | {
        key: revision
        for job_state in live[:2]
        for key, revision in (
            (progress_key(job_state.id, 0), 0),
            (job_key(job_state.id), job_state.record.revision),
        )
    }
    # The others stay pending; a chunk whose value is too large is pending again once it changes.
    assert list(queue.pending_writes) == chunk_ids[1:]
    assert not select_batch(queue, chunk_ids, BatchLimits(8, max_operations=2), {}).writes
    assert not queue.pending_writes
    assert not queue.pending_start_writes


def test_a_job_with_many_chunks_finishes_in_one_transaction_and_lists_leftover_keys() -> None:
    queue = JobQueue()
    record = JobRecord(parse(job(pieces=64), Submission), 1.0, 16, None, 5)
    job_state = queue.restore(
        record,
        0.0,
        {index: RecordedProgress(Progress(done=0xFFFF), 10 + index) for index in range(4)},
    )
    write = prepare_final_state(job_state, 4, {TERM_KEY: 7})
    keys = [progress_key(job_state.id, index) for index in range(4)]
    assert job_state.is_finished
    assert write.final_state.key == final_key(job_state.id)
    assert write.final_state.value["stage"] == "done"
    assert write.final_state.value["done"] == 64
    assert [op.key for op in write.operations] == [
        final_key(job_state.id),
        job_key(job_state.id),
        *keys[:2],
    ]
    assert write.leftover_keys == keys[2:]
    assert write.expected_revisions == {
        TERM_KEY: 7,
        job_key(job_state.id): 5,
        final_key(job_state.id): 0,
    }
