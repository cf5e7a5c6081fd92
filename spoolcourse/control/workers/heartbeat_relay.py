"""A follower's handling of workers' heartbeats.

A worker that reports to a follower is either new or could not reach the leader. The follower
forwards its heartbeat to the leader and returns the leader's response, so that the lease is
renewed even if the leader is cut off from the workers. The next heartbeat is redirected to the
leader, unless the leader receives no heartbeats directly (PROTOCOL, Workers -> controller nodes).
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from msgspec.structs import replace

from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.wire import paths
from spoolcourse.wire.commands import HeartbeatResponse, Redirect, to_json_object
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.settings import Peer

log = logging.getLogger(__name__)

RELAY_TIMEOUT_S = 1.5
# While the leader gets no heartbeats directly, one worker per period is redirected to it.
LEADER_PROBE_PERIOD_S = 15.0
RECENT_HEARTBEAT_INTERVALS = 3  # age up to which a relayed heartbeat is recent


def redirect(leader: str | None) -> Response:
    """The response that redirects a worker to the leader; None: to the next controller."""
    return Response(421, to_json_object(Redirect(leader)))


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A worker's latest heartbeat that the leader answered through this follower."""

    relayed_at: float  # on the event loop's clock
    leader_receives_no_heartbeats: bool  # directly from workers, as the leader's response says


class HeartbeatRelay:
    """Forwards heartbeats, and decides when to redirect a worker to the leader."""

    def __init__(
        self, http_client: HttpClient, label: str, peers: list[Peer], heartbeat_interval_s: float
    ) -> None:
        self._http_client = http_client
        self._label = label
        self._peers = {peer.label: peer.endpoint for peer in peers}
        self._recent_window_s = RECENT_HEARTBEAT_INTERVALS * heartbeat_interval_s
        self._relayed: dict[str, RelayedHeartbeat] = {}  # by worker
        self._pruned_at = float("-inf")
        self._probed_at = float("-inf")

    async def handle(
        self, worker: str, raw: bytes, leader_label: str | None, leader_is_recent: bool
    ) -> Response:
        """Answer a worker's heartbeat with the leader's response, or redirect the worker.

        Args:
            worker: The worker's machine.
            raw: The heartbeat as received.
            leader_label: The label of the leader that this controller knows; None if it knows none.
            leader_is_recent: Whether this controller would know of a change of leader by now. If
                it was cut off, it must not redirect workers to a leader replaced long ago.
        """
        if leader_label is None or leader_label == self._label or leader_label not in self._peers:
            return redirect(None)
        redirect_to_leader = redirect(leader_label if leader_is_recent else None)
        now = asyncio.get_running_loop().time()
        previous = self._recently_relayed(worker, now)
        if leader_is_recent and previous is not None and self._should_redirect(previous, now):
            self._relayed.pop(worker, None)
            return redirect_to_leader
        self._prune(now)
        try:
            response = await self._forward(worker, raw, leader_label)
        except NoResponseError as exc:
            log.debug(
                "heartbeat not relayed: machine=%s leader=%s cause=%s", worker, leader_label, exc
            )
            return redirect_to_leader
        if response is None:
            return redirect(None)
        receives_no_heartbeats = bool(response.receives_no_heartbeats)
        if receives_no_heartbeats and previous is None:
            self._probed_at = now  # this worker has just tried the leader
        self._relayed[worker] = RelayedHeartbeat(now, receives_no_heartbeats)
        return Response(200, to_json_object(replace(response, receives_no_heartbeats=None)))

    def _recently_relayed(self, worker: str, now: float) -> RelayedHeartbeat | None:
        relayed = self._relayed.get(worker)
        return (
            relayed
            if relayed is not None and now - relayed.relayed_at < self._recent_window_s
            else None
        )

    def _should_redirect(self, previous: RelayedHeartbeat, now: float) -> bool:
        """Whether to redirect a worker whose previous heartbeat was relayed too.

        While the leader receives no heartbeats directly, one worker per `LEADER_PROBE_PERIOD_S` is
        redirected to probe whether workers can reach the leader again.
        """
        if not previous.leader_receives_no_heartbeats:
            return True
        if now - self._probed_at <= LEADER_PROBE_PERIOD_S:
            return False
        self._probed_at = now
        return True

    async def _forward(
        self, worker: str, raw: bytes, leader_label: str
    ) -> HeartbeatResponse | None:
        """Return the leader's response; None if its status is not 200 or it is malformed.

        Raises:
            NoResponseError: The leader did not respond.
        """
        response = await self._http_client.call(
            self._peers[leader_label], "POST", paths.HEARTBEAT, raw, timeout_s=RELAY_TIMEOUT_S
        )
        if response.status != 200:
            return None
        try:
            return parse(response.data, HeartbeatResponse)
        except MalformedError as exc:
            log.debug(
                "leader's response malformed: machine=%s leader=%s cause=%s",
                worker,
                leader_label,
                exc,
            )
            return None

    def _prune(self, now: float) -> None:
        """Drop workers that have not reported here recently, to bound the table."""
        if now - self._pruned_at < self._recent_window_s:
            return
        self._pruned_at = now
        earliest = now - self._recent_window_s
        self._relayed = {
            worker: relayed
            for worker, relayed in self._relayed.items()
            if relayed.relayed_at > earliest
        }
