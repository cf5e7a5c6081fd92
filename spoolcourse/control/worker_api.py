"""Handlers of heartbeats that workers send or followers relay."""

from __future__ import annotations

from collections.abc import Awaitable

from spoolcourse.control.controller_parts import ControllerParts
from spoolcourse.control.http_client import Request, Response, error_response
from spoolcourse.control.workers.heartbeat_relay import HeartbeatRelay, redirect
from spoolcourse.wire.messages import Heartbeat, MalformedError, parse_heartbeat


class WorkerApi:
    """Answers heartbeats on the leader; a follower relays them to the leader."""

    def __init__(self, parts: ControllerParts, relay: HeartbeatRelay) -> None:
        self._load = parts.context.load
        self._lifecycle = parts.lifecycle
        self._leadership = parts.leadership
        self._relay = relay

    def handle_worker_heartbeat(self, request: Request) -> Response | Awaitable[Response]:
        """Answer a heartbeat that a worker sent to this controller."""
        return self._answer(request.body, relayed=False)

    def handle_relayed_heartbeat(self, request: Request) -> Response | Awaitable[Response]:
        """Answer a heartbeat relayed by a follower; it is not relayed again."""
        return self._answer(request.body, relayed=True)

    def _answer(self, body: bytes, relayed: bool) -> Response | Awaitable[Response]:
        try:
            with self._load.time_block("parse"):
                heartbeat = parse_heartbeat(body)
        except MalformedError as exc:
            return error_response(400, str(exc))
        leader_term = self._lifecycle.current
        if leader_term is not None:
            return leader_term.answer_heartbeat(heartbeat, relayed=relayed)
        if relayed:
            return redirect(None)
        return self._relay_to_leader(heartbeat, body)

    def _relay_to_leader(self, heartbeat: Heartbeat, body: bytes) -> Response | Awaitable[Response]:
        leadership = self._leadership
        return self._relay.handle(
            heartbeat.machine, body, leadership.leader_label, leadership.watch_cache_is_recent
        )
