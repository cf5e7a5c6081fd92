"""Which stored forms every controller can read, while versions change one process at a time.

A process that ends before its turn comes back as it was. So what the version before can't read
is written only once every controller has said that it can; the leader asks, and notes it in the
key-value store, where it stays true: whoever was new comes back new.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Term
from spoolcourse.control.leadership.peers import ask_peers
from spoolcourse.control.leadership.term_record import write_in_term
from spoolcourse.control.store.keys import FEATURE_LEVEL_KEY
from spoolcourse.control.store.records import level_of, level_value
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire import paths
from spoolcourse.wire.peers import LevelReply

log = logging.getLogger(__name__)

SERVICES = 2  # 1: arrays only
PERIOD_S = 1.0


def answer() -> dict[str, int]:
    """The answer of this version."""
    return level_value(SERVICES)


def all_new(watch_cache: WatchCache) -> bool:
    """Whether this controller has seen it noted."""
    entry = watch_cache.get(FEATURE_LEVEL_KEY)
    return entry is not None and level_of(entry.value) >= SERVICES


class FeatureLevel:
    """The leader's loop; it ends once it is noted."""

    def __init__(self, context: ControllerContext, term: Term) -> None:
        self._context = context
        self._net = context.net
        self._watch_cache = context.watch_cache
        self._peers = context.peers
        self._term = term

    async def run(self) -> None:
        """Ask until every controller is new, and note that."""
        while not all_new(self._watch_cache):
            replies = await ask_peers(self._net, self._peers, paths.LEVEL, LevelReply)
            if all(reply is not None and reply.level >= SERVICES for reply in replies):
                await self._note()
            await asyncio.sleep(PERIOD_S)

    async def _note(self) -> None:
        value = level_value(SERVICES)
        conditions = {FEATURE_LEVEL_KEY: self._watch_cache.revision(FEATURE_LEVEL_KEY)}
        if await write_in_term(self._context, self._term, FEATURE_LEVEL_KEY, value, conditions):
            log.info("all controllers are new: services are taken")
        else:
            await self._watch_cache.read_barrier()
