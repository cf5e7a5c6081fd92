"""A proof exists only once every write of earlier terms has been applied."""

from __future__ import annotations

import pytest

from spoolcourse.control.leadership.failover_proof import (
    FailoverProof,
    ProofSource,
    TermSupersededError,
    WatchCacheBehindError,
)
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import TERM_KEY
from tests.fakes.proof import cache_at, proof_of_term


def test_a_proof_needs_every_change_up_to_the_claim() -> None:
    watch_cache = cache_at(40)
    watch_cache.apply(TERM_KEY, {"term": 3}, 41)  # the claim is known before the watch delivers it
    with pytest.raises(
        WatchCacheBehindError, match="revision 41, but the watch cache has reached only revision 40"
    ):
        FailoverProof(Term(3, 41, 0), watch_cache, ProofSource.SHADOW)
    watch_cache.store_revision = 41
    proof = FailoverProof(Term(3, 41, 0), watch_cache, ProofSource.SHADOW)
    assert (proof.fencing_token, proof.claim_revision, proof.applied_revision) == (3, 41, 41)


def test_there_is_no_proof_for_a_superseded_term() -> None:
    watch_cache = cache_at(60)
    watch_cache.apply(TERM_KEY, {"term": 4}, 55)
    with pytest.raises(TermSupersededError):
        FailoverProof(Term(3, 41, 0), watch_cache, ProofSource.RECORDS)


def test_a_proof_is_immutable() -> None:
    with pytest.raises(AttributeError):
        proof_of_term(7).term = Term(8, 9, 0)  # type: ignore[misc]
