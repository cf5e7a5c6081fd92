"""Errors of the cloud API, with the request and the response status."""

from __future__ import annotations


class CloudError(Exception):
    """A request to the cloud was refused, or its outcome is unknown.

    Attributes:
        method: The HTTP method of the request.
        path: The path of the request, with the query.
        status: The status of the response; None if there was no response.
        detail: The cause, for the log.
    """

    def __init__(self, method: str, path: str, status: int | None, detail: str) -> None:
        super().__init__(f"{method} {path}: {detail}")
        self.method = method
        self.path = path
        self.status = status
        self.detail = detail


class CloudRequestFailedError(CloudError):
    """The request failed, or its outcome is unknown; it may be retried."""


class NoCapacityError(CloudError):
    """The cloud has no machine of this kind, so an immediate retry is of no use.

    PROTOCOL, "Controller nodes -> cloud", `POST /hosts`.
    """
