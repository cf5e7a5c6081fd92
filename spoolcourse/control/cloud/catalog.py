"""The machine types and their prices, read from the cloud periodically.

While the cloud is out, a controller that starts takes submissions by the stored copy of the types
(`stored_catalog`).
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.cloud.errors import CloudError
from spoolcourse.control.cloud.stored_catalog import StoredCatalog
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.keys import CATALOG_KEY
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.messages import Catalog, MachineType, MalformedError, parse

log = logging.getLogger(__name__)

# Between reads: prices move, and only the leader rents by them.
LEADER_PERIOD_S = 20.0
FOLLOWER_PERIOD_S = 60.0
RETRY_S = 1.0  # after a failed read: without the types no submission can be accepted
STORE_RETRY_S = 5.0  # after a failed write of the stored copy
JITTER = (0.8, 1.2)  # times the pause, so that the controllers don't read at the same time


class CatalogLoop:
    """Keeps the machine types current, and as the leader the stored copy of them."""

    def __init__(
        self,
        cloud: CloudClient,
        client: StoreClient,
        watch_cache: WatchCache,
        leadership: Leadership,
    ) -> None:
        self._cloud = cloud
        self._leadership = leadership
        self._stored = StoredCatalog(client, watch_cache, leadership)
        self.machine_types: dict[str, MachineType] = {}  # by name; empty until the first read
        watch_cache.add_listener(self._on_change)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            pause_s = await self._refresh()
            await asyncio.sleep(pause_s * random.uniform(*JITTER))

    async def _refresh(self) -> float:
        """Read the catalog and store what has changed; returns the pause until the next read."""
        try:
            catalog = await self._cloud.fetch_catalog()
            self._set_machine_types(catalog)
            await self._stored.update(catalog)
        except CloudError as exc:
            log.info("catalog not read: %s", exc)
            return RETRY_S
        except StoreUnavailableError as exc:
            log.debug("catalog not stored: %s", exc)
            return STORE_RETRY_S
        return LEADER_PERIOD_S if self._leadership.term else FOLLOWER_PERIOD_S

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        """A key has changed: the stored copy counts until the cloud's catalog was read."""
        if key != CATALOG_KEY or value is None or self.machine_types:
            return
        try:
            self._set_machine_types(parse(value, Catalog))
        except MalformedError as exc:
            log.error("stored catalog malformed: %s", exc)  # noqa: TRY400 - the message says it all

    def _set_machine_types(self, catalog: Catalog) -> None:
        self.machine_types = {kind.name: kind for kind in catalog.machine_types}
