"""What a leader does during one term; thrown away when the term is over."""

from __future__ import annotations

import asyncio
import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.strategies import Takeover
from spoolcourse.control.http_client import Reply, later
from spoolcourse.control.jobs.cancellation_query import CancellationQuery
from spoolcourse.control.leader.active_leader import ActiveLeader, Loop
from spoolcourse.control.leader.heartbeat_handler import step_down_for
from spoolcourse.control.leadership.election import Leadership, Term
from spoolcourse.control.leadership.failover_proof import SupersededError
from spoolcourse.control.leadership.failover_timeline import Phase, Timeline
from spoolcourse.control.leadership.feature_level import FeatureLevel
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.wire.messages import Report

log = logging.getLogger(__name__)


class LeaderTerm:
    """From the election to the end of the term; decides once the take-over is proven."""

    def __init__(
        self, term: Term, leadership: Leadership, context: ControllerContext, takeover: Takeover
    ) -> None:
        self._term = term
        self._leadership = leadership
        self._context = context
        self._takeover = takeover
        self._renewal_deadline = RenewalDeadline(context.params.workers)
        self._tasks: list[asyncio.Task[None]] = []
        self.timeline = Timeline(context.clock)
        if leadership.vacant_at is not None:
            self.timeline.reach(Phase.VACANT, leadership.vacant_at)
        self.timeline.reach(Phase.ELECTED)
        self.active: ActiveLeader | None = None

    # -- life -------------------------------------------------------------------------

    def start(self) -> None:
        """Begin to take over; the other loops follow once that is done."""
        depose = self._leadership.depose
        query = CancellationQuery(self._context, self._term, self._renewal_deadline, depose)
        self._spawn(self._take_over())
        self._spawn(query.run())
        self._spawn(FeatureLevel(self._context, self._term).run())

    def stop(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def _spawn(self, loop: Loop) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(self._guarded(loop)))

    async def _guarded(self, loop: Loop) -> None:
        try:
            await loop
        except SupersededError as exc:
            self._leadership.depose(str(exc))
        except Exception:
            # A leader without one of its loops would be worse than no leader.
            log.exception("a loop of the leader failed")
            self._leadership.depose("a loop failed")

    async def _take_over(self) -> None:
        taken_over = await self._takeover.run(self._term)
        self.timeline.proof = taken_over.proof
        self.timeline.reach(Phase.PROVEN)
        # No waiting between the proof and this: no change is missed.
        self.active = ActiveLeader(
            taken_over, self._leadership, self._context, self._renewal_deadline, self.timeline
        )
        jobs = self.active.job_queue.jobs.values()
        log.info(
            "term %d: took over %d jobs, %d attempts to find; proven by %s at revision %d",
            self._term.number,
            len(jobs),
            sum(len(job_state.attempts) for job_state in jobs),
            taken_over.proof.source.value,
            taken_over.proof.applied_revision,
        )
        self.active.start(self._spawn)

    # -- what comes from outside ----------------------------------------------------------

    def report(self, report: Report, relayed: bool = False) -> Reply:
        """Answer a worker's report; `relayed`: a follower has passed it on."""
        if self.active is not None:
            return self.active.admission.answer(report, relayed)
        if report.fencing_token > self._term.number:
            return step_down_for(report, self._leadership)
        return later("taking over")

    def on_change(self, key: str) -> None:
        """A key has changed in the state service."""
        if self.active is not None:
            self.active.on_change(key)
