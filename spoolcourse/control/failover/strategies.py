"""A new leader's first step: the proof, and the job queue to go on with."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Protocol

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.comparison import differences
from spoolcourse.control.failover.restore import (
    RestoredJobs,
    note_waiting_times,
    restore_from_records,
)
from spoolcourse.control.failover.warm_standby import Standby
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

RETRY_S = 0.1
DIFFERENCES_LOGGED = 20


@dataclass(frozen=True, slots=True)
class FailoverResult:
    """What a failover ends with."""

    proof: FailoverProof
    restored: RestoredJobs
    hints: list[Hint] = field(default_factory=list)  # of the leader before


class FailoverStrategy(Protocol):
    """A way to take over from the leader before."""

    async def run(self, term: Term) -> FailoverResult:
        """Catch up to the claim of the term, and prove it; goes on until the term ends."""
        ...


class FailoverFromRecords:
    """A read barrier, then everything is rebuilt from the records: the standby is off."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    async def run(self, term: Term) -> FailoverResult:
        """Catch up to the claim of the term, and prove it; goes on until the term ends."""
        while True:
            if await self._context.watch_cache.read_barrier():
                try:
                    return self._finish(term)
                except WatchCacheBehindError as exc:
                    log.info("failover not proven yet: %s", exc)
            await asyncio.sleep(RETRY_S)

    def _finish(self, term: Term) -> FailoverResult:
        proof = FailoverProof(term, self._context.watch_cache, ProofSource.RECORDS)
        restored = restore_from_records(self._context)
        note_waiting_times(self._context, restored.job_queue)
        return FailoverResult(proof, restored)


class FailoverFromShadow:
    """One request that catches up to the claim; then the shadow is what a restore would make."""

    def __init__(
        self, context: ControllerContext, standby: Standby, settings: StandbySettings
    ) -> None:
        self._context = context
        self._standby = standby
        self._verify = settings.verify

    async def run(self, term: Term) -> FailoverResult:
        """Catch up to the claim of the term, and prove it; goes on until the term ends."""
        retry = RetryDelay()
        while not await self._context.watch_cache.catch_up_to(term.revision):
            await retry.wait()
        proof = FailoverProof(term, self._context.watch_cache, ProofSource.SHADOW)
        restored = self._standby.hand_over()
        if restored is not None and self._verify:
            restored = self._verified(restored)
        if restored is None:
            log.warning("the shadow can't be used (%s): restoring", self._standby.unfit_reason)
            proof = FailoverProof(term, self._context.watch_cache, ProofSource.RECORDS)
            restored = restore_from_records(self._context)
        note_waiting_times(self._context, restored.job_queue)
        return FailoverResult(proof, restored, self._standby.hints.for_term(term.number - 1))

    def _verified(self, shadowed: RestoredJobs) -> RestoredJobs | None:
        """The shadow's job queue if it is what a restore makes, else None."""
        found = differences(shadowed, restore_from_records(self._context))
        if not found:
            return shadowed
        self._standby.mismatches += 1
        self._standby.unfit_reason = "it differs from the records"
        for difference in found[:DIFFERENCES_LOGGED]:
            log.error("the shadow differs from the records: %s", difference)
        return None
