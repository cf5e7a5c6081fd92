"""The machine types and their prices, read from the cloud now and then.

The types are kept in the key-value store as well, so that a controller that starts while the cloud
is out can take submissions.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

from spoolcourse.control.cloud.client import Cloud, CloudError, NoCapacityError
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.keys import CATALOG_KEY
from spoolcourse.control.store.records import catalog_value
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import Catalog, MachineType, MalformedError, parse

log = logging.getLogger(__name__)

# Between reads: prices move, and only the leader rents by them.
LEADING_S = 20.0
FOLLOWING_S = 60.0
RETRY_S = 1.0  # without it nothing can be accepted
STORE_RETRY_S = 5.0  # the stored one is for starts during an outage of the cloud
JITTER = (0.8, 1.2)  # so that the controllers don't ask in step


class CatalogLoop:
    """Reads the catalog, and as the leader writes what has changed of its types."""

    def __init__(
        self, cloud: Cloud, client: StoreClient, watch_cache: WatchCache, leadership: Leadership
    ) -> None:
        self._cloud = cloud
        self._client = client
        self._watch_cache = watch_cache
        self._leadership = leadership
        self.machine_types: dict[str, MachineType] = {}
        watch_cache.add_listener(self._on_change)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            try:
                catalog = await self._cloud.catalog()
                self._take(catalog)
                await self._store(catalog)
                pause = LEADING_S if self._leadership.term else FOLLOWING_S
            except (CloudError, NoCapacityError) as exc:
                log.info("catalog: %s", exc)
                pause = RETRY_S
            except StoreUnavailableError as exc:
                log.debug("catalog not stored: %s", exc)
                pause = STORE_RETRY_S
            await asyncio.sleep(pause * random.uniform(*JITTER))

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if key != CATALOG_KEY or value is None or self.machine_types:
            return
        try:
            self._take(parse(value, Catalog))
        except MalformedError as exc:
            log.error("stored catalog: %s", exc)

    def _take(self, catalog: Catalog) -> None:
        self.machine_types = {kind.name: kind for kind in catalog.machine_types}

    async def _store(self, catalog: Catalog) -> None:
        if not self._leadership.holds_lease():
            return
        machine_types = sorted(catalog.machine_types, key=lambda kind: kind.name)
        entry = self._watch_cache.get(CATALOG_KEY)
        if entry is not None:
            stored = parse(entry.value, Catalog).machine_types
            if {kind.name for kind in stored} == {kind.name for kind in machine_types}:
                return
        value = catalog_value(machine_types)
        revision = self._watch_cache.revision(CATALOG_KEY)
        outcome = await self._client.compare_and_swap(
            {CATALOG_KEY: revision}, [Put(CATALOG_KEY, value)]
        )
        if outcome.succeeded:
            self._watch_cache.apply(CATALOG_KEY, value, outcome.store_revision)
