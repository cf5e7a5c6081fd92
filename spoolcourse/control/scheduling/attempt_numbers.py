"""Numbers of attempts, which no two leaders give out twice."""

from __future__ import annotations

ATTEMPT_BITS = 24  # of an attempt's number, below those of the term: no leader reuses one
ATTEMPTS_MOST = (1 << ATTEMPT_BITS) - 1  # of one term


class AttemptNumbersExhaustedError(Exception):
    """The next number would be one of the next term's. A new term has numbers again."""

    def __init__(self, fencing_token: int) -> None:
        super().__init__(f"term {fencing_token} has used all {ATTEMPTS_MOST} attempt numbers")
        self.fencing_token = fencing_token


class AttemptNumbers:
    """The attempt numbers of one term: the fencing token in front of a count."""

    def __init__(self, fencing_token: int) -> None:
        self._fencing_token = fencing_token
        self._used = 0

    def next(self) -> int:
        """A number that no attempt has.

        Raises:
            AttemptNumbersExhaustedError: the term has none left.
        """
        if self._used >= ATTEMPTS_MOST:
            raise AttemptNumbersExhaustedError(self._fencing_token)
        self._used += 1
        return (self._fencing_token << ATTEMPT_BITS) + self._used
