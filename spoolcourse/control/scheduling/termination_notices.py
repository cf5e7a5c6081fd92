"""Drains spot machines that the cloud reclaims: stops or moves their tasks in time.

A termination notice is the cloud's preemption notice for a spot machine. It gives the time
(`terminates_at`) at which the machine is terminated.
"""

from __future__ import annotations

import asyncio

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces
from spoolcourse.control.jobs.model import Attempt, AttemptStage
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.scheduling.estimates import run_estimate_s
from spoolcourse.control.workers.machine import Machine

POLL_INTERVAL_S = 0.5  # between checks of the machines with a notice
HEARTBEATS_TO_CONFIRM_STOP = 2  # until the leader knows that a stopped task has ended
STOP_MARGIN_S = 1.0  # in addition to those heartbeats
# A task without checkpoints is stopped if it needs more than this times the remaining time.
MAX_NEEDED_TIME_RATIO = 1.5


class TerminationNoticeLoop:
    """Drains machines that have a termination notice."""

    def __init__(self, leader: LeaderContext, replica_places: ReplicaPlaces) -> None:
        self._clock = leader.controller.clock
        self._policy = leader.policy
        self._registry = leader.registry
        self._replica_places = replica_places
        heartbeat_interval_s = leader.controller.params.workers.heartbeat_interval_s
        self._stop_lead_s = HEARTBEATS_TO_CONFIRM_STOP * heartbeat_interval_s + STOP_MARGIN_S

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for machine in list(self._registry.machines.values()):
                if machine.terminates_at is not None:
                    self._drain(machine, machine.terminates_at - self._clock())

    def _drain(self, machine: Machine, remaining_s: float) -> None:
        """Release or stop attempts, where needed, on a machine that terminates in `remaining_s`."""
        for attempt in list(machine.attempts.values()):
            if attempt.stopping:
                continue
            if self._must_end(attempt, remaining_s):
                self._registry.end_attempt(attempt)

    def _must_end(self, attempt: Attempt, remaining_s: float) -> bool:
        """Whether the attempt must end now, as its machine terminates in `remaining_s`.

        The machine gets no further starts, so an attempt whose start was lost would wait there.
        """
        if attempt.stage is AttemptStage.ASSIGNED:
            return attempt.cannot_start or attempt.start.is_lost
        return self._must_stop(attempt, remaining_s)

    def _must_stop(self, attempt: Attempt, remaining_s: float) -> bool:
        """Whether to stop an attempt that its machine has reported.

        A task with checkpoints is stopped when there is just time left for a last checkpoint, a
        task without them as soon as it is expected not to finish in time.
        """
        submission = attempt.job_state.record.submission
        if submission.is_service:
            return self._must_move(attempt, remaining_s)
        if submission.checkpoint_every_s > 0:
            return remaining_s < submission.checkpoint_cost_s + self._stop_lead_s
        ran_s = (
            self._clock() - attempt.stage_since if attempt.stage is AttemptStage.RUNNING else 0.0
        )
        needed_s = run_estimate_s(attempt.job_state, self._policy) - ran_s
        return needed_s > MAX_NEEDED_TIME_RATIO * remaining_s

    def _must_move(self, replica: Attempt, remaining_s: float) -> bool:
        """Whether to stop a replica now so that it restarts on another machine.

        Without the stop, it could restart only after the leader had proven that its machine is
        gone. While there is time, replicas move one at a time: only if all replicas of the service
        run and another machine has room.
        """
        if remaining_s < self._stop_lead_s:
            return True
        return replica.job_state.all_running and self._replica_places.can_run_elsewhere(replica)
