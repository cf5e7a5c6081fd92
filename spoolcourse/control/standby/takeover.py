"""A new leader's first step: the proof, and the job queue to go on with."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Protocol

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Term
from spoolcourse.control.standby.proof import BehindError, ProofSource, TakeoverProof
from spoolcourse.control.standby.restore import (
    RestoredJobs,
    note_waiting_times,
    restore_from_records,
)

log = logging.getLogger(__name__)

RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class TakenOver:
    """What a take-over ends with."""

    proof: TakeoverProof
    restored: RestoredJobs


class Takeover(Protocol):
    """A way to take over from the leader before."""

    async def run(self, term: Term) -> TakenOver:
        """Catch up to the claim of the term, and prove it; goes on until the term ends."""
        ...


class TakeoverFromRecords:
    """A read barrier, then everything is rebuilt from the records: the standby is off."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    async def run(self, term: Term) -> TakenOver:
        """Catch up to the claim of the term, and prove it; goes on until the term ends."""
        while True:
            if await self._context.watch_cache.sync():
                try:
                    return self._taken_over(term)
                except BehindError as exc:
                    log.info("not taken over yet: %s", exc)
            await asyncio.sleep(RETRY_S)

    def _taken_over(self, term: Term) -> TakenOver:
        proof = TakeoverProof(term, self._context.watch_cache, ProofSource.RECORDS)
        restored = restore_from_records(self._context)
        note_waiting_times(self._context, restored.job_queue)
        return TakenOver(proof, restored)
