"""What is written first when more waits than the budget allows."""

from __future__ import annotations

import asyncio

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.jobs.progress_writer import ProgressWriter
from spoolcourse.control.leadership.failover_proof import FailoverProof, ProofSource
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX, TERM_KEY, job_key
from spoolcourse.control.store.records import JobRecord
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import Submission, parse
from spoolcourse.wire.settings import NextLimits, State
from tests.fakes.clock import play
from tests.fakes.net import FakeWire
from tests.fakes.state import FakeKeyValueStore
from tests.fakes.world import job


def test_starts_are_written_by_rank_and_before_results() -> None:
    async def story() -> None:
        state, wire, works = FakeKeyValueStore(), FakeWire(), JobQueue()
        wire.hosts["state:1"] = state.serve
        limits = State(rps=200.0, write_rps=6.0, value_kb=8.0, txn_ops=12)
        client = StoreClient(wire.end_of("n0"), "state:1", limits, controllers=1)
        client.set_leader(True)
        watch_cache = WatchCache(client, PREFIX)
        await client.compare_and_swap({}, [Put(TERM_KEY, {"term": 1})], urgent=True)
        term = Term(1, state.store_revision, 0)
        jobs: list[JobState] = []
        for number, rank in enumerate(["standard"] * 20 + ["best_effort", "high"], 1):
            body = job(number, rank=rank)
            await client.compare_and_swap({}, [Put(job_key(body["id"]), body)], urgent=True)
            record = JobRecord(parse(body, Submission), 1.0, 170, None, state.store_revision)
            jobs.append(works.add(record, 0.0))
        await asyncio.sleep(10)
        await watch_cache.reload()
        proof = FailoverProof(term, watch_cache, ProofSource.RECORDS)
        writer = ProgressWriter(client, watch_cache, works, proof, lambda why: None, lambda: None)
        running = asyncio.create_task(writer.run())
        for work in jobs[:20]:
            works.complete(work, 0)
        low = works.assign(jobs[20], 0, "m-1", 1, 0.0)
        high = works.assign(jobs[21], 0, "m-1", 2, 0.0)
        began = asyncio.get_running_loop().time()
        while not (low.is_persisted and high.is_persisted):
            await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - began < 1.0
        written = [op["set"] for t in state.transactions[-1:] for op in t["apply"]]
        assert [key.split("/")[3] for key in written[:2]] == [jobs[21].id, jobs[20].id]
        # One that comes while results wait for the budget does not wait for them.
        began = asyncio.get_running_loop().time()
        late = works.assign(jobs[21], 1, "m-1", 3, 0.0)
        while not late.is_persisted:
            await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - began < 1.0
        while works.pending_writes:  # the results follow
            await asyncio.sleep(0.1)
        running.cancel()

    play(story())


def test_a_value_that_fits_no_more_is_not_tried_again_and_again() -> None:
    async def story() -> None:
        state, wire, works = FakeKeyValueStore(), FakeWire(), JobQueue()
        wire.hosts["state:1"] = state.serve
        limits = State(200.0, 100.0, 8.0, 24, NextLimits(value_kb=1.0))
        client = StoreClient(wire.end_of("n0"), "state:1", limits, controllers=1)
        client.set_leader(True)
        watch_cache = WatchCache(client, PREFIX)
        await client.compare_and_swap({}, [Put(TERM_KEY, {"term": 1})], urgent=True)
        term = Term(1, state.store_revision, 0)
        record = JobRecord(parse(job(pieces=170), Submission), 1.0, 170, None, 0)
        key = job_key(record.submission.id)
        await client.compare_and_swap({}, [Put(key, record.value())], urgent=True)
        record.revision = state.store_revision
        work = works.add(record, 0.0)
        await watch_cache.reload()
        proof = FailoverProof(term, watch_cache, ProofSource.RECORDS)
        running = asyncio.create_task(
            ProgressWriter(client, watch_cache, works, proof, lambda why: None, lambda: None).run()
        )
        attempts = [works.assign(work, piece, "m-000001", piece, 0.0) for piece in range(100)]
        await asyncio.sleep(2)
        assert attempts[0].is_persisted, "the former limit still holds"
        state.value_bytes = 1024
        works.complete(work, 150)
        await asyncio.sleep(10)
        assert state.refused == 1 and not running.done()
        for attempt in attempts[:80]:
            works.drop(attempt)  # they end gradually
        await asyncio.sleep(2)
        assert state.refused == 1 and work.chunk(0).is_persisted
        running.cancel()

    play(story())
