"""Spot machines that the cloud takes back: their tasks are stopped in time, or moved.

A termination notice is the cloud's preemption notice for a spot machine: it names the time
(`terminates_at`) at which the machine goes. Until then its tasks are drained.
"""

from __future__ import annotations

import asyncio

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces
from spoolcourse.control.jobs.model import Attempt, AttemptStage
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.scheduling.estimates import run_estimate_s
from spoolcourse.control.workers.machine import Machine

PERIOD_S = 0.5
HEARTBEATS_NEEDED = 2  # until the end of a task that was stopped in time is known
MARGIN_S = 1.0
HOPELESS_SHARE = 1.5  # of the time left: a task that needs more is not waited for


class TerminationNoticeLoop:
    """Drains the machines with a termination notice."""

    def __init__(self, leader: LeaderContext, places: ReplicaPlaces) -> None:
        self._clock = leader.controller.clock
        self._policy = leader.policy
        self._registry = leader.registry
        self._places = places
        heartbeat_interval_s = leader.controller.params.workers.heartbeat_interval_s
        self._stop_lead_s = HEARTBEATS_NEEDED * heartbeat_interval_s + MARGIN_S

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for machine in list(self._registry.machines.values()):
                if machine.terminates_at is not None:
                    self._drain(machine, machine.terminates_at - self._clock())

    def _drain(self, machine: Machine, left_s: float) -> None:
        for attempt in list(machine.attempts.values()):
            if attempt.stopping:
                continue
            if attempt.never_sent:
                self._registry.release_attempt(attempt)
            elif attempt.stage is not AttemptStage.ASSIGNED and self._must_stop(attempt, left_s):
                self._registry.request_stop(attempt)

    def _must_stop(self, attempt: Attempt, left_s: float) -> bool:
        """Save what can be saved at the last moment, and don't wait for what can't finish."""
        submission = attempt.job_state.record.submission
        if submission.is_service:
            return self._must_move(attempt, left_s)
        if submission.checkpoint_every_s > 0:
            return left_s < submission.checkpoint_cost_s + self._stop_lead_s
        ran_s = self._clock() - attempt.since if attempt.stage is AttemptStage.RUNNING else 0.0
        needed_s = run_estimate_s(attempt.job_state, self._policy) - ran_s
        return needed_s > HOPELESS_SHARE * left_s

    def _must_move(self, replica: Attempt, left_s: float) -> bool:
        """Whether a replica has to leave its machine now.

        Its next place is ready sooner than its machine is proven gone, so it moves; but one replica
        at a time, none while another is missing or while there is nowhere to go to, as long as
        there is time.
        """
        if left_s < self._stop_lead_s:
            return True
        return replica.job_state.all_running and self._places.has_place_elsewhere(replica)
