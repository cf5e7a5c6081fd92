"""Runs the placement passes and executes their plans."""

from __future__ import annotations

import asyncio
import logging
import time
from itertools import islice

from spoolcourse.control.async_utils import wait_for_event
from spoolcourse.control.autoscaling.autoscaler import FleetAutoscaler
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import Placement, Plan, Snapshot
from spoolcourse.control.scheduling.attempt_numbers import AttemptNumbers
from spoolcourse.control.scheduling.capacity_planning import CapacityPlanner
from spoolcourse.control.scheduling.preemption import Preemptor
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.scheduling.waiting_jobs import WaitingJobs
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher

log = logging.getLogger(__name__)


class SchedulingLoop:
    """Runs placement passes while this controller is certain to hold the leader's lease."""

    def __init__(
        self,
        leader: LeaderContext,
        command_dispatcher: CommandDispatcher,
        autoscaler: FleetAutoscaler,
        snapshot_builder: SnapshotBuilder,
    ) -> None:
        context = leader.controller
        self._clock = context.clock
        self._load = context.load
        self._params = context.params
        self._compiled_policy = context.compiled_policy
        self._machine_types = context.machine_types
        self._policy = leader.policy
        self._job_queue = leader.job_queue
        self._registry = leader.registry
        self._excess_capacity = autoscaler.excess_capacity
        self._snapshot_builder = snapshot_builder
        self._preemptor = Preemptor(leader, command_dispatcher, snapshot_builder)
        self._capacity_planner = CapacityPlanner(leader, autoscaler, snapshot_builder.indices)
        self._attempt_numbers = AttemptNumbers(leader.registry.fencing_token)
        self.waiting_jobs = WaitingJobs(leader)
        self.wake = asyncio.Event()
        self.passes = 0  # run since this controller became the leader
        self.pass_cost_s = 0.0  # processor time of the latest pass

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            # A pass runs when something changed, and `pass_period_s` after the pause at the latest.
            await wait_for_event(self.wake, self._policy.pass_period_s)
            self.wake.clear()
            if self._registry.leader.holds_lease():
                started_at = time.process_time()
                with self._load.time_block("pass"):
                    self._run_pass()
                self.pass_cost_s = time.process_time() - started_at
            # `pass_gap_s` is the pause between two passes; the policy lengthens it under load.
            # Changes that arrive during the pause are handled together in the next pass.
            await asyncio.sleep(self._policy.pass_gap_s)

    def _run_pass(self) -> None:
        """Run one placement pass and execute its plan."""
        now = self._clock()
        machine_types = self._machine_types()
        if not machine_types:
            return
        with self._load.time_block("snapshot"):
            snapshot = self._snapshot_builder.build_snapshot(now, machine_types)
        team_cpus = [team.cpus for team in snapshot.teams]  # the pass modifies the snapshot
        assigned_cpus = self._assigned_cpus()
        with self._load.time_block("place"):
            plan = place(snapshot)
        self.passes += 1
        self._registry.leader.record_failover_phase(FailoverPhase.FIRST_PASS)
        job_states = self._snapshot_builder.job_states
        self.waiting_jobs.set_reasons(
            {job_states[index].id: reason for index, reason in plan.wait_reasons.items()}
        )
        demanded_cpus = assigned_cpus + _planned_cpus(snapshot, plan)
        self._excess_capacity.demand.record(now, demanded_cpus)
        self._refresh_policy(snapshot, demanded_cpus)
        for placement in plan.placements:
            self._assign(placement, now)
        with self._load.time_block("stop"):
            self._preemptor.preempt(snapshot, plan)
        self._capacity_planner.request_machines(snapshot, plan, team_cpus, now)

    def _assigned_cpus(self) -> float:
        """Return the CPUs of all attempts of live jobs."""
        return sum(
            job_state.record.submission.cpus * len(job_state.attempts)
            for job_state in self._job_queue.jobs.values()
        )

    def _refresh_policy(self, snapshot: Snapshot, demanded_cpus: float) -> None:
        """Recompute the policy's values from the current load."""
        total_cpus = sum(machine.total_cpus for machine in snapshot.machines)
        boot_times_s = [machine_type.boot_s for machine_type in self._machine_types().values()]
        waiting_jobs = sum(1 for job in snapshot.jobs if job.pending_tasks > 0)
        self._compiled_policy.refresh(
            self._policy,
            {
                "waiting_jobs": float(waiting_jobs),
                "machines": float(len(snapshot.machines)),
                "load": demanded_cpus / total_cpus if total_cpus > 0 else 0.0,
                "pass_cost_s": self.pass_cost_s,
                "boot_s": max(boot_times_s, default=1.0),
                "report_s": self._params.workers.heartbeat_interval_s,
                "lease_s": self._params.workers.lease_s,
            },
        )

    def _assign(self, placement: Placement, now: float) -> None:
        """Create an attempt for each task of a placement."""
        job_state = self._snapshot_builder.job_states[placement.job]
        machine = self._snapshot_builder.machines[placement.machine]
        is_starved = job_state.id in self._snapshot_builder.starved_jobs
        tasks = list(islice(job_state.assignable_tasks(), placement.task_count))
        for task in tasks:
            number = self._attempt_numbers.next()
            attempt = self._job_queue.assign(job_state, task, machine.id, number, now)
            attempt.exempt_from_preemption = is_starved
            self._registry.track_attempt(attempt)
        log.debug("placed: job=%s tasks=%d machine=%s", job_state.id, len(tasks), machine.id)


def _planned_cpus(snapshot: Snapshot, plan: Plan) -> float:
    """Return the CPUs of the tasks that the plan places and of those it leaves unplaced."""
    placed = sum(snapshot.jobs[p.job].cpus * p.task_count for p in plan.placements)
    unplaced = sum(snapshot.jobs[i].cpus * tasks for i, tasks in plan.unplaced_tasks.items())
    return placed + unplaced
