"""Up to when the leader provably knows every cancellation that anyone has confirmed.

A cancellation that the leader doesn't know was confirmed after that moment, so its tasks may
stay until `cancel_s` later and no longer; a worker answered now may keep its tasks for
`lease_s`. So there is a last moment at which an answer may renew a lease. It guards against a
leader that the key-value store alone refuses, or that is cut off, and that would keep alive
what others have confirmed as cancelled.

Pure: times are passed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from spoolcourse.wire.settings import Workers

DRIFT = 0.001  # two clocks, each up to 0.05% off
MARGIN_S = 1.5  # for the worker to end what it has, and whatever else takes its time


class RenewalDeadline:
    """Up to when workers may be answered."""

    def __init__(self, workers: Workers) -> None:
        self.window_s = workers.cancel_s * (1 - DRIFT) - workers.lease_s * (1 + DRIFT) - MARGIN_S
        self.known_to = float("-inf")

    def synced(self, sent: float) -> None:
        """A read of the key-value store, asked for then, has been answered and taken in."""
        self.known_to = max(self.known_to, sent)

    def acknowledged_by_peers(self, asked: float, informed: Iterable[bool]) -> bool:
        """Take in what the peers have told; whether all of them could vouch.

        All other controllers were asked, the first of them at `asked`, and what they told has been
        acted on. `informed` says of each whether it answered and has read the key-value store since
        its process began.

        Every confirmation was given by one of them, or by this controller. Whoever gave one
        remembers it; whoever restarted since knows from the key-value store what was confirmed
        before. One that is silent, too old to know the question, or has read nothing since it began
        may have confirmed what nobody here knows of.
        """
        if not all(informed):
            return False
        self.known_to = max(self.known_to, asked)
        return True

    def may_renew(self, now: float) -> bool:
        """Whether a worker may be answered now.

        An unknown confirmed cancellation would still be gone within `cancel_s`.
        """
        return now <= self.known_to + self.window_s
