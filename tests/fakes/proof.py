"""Failover proofs for tests of single components."""

from __future__ import annotations

from spoolcourse.control.leadership.failover_proof import FailoverProof, ProofSource
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX, TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.settings import StoreLimits
from tests.fakes.network import FakeNetwork

LIMITS = StoreLimits(rps=100.0, write_rps=30.0, value_kb=8.0, txn_ops=24)


def cache_at(store_revision: int) -> WatchCache:
    """A watch cache that has applied every change up to a revision."""
    client = StoreClient(FakeNetwork().client_of("n0"), "state:1", LIMITS, controllers=1)
    watch_cache = WatchCache(client, PREFIX)
    watch_cache.store_revision = store_revision
    return watch_cache


def proof_of_term(number: int, revision: int = 1) -> FailoverProof:
    """The failover proof of a term that was claimed at a revision."""
    watch_cache = cache_at(revision)
    watch_cache.apply(TERM_KEY, {"term": number}, revision)
    return FailoverProof(Term(number, revision, 0), watch_cache, ProofSource.RECORDS)
