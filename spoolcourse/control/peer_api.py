"""What other controllers and operators ask, on the controllers' own address."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TYPE_CHECKING

from spoolcourse.control import metrics
from spoolcourse.control.failover.hint_page import build_hint_page
from spoolcourse.control.failover.leadership_transfer import (
    LeadershipTransferRefusedError,
    transfer_leadership,
)
from spoolcourse.control.http_client import Request, Response, error_response
from spoolcourse.control.jobs.cancellation_query import answer_query
from spoolcourse.control.leadership import feature_level
from spoolcourse.control.status import collect_status
from spoolcourse.wire import paths
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import MalformedError

if TYPE_CHECKING:
    from spoolcourse.control.controller import Controller

METRICS_HEADERS = {"Content-Type": "text/plain; version=0.0.4"}


class PeerApi:
    """Answers from a controller's parts."""

    def __init__(self, node: Controller) -> None:
        self._node = node

    def handle(self, request: Request) -> Response | Awaitable[Response] | None:
        """The answer; None for a path that is not of this interface alone."""
        path, _, query = request.path.partition("?")
        if path == paths.HANDOVER and request.method == "POST":
            return self._transfer_leadership()
        if request.method != "GET":
            return None
        try:
            return self._read(path, query)
        except MalformedError as exc:
            return error_response(400, str(exc))

    def _read(self, path: str, query: str) -> Response | None:
        node = self._node
        if path == paths.CANCELLATIONS:
            return Response(200, answer_query(node.job_index, node.watch_cache, query))
        if path == paths.LEVEL:
            return Response(200, feature_level.level_reply())
        if path == paths.STATUS:
            return Response(200, collect_status(node).to_json_object())
        if path == paths.METRICS:
            return Response(200, metrics.exposition(collect_status(node)), METRICS_HEADERS)
        if path in (paths.STANDBY, paths.HINTS):
            return self._read_standby(path, query)
        return None

    def _read_standby(self, path: str, query: str) -> Response:
        node = self._node
        if node.standby is None:
            return error_response(404, "the warm standby is off")
        if path == paths.STANDBY:
            return Response(200, to_json_object(node.standby.readiness.reply()))
        if node.leader_term is None or node.leader_term.active is None:
            return self._not_the_leader()
        registry, revision = node.leader_term.active.registry, node.watch_cache.store_revision
        page = build_hint_page(registry, node.label, revision, query)
        return Response(200, to_json_object(page))

    async def _transfer_leadership(self) -> Response:
        node = self._node
        if node.leader_term is None:
            return self._not_the_leader()
        try:
            reply = await transfer_leadership(node.context, node.leadership)
            return Response(200, to_json_object(reply))
        except LeadershipTransferRefusedError as exc:
            return error_response(409, str(exc))

    def _not_the_leader(self) -> Response:
        leader = self._node.leadership.leader_label
        return error_response(421, f"{leader} leads" if leader else "nobody is known to lead")
