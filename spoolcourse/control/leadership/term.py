"""Terms: numbered periods, each led by the one controller that was elected for it."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.store.keys import TERM_KEY
from spoolcourse.control.store.records import TermRecord
from spoolcourse.control.store.watch_cache import WatchCache


@dataclass(frozen=True, slots=True)
class Term:
    """A term that this controller was elected for."""

    number: int  # the fencing token for workers
    revision: int  # of the term key at the claim; every write of the leader is conditional on it
    lease_id: int  # of the lease that the leader key is attached to


def known_term_number(watch_cache: WatchCache) -> int:
    """Return the number of the latest term in the watch cache; 0 if there is none."""
    entry = watch_cache.get(TERM_KEY)
    return TermRecord.number_of(entry.value if entry is not None else None)
