"""Users' requests that only a peer can answer: this controller alone lost the key-value store."""

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
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

# Users wait 5 s for an answer, and 2 s for one to a poll; this controller itself tries first.
ONE_PEER_S = 1.0
ALL_PEERS_S = 1.5
ALL_PEERS_POLL_S = 0.6


class PeerFallback:
    """Passes a request on to the peers, one hop: they answer by themselves or not at all."""

    def __init__(
        self,
        http_client: HttpClient,
        peers: list[Seed],
        leadership: Leadership,
        job_index: JobIndex,
    ) -> None:
        self._http_client = http_client
        self._peers = peers
        self._leadership = leadership
        self._job_index = job_index

    async def answer(self, request: Request, retry_after_s: float) -> Response:
        """The first peer's answer that helps, the leader's if it gives one; else a 503 to retry.

        Peers that hang, as behind a cut, must not use up the time that the user waits.
        """
        clock = asyncio.get_running_loop().time
        until = clock() + (ALL_PEERS_POLL_S if request.method == "GET" else ALL_PEERS_S)
        for peer in self._leader_first():
            left_s = until - clock()
            if left_s <= 0:
                break
            response = await self._ask(peer, request, min(left_s, ONE_PEER_S))
            if response is not None and response.status < 500 and response.status != 429:
                if response.status == 200:
                    self._remember_final(response.data)
                return Response(response.status, response.data)
        return retry_later("try again", retry_after_s)

    def _leader_first(self) -> list[Seed]:
        leader_label = self._leadership.leader_label
        return sorted(self._peers, key=lambda peer: peer.label != leader_label)

    async def _ask(self, peer: Seed, request: Request, timeout_s: float) -> Response | None:
        try:
            return await self._http_client.call(
                peer.endpoint,
                request.method,
                request.path,
                request.body or None,
                timeout_s=timeout_s,
            )
        except NoResponseError as exc:
            log.debug("a peer does not help: peer=%s reason=%s", peer.label, exc)
            return None

    def _remember_final(self, data: Any) -> None:
        """A final state never changes, so a peer's word for it can be answered again."""
        try:
            status = parse(data, JobStatus)
        except MalformedError as exc:
            log.debug("a peer's answer is no job status: %s", exc)
            return
        if status.stage.is_final:
            self._job_index.remember_final(status.id, FinalState(status.stage, status.done))
