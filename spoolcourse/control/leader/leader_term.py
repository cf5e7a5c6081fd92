"""A leader's term: the failover, then the leader's loops until the term ends.

The failover is proven when this controller has seen every placement of earlier leaders
(`leadership.failover_proof`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.strategies import FailoverStrategy
from spoolcourse.control.http_client import Response, retry_later
from spoolcourse.control.jobs.cancellation_query import CancellationQuery
from spoolcourse.control.leader.active_leader import ActiveLeader
from spoolcourse.control.leader.heartbeat_handler import step_down_for_higher_token
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.failover_proof import TermSupersededError
from spoolcourse.control.leadership.failover_timeline import FailoverPhase, FailoverTimeline
from spoolcourse.control.leadership.feature_level import FeatureLevelRecorder
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.supervisor import LoopSupervisor, SupervisionPolicy
from spoolcourse.wire.messages import Heartbeat

log = logging.getLogger(__name__)

# A leader that lacks one of its loops is worse than none, so a failed loop ends the term.
END_TERM_ON_FAILURE = SupervisionPolicy(restart_after_s=None, expected=(TermSupersededError,))


class LeaderTerm:
    """Runs one term from election to its end; `active` is set once the failover is proven."""

    def __init__(
        self,
        term: Term,
        leadership: Leadership,
        context: ControllerContext,
        failover: FailoverStrategy,
        on_failover_complete: Callable[[FailoverTimeline], None],
    ) -> None:
        self._term = term
        self._leadership = leadership
        self._context = context
        self._failover = failover
        self._renewal_deadline = RenewalDeadline(context.params.workers)
        self._supervisor = LoopSupervisor(leadership.step_down, END_TERM_ON_FAILURE)
        self.timeline = FailoverTimeline(context.clock, on_failover_complete)
        if leadership.leaderless_since is not None:
            self.timeline.record(FailoverPhase.VACANT, leadership.leaderless_since)
        self.timeline.record(FailoverPhase.ELECTED)
        self.active: ActiveLeader | None = None

    # -- life cycle -------------------------------------------------------------------

    def start(self) -> None:
        """Start the failover; most of the leader's loops start once it is proven."""
        step_down = self._leadership.step_down
        context = self._context
        cancellation_query = CancellationQuery(
            context.http_client,
            context.peers,
            context.watch_cache,
            context.job_index,
            context.clock,
            self._term,
            self._renewal_deadline,
            step_down,
        )
        feature_level_recorder = FeatureLevelRecorder(
            context.http_client,
            context.store_client,
            context.watch_cache,
            context.peers,
            self._term,
        )
        self._supervisor.spawn(self._run_failover)
        self._supervisor.spawn(cancellation_query.run)
        self._supervisor.spawn(feature_level_recorder.run)

    def stop(self) -> None:
        """Stop all loops."""
        self._supervisor.cancel()

    async def _run_failover(self) -> None:
        failover = await self._failover.run(self._term)
        self.timeline.record_proof(failover.proof)
        # No await between the proof and this assignment: no change of a key may come in between.
        self.active = ActiveLeader(
            failover, self._leadership, self._context, self._renewal_deadline, self.timeline
        )
        jobs = self.active.job_queue.jobs.values()
        log.info(
            "failover proven: term=%d jobs=%d attempts=%d proof=%s revision=%d",
            self._term.number,
            len(jobs),
            sum(len(job_state.attempts) for job_state in jobs),
            failover.proof.source.value,
            failover.proof.applied_revision,
        )
        self.active.start(self._supervisor.spawn)

    # -- events ---------------------------------------------------------------------------

    def answer_heartbeat(self, heartbeat: Heartbeat, relayed: bool = False) -> Response:
        """Answer a worker's heartbeat; `relayed`: a follower forwarded it."""
        if self.active is not None:
            return self.active.heartbeat_handler.handle(heartbeat, relayed)
        if heartbeat.fencing_token > self._term.number:
            return step_down_for_higher_token(heartbeat, self._leadership)
        return retry_later("failover in progress")

    def on_change(self, key: str) -> None:
        """Process the change of a key in the key-value store; ignored until `active` is set."""
        if self.active is not None:
            self.active.on_change(key)
