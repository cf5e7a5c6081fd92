"""Errors of the cloud's API, with what was asked and what came back."""

from __future__ import annotations


class CloudError(Exception):
    """A request to the cloud was refused, or its outcome is not known.

    Attributes:
        method: the HTTP method of the request.
        path: its path, with the query.
        status: the status of the response; None if there was no response.
        detail: what went wrong, for the log.
    """

    def __init__(self, method: str, path: str, status: int | None, detail: str) -> None:
        super().__init__(f"{method} {path}: {detail}")
        self.method = method
        self.path = path
        self.status = status
        self.detail = detail


class CloudRequestFailedError(CloudError):
    """Not carried out, or not known whether it was: the request may be repeated."""


class NoCapacityError(CloudError):
    """None available of this type, zone and kind, so a repetition at once is of no use.

    PROTOCOL, "Controller nodes -> cloud", `POST /hosts`.
    """
