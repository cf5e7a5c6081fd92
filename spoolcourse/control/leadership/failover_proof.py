"""The proof that a new leader has seen every placement of the leaders before it.

The claim of a term is a write at some revision of the key-value store, and it changes the revision
of the term key. Every write of an earlier leader is conditional on the term key as that leader
knew it, so none is carried out after the claim; and a placement is written before its start is
sent. A controller that has applied every change up to the claim has therefore seen every placement
that can ever have been sent.
"""

from __future__ import annotations

from enum import Enum
from typing import final

from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache


class ProofSource(Enum):
    """Where the job queue of a new leader came from."""

    RECORDS = "records"  # rebuilt from the records after a read barrier
    SHADOW = "shadow"  # kept current by the watch, and caught up to the claim


class FailoverUnprovenError(Exception):
    """The failover to a term is not proven."""


class WatchCacheBehindError(FailoverUnprovenError):
    """Changes before the claim may be missing from the watch cache: catch up and try again."""

    def __init__(self, term: Term, applied_revision: int) -> None:
        super().__init__(
            f"term {term.number} was claimed at revision {term.revision}, "
            f"and only {applied_revision} is applied"
        )
        self.term = term
        self.applied_revision = applied_revision


class TermSupersededError(FailoverUnprovenError):
    """The claim is not the latest one that is known: this term can never be proven."""

    def __init__(self, term: Term, latest_claim_revision: int) -> None:
        super().__init__(
            f"the claim of term {term.number} at revision {term.revision} is not the latest one, "
            f"that is at revision {latest_claim_revision}"
        )
        self.term = term
        self.latest_claim_revision = latest_claim_revision


@final
class FailoverProof:
    """Required by every part that decides or commands for a term.

    It can be made only from a watch cache that has reached the claim of the term, and it does not
    change afterwards.
    """

    __slots__ = ("_applied_revision", "_source", "_term")

    def __init__(self, term: Term, watch_cache: WatchCache, source: ProofSource) -> None:
        """Raises `WatchCacheBehindError` or `TermSupersededError` if there is no proof."""
        applied_revision = watch_cache.store_revision
        if applied_revision < term.revision:
            raise WatchCacheBehindError(term, applied_revision)
        latest_claim_revision = watch_cache.revision(TERM_KEY)
        if latest_claim_revision != term.revision:
            raise TermSupersededError(term, latest_claim_revision)
        self._term = term
        self._applied_revision = applied_revision
        self._source = source

    @property
    def term(self) -> Term:
        """The term that may be led."""
        return self._term

    @property
    def fencing_token(self) -> int:
        """The number that workers know the term by."""
        return self._term.number

    @property
    def claim_revision(self) -> int:
        """The revision of the claim: no write of an earlier leader is carried out after it."""
        return self._term.revision

    @property
    def applied_revision(self) -> int:
        """The revision up to which every change had been applied; not below the claim."""
        return self._applied_revision

    @property
    def source(self) -> ProofSource:
        """Where the job queue came from."""
        return self._source
