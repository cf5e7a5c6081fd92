"""Batches of chunks (see `model`) whose progress is written in one transaction."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Chunk
from spoolcourse.control.store.keys import job_key, progress_key
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.key_value_store import Operation, Put

# Upper bound of the bytes that a write adds besides its value: its key, its expected revisions and
# their JSON syntax.
WRITE_OVERHEAD_BYTES = 300
BATCH_MAX_BYTES = 48 * 1024  # of 64 KiB per transaction; the rest: expected revisions, syntax


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """The key-value store's limits for a batch."""

    max_value_bytes: int  # of one value
    max_operations: int  # of one transaction


@dataclass(frozen=True, slots=True)
class ChunkWrite:
    """The write of one chunk, with a copy of its progress: the chunk may change meanwhile."""

    chunk: Chunk
    chunk_version: int  # of the chunk's content in `put`
    put: Put
    value_bytes: int  # size of the value in `put`
    job_revision: int  # of the job's record; a cancellation since then makes the write fail


@dataclass(slots=True)
class ChunkBatch:
    """The writes of one transaction, and the revisions that the transaction requires.

    Each write is conditional on the revisions of its key and of its job's record: no assignment
    becomes durable for a job that was cancelled before (docs/design.md, "Rules", `ran_cancelled`).
    """

    expected_revisions: dict[str, int]
    writes: list[ChunkWrite] = field(default_factory=list)

    @property
    def operations(self) -> list[Operation]:
        """The operations of the transaction."""
        return [write.put for write in self.writes]

    def add(self, write: ChunkWrite) -> None:
        """Add a write and its expected revisions."""
        chunk = write.chunk
        self.expected_revisions[write.put.key] = chunk.revision
        self.expected_revisions[job_key(chunk.id.job)] = write.job_revision
        self.writes.append(write)


def select_batch(
    job_queue: JobQueue,
    chunk_ids: Iterable[ChunkId],
    limits: BatchLimits,
    expected_revisions: dict[str, int],
) -> ChunkBatch:
    """Build a batch of as many of the chunks, in the given order, as fit into one transaction.

    A chunk that can't or need not be written is removed from the queue's pending writes.
    `expected_revisions` holds those that every transaction of the term requires; the batch adds
    its own.
    """
    batch = ChunkBatch(expected_revisions)
    size_bytes = 0
    for chunk_id in chunk_ids:
        write = _prepare_write(job_queue, chunk_id)
        if write is None or write.value_bytes > limits.max_value_bytes:
            # A value is too large if the store's limit was lowered after the chunk was created. The
            # workers keep the results until enough held tasks of the chunk have ended for its value
            # to fit; the next change of the chunk makes it pending again.
            job_queue.clear_pending_write(chunk_id)
            continue
        size_bytes += write.value_bytes + WRITE_OVERHEAD_BYTES
        is_full = size_bytes > BATCH_MAX_BYTES or len(batch.writes) >= limits.max_operations
        if batch.writes and is_full:
            break
        batch.add(write)
    return batch


def _prepare_write(job_queue: JobQueue, chunk_id: ChunkId) -> ChunkWrite | None:
    """Return the write of a chunk; None if its job is over or ending, or nothing is pending."""
    job, index = chunk_id
    job_state = job_queue.jobs.get(job)
    chunk = job_queue.pending_writes.get(chunk_id)
    if job_state is None or chunk is None or job in job_queue.pending_final_states:
        return None
    value = chunk.progress.value()
    return ChunkWrite(
        chunk,
        chunk.version,
        Put(progress_key(job, index), value),
        len(orjson.dumps(value)),
        job_state.record.revision,
    )
