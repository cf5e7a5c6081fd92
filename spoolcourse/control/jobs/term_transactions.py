"""Transactions that a leader writes in its term, and reconciliation after they fail.

Reconciliation compares the job queue with the watch cache, to learn what has been written.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import OutcomeUnknownError, RequestRefusedError
from spoolcourse.control.store.keys import TERM_KEY, job_key, progress_key
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import CompareAndSwapResult, Operation

log = logging.getLogger(__name__)


class TermTransactions:
    """Commits transactions that succeed only while this leader's term is the latest one.

    A deposed leader's write therefore changes nothing, however late it arrives (docs/design.md,
    "Rules", `ran_twice`).
    """

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        job_queue: JobQueue,
        term: Term,
        step_down: Callable[[str], None],
        on_persisted: Callable[[], None],
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._job_queue = job_queue
        self._term = term
        self._step_down = step_down
        self._on_persisted = on_persisted

    def expected_revisions(self) -> dict[str, int]:
        """Return the revisions that every transaction of the term is conditional on."""
        return {TERM_KEY: self._term.revision}

    async def commit(
        self, expected_revisions: dict[str, int], operations: list[Operation]
    ) -> CompareAndSwapResult:
        """Commit a transaction if the keys have the expected revisions.

        The result tells whether it succeeded, and otherwise which keys have another revision.

        Raises:
            RequestRefusedError: The transaction was not carried out.
            OutcomeUnknownError: The transaction may have been carried out, or may be later. The
                job queue has been reconciled with the watch cache if that could be synced.
        """
        try:
            return await self._client.compare_and_swap(expected_revisions, operations)
        except OutcomeUnknownError:
            # The transaction may have been carried out, or may still be: check. The retry has the
            # same expected revisions, so at most one of the two is carried out.
            if not await self._watch_cache.read_barrier():
                raise
            self._reconcile_with_cache()
            raise

    async def reconcile_after_conflict(self, outcome: CompareAndSwapResult) -> None:
        """Handle a transaction that was not carried out because a key had another revision.

        If that key is the term key, another controller was elected: step down. Otherwise reconcile
        the job queue, so that the next transaction uses the current revisions.

        Raises:
            RequestRefusedError: The term is superseded, or the watch cache could not be synced.
        """
        if TERM_KEY in outcome.conflicting_keys:
            self._step_down("a write conflicted: the term is superseded")
            raise RequestRefusedError("write", "the term is superseded")
        log.debug("write conflict: keys=%s", outcome.conflicting_keys)
        if not await self._watch_cache.read_barrier():
            raise RequestRefusedError("read barrier after a conflict", "no answer")
        self._reconcile_with_cache()

    def _reconcile_with_cache(self) -> None:
        """Apply what the synced watch cache shows as written to the job queue.

        Updates the revisions of chunks, and removes jobs whose final state was written.
        """
        for job, job_state in list(self._job_queue.jobs.items()):
            revision = self._watch_cache.revision(job_key(job))
            if revision == 0 and job in self._job_queue.pending_final_states:
                self._job_queue.remove(job_state)
                self._on_persisted()
                continue
            for chunk in job_state.chunks.values():
                entry = self._watch_cache.get(progress_key(job, chunk.index))
                if entry is not None and entry.revision != chunk.revision:
                    chunk.revision = entry.revision
                    if entry.value == chunk.progress.value():
                        chunk.persisted_version = chunk.version
                        self._job_queue.clear_pending_write(chunk.id)
                        self._on_persisted()
