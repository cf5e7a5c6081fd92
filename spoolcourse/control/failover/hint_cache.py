"""A follower's cache of the leader's hints, and the checks that a page of hints must pass."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from spoolcourse.control.failover.hint_query import MAX_IMAGES_PER_MACHINE, HintQuery
from spoolcourse.wire.peers import Hint, HintPage

MAX_HINTS = 20_000  # in the cache, however many the leader sends
MAX_NAME_CHARS = 200  # of a machine's name, an address or an image's name


class HintRejection(Enum):
    """Why a page of hints was rejected. The values are shown in `/status`."""

    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    LOWER_TERM = "of a lower term"  # than this controller knows
    NOT_THE_LEADER = "not from the leader that was asked"


class HintPageRejectedError(Exception):
    """A page of hints was rejected and the cache is unchanged.

    The message names the expected and the actual value.
    """

    def __init__(self, rejection: HintRejection, detail: str) -> None:
        super().__init__(f"{rejection.value}: {detail}")
        self.rejection = rejection


class HintCache:
    """The hints of one term, from the leader's pages read so far."""

    def __init__(self) -> None:
        self._hints: dict[str, Hint] = {}  # by machine
        self._term = 0
        # Store revision that the leader had applied, by the latest page; -1: no page yet.
        self.leader_revision = -1
        self.rejections: Counter[HintRejection] = Counter()  # pages rejected, by cause

    def __len__(self) -> int:
        """The number of workers with a hint."""
        return len(self._hints)

    def for_term(self, term: int) -> list[Hint]:
        """The hints from a term's leader; empty if the cache holds those of another term."""
        return list(self._hints.values()) if term == self._term else []

    def accept_page(self, page: HintPage, leader: str, query: HintQuery, known_term: int) -> None:
        """Replace the hints in the range that the page covers with those in it.

        `leader` is the label of the controller that was asked, `query` the query sent to it, and
        `known_term` the latest term that this controller knows. If the page fails a check, counts
        the rejection and raises `HintPageRejectedError`.
        """
        try:
            _check_origin(page, leader, max(known_term, self._term))
            _check_size(page, query)
            _check_order(page, query)
        except HintPageRejectedError as exc:
            self.count_rejection(exc.rejection)
            raise
        if page.term > self._term:
            self._hints.clear()
            self._term = page.term
        self.leader_revision = page.revision
        self._replace_covered(page, query.after)

    def count_rejection(self, rejection: HintRejection) -> None:
        """Count a rejected page under its cause."""
        self.rejections[rejection] += 1

    def _replace_covered(self, page: HintPage, after: str) -> None:
        """Replace hints from `after` to the page's last name; the last page covers all the rest."""
        last = page.hints[-1].machine if page.has_next and page.hints else None
        for name in [n for n in self._hints if n > after and (last is None or n <= last)]:
            del self._hints[name]
        for hint in page.hints:
            if len(self._hints) < MAX_HINTS:
                self._hints[hint.machine] = hint


def _check_origin(page: HintPage, leader: str, min_term: int) -> None:
    if page.leader != leader:
        detail = f"asked {leader}, answered by {page.leader[:MAX_NAME_CHARS]!r}"
        raise HintPageRejectedError(HintRejection.NOT_THE_LEADER, detail)
    if page.term < min_term:
        detail = f"term {page.term}, at least {min_term} expected"
        raise HintPageRejectedError(HintRejection.LOWER_TERM, detail)


def _check_size(page: HintPage, query: HintQuery) -> None:
    if len(page.hints) > query.max_machines:
        detail = f"{len(page.hints)} hints, at most {query.max_machines} requested"
        raise HintPageRejectedError(HintRejection.TOO_LARGE, detail)
    if any(_is_too_large(hint) for hint in page.hints):
        detail = f"over {MAX_IMAGES_PER_MACHINE} images or {MAX_NAME_CHARS} characters in a hint"
        raise HintPageRejectedError(HintRejection.TOO_LARGE, detail)


def _check_order(page: HintPage, query: HintQuery) -> None:
    names = [query.after, *(hint.machine for hint in page.hints)]
    if names != sorted(set(names)):
        detail = f"machines are not in ascending order after {query.after!r}"
        raise HintPageRejectedError(HintRejection.MALFORMED, detail)
    if page.has_next and not page.hints:
        raise HintPageRejectedError(HintRejection.MALFORMED, "an empty page that is not the last")


def _is_too_large(hint: Hint) -> bool:
    longest_name = max(len(hint.machine), len(hint.address), *map(len, hint.images), 0)
    return len(hint.images) > MAX_IMAGES_PER_MACHINE or longest_name > MAX_NAME_CHARS
