"""Cancellations that this controller has confirmed or seen.

They are for a leader that can't ask the key-value store. Whatever a controller tells its users has
come by its watch cache before: its own writes, and what it read. So to remember what the cache
showed is to remember what was confirmed.
"""

from __future__ import annotations

from collections import OrderedDict

from spoolcourse.wire.peers import Cancellation

KNOWN_MAX = 20_000


class Cancellations:
    """The most recent cancellations that this controller knows of."""

    def __init__(self, most: int = KNOWN_MAX) -> None:
        self._most = most
        self._known: OrderedDict[str, Cancellation] = OrderedDict()
        self._floor = 0  # of what happened up to this revision some may be forgotten

    def note(self, found: Cancellation) -> None:
        """Remember a cancellation."""
        if found.job in self._known:
            return
        self._known[found.job] = found
        while len(self._known) > self._most:
            _, oldest = self._known.popitem(last=False)
            self._floor = max(self._floor, oldest.revision)

    def beyond(self, store_revision: int) -> list[Cancellation] | None:
        """Those later than a revision; None if some of them may have been forgotten."""
        if store_revision < self._floor:
            return None
        return [c for c in self._known.values() if c.revision > store_revision]
