"""A machine as the leader knows it, and the states it can be in.

The states are described in `docs/machine-states.md`; each predicate on them is defined here once.
A machine is confirmed if its worker has reported this term's fencing token in its current
incarnation, and unresponsive if its heartbeats arrive but the responses have no effect. Times are
in seconds on the controller's monotonic clock.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from spoolcourse.control.jobs.model import Attempt
from spoolcourse.wire.identities import AttemptId, TaskId
from spoolcourse.wire.messages import Heartbeat, ListedMachineStage

log = logging.getLogger(__name__)

# Consecutive ineffective responses, each within a lease of the previous one, that make a machine
# unresponsive: later responses are assumed to have no effect either.
INEFFECTIVE_RESPONSES_UNTIL_UNRESPONSIVE = 3


@dataclass(slots=True, eq=False)
class Machine:
    """A machine and its state in this term. Unknown values are None.

    There are two kinds of heartbeats: a machine's own heartbeats, whose responses renew its lease,
    and heartbeats returned by calls to its address, which renew nothing.
    """

    id: str
    first_seen_at: float  # when this term's leader first learned of the machine

    # Type and location.
    machine_type: str | None = None
    zone: str | None = None
    spot: bool | None = None
    address: str = ""

    # The latest heartbeat; heartbeats are ordered by (incarnation, sequence).
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float | None = None  # of either kind
    last_own_heartbeat_at: float = 0.0  # at first, the time of the first heartbeat of either kind

    # Fencing token and lease.
    confirmed: bool = False  # reported this term's fencing token in this incarnation
    fencing_token_seen_at: float = 0.0  # last heartbeat under this term's token, or first seen
    last_answered_at: float | None = None  # with status 200, which may renew its lease
    # The latest time at which its lease can have begun: the last response to it, or the time at
    # which its incarnation was confirmed, if that is later.
    lease_started_at: float | None = None
    lease_expired: bool = False  # and no newer heartbeat has arrived since

    # Ineffective responses: its heartbeats arrive, but the responses to it may be lost.
    ineffective_responses: int = 0  # consecutive ones
    # Since then, nothing has shown that responses have effect: the time of the last ineffective
    # response, or of the start of the incarnation.
    responses_unproven_since: float = 0.0
    unresponsive_since: float | None = None  # None: it is not unresponsive

    # Reachability and free capacity.
    unreachable_until: float = 0.0  # a call to its address failed; no calls until then
    start_refused_until: float = 0.0  # the worker refused a start; no starts until then

    # State of the cloud instance.
    listed_stage: ListedMachineStage | None = None  # in the cloud's list
    listed_running_since: float | None = None  # when a list first showed it as running
    provisioned_at: float | None = None
    expected_ready_at: float | None = None  # end of its boot; None after its first heartbeat
    terminates_at: float | None = None  # when the cloud reclaims the spot instance
    scale_in_candidate: bool = False  # cordoned: gets work only if no other machine fits
    deletion_requested: bool = False  # and not confirmed by the cloud yet
    # Since when it is known to have no attempts; None while it has some, or has not reported yet.
    idle_since: float | None = None

    # Attempts and images.
    # Expected attempts, which may be on it: assigned by this leader, restored or adopted.
    attempts: dict[TaskId, Attempt] = field(default_factory=dict)
    # Attempts that run on the machine although the leader did not expect them there.
    unexpected_attempts: set[AttemptId] = field(default_factory=set)
    # Ended attempts that must not be acknowledged in this incarnation: see `reconciliation`.
    attempts_not_to_acknowledge: set[AttemptId] = field(default_factory=set)
    failed_jobs: set[str] = field(default_factory=set)  # jobs whose tasks failed here
    # Cached images and their sizes in GB, the least recently used first.
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # Images being fetched, with the time at which the leader first saw each fetch.
    image_fetch_started_at: dict[str, float] = field(default_factory=dict)
    # Counts changes of attempts, unexpected attempts and images, for `snapshot_cache`.
    change_count: int = 0

    # -- states ------------------------------------------------------------------------------

    @property
    def is_in_service(self) -> bool:
        """Whether the machine is confirmed, its lease not expired, and no deletion requested."""
        return self.confirmed and not self.lease_expired and not self.deletion_requested

    @property
    def is_schedulable(self) -> bool:
        """Whether the machine may get new attempts, apart from conditions that depend on time."""
        return (
            self.is_in_service
            and self.unresponsive_since is None
            and self.terminates_at is None
            and self.machine_type is not None
        )

    @property
    def is_unresponsive(self) -> bool:
        """Whether the machine has been marked as unresponsive (`count_ineffective_response`)."""
        return self.unresponsive_since is not None

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Whether the machine's last own heartbeat is older than the limit.

        Heartbeats returned by calls don't count: a machine that reaches no controller loses its
        lease, and with it any attempt that a call started there.
        """
        return now - self.last_own_heartbeat_at > limit_s

    def is_reachable(self, now: float) -> bool:
        """Whether commands may be sent to the machine's address now."""
        return bool(self.address) and self.unreachable_until <= now

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is newer than the latest one known (PROTOCOL, `tick`)."""
        return heartbeat.id > (self.incarnation, self.sequence)

    # -- transitions -------------------------------------------------------------------------

    def update_from_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
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

    def mark_lease_expired(self) -> None:
        """Mark the lease as expired: all attempts of this incarnation are gone.

        Heartbeats of this incarnation that still arrive were delayed in transit, so only a later
        incarnation shows that the machine is alive.
        """
        self.lease_expired = True
        self.incarnation, self.sequence = self.incarnation + 1, -1
        self.confirmed = False
        self.unexpected_attempts.clear()
        self.change_count += 1

    def count_ineffective_response(self, now: float) -> None:
        """Count a response without effect, and mark the machine as unresponsive after too many.

        An unresponsive machine gets no new attempts, and its pending starts are released once they
        are proven not to have arrived. Its heartbeats continue, so its lease never expires, and
        without the release those tasks would stay assigned to it forever.
        """
        self.ineffective_responses += 1
        self.responses_unproven_since = now
        if (
            self.ineffective_responses >= INEFFECTIVE_RESPONSES_UNTIL_UNRESPONSIVE
            and not self.is_unresponsive
        ):
            log.info("machine unresponsive, answers have no effect: machine=%s", self.id)
            self.unresponsive_since = now

    def reset_ineffective_responses(self) -> None:
        """Reset the count of ineffective responses: responses have effect again."""
        self.ineffective_responses = 0
        self.unresponsive_since = None

    def add_cached_image(self, image: str, size_gb: float, disk_gb: float) -> None:
        """Add an image that a task uses, or mark it as last used.

        The least recently used images are evicted while the images together exceed `disk_gb`.
        """
        if next(reversed(self.images), None) == image:
            return
        self.change_count += image not in self.images
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)
