"""Which stored forms every controller can read, while versions change one process at a time.

A process that ends before its turn comes back as it was. So what the version before can't read
is written only once every controller has said that it can. The leader asks, and records it in the
key-value store, where it stays true: a controller of the new version comes back with it.
"""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.http_client import HttpClient
from spoolcourse.control.leadership.fenced_write import write_fenced
from spoolcourse.control.leadership.peers import LEVEL_QUERY, query_peers
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import FEATURE_LEVEL_KEY
from spoolcourse.control.store.records import feature_level_of, feature_level_value
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

SERVICES_LEVEL = 2  # 1: arrays only
QUERY_PERIOD_S = 1.0


def level_reply() -> dict[str, int]:
    """What this version answers to the query for its level."""
    return feature_level_value(SERVICES_LEVEL)


def all_support_services(watch_cache: WatchCache) -> bool:
    """Whether it is recorded that every controller can read the forms of services."""
    entry = watch_cache.get(FEATURE_LEVEL_KEY)
    return entry is not None and feature_level_of(entry.value) >= SERVICES_LEVEL


class FeatureLevel:
    """The leader's loop; it ends once the level is recorded."""

    def __init__(
        self,
        http_client: HttpClient,
        client: StoreClient,
        watch_cache: WatchCache,
        peers: list[Seed],
        term: Term,
    ) -> None:
        self._http_client = http_client
        self._client = client
        self._watch_cache = watch_cache
        self._peers = peers
        self._term = term

    async def run(self) -> None:
        """Query the peers until all of them have this version's level, and record that."""
        while not all_support_services(self._watch_cache):
            replies = await query_peers(self._http_client, self._peers, LEVEL_QUERY)
            if all(reply is not None and reply.level >= SERVICES_LEVEL for reply in replies):
                await self._record_level()
            await asyncio.sleep(QUERY_PERIOD_S)

    async def _record_level(self) -> None:
        if await write_fenced(
            self._client,
            self._watch_cache,
            self._term,
            FEATURE_LEVEL_KEY,
            feature_level_value(SERVICES_LEVEL),
            {FEATURE_LEVEL_KEY: self._watch_cache.revision(FEATURE_LEVEL_KEY)},
        ):
            log.info("all controllers support services, term=%d", self._term.number)
        else:
            await self._watch_cache.read_barrier()
