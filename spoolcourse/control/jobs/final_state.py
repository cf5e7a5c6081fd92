"""The transaction that ends a job: it writes the final state and deletes the record."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.store.keys import final_key, job_key, progress_key
from spoolcourse.control.store.records import FinalState
from spoolcourse.wire.key_value_store import Delete, Operation, Put
from spoolcourse.wire.messages import JobStage


@dataclass(frozen=True, slots=True)
class FinalStateWrite:
    """The transaction that ends one job, and the progress keys to delete after it."""

    stage: JobStage  # done or cancelled
    expected_revisions: dict[str, int]  # by key
    final_state: Put
    deletions: list[Delete]  # the job's record, then its progress keys
    leftover_keys: list[str]  # progress keys that don't fit into the transaction

    @property
    def operations(self) -> list[Operation]:
        """The operations of the transaction."""
        return [self.final_state, *self.deletions]


def prepare_final_state(
    job_state: JobState, operations_max: int, expected_revisions: dict[str, int]
) -> FinalStateWrite:
    """Prepare the transaction that ends a finished job.

    The progress of a job with many chunks does not fit into one transaction. If some of it were
    deleted before the job's record, those tasks would count as not done after a crash. So this
    transaction writes the final state and deletes the record with as much progress as fits;
    progress that does not fit (`leftover_keys`) is deleted after it.

    This transaction and a cancellation both require the same revision of the job's record, so only
    one of them succeeds (docs/design.md, "Rules", `ran_cancelled`).
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
    max_progress_deletions = operations_max - 2  # less the final state and the record
    return FinalStateWrite(
        stage,
        expected_revisions | {record_key: record.revision, final_state_key: 0},
        Put(final_state_key, value),
        [Delete(record_key), *map(Delete, progress_keys[:max_progress_deletions])],
        progress_keys[max_progress_deletions:],
    )
