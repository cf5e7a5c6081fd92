"""Copy of the machine types in the key-value store, for starts during an outage of the cloud."""

from __future__ import annotations

from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import CATALOG_KEY
from spoolcourse.control.store.records import catalog_value
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put
from spoolcourse.wire.messages import Catalog, MachineType, parse


class StoredCatalog:
    """Writes the stored copy of the catalog, on the leader only.

    The prices in the copy may be outdated: it is written again only if the types' names change.
    """

    def __init__(
        self, client: StoreClient, watch_cache: WatchCache, leadership: Leadership
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._leadership = leadership

    async def update(self, catalog: Catalog) -> None:
        """Store the machine types if this controller leads and their names have changed.

        Raises:
            StoreUnavailableError: The write was refused, or its outcome is unknown.
        """
        if not self._leadership.holds_lease():
            return
        machine_types = sorted(catalog.machine_types, key=_type_name)
        if self._is_up_to_date(machine_types):
            return
        value = catalog_value(machine_types)
        revision = self._watch_cache.revision(CATALOG_KEY)
        outcome = await self._client.compare_and_swap(
            {CATALOG_KEY: revision}, [Put(CATALOG_KEY, value)]
        )
        if outcome.succeeded:
            self._watch_cache.apply(CATALOG_KEY, value, outcome.store_revision)

    def _is_up_to_date(self, machine_types: list[MachineType]) -> bool:
        """Whether the stored copy has types of the same names."""
        entry = self._watch_cache.get(CATALOG_KEY)
        if entry is None:
            return False
        stored = parse(entry.value, Catalog).machine_types
        return {_type_name(stored_type) for stored_type in stored} == {
            _type_name(machine_type) for machine_type in machine_types
        }


def _type_name(machine_type: MachineType) -> str:
    return machine_type.name
