"""Errors of the key-value store's client. Each names what was asked and what came back.

    StoreError
        StoreUnavailableError       no answer to go on with; the caller may try again
            RequestRefusedError     certainly not carried out
                ValueTooLargeError  and never will be
            OutcomeUnknownError     perhaps carried out, perhaps later
        LeaseExpiredError           the lease has ended
        RevisionCompactedError      the changes since a revision are no longer to be had
            TooFarBehindError       they are too many for one answer

Source: PROTOCOL, the key-value store.
"""

from __future__ import annotations

REFUSED_RETRY_AFTER_S = 1.0


class StoreError(Exception):
    """Any failure of a request to the key-value store."""


class StoreUnavailableError(StoreError):
    """The request was refused, or its outcome is unknown.

    Attributes:
        request: What was asked.
        answer: What came back, or why nothing did.
    """

    def __init__(self, request: str, answer: str) -> None:
        super().__init__(f"{request}: {answer}")
        self.request = request
        self.answer = answer


class RequestRefusedError(StoreUnavailableError):
    """The request was not carried out: 429, 503, or this controller's own share is used up.

    Attributes:
        retry_after_s: Seconds until another try is worth it.
    """

    def __init__(
        self, request: str, answer: str, retry_after_s: float = REFUSED_RETRY_AFTER_S
    ) -> None:
        super().__init__(request, answer)
        self.retry_after_s = retry_after_s


class ValueTooLargeError(RequestRefusedError):
    """The transaction will never be carried out as it is: a limit was lowered.

    Attributes:
        value_bytes: The largest value that is accepted from now on, in bytes.
    """

    def __init__(self, request: str, answer: str, value_bytes: int) -> None:
        super().__init__(request, answer)
        self.value_bytes = value_bytes


class OutcomeUnknownError(StoreUnavailableError):
    """The request may have been carried out, or may still be carried out later."""


class LeaseExpiredError(StoreError):
    """The key-value store no longer knows a lease that the request names.

    Attributes:
        request: What was asked.
        leases: The leases named; one of them at least has ended.
    """

    def __init__(self, request: str, leases: tuple[int, ...]) -> None:
        names = ", ".join(map(str, leases))
        super().__init__(f"{request}: the store does not know a lease of: {names}")
        self.request = request
        self.leases = leases


class RevisionCompactedError(StoreError):
    """The changes since a revision can't be had one by one: all keys are to be read again.

    Attributes:
        prefix: What was watched.
        since: The last revision that is known here.
    """

    def __init__(self, prefix: str, since: int, answer: str = "status 410") -> None:
        super().__init__(f"watch {prefix} since revision {since}: {answer}")
        self.prefix = prefix
        self.since = since


class TooFarBehindError(RevisionCompactedError):
    """There are more changes than one watch should bring.

    Attributes:
        latest: The revision that the store has reached.
    """

    def __init__(self, prefix: str, since: int, latest: int) -> None:
        super().__init__(prefix, since, f"the store is at revision {latest}")
        self.latest = latest
