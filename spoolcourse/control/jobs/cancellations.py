"""Cancellations that this controller has confirmed or seen.

A leader that can't read the key-value store queries the other controllers for the cancellations
that they have confirmed (see `cancellation_query`). A controller confirms a cancellation to users
only after its own write or a read has brought it into the watch cache. Remembering every
cancellation in the cache therefore covers all confirmed ones (docs/design.md, "What the leader may
not know").
"""

from __future__ import annotations

from collections import OrderedDict

from spoolcourse.wire.peers import Cancellation

CANCELLATIONS_MAX = 20_000  # the oldest are evicted


class Cancellations:
    """The most recent cancellations that this controller knows of."""

    def __init__(self, max_count: int = CANCELLATIONS_MAX) -> None:
        self._max_count = max_count
        self._by_job: OrderedDict[str, Cancellation] = OrderedDict()
        self._evicted_up_to_revision = 0  # cancellations up to it may have been evicted

    def add(self, cancellation: Cancellation) -> None:
        """Add a cancellation; only the first one of each job is kept."""
        if cancellation.job in self._by_job:
            return
        self._by_job[cancellation.job] = cancellation
        while len(self._by_job) > self._max_count:
            _, oldest = self._by_job.popitem(last=False)
            self._evicted_up_to_revision = max(self._evicted_up_to_revision, oldest.revision)

    def after(self, store_revision: int) -> list[Cancellation] | None:
        """Return the cancellations later than a store revision; None if some may be evicted."""
        if store_revision < self._evicted_up_to_revision:
            return None
        return [c for c in self._by_job.values() if c.revision > store_revision]
