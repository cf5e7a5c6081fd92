"""Messages between controllers.

Controllers of other versions may run beside this one, so the encoded forms must not change.
"""

from __future__ import annotations

import msgspec

from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError

SINCE_REVISION_PARAMETER = "beyond"  # query parameter of the cancellations path


class Cancellation(msgspec.Struct, frozen=True):
    """The cancellation of a job, with its time and the revision of the job's record."""

    job: str
    at: float  # wall-clock time in seconds
    revision: int = msgspec.field(name="stamp")


class CancellationsResponse(msgspec.Struct, frozen=True):
    """What a controller knows of the cancellations after a revision.

    `cancelled` is null if the controller may have evicted some of them; `has_read_store` says
    whether it has read the key-value store since its process started.
    """

    term: int  # the latest that the controller knows
    has_read_store: bool = msgspec.field(name="informed")
    cancelled: list[Cancellation] | None


def cancellations_path(since_revision: int) -> str:
    """The path, with its query, that asks for a `CancellationsResponse`."""
    return f"{paths.CANCELLATIONS}?{SINCE_REVISION_PARAMETER}={since_revision}"


def parse_since_revision(query: str) -> int:
    """The revision in the query of a `cancellations_path`; raises `MalformedError` without one."""
    name, _, text = query.partition("=")
    if name != SINCE_REVISION_PARAMETER or not text.isascii() or not text.isdigit():
        raise MalformedError(f"{SINCE_REVISION_PARAMETER}: a revision is needed")
    return int(text)


class FeatureLevelResponse(msgspec.Struct, frozen=True):
    """The feature level of a controller: which stored formats its version can read."""

    level: int


class Hint(msgspec.Struct, frozen=True):
    """A hint: what a leader knows of one incarnation of a worker, which may have changed since."""

    machine: str
    address: str
    incarnation: int = msgspec.field(name="session")
    images: dict[str, float] = {}  # cached images seen, with sizes in GB, most recent first


class HintPage(msgspec.Struct, frozen=True):
    """A page of hints ordered by machine name, with the leader's term and revision."""

    term: int
    leader: str  # its label
    revision: int  # store revision up to which the leader has applied every change
    hints: list[Hint]
    has_next: bool = False


class StandbyResponse(msgspec.Struct, frozen=True):
    """Whether a controller could lead without a restore of the job queue, or the reason why not."""

    caught_up: bool
    term: int  # the latest that the controller knows
    revision: int  # store revision up to which it has applied every change
    reason: str = ""  # why it is not caught up


class LeadershipTransferResponse(msgspec.Struct, frozen=True):
    """The leader has stepped down; `successors` are the controllers that were caught up."""

    term: int  # the term that ended
    successors: list[str]
