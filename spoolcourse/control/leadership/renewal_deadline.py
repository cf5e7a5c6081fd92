"""Until when a leader may renew the leases of workers.

The leader provably knows every cancellation that anyone has confirmed up to some moment. One that
it doesn't know was confirmed after that moment, so the tasks of that job may stay until `cancel_s`
later and no longer. A worker that is answered now may keep its tasks for `lease_s`. So there is a
last moment at which an answer may renew a lease. This guards against a leader that the key-value
store alone refuses, or that is cut off, and that would keep alive what others have confirmed as
cancelled.

Pure: times are passed in, in seconds of one steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from spoolcourse.wire.settings import Workers

CLOCK_DRIFT = 0.001  # two clocks, each up to 0.05% off
MARGIN_S = 1.5  # for the worker to end its tasks, and for delays on the way


class RenewalDeadline:
    """Until when workers may be answered."""

    def __init__(self, workers: Workers) -> None:
        cancel_s = workers.cancel_s * (1 - CLOCK_DRIFT)
        self.renewal_window_s = cancel_s - workers.lease_s * (1 + CLOCK_DRIFT) - MARGIN_S
        # Every cancellation confirmed up to this moment is known here.
        self.caught_up_at = float("-inf")

    def record_store_read(self, sent_at: float) -> None:
        """A read of the key-value store, sent at that time, has been answered and applied."""
        self.caught_up_at = max(self.caught_up_at, sent_at)

    def record_peer_acknowledgements(self, asked_at: float, acknowledged: Iterable[bool]) -> bool:
        """All other controllers were asked, and their replies have been applied.

        The first of them was asked at `asked_at`. `acknowledged` says of each whether it replied
        with all cancellations it knows, and has read the key-value store since its process began.
        Returns whether all of them acknowledged; only then is the leader caught up.

        Every confirmation was given by one of them, or by this controller. A controller that gave
        one remembers it; one that restarted since knows from the key-value store what was
        confirmed before. One that is silent, too old to know the query, or has read nothing since
        it began may have confirmed what nobody here knows of.
        """
        if not all(acknowledged):
            return False
        self.caught_up_at = max(self.caught_up_at, asked_at)
        return True

    def may_renew(self, now: float) -> bool:
        """Whether a worker may be answered now.

        An unknown confirmed cancellation would still be gone within `cancel_s`.
        """
        return now <= self.caught_up_at + self.renewal_window_s
