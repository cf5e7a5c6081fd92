"""A leader's query to its peers for cancellations that it has not read from the key-value store.

The query is sent to the other controllers (the peers) while the key-value store does not answer
the leader. Once all peers have responded, the leader may go on renewing the workers' leases: tasks
survive a store outage, and tasks of a job whose cancellation a peer has confirmed still end in
time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from spoolcourse.control.http_client import HttpClient
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leadership.peers import cancellations_query, query_peers
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.leadership.term import Term, known_term_number
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.peers import CancellationsResponse, parse_since_revision
from spoolcourse.wire.settings import Peer

QUERY_PERIOD_S = 1.0
# Peers are queried if the last successful store read is older. The health check reads each second.
STORE_READ_AGE_MAX_S = 2.0


def cancellations_response(
    job_index: JobIndex, watch_cache: WatchCache, query: str
) -> dict[str, Any]:
    """Return this controller's response to a leader's query for cancellations.

    The leader has applied all changes up to the revision in the query, so the response holds later
    cancellations only.

    Raises `MalformedError` if the query has no valid revision.
    """
    since_revision = parse_since_revision(query)
    response = CancellationsResponse(
        known_term_number(watch_cache),
        watch_cache.synced_at > float("-inf"),
        job_index.cancellations.after(since_revision),
    )
    return to_json_object(response)


class CancellationQuery:
    """Queries the peers for cancellations while the key-value store does not answer."""

    def __init__(
        self,
        http_client: HttpClient,
        peers: list[Peer],
        watch_cache: WatchCache,
        job_index: JobIndex,
        clock: Callable[[], float],
        term: Term,
        renewal_deadline: RenewalDeadline,
        step_down: Callable[[str], None],
    ) -> None:
        """`clock` is monotonic, in seconds; `step_down` ends the term and takes the reason."""
        self._http_client = http_client
        self._peers = peers
        self._watch_cache = watch_cache
        self._job_index = job_index
        self._clock = clock
        self._term = term
        self._renewal_deadline = renewal_deadline
        self._step_down = step_down

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(QUERY_PERIOD_S)
            if self._clock() - self._watch_cache.synced_at > STORE_READ_AGE_MAX_S:
                await self._query_peers()

    async def _query_peers(self) -> None:
        """Query every peer once; step down if one knows a later term, else apply the responses."""
        queried_at = self._clock()
        query = cancellations_query(self._watch_cache.store_revision)
        responses = await query_peers(self._http_client, self._peers, query)
        for response in responses:
            if response is not None and response.term > self._term.number:
                self._step_down(f"a peer knows of term {response.term}")
                return
        for response in responses:
            for cancellation in (response and response.cancelled) or ():
                self._job_index.apply_cancellation(cancellation)
        # After the loop above: a lease may be renewed only once the cancellations are applied.
        self._renewal_deadline.record_peer_acknowledgements(
            queried_at, [_acknowledges(response) for response in responses]
        )


def _acknowledges(response: CancellationsResponse | None) -> bool:
    """Whether the response holds every cancellation that the peer can have confirmed to users.

    The revision of the query excludes those that the leader knows already.
    """
    return response is not None and response.has_read_store and response.cancelled is not None
