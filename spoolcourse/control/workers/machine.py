"""A machine as the leader knows it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from spoolcourse.control.jobs.model import Attempt
from spoolcourse.wire.messages import HostStage


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as the leader knows it. Unknown things are None."""

    id: str
    since: float  # when this controller first heard of it
    machine_type: str | None = None
    zone: str | None = None
    spot: bool | None = None
    address: str = ""
    incarnation: int = 0
    sequence: int = -1
    confirmed: bool = False  # has reported our fencing token in this incarnation
    heard_at: float | None = None  # a heartbeat of any kind
    reported_at: float = 0.0  # a heartbeat of its own accord, or when it was first heard of
    answered_at: float | None = None  # a 200 of ours, which may have renewed its lease
    # The latest moment at which its lease can have begun: an answer of ours, or, for an incarnation
    # that was under our fencing token before we answered it, when we heard of that.
    leased_at: float | None = None
    lease_expired: bool = False  # its lease has run out since our last answer
    ineffective_answers: int = 0  # answers that had no effect, recently
    answers_doubted_at: float = 0.0  # the last of them, or when this incarnation was first heard of
    unresponsive_since: float | None = None  # its heartbeats arrive, our answers don't
    token_seen_at: float = 0.0  # the last report under our fencing token, or `since`
    listed_stage: HostStage | None = None  # its stage in the cloud's list
    running_at: float | None = None  # since when it is listed as running
    rented_at: float | None = None
    up_at: float | None = None  # when it is expected, while it boots
    terminates_at: float | None = None
    scale_in_candidate: bool = False  # gets work only if nothing else has room, and goes when idle
    deleting: bool = False  # a deletion has been asked for
    idle_since: float | None = None
    errors: set[str] = field(default_factory=set)  # jobs that failed here
    unreachable_until: float = 0.0  # its address did not answer
    full_until: float = 0.0  # a start was refused for lack of room
    changes: int = 0  # of its attempts, unexpected tasks and images: see `snapshot_cache`
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    # Job, task and attempt of what is there without being the attempt that counts there.
    unexpected_tasks: set[tuple[str, int, int]] = field(default_factory=set)
    # The same of what has ended there and must not be acknowledged in this incarnation.
    unacknowledged: set[tuple[str, int, int]] = field(default_factory=set)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # seen cached, by use
    fetching: dict[str, float] = field(default_factory=dict)  # image: since when

    @property
    def placeable(self) -> bool:
        """Whether it may be given new work."""
        return (
            self.confirmed
            and not self.deleting
            and not self.lease_expired
            and self.unresponsive_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )

    def note_image(self, image: str, size_gb: float, disk_gb: float) -> None:
        """A task of this image runs here, so it is cached; the least recently used ones go."""
        if next(reversed(self.images), None) == image:
            return
        self.changes += image not in self.images
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)
