"""The transaction that ends a job."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.store.keys import final_key, job_key, progress_key
from spoolcourse.control.store.records import FinalState
from spoolcourse.wire.key_value_store import Delete, Operation, Put
from spoolcourse.wire.messages import JobStage


@dataclass(frozen=True, slots=True)
class FinalStateWrite:
    """A job's final state, in exchange for its record and its progress."""

    stage: JobStage
    expected_revisions: dict[str, int]
    final_state: Put
    deletions: list[Delete]  # the job's record, then progress
    leftover_keys: list[str]  # of progress for which the transaction has no room

    @property
    def operations(self) -> list[Operation]:
        """The operations of the transaction."""
        return [self.final_state, *self.deletions]


def prepare_final_state(
    job_state: JobState, operations_max: int, expected_revisions: dict[str, int]
) -> FinalStateWrite:
    """Prepare the transaction that ends a finished job.

    A job of very many chunks would lose the first of them beforehand; with its record still there
    the rest would be taken for undone after a crash. So the final state goes first, and what is
    left of the progress is deleted later.

    The transaction is conditional on the job's record, as a cancellation is: one of them wins
    (docs/design.md, "Rules", `ran_cancelled`).
    """
    record = job_state.record
    record_key, final_state_key = job_key(job_state.id), final_key(job_state.id)
    stage = JobStage.CANCELLED if record.cancelled else JobStage.DONE
    value = FinalState(stage, job_state.done_count, record.accepted_at).value()
    progress_keys = [
        progress_key(job_state.id, chunk.index)
        for chunk in job_state.chunks.values()
        if chunk.revision
    ]
    room = operations_max - 2  # beside the final state and the record
    return FinalStateWrite(
        stage,
        expected_revisions | {record_key: record.revision, final_state_key: 0},
        Put(final_state_key, value),
        [Delete(record_key), *map(Delete, progress_keys[:room])],
        progress_keys[room:],
    )
