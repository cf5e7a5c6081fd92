"""What a follower does with workers' heartbeats.

A worker that comes here is either new, or could not reach the leader. Its report is
passed on to the leader and the leader's answer handed back, so that its lease goes on
even if the leader is cut off from the workers. Unless the leader hears nobody itself,
the worker is sent to it with its next heartbeat.
"""

from __future__ import annotations

import asyncio
import logging

from msgspec.structs import replace

from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.wire import paths
from spoolcourse.wire.commands import HeartbeatResponse, Redirect, to_json_object
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

TIMEOUT_S = 1.5
PROBE_S = 15.0  # while the leader hears no worker, one of them in so long tries it again
RECENT_REPORTS = 3  # periods in which a worker that came here counts as one that comes again


def redirect(leader: str | None) -> Response:
    """Sends a worker to the leader, or to the next controller if there is none to be named."""
    return Response(421, to_json_object(Redirect(leader)))


class HeartbeatRelay:
    """Passes heartbeats on, and decides when a worker is sent to the leader."""

    def __init__(
        self, net: HttpClient, label: str, seeds: list[Seed], heartbeat_interval_s: float
    ) -> None:
        self._net = net
        self._label = label
        self._peers = {seed.label: seed.endpoint for seed in seeds}
        self._recent_s = RECENT_REPORTS * heartbeat_interval_s
        # By worker: when its heartbeat was passed on, and whether the leader heard none then.
        self._passed: dict[str, tuple[float, bool]] = {}
        self._forgot_at = float("-inf")
        self._probe_at = float("-inf")

    async def handle(
        self, worker: str, raw: bytes, leader_label: str | None, informed: bool
    ) -> Response:
        """Answer a worker's heartbeat, by the leader's answer if there is one.

        `informed`: the leader's name is no older than a lease or two. A controller that was cut off
        must not send workers to one that was replaced long ago.
        """
        named = redirect(leader_label if informed else None)
        if leader_label is None or leader_label == self._label or leader_label not in self._peers:
            return redirect(None)
        now = asyncio.get_running_loop().time()
        at, hears_no_worker = self._passed.get(worker, (float("-inf"), True))
        recent = now - at < self._recent_s
        if informed and recent and (not hears_no_worker or now - self._probe_at > PROBE_S):
            if hears_no_worker:
                self._probe_at = now
            self._passed.pop(worker, None)
            return named
        self._forget(now)
        try:
            reply = await self._net.call(
                self._peers[leader_label], "POST", paths.HEARTBEAT, raw, timeout=TIMEOUT_S
            )
        except NoResponseError as exc:
            log.debug("%s: report not passed on: %s", worker, exc)
            return named
        try:
            answer = parse(reply.data, HeartbeatResponse) if reply.status == 200 else None
        except MalformedError as exc:
            log.debug("%s: the leader's answer can't be read: %s", worker, exc)
            answer = None
        if answer is None:
            return redirect(None)
        hears_no_worker = bool(answer.hears_no_worker)
        if hears_no_worker and not recent:
            self._probe_at = now  # it has just tried
        self._passed[worker] = (now, hears_no_worker)
        return Response(200, to_json_object(replace(answer, hears_no_worker=None)))

    def _forget(self, now: float) -> None:
        """Forget workers that have not come here recently, whatever their number."""
        if now - self._forgot_at < self._recent_s:
            return
        self._forgot_at = now
        earliest = now - self._recent_s
        self._passed = {
            worker: passed for worker, passed in self._passed.items() if passed[0] > earliest
        }
