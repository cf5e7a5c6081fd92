"""Cancellations that this controller has confirmed or seen.

They are for a leader that can't ask the key-value store. Whatever a controller tells its users has
come by its watch cache before: its own writes, and what it read. So to remember what the cache
showed is to remember what was confirmed (docs/design.md, "What the leader may not know").
"""

from __future__ import annotations

from collections import OrderedDict

from spoolcourse.wire.peers import Cancellation

CANCELLATIONS_MAX = 20_000


class Cancellations:
    """The most recent cancellations that this controller knows of."""

    def __init__(self, max_count: int = CANCELLATIONS_MAX) -> None:
        self._max_count = max_count
        self._by_job: OrderedDict[str, Cancellation] = OrderedDict()
        self._forgotten_up_to = 0  # some of the cancellations up to this revision may be missing

    def add(self, cancellation: Cancellation) -> None:
        """Remember a cancellation; the first one of a job counts."""
        if cancellation.job in self._by_job:
            return
        self._by_job[cancellation.job] = cancellation
        while len(self._by_job) > self._max_count:
            _, oldest = self._by_job.popitem(last=False)
            self._forgotten_up_to = max(self._forgotten_up_to, oldest.revision)

    def after(self, store_revision: int) -> list[Cancellation] | None:
        """Those after a revision of the store; None if some of them may have been forgotten."""
        if store_revision < self._forgotten_up_to:
            return None
        return [c for c in self._by_job.values() if c.revision > store_revision]
