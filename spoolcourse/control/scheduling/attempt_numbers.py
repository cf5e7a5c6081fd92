"""Attempt numbers, unique across leaders."""

from __future__ import annotations

ATTEMPT_BITS = 24  # low bits, below the fencing token, so that no leader reuses a number
MAX_ATTEMPTS_PER_TERM = (1 << ATTEMPT_BITS) - 1


class AttemptNumbersExhaustedError(Exception):
    """A term has used all its attempt numbers; the next one would belong to the next term.

    A newly elected leader has unused numbers.
    """

    def __init__(self, fencing_token: int) -> None:
        super().__init__(
            f"term {fencing_token} has used all {MAX_ATTEMPTS_PER_TERM} attempt numbers"
        )
        self.fencing_token = fencing_token


class AttemptNumbers:
    """The attempt numbers of a term: the fencing token followed by a counter."""

    def __init__(self, fencing_token: int) -> None:
        self._fencing_token = fencing_token
        self._used = 0

    def next(self) -> int:
        """Return an unused attempt number.

        Raises:
            AttemptNumbersExhaustedError: the term has no unused numbers.
        """
        if self._used >= MAX_ATTEMPTS_PER_TERM:
            raise AttemptNumbersExhaustedError(self._fencing_token)
        self._used += 1
        return (self._fencing_token << ATTEMPT_BITS) + self._used
