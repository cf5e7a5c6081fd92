"""Forwards users' requests to peers when this controller can't answer them itself."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from spoolcourse.control.http_client import (
    HttpClient,
    NoResponseError,
    Request,
    Response,
    retry_later,
)
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.records import FinalState
from spoolcourse.wire.messages import JobStatus, MalformedError, parse
from spoolcourse.wire.settings import Peer

log = logging.getLogger(__name__)

# Users time out after 5 s, and after 2 s for a poll (GET); this controller tries locally first.
PEER_TIMEOUT_S = 1.0
ALL_PEERS_TIMEOUT_S = 1.5
ALL_PEERS_POLL_TIMEOUT_S = 0.6


class PeerFallback:
    """Forwards a request to the peers, one hop: a peer never forwards it again."""

    def __init__(
        self,
        http_client: HttpClient,
        peers: list[Peer],
        leadership: Leadership,
        job_index: JobIndex,
    ) -> None:
        self._http_client = http_client
        self._peers = peers
        self._leadership = leadership
        self._job_index = job_index

    async def answer(self, request: Request, retry_after_s: float) -> Response:
        """The first conclusive response of a peer, the leader asked first; else a retryable 503.

        Peers that hang, as in a network partition, must not use up the user's timeout.
        """
        clock = asyncio.get_running_loop().time
        deadline = clock() + (
            ALL_PEERS_POLL_TIMEOUT_S if request.method == "GET" else ALL_PEERS_TIMEOUT_S
        )
        for peer in self._peers_leader_first():
            remaining_s = deadline - clock()
            if remaining_s <= 0:
                break
            response = await self._forward(peer, request, min(remaining_s, PEER_TIMEOUT_S))
            if response is not None and response.status < 500 and response.status != 429:
                if response.status == 200:
                    self._cache_final_state(response.data)
                return Response(response.status, response.data)
        return retry_later("try again", retry_after_s)

    def _peers_leader_first(self) -> list[Peer]:
        leader_label = self._leadership.leader_label
        return sorted(self._peers, key=lambda peer: peer.label != leader_label)

    async def _forward(self, peer: Peer, request: Request, timeout_s: float) -> Response | None:
        try:
            return await self._http_client.call(
                peer.endpoint,
                request.method,
                request.path,
                request.body or None,
                timeout_s=timeout_s,
            )
        except NoResponseError as exc:
            log.debug("request to peer failed: controller=%s reason=%s", peer.label, exc)
            return None

    def _cache_final_state(self, data: Any) -> None:
        """Cache a final state that a peer reports: it never changes."""
        try:
            status = parse(data, JobStatus)
        except MalformedError as exc:
            log.debug("peer response is not a job status: %s", exc)
            return
        if status.stage.is_final:
            self._job_index.cache_final_state(status.id, FinalState(status.stage, status.done))
