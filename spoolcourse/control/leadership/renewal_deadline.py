"""The deadline until which a leader may renew the leases of workers.

The leader provably knows every cancellation that any controller confirmed up to some time. An
unknown cancellation was confirmed later, and the tasks of that job must end within `cancel_s` of
the confirmation. A worker whose heartbeat is answered now may keep its tasks for `lease_s` (both
are deployment settings). Together these give the last time at which an answer may renew a lease.
Without the deadline, a leader that is cut off, or whose requests only the key-value store refuses,
would keep tasks alive whose cancellation other controllers have confirmed.

No I/O and no clock: times are passed in, in seconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from spoolcourse.wire.settings import WorkerSettings

MAX_RELATIVE_CLOCK_DRIFT = 0.001  # between two clocks that each run up to 0.05% fast or slow
TASK_END_MARGIN_S = 1.5  # for the worker to end its tasks, and for network delays


class RenewalDeadline:
    """Tracks until when the leader may answer heartbeats, which renews workers' leases."""

    def __init__(self, workers: WorkerSettings) -> None:
        cancel_s = workers.cancel_s * (1 - MAX_RELATIVE_CLOCK_DRIFT)
        # Leases may be renewed until this long after `caught_up_at`.
        self.renewal_window_s = (
            cancel_s - workers.lease_s * (1 + MAX_RELATIVE_CLOCK_DRIFT) - TASK_END_MARGIN_S
        )
        # This controller knows every cancellation that any controller confirmed up to this time.
        self.caught_up_at = float("-inf")

    def record_store_read(self, sent_at: float) -> None:
        """Record that a store read sent at `sent_at` was answered and its changes applied."""
        self.caught_up_at = max(self.caught_up_at, sent_at)

    def record_peer_acknowledgements(self, queried_at: float, acknowledged: Iterable[bool]) -> bool:
        """Record that all other controllers were queried and their responses applied.

        The first of them was queried at `queried_at`. `acknowledged` tells for each of them whether
        it has read the key-value store since it started, and returned all cancellations it knows.
        Returns whether all of them did; only then is the leader caught up.

        Every cancellation was confirmed by one of them or by this controller. A controller
        remembers the cancellations it confirmed; after a restart it reads earlier ones from the
        key-value store. A controller that does not answer, is too old to know the query, or has
        read nothing since it started may have confirmed one that this controller does not know.
        """
        if not all(acknowledged):
            return False
        self.caught_up_at = max(self.caught_up_at, queried_at)
        return True

    def may_renew(self, now: float) -> bool:
        """Whether a worker's heartbeat may be answered now, which renews the worker's lease.

        If so, tasks of a job whose cancellation is unknown here still end within `cancel_s`.
        """
        return now <= self.caught_up_at + self.renewal_window_s
