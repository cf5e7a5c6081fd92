"""Routing of requests to handlers by method and path."""

from __future__ import annotations

from typing import Any

import pytest

from spoolcourse.control.http_client import Request, Response
from spoolcourse.control.http_connection import Handler
from spoolcourse.control.routes import ANY_METHOD, Route, Router


def handler_returning(name: str) -> Handler:
    return lambda request: Response(200, name)


ROUTER = Router(
    [
        Route("POST", "/report", handler_returning("report")),
        Route(ANY_METHOD, "/health", handler_returning("health")),
        Route(ANY_METHOD, "/jobs", handler_returning("jobs"), subtree=True),
        Route("GET", "/tree", handler_returning("tree"), subtree=True),
    ]
)
NOT_FOUND = {"error": "no such resource"}


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/report", "report"),
        ("POST", "/report?a=b", "report"),
        ("GET", "/report", NOT_FOUND),
        ("POST", "/report/x", NOT_FOUND),
        ("GET", "/health", "health"),
        ("PUT", "/health?x", "health"),
        ("GET", "/health/x", NOT_FOUND),
        ("POST", "/jobs", "jobs"),
        ("GET", "/jobs/1/cancel?x=/y", "jobs"),
        ("GET", "/jobs/", "jobs"),
        ("GET", "/jobsx", NOT_FOUND),
        ("GET", "/tree/x", "tree"),
        ("POST", "/tree/x", NOT_FOUND),
        ("GET", "/", NOT_FOUND),
        ("GET", "", NOT_FOUND),
    ],
)
def test_requests_are_routed_by_method_and_path(method: str, path: str, expected: Any) -> None:
    response = ROUTER.handle(Request(method, path))
    assert isinstance(response, Response)
    assert (response.status, response.data) == (404 if expected is NOT_FOUND else 200, expected)
