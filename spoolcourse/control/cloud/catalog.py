"""Reads the machine types and their prices from the cloud periodically.

A controller that starts during an outage of the cloud accepts submissions based on the stored
copy of the types (`stored_catalog`).
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

# Prices change, and only the leader provisions machines by price.
LEADER_READ_PERIOD_S = 20.0
FOLLOWER_READ_PERIOD_S = 60.0
READ_RETRY_S = 1.0  # without the types no submission can be accepted
WRITE_RETRY_S = 5.0  # after the stored copy could not be written
PAUSE_JITTER_FACTORS = (0.8, 1.2)  # so that the controllers don't all read at the same time


class CatalogLoop:
    """Keeps this controller's machine types current and, on the leader, their stored copy."""

    def __init__(
        self,
        cloud: CloudClient,
        client: StoreClient,
        watch_cache: WatchCache,
        leadership: Leadership,
    ) -> None:
        self._cloud = cloud
        self._leadership = leadership
        self._stored_catalog = StoredCatalog(client, watch_cache, leadership)
        self.machine_types: dict[str, MachineType] = {}  # by name; empty until the first read
        watch_cache.add_listener(self._on_change)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            pause_s = await self._refresh()
            await asyncio.sleep(pause_s * random.uniform(*PAUSE_JITTER_FACTORS))

    async def _refresh(self) -> float:
        """Read the catalog and store it if it changed; return the pause until the next read."""
        try:
            catalog = await self._cloud.fetch_catalog()
            self._set_machine_types(catalog)
            await self._stored_catalog.update(catalog)
        except CloudError as exc:
            log.info("reading the catalog failed: %s", exc)
            return READ_RETRY_S
        except StoreUnavailableError as exc:
            log.debug("storing the catalog failed: %s", exc)
            return WRITE_RETRY_S
        return LEADER_READ_PERIOD_S if self._leadership.term else FOLLOWER_READ_PERIOD_S

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        """Use the stored copy when its key changes, if no machine types are known yet."""
        if key != CATALOG_KEY or value is None or self.machine_types:
            return
        try:
            self._set_machine_types(parse(value, Catalog))
        except MalformedError as exc:
            log.error("stored catalog is malformed: %s", exc)  # noqa: TRY400 - no traceback needed

    def _set_machine_types(self, catalog: Catalog) -> None:
        self.machine_types = {
            machine_type.name: machine_type for machine_type in catalog.machine_types
        }
