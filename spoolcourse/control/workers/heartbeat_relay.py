"""What a follower does with workers' heartbeats.

A worker that reports to a follower is either new or could not reach the leader. The follower
forwards its heartbeat to the leader and hands back the leader's answer, so that its lease is
renewed even if the leader is cut off from the workers. The next heartbeat is redirected to the
leader, unless the leader gets no heartbeats itself (PROTOCOL, Workers -> controller nodes).
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
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

TIMEOUT_S = 1.5
PROBE_PERIOD_S = 15.0  # while the leader hears no worker, one worker per period tries it again
RECENT_HEARTBEATS = 3  # heartbeat intervals within which a worker counts as one that comes again


def redirect(leader: str | None) -> Response:
    """Send a worker to the leader, or to the next controller if there is none to be named."""
    return Response(421, to_json_object(Redirect(leader)))


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """The latest heartbeat of a worker that the leader has answered through this follower."""

    at: float  # on the event loop's clock
    leader_hears_no_worker: bool  # the leader got no heartbeats itself


class HeartbeatRelay:
    """Forwards heartbeats, and decides when a worker is sent to the leader."""

    def __init__(
        self, http_client: HttpClient, label: str, seeds: list[Seed], heartbeat_interval_s: float
    ) -> None:
        self._http_client = http_client
        self._label = label
        self._peers = {seed.label: seed.endpoint for seed in seeds}
        self._recent_s = RECENT_HEARTBEATS * heartbeat_interval_s
        self._relayed: dict[str, RelayedHeartbeat] = {}  # by worker
        self._pruned_at = float("-inf")
        self._probed_at = float("-inf")

    async def handle(
        self, worker: str, raw: bytes, leader_label: str | None, informed: bool
    ) -> Response:
        """Answer a worker's heartbeat, by the leader's answer if there is one.

        Args:
            worker: the worker's machine.
            raw: the heartbeat as it came.
            leader_label: the controller that leads, as far as this one knows.
            informed: the leader's name is no older than a lease or two. A controller that was cut
                off must not send workers to one that was replaced long ago.
        """
        if leader_label is None or leader_label == self._label or leader_label not in self._peers:
            return redirect(None)
        to_leader = redirect(leader_label if informed else None)
        now = asyncio.get_running_loop().time()
        previous = self._recently_relayed(worker, now)
        if informed and previous is not None and self._should_redirect(previous, now):
            self._relayed.pop(worker, None)
            return to_leader
        self._prune(now)
        try:
            response = await self._forward(worker, raw, leader_label)
        except NoResponseError as exc:
            log.debug(
                "heartbeat not relayed: machine=%s leader=%s cause=%s", worker, leader_label, exc
            )
            return to_leader
        if response is None:
            return redirect(None)
        hears_no_worker = bool(response.hears_no_worker)
        if hears_no_worker and previous is None:
            self._probed_at = now  # it has tried the leader a moment ago
        self._relayed[worker] = RelayedHeartbeat(now, hears_no_worker)
        return Response(200, to_json_object(replace(response, hears_no_worker=None)))

    def _recently_relayed(self, worker: str, now: float) -> RelayedHeartbeat | None:
        relayed = self._relayed.get(worker)
        return relayed if relayed is not None and now - relayed.at < self._recent_s else None

    def _should_redirect(self, previous: RelayedHeartbeat, now: float) -> bool:
        """Whether a worker that comes again is sent to the leader; counts it as a probe if so."""
        if not previous.leader_hears_no_worker:
            return True
        if now - self._probed_at <= PROBE_PERIOD_S:
            return False
        self._probed_at = now
        return True

    async def _forward(
        self, worker: str, raw: bytes, leader_label: str
    ) -> HeartbeatResponse | None:
        """The leader's answer, or None if it refuses; raises `NoResponseError`."""
        response = await self._http_client.call(
            self._peers[leader_label], "POST", paths.HEARTBEAT, raw, timeout_s=TIMEOUT_S
        )
        if response.status != 200:
            return None
        try:
            return parse(response.data, HeartbeatResponse)
        except MalformedError as exc:
            log.debug(
                "leader's answer malformed: machine=%s leader=%s cause=%s",
                worker,
                leader_label,
                exc,
            )
            return None

    def _prune(self, now: float) -> None:
        """Forget workers that have not come here recently, so that the rest stays bounded."""
        if now - self._pruned_at < self._recent_s:
            return
        self._pruned_at = now
        earliest = now - self._recent_s
        self._relayed = {
            worker: relayed for worker, relayed in self._relayed.items() if relayed.at > earliest
        }
