"""A machine as the leader knows it, and the states it can be in.

The states are described in `docs/machine-states.md`; each predicate on them is defined here once.
Times are in seconds on the controller's monotonic clock.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from spoolcourse.control.jobs.model import Attempt
from spoolcourse.wire.identities import AttemptId, TaskId
from spoolcourse.wire.messages import Heartbeat, ListedMachineStage

log = logging.getLogger(__name__)

# Consecutive ineffective answers, each within a lease of the previous one, that make a machine
# unresponsive: later answers are assumed to have no effect either.
MAX_INEFFECTIVE_ANSWERS = 3


@dataclass(slots=True, eq=False)
class Machine:
    """A machine and its state in this term. Unknown values are None.

    There are two kinds of heartbeats: a machine's own heartbeats, whose answers renew its lease,
    and heartbeats returned by calls to its address, which renew nothing.
    """

    id: str
    first_seen_at: float  # when this term's leader first learnt of it

    # Type and location.
    machine_type: str | None = None
    zone: str | None = None
    spot: bool | None = None
    address: str = ""

    # The latest heartbeat; heartbeats are ordered by (incarnation, sequence).
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float | None = None  # of either kind
    last_own_heartbeat_at: float = 0.0  # initially when its first heartbeat of either kind came

    # Fencing token and lease.
    confirmed: bool = False  # reported this term's fencing token in this incarnation
    fencing_token_seen_at: float = 0.0  # last heartbeat under this term's token, or first seen
    last_answered_at: float | None = None  # with status 200, which may renew its lease
    # The latest time at which its lease can have begun: the last answer, or, for an incarnation
    # that had this term's fencing token before it was answered, when that became known.
    lease_started_at: float | None = None
    lease_expired: bool = False  # since the last answer

    # Ineffective answers: its heartbeats arrive, but the answers may not.
    ineffective_answers: int = 0
    answers_unproven_since: float = 0.0  # last ineffective answer, or start of incarnation
    unresponsive_since: float | None = None

    # Reachability and free capacity.
    unreachable_until: float = 0.0  # its address did not answer; no calls until then
    start_refused_until: float = 0.0  # it refused a start; no starts until then

    # State of the cloud instance.
    listed_stage: ListedMachineStage | None = None  # in the cloud's list
    listed_running_since: float | None = None
    provisioned_at: float | None = None
    expected_ready_at: float | None = None  # while it boots
    terminates_at: float | None = None  # when the cloud reclaims the spot instance
    scale_in_candidate: bool = False  # cordoned: gets work only if no other machine fits
    deletion_requested: bool = False
    idle_since: float | None = None

    # Attempts that may be on it, and images.
    attempts: dict[TaskId, Attempt] = field(default_factory=dict)
    unexpected_attempts: set[AttemptId] = field(default_factory=set)  # run, but not expected here
    # Ended attempts that must not be acknowledged in this incarnation: see `reconciliation`.
    unacknowledgeable: set[AttemptId] = field(default_factory=set)
    failed_jobs: set[str] = field(default_factory=set)  # jobs whose tasks failed here
    # Cached images and their sizes in GB, the least recently used first.
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    fetching: dict[str, float] = field(default_factory=dict)  # image: start time
    change_count: int = 0  # of attempts, unexpected attempts and images: see `snapshot_cache`

    # -- states ------------------------------------------------------------------------------

    @property
    def is_in_service(self) -> bool:
        """Whether it is confirmed, its lease has not expired, and no deletion is requested."""
        return self.confirmed and not self.lease_expired and not self.deletion_requested

    @property
    def is_schedulable(self) -> bool:
        """Whether it may get new attempts, apart from conditions that depend on the time."""
        return (
            self.is_in_service
            and self.unresponsive_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )

    @property
    def is_unresponsive(self) -> bool:
        """Whether its heartbeats arrive but the answers have no effect."""
        return self.unresponsive_since is not None

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Whether its last own heartbeat is older than the limit.

        Heartbeats returned by calls don't count: a machine that reaches no controller loses its
        lease, and with it any attempt that a call started there.
        """
        return now - self.last_own_heartbeat_at > limit_s

    def is_reachable(self, now: float) -> bool:
        """Whether commands may be sent to its address now."""
        return bool(self.address) and self.unreachable_until <= now

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is newer than the latest one known (PROTOCOL, `tick`)."""
        return (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)

    # -- transitions -------------------------------------------------------------------------

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Store what a newer heartbeat reports about the machine itself."""
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
        """Record that the lease expired: all attempts of this incarnation are gone.

        Heartbeats of this incarnation that still arrive were delayed in transit, so only a later
        incarnation shows that the machine is alive.
        """
        self.lease_expired = True
        self.incarnation, self.sequence = self.incarnation + 1, -1
        self.confirmed = False
        self.unexpected_attempts.clear()
        self.change_count += 1

    def record_ineffective_answer(self, now: float) -> None:
        """Count an answer without effect; `MAX_INEFFECTIVE_ANSWERS` make a machine unresponsive.

        An unresponsive machine gets no new attempts, and its pending starts are released once they
        are proven not to have arrived. As its heartbeats continue, its lease never expires, and
        those tasks would stay assigned to it forever.
        """
        self.ineffective_answers += 1
        self.answers_unproven_since = now
        if self.ineffective_answers >= MAX_INEFFECTIVE_ANSWERS and not self.is_unresponsive:
            log.info("machine unresponsive, answers have no effect: machine=%s", self.id)
            self.unresponsive_since = now

    def clear_ineffective_answers(self) -> None:
        """Reset the count: answers have effect again."""
        self.ineffective_answers = 0
        self.unresponsive_since = None

    def record_cached_image(self, image: str, size_gb: float, disk_gb: float) -> None:
        """Record that an image is cached, as a task runs it; evict the least recently used ones."""
        if next(reversed(self.images), None) == image:
            return
        self.change_count += image not in self.images
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)
