"""Handlers for other controllers and operators, served on the peer address only."""

from __future__ import annotations

from spoolcourse.control import metrics
from spoolcourse.control.controller_parts import ControllerParts
from spoolcourse.control.failover.hint_page import build_hint_page
from spoolcourse.control.failover.leadership_transfer import (
    LeadershipTransferRefusedError,
    transfer_leadership,
)
from spoolcourse.control.http_client import Request, Response, error_response
from spoolcourse.control.jobs.cancellation_query import cancellations_response
from spoolcourse.control.leadership import feature_level
from spoolcourse.control.status import collect_status
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import MalformedError

METRICS_HEADERS = {"Content-Type": "text/plain; version=0.0.4"}


class PeerApi:
    """Handlers of the routes for peers and operators, one method per path."""

    def __init__(self, parts: ControllerParts) -> None:
        self._parts = parts

    # -- operators ------------------------------------------------------------------------

    def get_status(self, request: Request) -> Response:
        """The controller's status as a JSON object."""
        return Response(200, collect_status(self._parts).to_json_object())

    def get_metrics(self, request: Request) -> Response:
        """The controller's metrics in the Prometheus text format."""
        return Response(
            200, metrics.render_prometheus_text(collect_status(self._parts)), METRICS_HEADERS
        )

    async def transfer_leadership(self, request: Request) -> Response:
        """Transfer leadership to a standby that is caught up; 409 if there is none."""
        parts = self._parts
        if parts.lifecycle.current is None:
            return self._not_leader_response()
        try:
            response = await transfer_leadership(parts.context, parts.leadership)
            return Response(200, to_json_object(response))
        except LeadershipTransferRefusedError as exc:
            return error_response(409, str(exc))

    # -- peers ----------------------------------------------------------------------------

    def get_cancellations(self, request: Request) -> Response:
        """The cancellations after a revision, for a leader that can't read the key-value store."""
        context = self._parts.context
        try:
            return Response(
                200,
                cancellations_response(
                    context.job_index, context.watch_cache, _query_string(request)
                ),
            )
        except MalformedError as exc:
            return error_response(400, str(exc))

    def get_feature_level(self, request: Request) -> Response:
        """The feature level of this version."""
        return Response(200, feature_level.level_response())

    def get_standby(self, request: Request) -> Response:
        """Whether this controller's warm standby is caught up; 404 if it is disabled."""
        if self._parts.standby is None:
            return _standby_disabled_response()
        return Response(200, to_json_object(self._parts.standby.readiness.response()))

    def get_hints(self, request: Request) -> Response:
        """A page of hints, what the leader knows of workers, for followers with a standby."""
        parts = self._parts
        if parts.standby is None:
            return _standby_disabled_response()
        active = parts.lifecycle.active
        if active is None:
            return self._not_leader_response()
        revision = parts.context.watch_cache.store_revision
        try:
            page = build_hint_page(active.registry, parts.label, revision, _query_string(request))
        except MalformedError as exc:
            return error_response(400, str(exc))
        return Response(200, to_json_object(page))

    def _not_leader_response(self) -> Response:
        leader = self._parts.leadership.leader_label
        return error_response(421, f"{leader} leads" if leader else "no leader is known")


def _query_string(request: Request) -> str:
    return request.path.partition("?")[2]


def _standby_disabled_response() -> Response:
    return error_response(404, "the warm standby is off")
