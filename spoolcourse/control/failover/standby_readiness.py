"""A follower's readiness for a failover, as the election, operators and the leader use it."""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.failover.shadow_status import ShadowState, ShadowStatus
from spoolcourse.control.leadership.term import known_term_number
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.peers import StandbyResponse
from spoolcourse.wire.standby_settings import StandbySettings


class StandbyReadiness:
    """Assesses readiness by the shadow's state and the age of the store's last response."""

    def __init__(
        self,
        shadow_status: ShadowStatus,
        watch_cache: WatchCache,
        clock: Callable[[], float],
        settings: StandbySettings,
    ) -> None:
        self._shadow_status = shadow_status
        self._watch_cache = watch_cache
        self._clock = clock
        self._settings = settings

    @property
    def store_response_age_s(self) -> float:
        """Seconds since the key-value store's last response, with or without changes."""
        return self._clock() - self._watch_cache.synced_at

    @property
    def caught_up(self) -> bool:
        """Whether a failover to this follower would need no restore of the job queue."""
        is_usable = self._shadow_status.state is ShadowState.USABLE
        return is_usable and self.store_response_age_s <= self._settings.behind_s

    def candidacy_delay_s(self) -> float:
        """Seconds to wait before standing for election, so that others may stand first."""
        return 0.0 if self.caught_up else self._settings.defer_s

    def response(self) -> StandbyResponse:
        """The response to a leader that looks for a successor to transfer leadership to."""
        term = known_term_number(self._watch_cache)
        revision = self._watch_cache.store_revision
        if self.caught_up:
            return StandbyResponse(True, term, revision)
        return StandbyResponse(False, term, revision, self._not_caught_up_reason())

    def _not_caught_up_reason(self) -> str:
        status = self._shadow_status
        if status.state is ShadowState.USABLE:
            return f"it has not heard of the state service for {self.store_response_age_s:.1f} s"
        reason = f"its shadow is {status.state.value}"
        if status.state is ShadowState.STALE:
            reason += f": {status.stale_reason}"
        return reason
