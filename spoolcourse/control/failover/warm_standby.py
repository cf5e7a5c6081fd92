"""A follower's warm standby: its shadow, and whether that is fit to take over from."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.hint_cache import HintCache
from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.failover.shadow_queue import MisfitError, Shadow
from spoolcourse.control.leadership.term import known_term_number
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.retry import RetryDelay
from spoolcourse.control.store.watch_cache import WatchGap
from spoolcourse.wire.peers import StandbyReply
from spoolcourse.wire.standby_settings import StandbySettings

log = logging.getLogger(__name__)

REBUILD_PAUSE_S = 5.0  # between reads for a shadow that goes on not to fit


class ShadowState(Enum):
    """Whether a failover can go on from the shadow."""

    FIT = "fit"
    UNFIT = "unfit"  # changes were missed: it is rebuilt from a read
    LEADING = "leading"  # the job queue was handed over


class Standby:
    """Keeps a shadow while this controller follows, and hands it over when it is elected."""

    def __init__(self, context: ControllerContext, settings: StandbySettings) -> None:
        self._context = context
        self._watch_cache = context.watch_cache
        self._clock = context.clock
        self._settings = settings
        self._shadow: Shadow | None = None
        self._state = ShadowState.UNFIT
        self._unfit = asyncio.Event()  # a read is needed that nobody else makes
        self.unfit_reason = "the state service has not been read yet"
        self.rebuilds = 0
        self.mismatches = 0  # of the shadow and a restore, found where that is verified
        self.hints = HintCache()
        self._watch_cache.add_listener(self._on_change)
        self._watch_cache.add_observer(self)

    # -- for operators and the election ---------------------------------------------------

    @property
    def state(self) -> ShadowState:
        """Whether a failover can go on from the shadow."""
        return self._state

    @property
    def shadow(self) -> Shadow | None:
        """The shadow, if it is fit."""
        return self._shadow

    @property
    def silence_s(self) -> float:
        """For how long the key-value store has told nothing, not even that nothing changed."""
        return self._clock() - self._watch_cache.synced_at

    @property
    def caught_up(self) -> bool:
        """Whether this follower would take over without a restore."""
        return self._state is ShadowState.FIT and self.silence_s <= self._settings.behind_s

    def answer(self) -> StandbyReply:
        """The answer to a leader that would hand over."""
        term = known_term_number(self._watch_cache)
        revision = self._watch_cache.store_revision
        if self.caught_up:
            return StandbyReply(True, term, revision)
        reason = f"its shadow is {self._state.value}"
        if self._state is ShadowState.FIT:
            reason = f"it has not heard of the state service for {self.silence_s:.1f} s"
        elif self._state is ShadowState.UNFIT:
            reason += f": {self.unfit_reason}"
        return StandbyReply(False, term, revision, reason)

    def candidacy_delay_s(self) -> float:
        """How long to let others stand for election first."""
        return 0.0 if self.caught_up else self._settings.defer_s

    # -- changes --------------------------------------------------------------------------

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if self._shadow is None:
            return
        try:
            self._shadow.apply(key, value, revision)
        except (MisfitError, ValueError, KeyError, TypeError) as exc:
            self._become_unfit(f"a change does not fit: {exc}")
            self._unfit.set()

    def on_watch_gap(self, gap: WatchGap) -> None:
        """Changes were missed: the shadow is stale."""
        if self._state is ShadowState.LEADING:
            return
        self._become_unfit(gap.value)
        if gap is WatchGap.WENT_BACK:
            self._unfit.set()  # after the others the watch cache reads all keys by itself

    def _become_unfit(self, reason: str) -> None:
        if self._state is not ShadowState.UNFIT:
            log.warning("standby: the shadow is unfit: %s", reason)
        self._shadow = None
        self._state = ShadowState.UNFIT
        self.unfit_reason = reason

    def on_reload(self) -> None:
        """All keys were read again: rebuild the shadow."""
        self._rebuild()

    def _rebuild(self) -> None:
        """Build the shadow again from what the watch cache holds."""
        if self._state is ShadowState.LEADING:
            return
        shadow = Shadow(self._context)
        try:
            shadow.rebuild(self._watch_cache.entries_below(self._watch_cache.live_prefix))
        except (MisfitError, ValueError, KeyError, TypeError) as exc:
            self._become_unfit(f"the records do not fit: {exc}")
            return
        self._shadow = shadow
        self._state = ShadowState.FIT
        self.rebuilds += 1
        log.info(
            "standby: shadow of %d jobs and %d attempts rebuilt at revision %d",
            shadow.jobs,
            shadow.attempts,
            self._watch_cache.store_revision,
        )

    async def run(self) -> None:
        """Read all keys again when the shadow can't be trusted, until cancelled."""
        retry = RetryDelay()
        while True:
            await self._unfit.wait()
            try:
                await self._watch_cache.reload()
            except StoreUnavailableError as exc:
                log.debug("standby: not rebuilt yet: %s", exc)
                await retry.wait()
                continue
            retry.reset()
            self._unfit.clear()
            await asyncio.sleep(REBUILD_PAUSE_S)

    # -- terms ----------------------------------------------------------------------------

    def hand_over(self) -> RestoredJobs | None:
        """The job queue for the term that begins, or None if the shadow is unfit.

        From here on nothing is shadowed: the leader's own job queue is ahead of the records.
        """
        shadow, self._shadow = self._shadow, None
        self._state = ShadowState.LEADING
        return shadow.hand_over() if shadow is not None else None

    def follow_again(self) -> None:
        """The term of this controller is over."""
        if self._state is not ShadowState.LEADING:
            return
        self._state = ShadowState.UNFIT
        if self._watch_cache.loaded.is_set():
            self._rebuild()
        else:
            self.unfit_reason = "the keys are being read anew"
