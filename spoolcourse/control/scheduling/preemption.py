"""Executes preemptions: stops the tasks chosen to free resources for unplaced tasks."""

from __future__ import annotations

import logging

from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.placement.model import Plan, Snapshot
from spoolcourse.control.placement.preempt import choose_victims
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher

log = logging.getLogger(__name__)


class Preemptor:
    """Stops the victims of each placement pass: the tasks chosen to be preempted."""

    def __init__(
        self,
        leader: LeaderContext,
        command_dispatcher: CommandDispatcher,
        snapshot_builder: SnapshotBuilder,
    ) -> None:
        self._policy = leader.policy
        self._registry = leader.registry
        self._command_dispatcher = command_dispatcher
        self._snapshot_builder = snapshot_builder

    def preempt(self, snapshot: Snapshot, plan: Plan) -> None:
        """Preempt running tasks for the plan's unplaced tasks. Modifies the snapshot.

        Tasks expected to end within `preempt_patience_s` (a policy key) are not preempted.
        """
        victims = choose_victims(snapshot, plan, self._policy.preempt_patience_s)
        if not victims:
            return
        for attempt in self._snapshot_builder.attempts(victims):
            log.info(
                "preempted: job=%s task=%d attempt=%d machine=%s",
                attempt.job_state.id,
                attempt.task,
                attempt.number,
                attempt.machine,
            )
            self._registry.end_attempt(attempt)
        self._command_dispatcher.wake.set()
