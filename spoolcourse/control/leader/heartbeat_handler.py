"""Whether a worker's report may be answered, and the answer."""

from __future__ import annotations

import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.http_client import Reply, later
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.workers.heartbeat_relay import redirect
from spoolcourse.control.workers.worker_registry import Answer, WorkerRegistry
from spoolcourse.wire.commands import Command, ReportReply, to_json_object
from spoolcourse.wire.messages import Report

log = logging.getLogger(__name__)


def step_down_for(report: Report, leadership: Leadership) -> Reply:
    """End the term: a worker has heard of a later one."""
    leadership.depose(f"{report.machine} has seen term {report.fencing_token}")
    return redirect(None)


class ReportAdmission:
    """Answers reports as long as no confirmed cancellation can be unknown for too long."""

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
        """Whether no worker has got through to this node itself for a while."""
        return self._clock() - self._heard_directly_at > self._quiet_s

    def answer(self, report: Report, relayed: bool) -> Reply:
        """The answer to a report; `relayed`: a follower has passed it on."""
        if report.fencing_token > self._registry.fencing_token:
            return step_down_for(report, self._leadership)
        if not self._may_renew():
            # What others have confirmed as cancelled must be gone in time, though this node
            # can't hear of it: from here on the leases run out.
            self._registry.overhear(report)
            return later("may not know of cancellations")
        with self._load.spent("report"):
            outcome = self._registry.accept(report)
        commands: list[Command] = []
        fencing_token = None  # without one nobody's lease is renewed
        if isinstance(outcome, Answer):
            commands = outcome.commands
            fencing_token = self._registry.fencing_token
            if not relayed:
                self._heard_directly_at = self._clock()
        hears_no_worker = self.hears_no_worker() if relayed else None
        return Reply(200, to_json_object(ReportReply(commands, fencing_token, hears_no_worker)))

    def _may_renew(self) -> bool:
        self._renewal_deadline.synced(self._watch_cache.synced_at)
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
