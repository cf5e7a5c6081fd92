"""Errors of the key-value store's client. Each message names the request and the response.

    StoreError
        StoreUnavailableError       no usable response; the caller may retry
            RequestRefusedError     the request was not carried out
                ValueTooLargeError  a retry without a change will be refused too
            OutcomeUnknownError     the request may have been carried out, or may be later
        LeaseExpiredError           the lease has expired
        RevisionCompactedError      the changes since a revision are not available
            TooFarBehindError       there are too many changes for one response

Source: PROTOCOL (the specification of the network interfaces), the key-value store.
"""

from __future__ import annotations

DEFAULT_RETRY_AFTER_S = 1.0  # used if nothing says when to retry


class StoreError(Exception):
    """Any failure of a request to the key-value store."""


class StoreUnavailableError(StoreError):
    """The request was refused, or its outcome is unknown.

    Attributes:
        request: Describes the request.
        detail: The response, or why there was none.
    """

    def __init__(self, request: str, detail: str) -> None:
        super().__init__(f"{request}: {detail}")
        self.request = request
        self.detail = detail


class RequestRefusedError(StoreUnavailableError):
    """The request was not carried out: 429, 503, or this controller's budget is used up.

    Attributes:
        retry_after_s: Seconds to wait before a retry.
    """

    def __init__(
        self, request: str, detail: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S
    ) -> None:
        super().__init__(request, detail)
        self.retry_after_s = retry_after_s


class ValueTooLargeError(RequestRefusedError):
    """The store now applies announced lower limits and refuses the transaction as it is.

    Attributes:
        max_value_bytes: The largest value that is accepted from now on, in bytes.
    """

    def __init__(self, request: str, detail: str, max_value_bytes: int) -> None:
        super().__init__(request, detail)
        self.max_value_bytes = max_value_bytes


class OutcomeUnknownError(StoreUnavailableError):
    """It is unknown whether the store has carried out the request, or will later."""


class LeaseExpiredError(StoreError):
    """A lease that the request names has expired.

    Attributes:
        request: Describes the request.
        leases: The leases that the request names; at least one has expired.
    """

    def __init__(self, request: str, leases: tuple[int, ...]) -> None:
        lease_ids = ", ".join(map(str, leases))
        super().__init__(f"{request}: at least one of these leases has expired: {lease_ids}")
        self.request = request
        self.leases = leases


class RevisionCompactedError(StoreError):
    """A watch can't deliver the changes since a revision: all keys must be read again.

    Attributes:
        prefix: The watched prefix.
        since_revision: The last revision that the watch cache has applied.
    """

    def __init__(self, prefix: str, since_revision: int, detail: str = "status 410") -> None:
        super().__init__(f"watch {prefix} since revision {since_revision}: {detail}")
        self.prefix = prefix
        self.since_revision = since_revision


class TooFarBehindError(RevisionCompactedError):
    """There are more changes since the revision than one watch response should hold.

    Attributes:
        latest_revision: The store's current revision.
    """

    def __init__(self, prefix: str, since_revision: int, latest_revision: int) -> None:
        super().__init__(prefix, since_revision, f"the store is at revision {latest_revision}")
        self.latest_revision = latest_revision
