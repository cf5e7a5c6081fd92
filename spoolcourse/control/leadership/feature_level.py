"""The feature level: a number that says which stored formats every controller can read.

It matters during a rolling upgrade, when controllers of two versions run. A controller that exits
before its upgrade restarts with the old version. So a format that the old version can't read is
written only once every controller has reported support for it. The leader queries the peers (the
other controllers) and records the level in the key-value store. A recorded level stays valid, since
an upgraded controller restarts with the new version.
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
from spoolcourse.wire.settings import Peer

log = logging.getLogger(__name__)

SERVICES_LEVEL = 2  # stored formats of services; level 1: those of arrays (batch jobs) only
QUERY_PERIOD_S = 1.0


def level_response() -> dict[str, int]:
    """Return this controller's response to a leader's query for its feature level."""
    return feature_level_value(SERVICES_LEVEL)


def all_controllers_support_services(watch_cache: WatchCache) -> bool:
    """Whether the store records that every controller can read the formats of services."""
    entry = watch_cache.get(FEATURE_LEVEL_KEY)
    return entry is not None and feature_level_of(entry.value) >= SERVICES_LEVEL


class FeatureLevelRecorder:
    """Records the feature level once all controllers have reached it."""

    def __init__(
        self,
        http_client: HttpClient,
        client: StoreClient,
        watch_cache: WatchCache,
        peers: list[Peer],
        term: Term,
    ) -> None:
        self._http_client = http_client
        self._client = client
        self._watch_cache = watch_cache
        self._peers = peers
        self._term = term

    async def run(self) -> None:
        """Query the peers until all of them have this version's level, then record it."""
        while not all_controllers_support_services(self._watch_cache):
            responses = await query_peers(self._http_client, self._peers, LEVEL_QUERY)
            if all(
                response is not None and response.level >= SERVICES_LEVEL for response in responses
            ):
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
