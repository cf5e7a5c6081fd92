"""Writes of a single key that succeed only while the leader's term is the latest one."""

from __future__ import annotations

import logging
from typing import Any

from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.keys import TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put

log = logging.getLogger(__name__)


async def write_fenced(
    client: StoreClient,
    watch_cache: WatchCache,
    term: Term,
    key: str,
    value: dict[str, Any],
    expected_revisions: dict[str, int],
) -> bool:
    """Write a value if the term is the latest one and the keys have the expected revisions.

    Returns whether the value is known to be written. After False it may have been written, or may
    be later; the watch cache then shows it.
    """
    expected_revisions = expected_revisions | {TERM_KEY: term.revision}
    try:
        outcome = await client.compare_and_swap(expected_revisions, [Put(key, value)])
    except StoreUnavailableError as exc:
        log.info("fenced write not confirmed, key=%s term=%d: %s", key, term.number, exc)
        return False
    if outcome.succeeded:
        watch_cache.apply(key, value, outcome.store_revision)
    return outcome.succeeded
