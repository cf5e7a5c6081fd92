"""A follower's warm standby: a shadow of the job queue, which a failover can start from."""

from __future__ import annotations

import logging
from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.hint_cache import HintCache
from spoolcourse.control.failover.restore import RestoredJobs
from spoolcourse.control.failover.shadow_job_queue import InconsistentChangeError, ShadowJobQueue
from spoolcourse.control.failover.shadow_reload_loop import ShadowReloadLoop
from spoolcourse.control.failover.shadow_status import ShadowState, ShadowStatus
from spoolcourse.control.failover.standby_readiness import StandbyReadiness
from spoolcourse.control.store.watch_cache import WatchGap
from spoolcourse.wire.standby_settings import StandbySettings

log = logging.getLogger(__name__)

# The change is inconsistent with the shadow, or the record can't be read.
UNUSABLE_CHANGE_ERRORS = (InconsistentChangeError, ValueError, KeyError, TypeError)


class WarmStandby:
    """Keeps a shadow while this controller is a follower, and hands it over once it is elected."""

    def __init__(self, context: ControllerContext, settings: StandbySettings) -> None:
        self._context = context
        self._watch_cache = context.watch_cache
        self._shadow: ShadowJobQueue | None = None
        self._reload_loop = ShadowReloadLoop(context.watch_cache)
        self.status = ShadowStatus()
        self.readiness = StandbyReadiness(self.status, context.watch_cache, context.clock, settings)
        self.hints = HintCache()
        self._watch_cache.add_listener(self._on_change)
        self._watch_cache.add_observer(self)

    @property
    def shadow(self) -> ShadowJobQueue | None:
        """The shadow; None if it is stale or this controller leads."""
        return self._shadow

    async def run(self) -> None:
        """Reload all keys whenever a stale shadow requires it, until cancelled."""
        await self._reload_loop.run()

    # -- changes --------------------------------------------------------------------------

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if self._shadow is None:
            return
        try:
            self._shadow.apply(key, value, revision)
        except UNUSABLE_CHANGE_ERRORS as exc:
            self._mark_stale(f"a change does not fit: {exc}")
            self._reload_loop.request()

    def on_watch_gap(self, gap: WatchGap) -> None:
        """Mark the shadow as stale, because changes were missed."""
        if self.status.state is ShadowState.LEADING:
            return
        self._mark_stale(gap.value)
        if gap is WatchGap.REVISION_DECREASED:
            self._reload_loop.request()  # after any other gap, the watch cache reloads by itself

    def _mark_stale(self, reason: str) -> None:
        if self.status.state is not ShadowState.STALE:
            log.warning("warm standby: shadow is stale: %s", reason)
        self._shadow = None
        self.status.state = ShadowState.STALE
        self.status.stale_reason = reason

    def on_reload(self) -> None:
        """Rebuild the shadow, because the watch cache has read all keys again."""
        self._rebuild()

    def _rebuild(self) -> None:
        """Build a new shadow from the records in the watch cache."""
        if self.status.state is ShadowState.LEADING:
            return
        shadow = ShadowJobQueue(self._context)
        try:
            shadow.load(self._watch_cache.entries_below(self._watch_cache.live_prefix))
        except UNUSABLE_CHANGE_ERRORS as exc:
            self._mark_stale(f"the records do not fit: {exc}")
            return
        self._shadow = shadow
        self.status.state = ShadowState.USABLE
        self.status.rebuilds += 1
        log.info(
            "warm standby: shadow rebuilt: jobs=%d attempts=%d revision=%d",
            shadow.job_count,
            shadow.attempt_count,
            self._watch_cache.store_revision,
        )

    # -- terms of this controller ---------------------------------------------------------

    def detach_job_queue(self) -> RestoredJobs | None:
        """Hand over the job queue for the term that begins; None if the shadow is stale.

        There is no shadow during the term: the leader's job queue is ahead of the records.
        """
        shadow, self._shadow = self._shadow, None
        self.status.state = ShadowState.LEADING
        return shadow.as_restored() if shadow is not None else None

    def resume_shadowing(self) -> None:
        """Keep a shadow again after this controller's term."""
        if self.status.state is not ShadowState.LEADING:
            return
        self.status.state = ShadowState.STALE
        if self._watch_cache.loaded.is_set():
            self._rebuild()
        else:
            self.status.stale_reason = "the keys are being read anew"
