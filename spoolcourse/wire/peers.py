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
    key-value store since its process began.
    """

    term: int
    informed: bool
    cancelled: list[Cancellation] | None


class LevelReply(msgspec.Struct, frozen=True):
    """The feature level of a controller."""

    level: int


class Hint(msgspec.Struct, frozen=True):
    """What a leader knows of a worker in one of its incarnations; it proves nothing."""

    machine: str
    address: str
    incarnation: int = msgspec.field(name="session")
    images: dict[str, float] = {}  # seen cached, with their sizes in GB, the latest first


class HintPage(msgspec.Struct, frozen=True):
    """Hints in the order of the machines' names, and where the leader stands."""

    term: int
    leader: str
    revision: int  # of the key-value store, that the leader has taken in
    hints: list[Hint]
    has_next: bool = False


class StandbyReply(msgspec.Struct, frozen=True):
    """Whether a controller would take over without a restore, or why not."""

    caught_up: bool
    term: int
    revision: int
    reason: str = ""


class HandoverReply(msgspec.Struct, frozen=True):
    """A leader has stepped down; any of these is caught up."""

    term: int
    successors: list[str]
