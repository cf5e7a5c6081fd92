"""A copy of the live keys, kept warm by a watch and made current on request.

`sync` is the read barrier of every controller: after it, the copy holds every change that
was made before the call. One request serves all callers that wait at the time.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Any

from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import (
    OutcomeUnknownError,
    RevisionCompactedError,
    StoreUnavailableError,
    TooFarBehindError,
)
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.wire.key_value_store import Entry

log = logging.getLogger(__name__)

WATCH_GAP_S = 0.25  # nothing waits for the watch but the next election, and new jobs' starts
WATCH_GAP_LEADING_S = 0.05
WATCH_BLOCK_S = 10.0  # a watch that brings nothing is opened again
SYNC_GAP_S = 0.1  # between syncs, so that one answers more callers
SYNC_TIMEOUT_S = 1.5
# A controller that was away asks first how far it is behind. A watch answers with every change
# since, without a limit of size: after two minutes behind a cut that took 55 MB at 37 changes a
# second.
AWAY_MARGIN_S = 5.0  # beyond the time that a watch may take without a change
CHANGES_MOST = 1000  # to be caught up with by a watch; further behind all keys are read, by pages

Listener = Callable[[str, Any, int], None]


class WatchGap(Enum):
    """Why the changes since the last answer can't all be had, or can't be trusted."""

    COMPACTED = "the state service no longer keeps the changes"
    FAR_BEHIND = "too many changes to be taken in one by one"
    WENT_BACK = "the state service answered with an earlier revision"


class WatchCache:
    """Keys below `prefix + "live/"`; changes elsewhere below `prefix` go to listeners only."""

    def __init__(self, client: StoreClient, prefix: str, block_s: float = WATCH_BLOCK_S) -> None:
        self._client = client
        self.prefix = prefix
        self.live = prefix + "live/"
        self._block_s = block_s
        self._entries: dict[str, Entry] = {}
        # Keys deleted ahead of the watch, or while all keys are being read: a page that was read
        # before must not bring them back.
        self._deleted_ahead: dict[str, int] = {}
        self._reads = 0  # of all keys, under way
        self._listeners: list[Listener] = []
        self.store_revision = -1
        self.synced_at = float("-inf")  # a call sent then has been answered
        self.loaded = asyncio.Event()
        self._sync_waiters: list[asyncio.Future[None]] = []
        self._sync_task: asyncio.Task[None] | None = None
        self.on_gap: Callable[[WatchGap], None] = lambda gap: None
        self.on_load: Callable[[], None] = lambda: None
        self.sync_gap_s = SYNC_GAP_S
        self.watch_gap_s = WATCH_GAP_S

    def listen(self, listener: Listener) -> None:
        """Have a listener told of every change."""
        self._listeners.append(listener)

    def get(self, key: str) -> Entry | None:
        """The entry of a key, if it exists."""
        return self._entries.get(key)

    def below(self, prefix: str) -> list[Entry]:
        """The entries below a prefix."""
        return [e for k, e in self._entries.items() if k.startswith(prefix)]

    def revision(self, key: str) -> int:
        """The revision of a key's last change; 0 if it does not exist."""
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def apply(self, key: str, value: Any, revision: int) -> None:
        """Take over one change; older ones than what is known change nothing."""
        entry = self._entries.get(key)
        if revision <= max(entry.revision if entry else 0, self._deleted_ahead.get(key, 0)):
            return
        if key.startswith(self.live):
            if value is None:
                self._entries.pop(key, None)
                if revision > self.store_revision:
                    self._deleted_ahead[key] = revision
            else:
                self._deleted_ahead.pop(key, None)
                self._entries[key] = Entry(key, value, revision)
        for listener in self._listeners:
            listener(key, value, revision)

    def _advance(self, store_revision: int, changes: list[Any]) -> None:
        for change in changes:
            # The ranges of a watch and of a sync overlap: a set that we have seen
            # deleted must not come back.
            if change.revision > self.store_revision:
                self.apply(change.key, change.value, change.revision)
        if store_revision > self.store_revision:
            self.store_revision = store_revision
            if self._deleted_ahead and not self._reads:
                self._deleted_ahead = {
                    k: s for k, s in self._deleted_ahead.items() if s > store_revision
                }

    async def reload(self) -> None:
        """Read all live keys afresh; keys that are gone are reported as deleted."""
        start = asyncio.get_running_loop().time()
        self._reads += 1
        try:
            entries, store_revision = await self._client.list_entries(self.live)
            self._replace(entries, store_revision)
        finally:
            self._reads -= 1
        self._advance(store_revision, [])
        self.synced_at = max(self.synced_at, start)
        self.loaded.set()
        self.on_load()

    def _replace(self, entries: list[Entry], store_revision: int) -> None:
        present = {e.key for e in entries}
        for key in [
            k for k, e in self._entries.items() if k not in present and e.revision <= store_revision
        ]:
            self.apply(key, None, max(store_revision, self._entries[key].revision + 1))
        for entry in entries:
            self.apply(entry.key, entry.value, entry.revision)

    async def run(self) -> None:
        """Keep the copy warm until cancelled."""
        retry = RetryDelay()
        while True:
            try:
                if not self.loaded.is_set():
                    await self.reload()
                await self._follow(self._block_s, urgent=True)
                retry.reset()
                # A leader at work writes many times a second, and every controller is woken by
                # each write. What comes within this pause comes with one answer.
                await asyncio.sleep(self.watch_gap_s)
            except RevisionCompactedError as exc:
                log.info("watch fell behind; reading all keys again")
                self._fall_behind(exc)
            except StoreUnavailableError as exc:
                log.debug("watch: %s", exc)
                await retry.wait()

    async def read_barrier(self, timeout: float = SYNC_TIMEOUT_S) -> bool:
        """True once the copy is as new as this call; False if that can't be had in time."""
        if not self.loaded.is_set():
            return False
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._sync_waiters.append(waiter)
        if self._sync_task is None or self._sync_task.done():
            self._sync_task = loop.create_task(self._serve_syncs())
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except (TimeoutError, StoreUnavailableError):
            return False
        return True

    async def catch_up_to(self, store_revision: int) -> bool:
        """Catch up to a revision with one request at once; whether that is done.

        `sync` makes callers wait for one another, which spares requests; a failover waits for
        nobody.
        """
        if self.store_revision < store_revision and self.loaded.is_set():
            try:
                await self._follow(0.0, urgent=True)
            except RevisionCompactedError as exc:
                self._fall_behind(exc)
            except StoreUnavailableError as exc:
                log.debug("catching up: %s", exc)
        return self.loaded.is_set() and self.store_revision >= store_revision

    def _fall_behind(self, error: RevisionCompactedError) -> None:
        self.loaded.clear()
        far_behind = isinstance(error, TooFarBehindError)
        self.on_gap(WatchGap.FAR_BEHIND if far_behind else WatchGap.COMPACTED)

    async def _follow(self, block_s: float, urgent: bool = False) -> None:
        """Take in the changes since; raises `CompactedError` if all keys are to be read instead."""
        start = asyncio.get_running_loop().time()
        if start - self.synced_at > self._block_s + AWAY_MARGIN_S:
            latest = await self._client.latest_revision(self.live)
            if latest - self.store_revision > CHANGES_MOST:
                raise TooFarBehindError(self.prefix, self.store_revision, latest)
        since = self.store_revision
        store_revision, changes = await self._client.watch(
            self.prefix, since, block_s, urgent=urgent
        )
        if store_revision < since:
            self.on_gap(WatchGap.WENT_BACK)
        self._advance(store_revision, changes)
        self.synced_at = max(self.synced_at, start)

    async def _serve_syncs(self) -> None:
        while self._sync_waiters:
            batch, self._sync_waiters = self._sync_waiters, []
            try:
                await self._follow(0.0)
                error: Exception | None = None
            except RevisionCompactedError as exc:
                self._fall_behind(exc)
                error = OutcomeUnknownError("read barrier", str(exc))
            except StoreUnavailableError as exc:
                error = exc
            for waiter in batch:
                if not waiter.done():
                    if error is None:
                        waiter.set_result(None)
                    else:
                        waiter.set_exception(error)
            # Under load, wait a little so that one request answers more callers.
            await asyncio.sleep(self.sync_gap_s)
