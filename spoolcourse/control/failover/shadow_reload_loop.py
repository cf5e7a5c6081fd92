"""Reloads the watch cache if the shadow is stale and the cache does not reload by itself."""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.control.store.watch_cache import WatchCache

log = logging.getLogger(__name__)

RELOAD_PAUSE_S = 5.0  # between reloads, for a shadow that stays stale


class ShadowReloadLoop:
    """Reloads the watch cache on request, which makes the warm standby rebuild its shadow."""

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Request a reload; requests made before the reload is done count as one."""
        self._requested.set()

    async def run(self) -> None:
        """Reload on request, until cancelled."""
        retry = RetryDelay()
        while True:
            await self._requested.wait()
            try:
                await self._watch_cache.reload()
            except StoreUnavailableError as exc:
                log.debug("warm standby: keys not reloaded: %s", exc)
                await retry.wait()
                continue
            retry.reset()
            self._requested.clear()
            await asyncio.sleep(RELOAD_PAUSE_S)
