"""Leader election: a leased key names the leader, and a term key fences its writes.

The term number is the workers' fencing token. Every write of a leader is conditional on the
revision that the term key got when it was elected, so a deposed leader's writes fail however late
they arrive. The lease only decides when others may stand for election; safety does not depend on
the lease. Standing for election means trying to claim the next term: see `candidate`.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from spoolcourse.control.async_utils import wait_for_event
from spoolcourse.control.leadership.candidate import Candidate, WonElection
from spoolcourse.control.leadership.renewal_deadline import MAX_RELATIVE_CLOCK_DRIFT
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import LeaseExpiredError, StoreUnavailableError
from spoolcourse.control.store.keys import LEADER_KEY, TERM_KEY
from spoolcourse.control.store.records import LeaderRecord
from spoolcourse.control.store.watch_cache import WatchCache

log = logging.getLogger(__name__)

LEASE_TTL_S = 2.5  # of the leader key's lease; until it expires no other controller can lead
# Pauses in lease TTLs.
RENEW_PERIOD_TTL_FRACTION = 1 / 4  # between renewals
RENEW_RETRY_TTL_FRACTION = 1 / 12  # after a failed renewal
# How long a leader that released its lease lets other controllers stand for election first.
RELEASE_CANDIDACY_DELAY_S = 5.0
ELECTION_RETRY_DELAY_RANGE_S = (0.1, 0.4)  # random, so that candidates don't retry in step
RECENT_WATCH_CACHE_MAX_TTLS = 2  # maximum age of a recent watch cache, in lease TTLs


class LeadershipListener(Protocol):
    """Callbacks that run at once when this controller's leadership begins or ends."""

    def on_elected(self, term: Term) -> None:
        """Handle the election of this controller for the term."""

    def on_stepped_down(self) -> None:
        """Handle the end of this controller's leadership."""


def no_candidacy_delay_s() -> float:
    """Return the default candidacy delay: none."""
    return 0.0


class Leadership:
    """This controller's part in elections.

    It stands for election when there is no leader, and renews the leader key's lease while leading.
    """

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        label: str,
        run_id: str,
        lease_ttl_s: float = LEASE_TTL_S,
        listener: LeadershipListener | None = None,
        candidacy_delay_s: Callable[[], float] = no_candidacy_delay_s,
    ) -> None:
        """Start as a follower; `run` stands for election.

        `candidacy_delay_s` returns for how long this controller lets the others stand for election
        first; it is positive while this controller is not ready to lead.
        """
        self._client = client
        self._watch_cache = watch_cache
        self._label = label
        self.run_id = run_id  # identifies this process of the controller
        self._lease_ttl_s = lease_ttl_s
        self._listener = listener
        self._candidacy_delay_s = candidacy_delay_s
        self._candidate = Candidate(client, watch_cache, label, run_id, lease_ttl_s)
        self.term: Term | None = None  # the term that this controller leads, if any
        self.elections_won = 0
        # When this controller saw that the leader key was deleted, in seconds of the monotonic
        # clock; None once another controller leads.
        self.leaderless_since: float | None = None
        self._lease_expires_at = float("-inf")
        self._candidacy_allowed_at = float("-inf")
        self._leader_changed = asyncio.Event()
        self._stepped_down = asyncio.Event()
        watch_cache.add_listener(self._handle_change)

    # -- current leader -----------------------------------------------------------------

    @property
    def leader_label(self) -> str | None:
        """The label of the leader that the watch cache shows; None if there is none."""
        entry = self._watch_cache.get(LEADER_KEY)
        return LeaderRecord.label_of(entry.value) if entry else None

    @property
    def watch_cache_is_recent(self) -> bool:
        """Whether the watch cache was synced recently enough to be trusted on who leads.

        Its age must be below `RECENT_WATCH_CACHE_MAX_TTLS` lease TTLs.
        """
        return self._watch_cache_age_s() < RECENT_WATCH_CACHE_MAX_TTLS * self._lease_ttl_s

    def _watch_cache_age_s(self) -> float:
        return asyncio.get_running_loop().time() - self._watch_cache.synced_at

    def holds_lease(self) -> bool:
        """Whether this controller leads and its lease has certainly not expired.

        While it holds the lease, no other controller can be elected.
        """
        return self.term is not None and (
            asyncio.get_running_loop().time() < self._lease_expires_at
            and not self._stepped_down.is_set()
        )

    # -- stepping down ------------------------------------------------------------------

    def step_down(self, reason: str) -> None:
        """End this controller's leadership at once, if it leads; `reason` is logged."""
        if self.term is None:
            return
        log.info("stepping down, term=%d: %s", self.term.number, reason)
        self.term = None
        self._lease_expires_at = float("-inf")
        self._stepped_down.set()
        self._client.set_leader(False)
        if self._listener is not None:
            self._listener.on_stepped_down()

    async def step_down_and_release_lease(self, reason: str) -> None:
        """Step down and revoke the lease, so that others can be elected before it expires."""
        term = self.term
        if term is None:
            return
        self._candidacy_allowed_at = asyncio.get_running_loop().time() + RELEASE_CANDIDACY_DELAY_S
        self.step_down(reason)
        try:
            await self._client.revoke_lease(term.lease_id)
        except StoreUnavailableError as exc:
            log.info("lease not released, it will expire, term=%d: %s", term.number, exc)

    def _handle_change(self, key: str, value: Any, revision: int) -> None:
        if key in (LEADER_KEY, TERM_KEY):
            self._leader_changed.set()
            if key == LEADER_KEY:
                self._update_leaderless_since(value)
            if key == TERM_KEY and self.term is not None and revision > self.term.revision:
                self.step_down("a newer term was elected")

    def _update_leaderless_since(self, leader_value: Any) -> None:
        if leader_value is None:
            self.leaderless_since = asyncio.get_running_loop().time()
        elif LeaderRecord.label_of(leader_value) != self._label:
            # If this controller is elected later, its failover begins when that leader is gone.
            self.leaderless_since = None

    # -- election -----------------------------------------------------------------------

    async def run(self) -> None:
        """Alternate between standing for election and leading, until cancelled."""
        while True:
            await self._watch_cache.loaded.wait()
            if self.term is not None:
                await self._lead()
                continue
            self._leader_changed.clear()
            if not self._candidate.may_stand_for_election():
                await self._follow()
                continue
            if await self._leader_changed_during_delay():
                continue
            try:
                await self._stand_for_election()
            except (StoreUnavailableError, LeaseExpiredError) as exc:
                log.debug("election failed: %s", exc)
                await asyncio.sleep(random.uniform(*ELECTION_RETRY_DELAY_RANGE_S))

    async def _follow(self) -> None:
        """Wait until the leader changes or a lease TTL has passed.

        If the watch cache was not synced in that time, the watch seems to hang: read the store.
        """
        changed = await wait_for_event(self._leader_changed, self._lease_ttl_s)
        if not changed and self._watch_cache_age_s() > self._lease_ttl_s:
            await self._watch_cache.read_barrier()

    async def _leader_changed_during_delay(self) -> bool:
        """Wait, to let others stand for election first, if they are preferred as leaders.

        They are if this controller is not ready to lead or released its lease recently. Returns
        whether the leader changed during the wait. The wait is bounded, so that a leader is elected
        even if every controller waits for the others.
        """
        release_delay_s = self._candidacy_allowed_at - asyncio.get_running_loop().time()
        delay_s = max(self._candidacy_delay_s(), release_delay_s)
        if delay_s <= 0:
            return False
        log.info("candidacy delayed, delay_s=%.1f", delay_s)
        return await wait_for_event(self._leader_changed, delay_s)

    async def _stand_for_election(self) -> None:
        won = await self._candidate.stand_for_election()
        if won is not None:
            self._begin_term(won)

    def _begin_term(self, won: WonElection) -> None:
        self.term = won.term
        self.elections_won += 1
        self._stepped_down.clear()
        self._extend_lease(won.lease_requested_at)
        self._client.set_leader(True)
        log.info("elected, term=%d", won.term.number)
        if self._listener is not None:
            self._listener.on_elected(won.term)

    # -- leading ------------------------------------------------------------------------

    async def _lead(self) -> None:
        """Renew the lease until this controller steps down.

        If renewals get no answer, the term continues without the lease.
        """
        while self.term is not None:
            pause_s = await self._renew_lease(self.term)
            await wait_for_event(self._stepped_down, pause_s)

    async def _renew_lease(self, term: Term) -> float:
        """Renew the lease once or step down; return the pause until the next renewal."""
        sent_at = asyncio.get_running_loop().time()
        try:
            await self._client.renew_lease(term.lease_id)
            if self.term is term:
                if sent_at >= self._lease_expires_at and not await self._is_latest(term):
                    self.step_down("the term is superseded")
                else:
                    self._extend_lease(sent_at)
        except LeaseExpiredError:
            self.step_down("the lease expired")
        except StoreUnavailableError as exc:
            log.debug("renewal failed, term=%d: %s", term.number, exc)
            return self._lease_ttl_s * RENEW_RETRY_TTL_FRACTION
        return self._lease_ttl_s * RENEW_PERIOD_TTL_FRACTION

    async def _is_latest(self, term: Term) -> bool:
        """Whether the term key shows no later claim: after a late renewal, another may lead."""
        entry = await self._client.get(TERM_KEY)
        return entry is not None and entry.revision == term.revision

    def _extend_lease(self, requested_at: float) -> None:
        """Record a lease that was granted or renewed by a request sent at `requested_at`."""
        self._lease_expires_at = requested_at + self._lease_ttl_s * (1 - MAX_RELATIVE_CLOCK_DRIFT)
