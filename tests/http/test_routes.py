"""Which handler a request's method and path lead to."""

from __future__ import annotations

from typing import Any

import pytest

from spoolcourse.control.http_client import Request, Response
from spoolcourse.control.http_connection import Handler
from spoolcourse.control.routes import ANY_METHOD, Route, Router


def named(name: str) -> Handler:
    return lambda request: Response(200, name)


ROUTER = Router(
    [
        Route("POST", "/report", named("report")),
        Route(ANY_METHOD, "/health", named("health")),
        Route(ANY_METHOD, "/jobs", named("jobs"), subtree=True),
        Route("GET", "/tree", named("tree"), subtree=True),
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
def test_a_request_is_answered_by_the_route_of_its_method_and_path(
    method: str, path: str, expected: Any
) -> None:
    response = ROUTER.handle(Request(method, path))
    assert isinstance(response, Response)
    assert (response.status, response.data) == (404 if expected is NOT_FOUND else 200, expected)
