"""Terms: each is led by the one controller that was elected for it."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.store.keys import TERM_KEY
from spoolcourse.control.store.records import TermRecord
from spoolcourse.control.store.watch_cache import WatchCache


@dataclass(frozen=True, slots=True)
class Term:
    """A term that this controller was elected for."""

    number: int  # the fencing token that workers know the term by
    revision: int  # of the term key: the fencing condition of every leader write
    lease_id: int


def known_term_number(watch_cache: WatchCache) -> int:
    """The number of the latest term that the watch cache shows; 0 if there is none."""
    entry = watch_cache.get(TERM_KEY)
    return TermRecord.number_of(entry.value if entry is not None else None)
