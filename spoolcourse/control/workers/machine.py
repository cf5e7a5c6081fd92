"""A machine as the leader knows it, and the states it can be in.

The states are described in `docs/machine-states.md`; each predicate on them is defined here once.
Moments are seconds on the controller's monotonic clock.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from spoolcourse.control.jobs.model import Attempt
from spoolcourse.wire.identities import AttemptId, TaskId
from spoolcourse.wire.messages import Heartbeat, HostStage

log = logging.getLogger(__name__)

# Ineffective answers, each within a lease of the one before: later ones will have no effect either.
INEFFECTIVE_ANSWERS_MAX = 3


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of the term. Unknown values are None.

    There are two kinds of heartbeats: a machine's own heartbeats, which it sends and whose
    answers renew its lease, and those that come as the response to a call, which renew nothing.
    """

    id: str
    first_seen_at: float  # when this controller first heard or read of it

    # What it is, and where.
    machine_type: str | None = None
    zone: str | None = None
    spot: bool | None = None
    address: str = ""

    # Its latest heartbeat: (incarnation, sequence) orders them.
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float | None = None  # of either kind
    last_own_heartbeat_at: float = 0.0  # or when it was first heard

    # Its incarnation and its lease.
    confirmed: bool = False  # has reported our fencing token in this incarnation
    fencing_token_seen_at: float = 0.0  # last heartbeat under our fencing token, or first seen
    last_answered_at: float | None = None  # a 200 of ours, which may have renewed its lease
    # The latest moment at which its lease can have begun: an answer of ours, or, for an incarnation
    # that was under our fencing token before we answered it, when we heard of that.
    lease_started_at: float | None = None
    lease_expired: bool = False  # since our last answer

    # Answers without effect: its heartbeats arrive, our answers perhaps don't.
    ineffective_answers: int = 0
    answers_unproven_since: float = 0.0  # the last of them, or the start of this incarnation
    unresponsive_since: float | None = None

    # Its address and its room.
    unreachable_until: float = 0.0  # its address did not answer; it is not called before
    no_room_until: float = 0.0  # it refused a start for lack of room

    # Its life in the cloud.
    listed_stage: HostStage | None = None  # in the cloud's list
    listed_running_since: float | None = None
    provisioned_at: float | None = None
    expected_ready_at: float | None = None  # while it boots
    terminates_at: float | None = None  # the cloud takes the spot instance away then
    scale_in_candidate: bool = False  # cordoned: work only if nothing else has room
    deletion_requested: bool = False
    idle_since: float | None = None

    # What may be on it.
    attempts: dict[TaskId, Attempt] = field(default_factory=dict)
    unexpected_attempts: set[AttemptId] = field(default_factory=set)  # run there without counting
    # Ended attempts that must not be acknowledged in this incarnation: see `reconciliation`.
    unacknowledgeable: set[AttemptId] = field(default_factory=set)
    failed_jobs: set[str] = field(default_factory=set)  # their tasks failed here
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # cached: GB, by last use
    fetching: dict[str, float] = field(default_factory=dict)  # image: since when
    change_count: int = 0  # of attempts, unexpected attempts and images: see `snapshot_cache`

    # -- states ------------------------------------------------------------------------------

    @property
    def is_in_service(self) -> bool:
        """Whether it is confirmed, its lease not known to be over, and it is not being deleted."""
        return self.confirmed and not self.lease_expired and not self.deletion_requested

    @property
    def is_schedulable(self) -> bool:
        """Whether it may be given new work, apart from conditions that need a clock."""
        return (
            self.is_in_service
            and self.unresponsive_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )

    @property
    def is_unresponsive(self) -> bool:
        """Whether its heartbeats arrive while our answers have no effect there."""
        return self.unresponsive_since is not None

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Whether its last own heartbeat is older than the limit.

        Responses to calls don't count: a machine that reaches no controller loses its lease, and
        with it whatever calls start there.
        """
        return now - self.last_own_heartbeat_at > limit_s

    def is_reachable(self, now: float) -> bool:
        """Whether commands may be sent to its address now."""
        return bool(self.address) and self.unreachable_until <= now

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is newer than the latest one (PROTOCOL, `tick`)."""
        return (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)

    # -- transitions -------------------------------------------------------------------------

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Store what a newer heartbeat says of the machine itself."""
        self.last_heartbeat_at = now
        self.incarnation, self.sequence = heartbeat.incarnation, heartbeat.sequence
        self.machine_type, self.zone = heartbeat.machine_type, heartbeat.zone
        self.spot, self.address = heartbeat.spot, heartbeat.address
        self.expected_ready_at = None
        self.lease_expired = False
        if heartbeat.terminates_in_s is not None:
            self.terminates_at = now + max(heartbeat.terminates_in_s, 0.0)
        else:
            self.terminates_at = None

    def record_lease_expiry(self) -> None:
        """Its lease has run out: what was there in this incarnation is gone.

        What still comes from that incarnation was held on the way: a sign of life starts with the
        next one.
        """
        self.lease_expired = True
        self.incarnation, self.sequence = self.incarnation + 1, -1
        self.confirmed = False
        self.unexpected_attempts.clear()
        self.change_count += 1

    def record_ineffective_answer(self, now: float) -> None:
        """Count an answer that had no effect; after some the machine is unresponsive.

        An unresponsive machine gets no more work, and what it was to start goes elsewhere once that
        is proven not to have arrived: those tasks would stay bound to it forever, for its
        heartbeats go on and it is never silent.
        """
        self.ineffective_answers += 1
        self.answers_unproven_since = now
        if self.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX and not self.is_unresponsive:
            log.info("machine unresponsive, answers have no effect: machine=%s", self.id)
            self.unresponsive_since = now

    def clear_ineffective_answers(self) -> None:
        """Its answers do arrive."""
        self.ineffective_answers = 0
        self.unresponsive_since = None

    def record_cached_image(self, image: str, size_gb: float, disk_gb: float) -> None:
        """A task of this image runs here, so it is cached; the least recently used ones go."""
        if next(reversed(self.images), None) == image:
            return
        self.change_count += image not in self.images
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)
