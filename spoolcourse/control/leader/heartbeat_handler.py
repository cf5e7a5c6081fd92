"""The leader's responses to workers' heartbeats (PROTOCOL, Workers -> controller nodes)."""

from __future__ import annotations

import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.http_client import Response, retry_later
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.workers.heartbeat_relay import redirect
from spoolcourse.control.workers.worker_registry import (
    AcceptedHeartbeat,
    HeartbeatOutcome,
    WorkerRegistry,
)
from spoolcourse.wire.commands import HeartbeatResponse, to_json_object
from spoolcourse.wire.messages import Heartbeat

log = logging.getLogger(__name__)


def step_down_for_higher_token(heartbeat: Heartbeat, leadership: Leadership) -> Response:
    """Step down, because a worker reported a higher fencing token; redirect the worker."""
    leadership.step_down(
        f"{heartbeat.machine} reported higher fencing token {heartbeat.fencing_token}"
    )
    return redirect(None)


class HeartbeatHandler:
    """Answers heartbeats as the leader.

    Refuses them, so that no lease is renewed, while this controller may lack a cancellation that
    another controller confirmed too long ago (`RenewalDeadline`).
    """

    def __init__(
        self,
        context: ControllerContext,
        leadership: Leadership,
        registry: WorkerRegistry,
        renewal_deadline: RenewalDeadline,
    ) -> None:
        self._watch_cache = context.watch_cache
        self._clock = context.clock
        self._load = context.load
        self._suspect_after_s = context.params.workers.suspect_after_s
        self._leadership = leadership
        self._registry = registry
        self._renewal_deadline = renewal_deadline
        self._renews_leases = True
        self._last_direct_heartbeat_at = self._clock()

    def receives_no_heartbeats(self) -> bool:
        """Whether no worker has reached this controller directly for `suspect_after_s`."""
        return self._clock() - self._last_direct_heartbeat_at > self._suspect_after_s

    def handle(self, heartbeat: Heartbeat, relayed: bool) -> Response:
        """Answer a heartbeat; `relayed`: a follower forwarded it."""
        if heartbeat.fencing_token > self._registry.fencing_token:
            return step_down_for_higher_token(heartbeat, self._leadership)
        if not self._may_renew_leases():
            # Other controllers may have confirmed cancellations that this one has not read. The
            # workers' leases must expire so that the cancelled attempts end in time.
            self._registry.observe_unanswered_heartbeat(heartbeat)
            return retry_later("confirmed cancellations may be unknown")
        with self._load.time_block("report"):
            outcome = self._registry.process_heartbeat(heartbeat)
        response = self._respond(outcome, relayed)
        return Response(200, to_json_object(response))

    def _respond(self, outcome: HeartbeatOutcome, relayed: bool) -> HeartbeatResponse:
        if isinstance(outcome, AcceptedHeartbeat):
            commands = outcome.commands
            fencing_token: int | None = self._registry.fencing_token
            if not relayed:
                self._last_direct_heartbeat_at = self._clock()
        else:
            commands, fencing_token = [], None  # a response without a token renews no lease
        return HeartbeatResponse(
            commands, fencing_token, self.receives_no_heartbeats() if relayed else None
        )

    def _may_renew_leases(self) -> bool:
        self._renewal_deadline.record_store_read(self._watch_cache.synced_at)
        may_renew = self._renewal_deadline.may_renew(self._clock())
        if may_renew != self._renews_leases:
            self._renews_leases = may_renew
            self._log_renewal_change()
        return may_renew

    def _log_renewal_change(self) -> None:
        term = self._registry.fencing_token
        if self._renews_leases:
            log.warning("heartbeats are answered again: term=%d", term)
        else:
            log.warning(
                "heartbeats are not answered, others may have confirmed cancellations: term=%d",
                term,
            )
