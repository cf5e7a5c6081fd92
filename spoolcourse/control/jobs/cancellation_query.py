"""A leader's question to its peers for cancellations that it can't know of.

It is asked while the key-value store does not answer, so that work survives an outage in which
nobody can confirm any, and a cancellation that somebody could confirm still ends its tasks in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leadership.election import Term
from spoolcourse.control.leadership.peers import ask_peers
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.store.keys import TERM
from spoolcourse.control.store.records import TermRecord
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError
from spoolcourse.wire.peers import CancellationReply

PERIOD_S = 1.0
LATE_S = 2.0  # without a read of the key-value store: the health check makes one each second


def answer_query(job_index: JobIndex, watch_cache: WatchCache, query: str) -> dict[str, Any]:
    """The answer to a leader that knows everything up to the revision it names."""
    name, _, text = query.partition("=")
    if name != "beyond" or not text.isascii() or not text.isdigit():
        raise MalformedError("beyond: a revision is needed")
    term = watch_cache.get(TERM)
    told = CancellationReply(
        TermRecord.number_of(term.value if term is not None else None),
        watch_cache.synced_at > float("-inf"),
        job_index.cancellations.after(int(text)),
    )
    found: dict[str, Any] = msgspec.to_builtins(told)
    return found


class CancellationQuery:
    """Asks the peers while the key-value store does not answer."""

    def __init__(
        self,
        context: ControllerContext,
        term: Term,
        renewal_deadline: RenewalDeadline,
        step_down: Callable[[str], None],
    ) -> None:
        self._net = context.net
        self._peers = context.peers
        self._watch_cache = context.watch_cache
        self._job_index = context.job_index
        self._clock = context.clock
        self._term = term
        self._renewal_deadline = renewal_deadline
        self._step_down = step_down

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._clock() - self._watch_cache.synced_at > LATE_S:
                await self.ask()

    async def ask(self) -> None:
        """Ask every peer once, and act on what they tell."""
        asked = self._clock()
        path = f"{paths.CANCELLATIONS}?beyond={self._watch_cache.store_revision}"
        told = await ask_peers(self._net, self._peers, path, CancellationReply)
        for reply in told:
            if reply is not None and reply.term > self._term.number:
                self._step_down(f"a peer knows of term {reply.term}")
                return
        for reply in told:
            for found in (reply and reply.cancelled) or ():
                self._job_index.apply_cancellation(found)
        self._renewal_deadline.acknowledged_by_peers(
            asked, [t is not None and t.informed and t.cancelled is not None for t in told]
        )
