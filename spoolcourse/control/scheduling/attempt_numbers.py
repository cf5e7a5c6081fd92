"""Attempt numbers, which no two attempts share, even under different leaders."""

from __future__ import annotations

# Low bits of an attempt number, which count the attempts of a term. The fencing token is above
# them, so that no leader reuses a number.
ATTEMPT_BITS = 24
MAX_ATTEMPTS_PER_TERM = (1 << ATTEMPT_BITS) - 1


class AttemptNumbersExhaustedError(Exception):
    """A term has used all its attempt numbers; the next number belongs to the next term.

    A newly elected leader has unused numbers.
    """

    def __init__(self, fencing_token: int) -> None:
        super().__init__(
            f"term {fencing_token} has used all {MAX_ATTEMPTS_PER_TERM} attempt numbers"
        )
        self.fencing_token = fencing_token


class AttemptNumbers:
    """Hands out the attempt numbers of a term: the fencing token followed by a counter."""

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
