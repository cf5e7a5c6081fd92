"""Whether a worker's heartbeat may be answered, and the answer."""

from __future__ import annotations

import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.http_client import Response, retry_later
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.workers.heartbeat_relay import redirect
from spoolcourse.control.workers.worker_registry import AcceptedHeartbeat, WorkerRegistry
from spoolcourse.wire.commands import Command, HeartbeatResponse, to_json_object
from spoolcourse.wire.messages import Heartbeat

log = logging.getLogger(__name__)


def step_down_for_higher_token(heartbeat: Heartbeat, leadership: Leadership) -> Response:
    """End the term: a worker has heard of a later one."""
    leadership.step_down(f"{heartbeat.machine} has seen term {heartbeat.fencing_token}")
    return redirect(None)


class HeartbeatHandler:
    """Answers heartbeats as long as no confirmed cancellation can be unknown for too long."""

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
        self._quiet_s = context.params.workers.quiet_s
        self._leadership = leadership
        self._registry = registry
        self._renewal_deadline = renewal_deadline
        self._renews = True
        self._heard_directly_at = self._clock()

    def hears_no_worker(self) -> bool:
        """Whether no worker has got through to this controller itself for a while."""
        return self._clock() - self._heard_directly_at > self._quiet_s

    def handle(self, heartbeat: Heartbeat, relayed: bool) -> Response:
        """The answer to a heartbeat; `relayed`: a follower has passed it on."""
        if heartbeat.fencing_token > self._registry.fencing_token:
            return step_down_for_higher_token(heartbeat, self._leadership)
        if not self._may_renew():
            # What others have confirmed as cancelled must be gone in time, though this controller
            # can't hear of it: from here on the leases run out.
            self._registry.observe_unanswered_heartbeat(heartbeat)
            return retry_later("may not know of cancellations")
        with self._load.spent("report"):
            outcome = self._registry.process_heartbeat(heartbeat)
        commands: list[Command] = []
        fencing_token = None  # without one nobody's lease is renewed
        if isinstance(outcome, AcceptedHeartbeat):
            commands = outcome.commands
            fencing_token = self._registry.fencing_token
            if not relayed:
                self._heard_directly_at = self._clock()
        hears_no_worker = self.hears_no_worker() if relayed else None
        return Response(
            200, to_json_object(HeartbeatResponse(commands, fencing_token, hears_no_worker))
        )

    def _may_renew(self) -> bool:
        self._renewal_deadline.record_store_read(self._watch_cache.synced_at)
        may_renew = self._renewal_deadline.may_renew(self._clock())
        if may_renew != self._renews:
            self._renews = may_renew
            self._log_change()
        return may_renew

    def _log_change(self) -> None:
        if self._renews:
            log.warning("workers are answered again")
        else:
            log.warning("workers are not answered: others may have confirmed cancellations")
