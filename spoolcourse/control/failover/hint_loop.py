"""A follower's loop that requests hints from the leader.

The loop requests one page at a time. After the last page or a failure, it starts again with the
first one; a leader of a version without hints (404) is asked less often.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.hint_cache import (
    HintCache,
    HintPageRejectedError,
    HintRejection,
)
from spoolcourse.control.failover.hint_query import HintQuery
from spoolcourse.control.http_client import NoResponseError
from spoolcourse.control.leadership.term import known_term_number
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.peers import HintPage
from spoolcourse.wire.settings import Peer
from spoolcourse.wire.standby_settings import StandbySettings

log = logging.getLogger(__name__)

NEXT_PAGE_DELAY_S = 0.2  # between two pages, if shorter than `hint_period_s`
UNSUPPORTED_DELAY_S = 30.0  # before a leader of a version without hints is asked again
REQUEST_TIMEOUT_S = 1.0


class HintLoop:
    """Requests pages of hints from the leader, one at a time."""

    def __init__(
        self,
        context: ControllerContext,
        settings: StandbySettings,
        hint_cache: HintCache,
        leader_label: Callable[[], str | None],
    ) -> None:
        """`leader_label` returns the leader's label; None if no leader is known."""
        self._http_client = context.http_client
        self._watch_cache = context.watch_cache
        self._peers = {peer.label: peer for peer in context.peers}
        self._settings = settings
        self._hint_cache = hint_cache
        self._leader_label = leader_label
        self._next_page_after = ""  # the last machine of the previous page; "": the first page

    async def run(self) -> None:
        """Request pages periodically until cancelled; the leader itself requests none."""
        while True:
            leader = self._peers.get(self._leader_label() or "")
            delay_s = self._settings.hint_period_s
            if leader is not None:
                delay_s = await self._request_page(leader)
            await asyncio.sleep(delay_s)

    async def _request_page(self, leader: Peer) -> float:
        """Request the next page; return the seconds to wait before the following request."""
        query = HintQuery(self._next_page_after, self._settings.hint_machines)
        self._next_page_after = ""
        try:
            response = await self._http_client.call(
                leader.endpoint, "GET", query.path, timeout_s=REQUEST_TIMEOUT_S
            )
            if response.status != 200:
                return (
                    UNSUPPORTED_DELAY_S if response.status == 404 else self._settings.hint_period_s
                )
            page = parse(response.data, HintPage)
            self._hint_cache.accept_page(
                page, leader.label, query, known_term_number(self._watch_cache)
            )
        except MalformedError:
            self._hint_cache.count_rejection(HintRejection.MALFORMED)
        except HintPageRejectedError as exc:
            log.info("hint page rejected: controller=%s: %s", leader.label, exc)
        except NoResponseError as exc:
            log.debug("hint page not received: controller=%s: %s", leader.label, exc)
        else:
            if page.has_next:
                self._next_page_after = page.hints[-1].machine
                return min(NEXT_PAGE_DELAY_S, self._settings.hint_period_s)
        return self._settings.hint_period_s
