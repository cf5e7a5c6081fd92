"""The watch cache: a copy of the store's live keys in memory, kept current by a watch.

The live keys are those below `live/`: all but the final states of jobs. A watch is a request to the
key-value store that returns the changes after a revision.

Ways to update the cache:

- `run` polls: each poll sends a watch request, waits for changes and applies them.
- `read_barrier` returns once the cache holds every change that was made before the call. One
  request serves all callers that are waiting.
- `catch_up_to` polls at once, for a caller that knows the revision that it needs.
- `reload` reads all keys; needed if changes since the last poll are not available.

Source: PROTOCOL (the specification of the network interfaces), GET /watch.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import (
    OutcomeUnknownError,
    RevisionCompactedError,
    StoreUnavailableError,
    TooFarBehindError,
)
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.wire.key_value_store import Change, Entry

log = logging.getLogger(__name__)

# Pauses between two polls. On a follower, only elections and starts of new jobs wait for it.
FOLLOWER_WATCH_PAUSE_S = 0.25
LEADER_WATCH_PAUSE_S = 0.05
WATCH_BLOCK_S = 10.0  # a poll without changes returns after this time
BARRIER_PAUSE_S = 0.1  # between requests for read barriers, so that each serves more callers
BARRIER_TIMEOUT_S = 1.5  # then a read barrier has failed
# A watch response holds all missed changes and has no size limit: after a network partition of two
# minutes at 37 changes per second it took 55 MB. A controller that was disconnected therefore asks
# for the store's revision first.
DISCONNECTED_MARGIN_S = 5.0  # beyond the time that a poll without changes takes
MAX_CHANGES_BEHIND = 1000  # for one watch response; further behind, all keys are read page by page

# Called with key, value and revision of every change; the value is None for a deletion. No object
# is built per change, as every controller sees every write.
ChangeListener = Callable[[str, Any, int], None]


class WatchGap(Enum):
    """Why the cache can't rely on the changes that the watch delivers."""

    COMPACTED = "the state service no longer keeps the changes"
    FAR_BEHIND = "too many changes to be taken in one by one"
    REVISION_DECREASED = "the state service answered with an earlier revision"


class WatchObserver(Protocol):
    """Callbacks for the times when the cache missed changes and when it read all keys again."""

    def on_watch_gap(self, gap: WatchGap) -> None:
        """Handle missed changes. A reload follows, except after `REVISION_DECREASED`."""

    def on_reload(self) -> None:
        """Handle a reload: all keys were read, and listeners were called with the differences."""


class WatchCache:
    """A copy of the keys below `prefix + "live/"`; listeners get every change below `prefix`.

    Attributes:
        store_revision: The revision up to which the cache holds every change; -1 at first.
        synced_at: The cache holds every change that was made before this (event loop) time.
        loaded: Set while the cache is usable: all keys were read, and no change was missed since.
        watch_pause_s: Pause between two polls of the watch.
        barrier_pause_s: Pause between two requests for read barriers.
    """

    def __init__(self, client: StoreClient, prefix: str, block_s: float = WATCH_BLOCK_S) -> None:
        """Start empty; `run` loads the cache.

        Args:
            client: Client of the key-value store.
            prefix: Prefix of all keys of this service.
            block_s: The longest that a poll of the watch waits for a change.
        """
        self._client = client
        self.prefix = prefix
        self.live_prefix = prefix + "live/"
        self._block_s = block_s
        self._entries: dict[str, Entry] = {}
        # Revisions of deletions applied ahead of the watch or during a reload, by key: a page read
        # before a deletion must not restore the key.
        self._deletion_revisions: dict[str, int] = {}
        self._active_reloads = 0
        self._listeners: list[ChangeListener] = []
        self._observers: list[WatchObserver] = []
        self.store_revision = -1
        self.synced_at = float("-inf")
        self.loaded = asyncio.Event()
        self._barrier_waiters: list[asyncio.Future[None]] = []
        self._barrier_task: asyncio.Task[None] | None = None
        self.barrier_pause_s = BARRIER_PAUSE_S
        self.watch_pause_s = FOLLOWER_WATCH_PAUSE_S

    def add_listener(self, listener: ChangeListener) -> None:
        """Call a listener with every change, in the order in which listeners were added."""
        self._listeners.append(listener)

    def add_observer(self, observer: WatchObserver) -> None:
        """Notify an observer of gaps and reloads."""
        self._observers.append(observer)

    # -- the entries ----------------------------------------------------------------------

    def get(self, key: str) -> Entry | None:
        """The cached entry of a key; None if the key does not exist."""
        return self._entries.get(key)

    def entries_below(self, prefix: str) -> list[Entry]:
        """The entries whose keys start with a prefix."""
        return [e for k, e in self._entries.items() if k.startswith(prefix)]

    def revision(self, key: str) -> int:
        """The revision of a key's last change; 0 if the key does not exist."""
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def apply(self, key: str, value: Any, revision: int) -> None:
        """Apply one change of a key and call the listeners; `value` is None for a deletion.

        Has no effect if this change or a later one of the key was applied before.
        """
        entry = self._entries.get(key)
        if revision <= max(entry.revision if entry else 0, self._deletion_revisions.get(key, 0)):
            return
        if key.startswith(self.live_prefix):
            if value is None:
                self._entries.pop(key, None)
                if revision > self.store_revision:
                    self._deletion_revisions[key] = revision
            else:
                self._deletion_revisions.pop(key, None)
                self._entries[key] = Entry(key, value, revision)
        for listener in self._listeners:
            listener(key, value, revision)

    def _apply_changes(self, store_revision: int, changes: list[Change]) -> None:
        for change in changes:
            # Responses to the watch and to read barriers overlap: an old put must not restore a
            # key that was deleted since.
            if change.revision > self.store_revision:
                self.apply(change.key, change.value, change.revision)
        if store_revision > self.store_revision:
            self.store_revision = store_revision
            if self._deletion_revisions and not self._active_reloads:
                self._deletion_revisions = {
                    k: r for k, r in self._deletion_revisions.items() if r > store_revision
                }

    # -- all keys -------------------------------------------------------------------------

    async def reload(self) -> None:
        """Read all live keys again; listeners see missing keys as deleted.

        Raises:
            StoreUnavailableError: Not all pages were read; the cache is unchanged.
        """
        started_at = asyncio.get_running_loop().time()
        self._active_reloads += 1
        try:
            listing = await self._client.list_entries(self.live_prefix)
            self._replace_entries(listing.entries, listing.store_revision)
        finally:
            self._active_reloads -= 1
        self._apply_changes(listing.store_revision, [])
        self.synced_at = max(self.synced_at, started_at)
        self._mark_loaded()

    def _replace_entries(self, entries: list[Entry], store_revision: int) -> None:
        listed_keys = {e.key for e in entries}
        for key in [
            k
            for k, e in self._entries.items()
            if k not in listed_keys and e.revision <= store_revision
        ]:
            self.apply(key, None, max(store_revision, self._entries[key].revision + 1))
        for entry in entries:
            self.apply(entry.key, entry.value, entry.revision)

    def _mark_loaded(self) -> None:
        self.loaded.set()
        for observer in self._observers:
            observer.on_reload()

    # -- the watch ------------------------------------------------------------------------

    async def run(self) -> None:
        """Poll the watch until cancelled; reload if changes were missed."""
        retry = RetryDelay()
        while True:
            try:
                if not self.loaded.is_set():
                    await self.reload()
                await self._poll_watch(self._block_s, urgent=True)
                retry.reset()
                # The leader writes many times a second, and each write wakes every controller.
                # Changes made during this pause arrive in one response.
                await asyncio.sleep(self.watch_pause_s)
            except RevisionCompactedError as exc:
                log.info("watch missed changes, reading all keys again: %s", exc)
                self._invalidate(exc)
            except StoreUnavailableError as exc:
                log.debug("watch: %s", exc)
                await retry.wait()

    async def catch_up_to(self, store_revision: int) -> bool:
        """Poll at once if the cache is behind a revision; return whether it has reached it.

        A failover uses this instead of a read barrier, which makes callers wait for one another to
        save requests.
        """
        if self.store_revision < store_revision and self.loaded.is_set():
            try:
                await self._poll_watch(0.0, urgent=True)
            except RevisionCompactedError as exc:
                self._invalidate(exc)
            except StoreUnavailableError as exc:
                log.debug("catching up to revision %d: %s", store_revision, exc)
        return self.loaded.is_set() and self.store_revision >= store_revision

    async def _poll_watch(self, block_s: float, urgent: bool = False) -> None:
        """Send one watch request, which blocks for `block_s` at most, and apply the changes.

        Raises:
            RevisionCompactedError: All keys must be read instead.
            StoreUnavailableError: There was no usable response.
        """
        started_at = asyncio.get_running_loop().time()
        if started_at - self.synced_at > self._block_s + DISCONNECTED_MARGIN_S:
            latest = await self._client.latest_revision(self.live_prefix)
            if latest - self.store_revision > MAX_CHANGES_BEHIND:
                raise TooFarBehindError(self.prefix, self.store_revision, latest)
        since = self.store_revision
        result = await self._client.watch(self.prefix, since, block_s, urgent=urgent)
        if result.store_revision < since:
            self._notify_gap(WatchGap.REVISION_DECREASED)
        self._apply_changes(result.store_revision, result.changes)
        self.synced_at = max(self.synced_at, started_at)

    def _invalidate(self, error: RevisionCompactedError) -> None:
        """Mark the cache as not loaded, so that `run` reloads it."""
        self.loaded.clear()
        far_behind = isinstance(error, TooFarBehindError)
        self._notify_gap(WatchGap.FAR_BEHIND if far_behind else WatchGap.COMPACTED)

    def _notify_gap(self, gap: WatchGap) -> None:
        for observer in self._observers:
            observer.on_watch_gap(gap)

    # -- read barriers --------------------------------------------------------------------

    async def read_barrier(self, timeout_s: float = BARRIER_TIMEOUT_S) -> bool:
        """Wait until the cache holds every change made before this call.

        Returns:
            False if the cache is not loaded, or the store did not answer in time.
        """
        if not self.loaded.is_set():
            return False
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._barrier_waiters.append(waiter)
        if self._barrier_task is None or self._barrier_task.done():
            self._barrier_task = loop.create_task(self._serve_barriers())
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except (TimeoutError, StoreUnavailableError):
            return False
        return True

    async def _serve_barriers(self) -> None:
        """Poll until no caller waits for a read barrier; each poll serves all waiting callers."""
        while self._barrier_waiters:
            waiters, self._barrier_waiters = self._barrier_waiters, []
            error = await self._poll_for_barrier()
            for waiter in waiters:
                if not waiter.done():
                    if error is None:
                        waiter.set_result(None)
                    else:
                        waiter.set_exception(error)
            # Under load, a pause lets one request serve more callers.
            await asyncio.sleep(self.barrier_pause_s)

    async def _poll_for_barrier(self) -> StoreUnavailableError | None:
        try:
            await self._poll_watch(0.0)
        except RevisionCompactedError as exc:
            self._invalidate(exc)
            return OutcomeUnknownError("read barrier", str(exc))
        except StoreUnavailableError as exc:
            return exc
        return None
