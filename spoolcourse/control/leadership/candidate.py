"""The claim of the next term: one conditional write of the leader key and the term key."""

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
    """A claim that was carried out."""

    term: Term
    lease_requested_at: float  # steady clock, seconds: the lease lasts its TTL from here at least


class Candidate:
    """Stands for election on behalf of one run of a controller."""

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

    def may_stand(self) -> bool:
        """Whether nobody is known to lead, or only an earlier run of this controller."""
        # A restarted process need not wait for its own lease: the run that held it is
        # dead, and the new term fences whatever it still has on the way.
        entry = self._watch_cache.get(LEADER_KEY)
        if entry is None:
            return True
        same_label = LeaderRecord.label_of(entry.value) == self._label
        return same_label and LeaderRecord.run_id_of(entry.value) != self._run_id

    async def stand_for_election(self) -> WonElection | None:
        """Claim the next term; None if another controller leads or was faster.

        Raises `OutcomeUnknownError` if the claim may or may not be carried out,
        `RequestRefusedError` if it is not, and `LeaseExpiredError` if its lease ended before.
        """
        if not await self._watch_cache.read_barrier():
            raise OutcomeUnknownError("read barrier", "no answer in time")
        if not self.may_stand():
            return None
        number = known_term_number(self._watch_cache) + 1
        # The claim is conditional on what the number was taken from. The watch may bring
        # another's election while the lease is granted: with the revisions of that, this claim
        # would push it out under the very same number, and two would share a fencing token.
        expected_revisions = self._expected_revisions()
        lease_requested_at = asyncio.get_running_loop().time()
        lease_id = await self._client.grant_lease(self._lease_ttl_s)
        # The lease is part of what the read-back compares. An earlier claim of this run that
        # was carried out late has the same number, but its key hangs on another lease, and
        # renewing the new one would keep alive nothing.
        record = TermRecord(number, self._run_id, lease_id)
        revision = await self._claim(record, expected_revisions)
        if revision is None:
            await self._watch_cache.read_barrier()
            return None
        return WonElection(Term(number, revision, lease_id), lease_requested_at)

    def _expected_revisions(self) -> dict[str, int]:
        return {key: self._watch_cache.revision(key) for key in (LEADER_KEY, TERM_KEY)}

    async def _claim(self, record: TermRecord, expected_revisions: dict[str, int]) -> int | None:
        """Write the claim; returns the revision that it got, None if a condition did not hold."""
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
            claimed_at = await self._read_back(term_value)
            if claimed_at is None:
                raise
            revision = claimed_at
        self._watch_cache.apply(LEADER_KEY, leader_value, revision)
        self._watch_cache.apply(TERM_KEY, term_value, revision)
        return revision

    async def _read_back(self, term_value: dict[str, Any]) -> int | None:
        """The revision of a claim of unknown outcome; None unless the term key shows it."""
        entry = await self._client.get(TERM_KEY)
        return entry.revision if entry is not None and entry.value == term_value else None
