"""The lifecycle of a controller's terms as leader, from election until it steps down."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from spoolcourse.control.leader.active_leader import ActiveLeader
from spoolcourse.control.leader.leader_term import LeaderTerm
from spoolcourse.control.leadership.failover_timeline import FailoverTimeline
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.watch_cache import (
    FOLLOWER_WATCH_PAUSE_S,
    LEADER_WATCH_PAUSE_S,
    WatchCache,
)


class TermLifecycle:
    """Starts a `LeaderTerm` when elected, and stops it when the term ends."""

    def __init__(
        self,
        watch_cache: WatchCache,
        build_term: Callable[[Term], LeaderTerm],
        on_ended: Callable[[], None],
    ) -> None:
        """`on_ended` is called when this controller becomes a follower again."""
        self._watch_cache = watch_cache
        self._build_term = build_term
        self._on_ended = on_ended
        self.current: LeaderTerm | None = None  # None while this controller is a follower
        self.last_failover_timeline: FailoverTimeline | None = None  # of the current or last term

    @property
    def active(self) -> ActiveLeader | None:
        """The `ActiveLeader` of the current term; None until its failover is proven."""
        return self.current.active if self.current is not None else None

    def on_elected(self, term: Term) -> None:
        """Start the term for which this controller was elected."""
        self._watch_cache.watch_pause_s = LEADER_WATCH_PAUSE_S
        self.current = self._build_term(term)
        self.last_failover_timeline = self.current.timeline
        self.current.start()

    def on_stepped_down(self) -> None:
        """Stop the current term, because this controller has stepped down."""
        self._watch_cache.watch_pause_s = FOLLOWER_WATCH_PAUSE_S
        if self.current is not None:
            self.current.stop()
            self.current = None
        self._on_ended()

    def on_change(self, key: str, value: Any, revision: int) -> None:
        """Pass the change of a key in the key-value store to the current term, if there is one."""
        if self.current is not None:
            self.current.on_change(key)

    def stop(self) -> None:
        """Stop all loops of the current term, if there is one, because the controller stops."""
        if self.current is not None:
            self.current.stop()
