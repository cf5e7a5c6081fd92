"""The proof that a new leader has seen every placement of earlier leaders.

The claim of a term is the write that elected its leader: at some revision of the key-value store
it changes the revision of the term key. Every write of an earlier leader is conditional on the
revision of the term key at its own election, so none is carried out after the claim. A placement is
written before its start is sent. A controller that has applied every change up to the claim has
therefore seen every placement whose start can have been sent.
"""

from __future__ import annotations

from enum import Enum
from typing import final

from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache


class ProofSource(Enum):
    """The source of a new leader's job queue."""

    RECORDS = "records"  # rebuilt from the records in the watch cache, after a read barrier
    SHADOW = "shadow"  # the copy that it kept as a standby, caught up to the claim by the watch


class FailoverUnprovenError(Exception):
    """It is not proven that the leader of a term has seen every placement of earlier leaders."""


class WatchCacheBehindError(FailoverUnprovenError):
    """The watch cache may lack changes before the term's claim; retry once it has caught up."""

    def __init__(self, term: Term, applied_revision: int) -> None:
        super().__init__(
            f"term {term.number} was claimed at revision {term.revision}, "
            f"but the watch cache has reached only revision {applied_revision} so far"
        )
        self.term = term
        self.applied_revision = applied_revision


class TermSupersededError(FailoverUnprovenError):
    """Another term was claimed later, so this term can never be proven."""

    def __init__(self, term: Term, latest_claim_revision: int) -> None:
        super().__init__(
            f"the claim of term {term.number} at revision {term.revision} is superseded "
            f"by the claim at revision {latest_claim_revision}"
        )
        self.term = term
        self.latest_claim_revision = latest_claim_revision


@final
class FailoverProof:
    """Proves that this controller has seen every placement of earlier leaders.

    Required by every component that makes decisions or sends commands in a term. Can be created
    only from a watch cache that has reached the claim of the term; immutable.
    """

    __slots__ = ("_applied_revision", "_source", "_term")

    def __init__(self, term: Term, watch_cache: WatchCache, source: ProofSource) -> None:
        """Check that the watch cache has reached the term's claim and shows no later claim.

        Raises `WatchCacheBehindError` or `TermSupersededError` otherwise.
        """
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
        """The term that this controller may lead."""
        return self._term

    @property
    def fencing_token(self) -> int:
        """The term number, which workers use as the fencing token."""
        return self._term.number

    @property
    def claim_revision(self) -> int:
        """The revision of the claim: no write of an earlier leader is carried out after it."""
        return self._term.revision

    @property
    def applied_revision(self) -> int:
        """The revision up to which the watch cache had applied all changes at the proof.

        It is at least that of the claim.
        """
        return self._applied_revision

    @property
    def source(self) -> ProofSource:
        """What the new leader's job queue was built from."""
        return self._source
