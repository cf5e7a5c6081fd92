"""Strategies by which a new leader proves its failover and obtains its job queue.

The claim of a term is the write by which this controller was elected. The failover is proven when
the watch cache has every change up to the claim, and with it every placement of earlier leaders
(`leadership.failover_proof`).
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Protocol

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.comparison import list_differences
from spoolcourse.control.failover.restore import (
    RestoredJobs,
    restore_from_records,
    restore_waiting_times,
)
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.leadership.failover_proof import (
    FailoverProof,
    ProofSource,
    WatchCacheBehindError,
)
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.wire.peers import Hint
from spoolcourse.wire.standby_settings import StandbySettings

log = logging.getLogger(__name__)

READ_BARRIER_RETRY_S = 0.1  # pause between two tries
MAX_LOGGED_DIFFERENCES = 20


@dataclass(frozen=True, slots=True)
class FailoverResult:
    """The state that a new leader starts with."""

    proof: FailoverProof
    restored: RestoredJobs
    hints: list[Hint] = field(default_factory=list)  # from the previous term's leader


class FailoverStrategy(Protocol):
    """How a new leader obtains its failover proof and job queue."""

    async def run(self, term: Term) -> FailoverResult:
        """Wait until every change up to the term's claim is applied; return proof and job queue.

        Reads that fail are repeated until the term ends. Raises `TermSupersededError` if a later
        term has been claimed.
        """
        ...


class FailoverFromRecords:
    """Waits for a read barrier and restores from the records; used without a warm standby."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    async def run(self, term: Term) -> FailoverResult:
        """See `FailoverStrategy.run`."""
        watch_cache = self._context.watch_cache
        while True:
            if await watch_cache.read_barrier():
                try:
                    proof = FailoverProof(term, watch_cache, ProofSource.RECORDS)
                except WatchCacheBehindError as exc:
                    log.info("failover not proven yet: %s", exc)
                else:
                    restored = restore_from_records(self._context)
                    return _complete(self._context, proof, restored, hints=[])
            await asyncio.sleep(READ_BARRIER_RETRY_S)


class FailoverFromShadow:
    """Reads the changes up to the claim with one request, and uses the shadow, then up to date."""

    def __init__(
        self, context: ControllerContext, standby: WarmStandby, settings: StandbySettings
    ) -> None:
        self._context = context
        self._standby = standby
        self._verifies_shadow = settings.verify

    async def run(self, term: Term) -> FailoverResult:
        """See `FailoverStrategy.run`."""
        watch_cache = self._context.watch_cache
        retry = RetryDelay()
        while not await watch_cache.catch_up_to(term.revision):
            await retry.wait()
        # No await from here on: no change may come between the comparison and the result.
        differences = self._shadow_differences()
        is_usable = self._standby.shadow is not None and not differences
        source = ProofSource.SHADOW if is_usable else ProofSource.RECORDS
        # Proven before the job queue is detached, so that a superseded controller keeps its shadow.
        proof = FailoverProof(term, watch_cache, source)
        restored = self._standby.detach_job_queue()
        if differences:
            self._record_mismatch(differences)
        if restored is None or differences:
            reason = self._standby.status.stale_reason
            log.warning("shadow not usable, restoring: term=%d: %s", term.number, reason)
            restored = restore_from_records(self._context)
        hints = self._standby.hints.for_term(term.number - 1)
        return _complete(self._context, proof, restored, hints)

    def _shadow_differences(self) -> list[str]:
        """The shadow's differences from a restore; empty without a shadow or verification."""
        shadow = self._standby.shadow
        if shadow is None or not self._verifies_shadow:
            return []
        return list_differences(shadow.as_restored(), restore_from_records(self._context))

    def _record_mismatch(self, differences: list[str]) -> None:
        self._standby.status.record_mismatch()
        for difference in differences[:MAX_LOGGED_DIFFERENCES]:
            log.error("shadow differs from the records: %s", difference)


def _complete(
    context: ControllerContext, proof: FailoverProof, restored: RestoredJobs, hints: list[Hint]
) -> FailoverResult:
    """Restore waiting times and build the result, as the last step of every strategy."""
    restore_waiting_times(context, restored.job_queue)
    return FailoverResult(proof, restored, hints)
