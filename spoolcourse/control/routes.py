"""The route tables of a controller's public address and peer address."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import NamedTuple

from spoolcourse.control.health import HealthCheck
from spoolcourse.control.http_client import Request, Response, error_response
from spoolcourse.control.http_connection import Handler
from spoolcourse.control.peer_api import PeerApi
from spoolcourse.control.user_api.api import UserApi
from spoolcourse.control.worker_api import WorkerApi
from spoolcourse.wire import paths

ANY_METHOD = "*"
NOT_FOUND = error_response(404, "no such resource")


class Route(NamedTuple):
    """The handler of a method and path; with `subtree`, also of all paths below it."""

    method: str
    path: str
    handler: Handler
    subtree: bool = False


class Router:
    """Dispatches requests by method and path, ignoring the query string."""

    def __init__(self, routes: list[Route]) -> None:
        self._exact = {(route.method, route.path): route.handler for route in routes}
        self._subtrees = [route for route in routes if route.subtree]

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Call the handler of a request; 404 if there is no route."""
        path = request.path.partition("?")[0]
        handler = self._exact.get((request.method, path)) or self._find_fallback(
            request.method, path
        )
        return NOT_FOUND if handler is None else handler(request)

    def _find_fallback(self, method: str, path: str) -> Handler | None:
        handler = self._exact.get((ANY_METHOD, path))
        if handler is not None:
            return handler
        for route in self._subtrees:
            if route.method in (ANY_METHOD, method) and path.startswith(route.path + "/"):
                return route.handler
        return None


def public_routes(workers: WorkerApi, users: UserApi, health: HealthCheck) -> list[Route]:
    """Routes for users, workers and health checks."""
    return [
        Route("POST", paths.HEARTBEAT, workers.handle_worker_heartbeat),
        Route(ANY_METHOD, paths.HEALTH, health.handle_public_check),
        Route(ANY_METHOD, paths.SUBMISSIONS, users.handle_user_request, subtree=True),
    ]


def peer_routes(
    peers: PeerApi, workers: WorkerApi, users: UserApi, health: HealthCheck
) -> list[Route]:
    """Routes for operators and other controllers; requests from peers are never forwarded."""
    return [
        Route("POST", paths.HANDOVER, peers.transfer_leadership),
        Route("GET", paths.CANCELLATIONS, peers.get_cancellations),
        Route("GET", paths.FEATURE_LEVEL, peers.get_feature_level),
        Route("GET", paths.STATUS, peers.get_status),
        Route("GET", paths.METRICS, peers.get_metrics),
        Route("GET", paths.STANDBY, peers.get_standby),
        Route("GET", paths.HINTS, peers.get_hints),
        Route(ANY_METHOD, paths.HEALTH, health.handle_peer_check),
        Route("POST", paths.HEARTBEAT, workers.handle_relayed_heartbeat),
        Route(ANY_METHOD, paths.SUBMISSIONS, users.handle_forwarded_request, subtree=True),
    ]
