"""The placement passes: when they run, and what is done with their plans."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from itertools import islice

from spoolcourse.control.autoscaling.autoscaler import FleetAutoscaler
from spoolcourse.control.autoscaling.planner import (
    Offer,
    ProvisionRequest,
    plan_provisioning,
    top_up,
)
from spoolcourse.control.autoscaling.scale_out import ScaleOutRequest
from spoolcourse.control.cloud.client import max_provisions
from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import Decision, Plan, Snapshot
from spoolcourse.control.placement.preempt import choose_victims
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher
from spoolcourse.wire.cloud import MachineKind
from spoolcourse.wire.messages import MachineType

log = logging.getLogger(__name__)

ATTEMPT_BITS = 24  # of an attempt's number, below those of the term: no leader reuses one
ATTEMPTS_MOST = (1 << ATTEMPT_BITS) - 1  # of one term


class AttemptNumbersSpentError(Exception):
    """The next number would be one of the next term's. A new term has numbers again."""


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with tasks that wait, and what for."""

    id: str
    job_class: str
    team: str
    tasks: int
    waits_s: float
    reason: str


class SchedulingLoop:
    """Runs passes while this node leads for certain."""

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
        self._policy_source = context.policy_source
        self._machine_types = context.machine_types
        self._policy = leader.policy
        self._job_queue = leader.job_queue
        self._registry = leader.registry
        self._command_dispatcher = command_dispatcher
        self._autoscaler = autoscaler
        self._snapshot_builder = snapshot_builder
        self._attempts = 0
        self._reasons: dict[str, str] = {}  # of jobs that wait, from the last pass
        self.wake = asyncio.Event()
        self.passes = 0
        self.pass_cost_s = 0.0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self._policy.pass_period_s):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            if self._registry.leader.may_start():
                began = time.process_time()
                with self._load.time_block("pass"):
                    self._run_pass()
                self.pass_cost_s = time.process_time() - began
            # Rounds widen with the load, by the policy: what changes meanwhile is decided
            # together in the next one.
            await asyncio.sleep(self._policy.pass_gap_s)

    # -- one pass -------------------------------------------------------------------------

    def _run_pass(self) -> None:
        now = self._clock()
        machine_types = self._machine_types()
        if not machine_types:
            return
        with self._load.time_block("snapshot"):
            snapshot = self._snapshot_builder.take(now, machine_types)
        team_room = [team.cpus for team in snapshot.teams]
        held_cpus = self._held_cpus()
        with self._load.time_block("place"):
            plan = place(snapshot)
        self.passes += 1
        self._registry.leader.record_phase(FailoverPhase.FIRST_PASS)
        job_states = self._snapshot_builder.job_states
        self._reasons = {job_states[i].id: reason for i, reason in plan.why.items()}
        wanted_cpus = held_cpus + _planned_cpus(snapshot, plan)
        self._autoscaler.excess_capacity.demand.record(now, wanted_cpus)
        self._refresh_policy(snapshot, wanted_cpus)
        for decision in plan.decisions:
            self._assign(decision, now)
        with self._load.time_block("stop"):
            self._stop_for_claims(snapshot, plan)
        self._plan_machines(snapshot, plan, team_room, now)

    def _held_cpus(self) -> float:
        return sum(
            job_state.record.submission.cpus * len(job_state.attempts)
            for job_state in self._job_queue.jobs.values()
        )

    def _refresh_policy(self, snapshot: Snapshot, wanted_cpus: float) -> None:
        at_hand = sum(node.size for node in snapshot.nodes)
        boots_s = [machine_type.boot_s for machine_type in self._machine_types().values()]
        self._policy_source.refresh(
            self._policy,
            {
                "waiting_jobs": float(sum(1 for job in snapshot.jobs if job.pending > 0)),
                "machines": float(len(snapshot.nodes)),
                "load": wanted_cpus / at_hand if at_hand > 0 else 0.0,
                "pass_cost_s": self.pass_cost_s,
                "boot_s": max(boots_s, default=1.0),
                "report_s": self._params.workers.heartbeat_interval_s,
                "lease_s": self._params.workers.lease_s,
            },
        )

    def _assign(self, decision: Decision, now: float) -> None:
        job_state = self._snapshot_builder.job_states[decision.job]
        machine = self._snapshot_builder.machines[decision.node]
        chosen = list(islice(job_state.assignable_tasks(), decision.count))
        for task in chosen:
            if self._attempts >= ATTEMPTS_MOST:
                raise AttemptNumbersSpentError
            self._attempts += 1
            number = (self._registry.fencing_token << ATTEMPT_BITS) + self._attempts
            attempt = self._job_queue.assign(job_state, task, machine.id, number, now)
            attempt.exempt_from_preemption = job_state.id in self._snapshot_builder.unbegun
            self._registry.track_attempt(attempt)
        log.debug("%s: %d tasks to %s", job_state.id, len(chosen), machine.id)

    def _stop_for_claims(self, snapshot: Snapshot, plan: Plan) -> None:
        chosen = choose_victims(snapshot, plan, self._policy.preempt_patience_s)
        if not chosen:
            return
        for attempt in self._snapshot_builder.attempts(chosen):
            log.info("%s: stopped to make room", attempt.name)
            if attempt.never_sent:
                self._registry.release_attempt(attempt)
            else:
                self._registry.request_stop(attempt)
                self._command_dispatcher.wake.set()

    # -- machines to rent -----------------------------------------------------------------

    def _plan_machines(
        self, snapshot: Snapshot, plan: Plan, team_room: list[float], now: float
    ) -> None:
        if self._autoscaler.scale_out.is_in_progress:
            return
        short_cpus = self._autoscaler.excess_capacity.missing_cpus(now)
        if not plan.unplaced and short_cpus <= 0:
            return
        offers = self._offers()
        demand = [(snapshot.jobs[i], count) for i, count in plan.unplaced.items()]
        most = max_provisions(self._params.cloud.rps)
        provisions = plan_provisioning(demand, snapshot.nodes, offers, now, team_room, most)
        short_cpus -= sum(provision.count * provision.offer.cpus for provision in provisions)
        provisions += top_up(short_cpus, offers, len(snapshot.nodes))
        if provisions:
            self._autoscaler.scale_out.request(
                [
                    ScaleOutRequest(self._kind(provision), provision.count)
                    for provision in provisions
                ]
            )

    def _offers(self) -> list[Offer]:
        """What can be asked for now."""
        return [
            self._offer(machine_type, zone, spot)
            for machine_type in self._machine_types().values()
            for zone in machine_type.zones
            if zone in self._params.zones
            for spot in (True, False)
            if self._autoscaler.scale_out.may_request(MachineKind(machine_type.name, zone, spot))
        ]

    def _offer(self, machine_type: MachineType, zone: str, spot: bool) -> Offer:
        return Offer(
            self._snapshot_builder.machine_types.of(machine_type.name),
            self._snapshot_builder.zones.of(zone),
            spot,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            machine_type.spot_price if spot else machine_type.hourly_price,
            machine_type.boot_s,
        )

    def _kind(self, provision: ProvisionRequest) -> MachineKind:
        return MachineKind(
            self._snapshot_builder.machine_types.names[provision.offer.machine_type],
            self._snapshot_builder.zones.names[provision.offer.zone],
            provision.offer.spot,
        )

    # -- for the operators ----------------------------------------------------------------

    def waiting(self) -> list[WaitingJob]:
        """Jobs with tasks that wait, in order of arrival, and what for."""
        now = self._clock()
        return [
            WaitingJob(
                job_state.id,
                job_state.record.submission.job_class,
                job_state.record.submission.team,
                job_state.pending_count,
                round(now - job_state.waiting_since, 1),
                self._reason(job_state, now),
            )
            for job_state in sorted(
                self._job_queue.jobs.values(), key=lambda job: job.arrival_order
            )
            if job_state.pending_count > 0 and not job_state.record.cancelled
        ]

    def _reason(self, job_state: JobState, now: float) -> str:
        if job_state.backoff_until > now:
            return "an error's pause"
        return self._reasons.get(job_state.id, "next pass")

    def log_waiting(self) -> None:
        """What waits and what for, by class."""
        tasks: dict[tuple[str, str], int] = {}
        for job in self.waiting():
            key = (job.job_class, job.reason)
            tasks[key] = tasks.get(key, 0) + job.tasks
        for (job_class, reason), count in sorted(tasks.items()):
            log.info("waiting: %d tasks of %s for: %s", count, job_class, reason)


def _planned_cpus(snapshot: Snapshot, plan: Plan) -> float:
    """CPUs of what a plan starts, and of what it finds no machine for."""
    placed = sum(snapshot.jobs[d.job].cpus * d.count for d in plan.decisions)
    missing = sum(snapshot.jobs[i].cpus * count for i, count in plan.unplaced.items())
    return placed + missing
