"""What controllers ask one another. Older versions know these forms."""

from __future__ import annotations

import msgspec


class Cancellation(msgspec.Struct, frozen=True):
    """A cancellation, with the time and the revision of its record."""

    job: str
    at: float  # time of day
    revision: int = msgspec.field(name="stamp")


class CancellationReply(msgspec.Struct, frozen=True):
    """What a controller knows of cancellations beyond a revision.

    `cancelled` is null if it may have forgotten some; `informed` says whether it has read the
    state service since its process began.
    """

    term: int
    informed: bool
    cancelled: list[Cancellation] | None


class LevelReply(msgspec.Struct, frozen=True):
    """The feature level of a controller."""

    level: int
