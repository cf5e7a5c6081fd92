"""The claim of a term: one conditional write of the leader key and the term key.

A controller whose claim is carried out is elected for the term.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from spoolcourse.control.leadership.term import Term, known_term_number
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import OutcomeUnknownError
from spoolcourse.control.store.keys import LEADER_KEY, TERM_KEY
from spoolcourse.control.store.records import LeaderRecord, TermRecord
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put


@dataclass(frozen=True, slots=True)
class WonElection:
    """A won election: the claim of the term was carried out."""

    term: Term
    # Monotonic time in seconds; the lease of the leader key lasts for its TTL from here at least.
    lease_requested_at: float


class Candidate:
    """Stands for election on behalf of one controller process.

    The controller's name in the settings is `label`; `run_id` identifies the process.
    """

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        label: str,
        run_id: str,
        lease_ttl_s: float,
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._label = label
        self._run_id = run_id
        self._lease_ttl_s = lease_ttl_s

    def may_stand_for_election(self) -> bool:
        """Whether the watch cache shows no leader, or an earlier process of this controller."""
        # A restarted controller need not wait for its old lease to expire: the process that held
        # it is dead, and the new term fences the requests that it may still have in flight.
        entry = self._watch_cache.get(LEADER_KEY)
        if entry is None:
            return True
        same_label = LeaderRecord.label_of(entry.value) == self._label
        return same_label and LeaderRecord.run_id_of(entry.value) != self._run_id

    async def stand_for_election(self) -> WonElection | None:
        """Claim the next term; return None if another controller leads or claimed that term first.

        Raises `OutcomeUnknownError` if the claim may or may not be carried out,
        `RequestRefusedError` if it is not, and `LeaseExpiredError` if the lease for the leader key
        expired first.
        """
        if not await self._watch_cache.read_barrier():
            raise OutcomeUnknownError("read barrier", "no answer in time")
        if not self.may_stand_for_election():
            return None
        number = known_term_number(self._watch_cache) + 1
        # Read the expected revisions before the lease request, together with the term number. If
        # the watch delivers another controller's election meanwhile, later revisions would let this
        # claim replace it under the same number, and two leaders would share a fencing token.
        expected_revisions = self._expected_revisions()
        lease_requested_at = asyncio.get_running_loop().time()
        lease_id = await self._client.grant_lease(self._lease_ttl_s)
        # The record includes the lease so that the read-back compares it. An earlier claim of this
        # process that was carried out late has the same number, but its key is attached to another
        # lease, and renewing the new lease would not keep that key.
        record = TermRecord(number, self._run_id, lease_id)
        revision = await self._write_claim(record, expected_revisions)
        if revision is None:
            await self._watch_cache.read_barrier()
            return None
        return WonElection(Term(number, revision, lease_id), lease_requested_at)

    def _expected_revisions(self) -> dict[str, int]:
        """Return the revisions of the leader key and the term key in the watch cache."""
        return {key: self._watch_cache.revision(key) for key in (LEADER_KEY, TERM_KEY)}

    async def _write_claim(
        self, record: TermRecord, expected_revisions: dict[str, int]
    ) -> int | None:
        """Write the claim; return its revision, or None if a key has another revision by now."""
        leader_value = LeaderRecord(record, self._label).value()
        term_value = record.value()
        try:
            outcome = await self._client.compare_and_swap(
                expected_revisions,
                [Put(LEADER_KEY, leader_value, record.lease), Put(TERM_KEY, term_value)],
                urgent=True,
            )
            if not outcome.succeeded:
                return None
            revision = outcome.store_revision
        except OutcomeUnknownError:
            claim_revision = await self._read_back(term_value)
            if claim_revision is None:
                raise
            revision = claim_revision
        self._watch_cache.apply(LEADER_KEY, leader_value, revision)
        self._watch_cache.apply(TERM_KEY, term_value, revision)
        return revision

    async def _read_back(self, term_value: dict[str, Any]) -> int | None:
        """Return the revision of a claim of unknown outcome; None if the store does not hold it."""
        entry = await self._client.get(TERM_KEY)
        return entry.revision if entry is not None and entry.value == term_value else None
