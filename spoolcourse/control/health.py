"""Checks whether this controller can answer users' requests, itself or through a peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from spoolcourse.control.http_client import HttpClient, NoResponseError, Request, Response
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire import paths
from spoolcourse.wire.messages import MachineType
from spoolcourse.wire.settings import Peer

CHECK_PERIOD_S = 1.0
RECENT_SYNC_S = 2.0  # if the store has responded this recently, no read barrier is needed
READ_BARRIER_TIMEOUT_S = 1.0
PEER_TIMEOUT_S = 1.0


class HealthCheck:
    """Checks the key-value store, and the peers if the store does not respond.

    `ready`: the keys have been read and the machine types are known; stays true from then on.
    `healthy`: requests can be answered. When no controller reaches the key-value store, all of
    them stay healthy: taking them out of service would only lengthen the outage for users.
    """

    def __init__(
        self,
        http_client: HttpClient,
        peers: list[Peer],
        watch_cache: WatchCache,
        machine_types: Callable[[], dict[str, MachineType]],
        clock: Callable[[], float],
    ) -> None:
        self._http_client = http_client
        self._peers = peers
        self._watch_cache = watch_cache
        self._machine_types = machine_types
        self._clock = clock
        self.ready = False
        self.healthy = True

    async def run(self) -> None:
        """Check every `CHECK_PERIOD_S`, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self._watch_cache.loaded.is_set() and self._machine_types():
                self.ready = True
            if self.ready:
                self.healthy = await self._can_serve_requests()

    async def _can_serve_requests(self) -> bool:
        if self._clock() - self._watch_cache.synced_at < RECENT_SYNC_S:
            return True
        if await self._watch_cache.read_barrier(READ_BARRIER_TIMEOUT_S):
            return True
        peers_ready = await asyncio.gather(*(self._is_peer_ready(peer) for peer in self._peers))
        return not self._peers or any(peers_ready)

    async def _is_peer_ready(self, peer: Peer) -> bool:
        try:
            response = await self._http_client.call(
                peer.endpoint, "GET", paths.HEALTH, timeout_s=PEER_TIMEOUT_S
            )
        except NoResponseError:
            return False
        return response.status == 200

    # -- request handlers -----------------------------------------------------------------

    def handle_public_check(self, request: Request) -> Response:
        """200 while users' requests can be answered, else 503."""
        ok = self.ready and self.healthy
        return Response(200 if ok else 503, {"ok": ok})

    def handle_peer_check(self, request: Request) -> Response:
        """200 if this controller is ready, else 503.

        `healthy` is not considered, as it may depend on the response of the peer that asks.
        """
        return Response(200 if self.ready else 503, {})
