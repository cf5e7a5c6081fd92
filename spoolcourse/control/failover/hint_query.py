"""The query for a page of hints, and the limits that the leader and followers apply."""

from __future__ import annotations

from typing import NamedTuple, Self
from urllib.parse import parse_qs, quote

from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError

MAX_MACHINES_PER_PAGE = 500  # the leader rejects queries for more
MAX_IMAGES_PER_MACHINE = 16  # the most recently used


class HintQuery(NamedTuple):
    """The range of the leader's machines that a page covers."""

    after: str  # the last machine of the previous page; "" for the first page
    max_machines: int  # in the page

    @property
    def path(self) -> str:
        """The path of the request for the page, with its query string."""
        return f"{paths.HINTS}?after={quote(self.after)}&most={self.max_machines}"

    @classmethod
    def parse(cls, query: str) -> Self:
        """Parse a follower's query; raises `MalformedError` if it is invalid."""
        fields = parse_qs(query)
        after, most = fields.get("after", [""])[0], fields.get("most", [""])[0]
        if not most.isascii() or not most.isdigit() or not 1 <= int(most) <= MAX_MACHINES_PER_PAGE:
            raise MalformedError(f"most: a number from 1 to {MAX_MACHINES_PER_PAGE} is needed")
        return cls(after, int(most))
