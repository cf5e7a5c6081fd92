"""One leader at a time: a leased key says who, a term key fences what it writes.

The term is the workers' fencing token. Every write of a leader is conditional on the revision
that the term key got when it was elected, so a deposed leader's writes fail however
late they arrive. The lease only decides when others may stand for election; nothing
is safe because of it alone.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from spoolcourse.control.leadership.renewal_deadline import CLOCK_DRIFT
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    StoreClient,
)
from spoolcourse.control.store.keys import LEADER, TERM
from spoolcourse.control.store.records import LeaderRecord, TermRecord
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.key_value_store import Put

log = logging.getLogger(__name__)

LEASE_S = 2.5  # of the leader key; so long nobody else can lead
RENEW_SHARE = 1 / 4  # of the lease, between renewals
RENEW_RETRY_SHARE = 1 / 12  # after one that failed
RESIGNED_S = 5.0  # for so long a leader that has resigned lets others stand
ELECTION_PAUSE_S = (0.1, 0.4)  # by chance, so that two candidates don't stand in step


class LeadershipListener(Protocol):
    """Called at once when this controller's leadership begins or ends."""

    def on_elected(self, term: Term) -> None:
        """This controller has been elected for the term."""

    def on_stepped_down(self) -> None:
        """This controller does not lead any more."""


def no_candidacy_delay_s() -> float:
    """Stand for election at once."""
    return 0.0


class Leadership:
    """Stands for election when nobody leads, and keeps the lease while leading."""

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        label: str,
        run_id: str,
        ttl_s: float = LEASE_S,
        listener: LeadershipListener | None = None,
        candidacy_delay_s: Callable[[], float] = no_candidacy_delay_s,
    ) -> None:
        """`candidacy_delay_s`: for how long to let others stand first; one that is behind does."""
        self._client = client
        self._watch_cache = watch_cache
        self._label = label
        self._run_id = run_id
        self._ttl_s = ttl_s
        self._listener = listener
        self._candidacy_delay_s = candidacy_delay_s
        self.term: Term | None = None
        self.terms = 0  # elected so many times
        self.vacant_at: float | None = None  # when this controller saw that nobody leads
        self._valid_until = float("-inf")
        self._stands_from = float("-inf")
        self._changed = asyncio.Event()
        self._stepped_down = asyncio.Event()
        watch_cache.listen(self._on_change)

    @property
    def leader_label(self) -> str | None:
        """The label of the leader as far as this controller knows."""
        entry = self._watch_cache.get(LEADER)
        return LeaderRecord.label_of(entry.value) if entry else None

    @property
    def informed(self) -> bool:
        """Whether this controller would have heard of a change of leader by now."""
        silence = asyncio.get_running_loop().time() - self._watch_cache.synced_at
        return silence < 2 * self._ttl_s

    def valid(self) -> bool:
        """True while no other controller can have been elected."""
        return self.term is not None and (
            asyncio.get_running_loop().time() < self._valid_until
            and not self._stepped_down.is_set()
        )

    def step_down(self, reason: str) -> None:
        """Step down at once."""
        if self.term is None:
            return
        log.info("term %d: stepping down: %s", self.term.number, reason)
        self.term = None
        self._valid_until = float("-inf")
        self._stepped_down.set()
        self._client.set_leader(False)
        if self._listener is not None:
            self._listener.on_stepped_down()

    async def resign(self, reason: str) -> None:
        """Step down, and let the lease go at once: others need not wait for its end."""
        term = self.term
        if term is None:
            return
        self._stands_from = asyncio.get_running_loop().time() + RESIGNED_S
        self.step_down(reason)
        try:
            await self._client.release(term.lease_id)
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            log.info("the lease is left to run out: %s", exc)

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if key in (LEADER, TERM):
            self._changed.set()
            if key == LEADER:
                self._note_vacancy(value)
            if key == TERM and self.term is not None and revision > self.term.revision:
                self.step_down("a newer term was elected")

    def _note_vacancy(self, value: Any) -> None:
        if value is None:
            self.vacant_at = asyncio.get_running_loop().time()
        elif LeaderRecord.label_of(value) != self._label:
            self.vacant_at = (
                None  # a failover of this controller's own is counted from the next one
            )

    async def run(self) -> None:
        """Stand for election, lead, and stand again, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._watch_cache.loaded.wait()
            if self.term is not None:
                await self._lead()
                continue
            self._changed.clear()
            entry = self._watch_cache.get(LEADER)
            if entry is not None and not self._is_former_self(entry.value):
                # Wake for a change; look again now and then in case the watch hangs.
                try:
                    async with asyncio.timeout(self._ttl_s):
                        await self._changed.wait()
                except TimeoutError:
                    if loop.time() - self._watch_cache.synced_at > self._ttl_s:
                        await self._watch_cache.read_barrier()
                continue
            if await self._another_stands():
                continue
            try:
                await self._stand()
            except (RequestRefusedError, OutcomeUnknownError, LeaseExpiredError) as exc:
                log.debug("election: %s", exc)
                await asyncio.sleep(random.uniform(*ELECTION_PAUSE_S))

    async def _another_stands(self) -> bool:
        """Let others stand first where this controller is behind or has resigned; whether one did.

        The wait is bounded: with all controllers behind, somebody still leads.
        """
        resigned_for_s = self._stands_from - asyncio.get_running_loop().time()
        delay_s = max(self._candidacy_delay_s(), resigned_for_s)
        if delay_s <= 0:
            return False
        log.info("others may stand for election for %.1f s", delay_s)
        try:
            async with asyncio.timeout(delay_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _is_former_self(self, value: dict[str, str]) -> bool:
        # A restarted process need not wait for its own lease: the run that held it is
        # dead, and the new term fences whatever it still has on the way.
        same_label = LeaderRecord.label_of(value) == self._label
        return same_label and LeaderRecord.run_of(value) != self._run_id

    async def _stand(self) -> None:
        loop = asyncio.get_running_loop()
        if not await self._watch_cache.read_barrier():
            raise OutcomeUnknownError("the state service did not answer")
        leader, former = self._watch_cache.get(LEADER), self._watch_cache.get(TERM)
        if leader is not None and not self._is_former_self(leader.value):
            return
        number = TermRecord.number_of(former.value if former else None) + 1
        # What the number was taken from is what the claim is conditional on. The watch may
        # bring another's election while the lease is granted: with the revisions of that, this
        # claim would push it out under the very same number, and two would share a fencing token.
        conditions = {
            LEADER: leader.revision if leader else 0,
            TERM: former.revision if former else 0,
        }
        sent = loop.time()
        lease = await self._client.grant(self._ttl_s)
        # The lease is part of what the read-back asks for: an earlier claim of this run that
        # was carried out late has the same number, but its key hangs on another lease, and
        # renewing the new one would keep alive nothing.
        record = TermRecord(number, self._run_id, lease)
        tenure = record.value()
        claim = LeaderRecord(record, self._label).value()
        try:
            outcome = await self._client.compare_and_swap(
                conditions,
                [Put(LEADER, claim, lease), Put(TERM, tenure)],
                urgent=True,
            )
            if not outcome.ok:
                await self._watch_cache.read_barrier()
                return
            revision = outcome.store_revision
        except OutcomeUnknownError:
            # Perhaps it was carried out: the term key tells, and says whose it is.
            found = await self._client.get(TERM)
            if found is None or found.value != tenure:
                raise
            revision = found.revision
        self._watch_cache.apply(LEADER, claim, revision)
        self._watch_cache.apply(TERM, tenure, revision)
        self.term = Term(number, revision, lease)
        self.terms += 1
        self._stepped_down.clear()
        self._valid_until = sent + self._ttl_s * (1 - CLOCK_DRIFT)
        self._client.set_leader(True)
        log.info("elected for term %d", number)
        if self._listener is not None:
            self._listener.on_elected(self.term)

    async def _lead(self) -> None:
        """Renew until deposed. Without answers the term goes on, but is not `valid`."""
        loop = asyncio.get_running_loop()
        while self.term is not None:
            term = self.term
            pause = self._ttl_s * RENEW_SHARE
            sent = loop.time()
            try:
                await self._client.renew(term.lease_id)
                if self.term is term:
                    if sent >= self._valid_until:
                        # After a gap the key may have changed hands: see it first.
                        entry = await self._client.get(TERM)
                        if entry is None or entry.revision != term.revision:
                            self.step_down("the term has passed")
                            return
                    self._valid_until = sent + self._ttl_s * (1 - CLOCK_DRIFT)
            except LeaseExpiredError:
                self.step_down("the lease is gone")
                return
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("renewal: %s", exc)
                pause = self._ttl_s * RENEW_RETRY_SHARE
            try:
                async with asyncio.timeout(pause):
                    await self._stepped_down.wait()
            except TimeoutError:
                pass
