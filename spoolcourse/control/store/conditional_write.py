"""One value written if its conditions hold, as notes of a term are."""

from __future__ import annotations

import logging
from typing import Any

from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put

log = logging.getLogger(__name__)


async def write_if(
    client: StoreClient,
    watch_cache: WatchCache,
    key: str,
    value: dict[str, Any],
    expected_revisions: dict[str, int],
) -> bool:
    """Write a value if the keys have these revisions; whether it is known to be written.

    After False it may be written nevertheless, now or later: the watch cache will show that.
    """
    try:
        outcome = await client.compare_and_swap(expected_revisions, [Put(key, value)])
    except StoreUnavailableError as exc:
        log.info("%s is not written yet: %s", key, exc)
        return False
    if outcome.succeeded:
        watch_cache.apply(key, value, outcome.store_revision)
    return outcome.succeeded
