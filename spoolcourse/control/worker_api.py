"""The workers' interface: heartbeats, as they come from workers or relayed by a follower."""

from __future__ import annotations

from collections.abc import Awaitable

from spoolcourse.control.controller_parts import ControllerParts
from spoolcourse.control.http_client import Request, Response, error_response
from spoolcourse.control.workers.heartbeat_relay import HeartbeatRelay, redirect
from spoolcourse.wire.messages import Heartbeat, MalformedError, parse_heartbeat


class WorkerApi:
    """Answers heartbeats; a leader does so at once, a follower relays them to the leader."""

    def __init__(self, parts: ControllerParts, relay: HeartbeatRelay) -> None:
        self._load = parts.context.load
        self._lifecycle = parts.lifecycle
        self._leadership = parts.leadership
        self._relay = relay

    def answer_worker(self, request: Request) -> Response | Awaitable[Response]:
        """Answer a heartbeat that a worker has sent to this controller."""
        return self._answer(request.body, from_peer=False)

    def answer_peer(self, request: Request) -> Response | Awaitable[Response]:
        """Answer a heartbeat that a follower has relayed; it goes no further."""
        return self._answer(request.body, from_peer=True)

    def _answer(self, raw: bytes, from_peer: bool) -> Response | Awaitable[Response]:
        try:
            with self._load.time_block("parse"):
                heartbeat = parse_heartbeat(raw)
        except MalformedError as exc:
            return error_response(400, str(exc))
        leader_term = self._lifecycle.current
        if leader_term is not None:
            return leader_term.answer_heartbeat(heartbeat, relayed=from_peer)
        if from_peer:
            return redirect(None)
        return self._relay_to_leader(heartbeat, raw)

    def _relay_to_leader(self, heartbeat: Heartbeat, raw: bytes) -> Response | Awaitable[Response]:
        leadership = self._leadership
        return self._relay.handle(
            heartbeat.machine, raw, leadership.leader_label, leadership.has_recent_view
        )
