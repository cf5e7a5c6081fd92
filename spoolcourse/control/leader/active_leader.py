"""The parts of a leader that decide and command, from the proof of the failover on."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from spoolcourse.control.autoscaling.autoscaler import FleetAutoscaler
from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.strategies import FailoverResult
from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.jobs.progress_writer import ProgressWriter
from spoolcourse.control.leader.heartbeat_handler import HeartbeatHandler
from spoolcourse.control.leader.hinted_workers import HintedWorkers
from spoolcourse.control.leader.initial_machines import InitialMachines
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.failover_timeline import FailoverPhase, FailoverTimeline
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.scheduling.scheduling_loop import SchedulingLoop
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.scheduling.termination_notices import TerminationLoop
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.store.keys import JOB_PREFIX
from spoolcourse.control.store.records import JobRecord
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import Host

log = logging.getLogger(__name__)

Loop = Coroutine[Any, Any, None]


class ActiveLeader:
    """The job queue, the registry and the loops that work on them."""

    def __init__(
        self,
        failover: FailoverResult,
        leadership: Leadership,
        context: ControllerContext,
        renewal_deadline: RenewalDeadline,
        timeline: FailoverTimeline,
    ) -> None:
        self._leadership = leadership
        self._context = context
        self._clock = context.clock
        self._timeline = timeline
        self._leftover_keys = failover.restored.leftover_keys
        self.proof = failover.proof
        self.job_queue = failover.restored.job_queue
        params = context.params
        policy = context.policy_source.initial()
        self.registry = WorkerRegistry(
            self.job_queue, self.proof, params.workers, self._clock, self
        )
        leader = LeaderContext(context, self.proof, policy, self.job_queue, self.registry)
        self.command_dispatcher = CommandDispatcher(
            context.net, self.registry, params.machine_limits.sockets
        )
        self.initial_machines = InitialMachines(context, self.proof.term)
        self.snapshot_builder = SnapshotBuilder(self.job_queue, self.registry, params, policy)
        self.autoscaler = FleetAutoscaler(leader, self)
        self.scheduling = SchedulingLoop(
            leader, self.command_dispatcher, self.autoscaler, self.snapshot_builder
        )
        self.termination = TerminationLoop(
            leader, self.snapshot_builder, self.autoscaler.replica_places
        )
        self.admission = HeartbeatHandler(context, leadership, self.registry, renewal_deadline)
        self.hinted_workers = HintedWorkers(leader, failover.hints)
        self.writer = ProgressWriter(
            context.client,
            context.watch_cache,
            self.job_queue,
            self.proof,
            leadership.step_down,
            self._on_saved,
        )
        for job_state in self.job_queue.jobs.values():
            for attempt in job_state.attempts.values():
                self.registry.track_attempt(attempt)

    def start(self, spawn: Callable[[Loop], None]) -> None:
        """Begin all loops."""
        for loop in (
            self.writer.run(),
            self.command_dispatcher.run(),
            self.autoscaler.machine_list.run(),
            self.autoscaler.scale_out.run(),
            self.autoscaler.scale_in_loop(),
            self.autoscaler.replica_probe.run(),
            self.scheduling.run(),
            self.termination.run(),
            self.hinted_workers.run(),
        ):
            spawn(loop)
        if self._leftover_keys:
            spawn(self._sweep())

    async def _sweep(self) -> None:
        try:
            await self.writer.delete_progress(self._leftover_keys)
        except StoreUnavailableError as exc:
            log.info("progress of finished jobs is left for the next term: %s", exc)

    def _on_saved(self) -> None:
        self.scheduling.wake.set()
        self.command_dispatcher.wake.set()

    # -- what the parts ask ---------------------------------------------------------------

    def may_start(self) -> bool:
        """Whether nobody else can lead by now."""
        return self._leadership.holds_lease()

    def is_job_over(self, job: str) -> bool:
        """Whether the job can't be live any more: every start was preceded by its record."""
        return job not in self._context.job_index.live and job not in self.job_queue.jobs

    def disk_gb(self, machine_type: str) -> float:
        """How much a machine of the type caches."""
        known = self._context.machine_types().get(machine_type)
        return known.disk_gb if known else 0.0

    def on_capacity_change(self) -> None:
        """Something may be placed now that could not be before."""
        self.scheduling.wake.set()

    def record_phase(self, phase: FailoverPhase) -> None:
        """The failover has come to a phase; told again and again, and noted once."""
        self._timeline.record(phase)

    def initial_machine_names(self) -> frozenset[str]:
        """The machines that are not returned for being idle."""
        return self.initial_machines.names()

    def is_rare_type(self, machine_type: str) -> bool:
        """Whether some job recently can use this type only, or few beside it."""
        return self.snapshot_builder.is_rare(machine_type, self._clock())

    async def on_machine_list(self, hosts: list[Host]) -> None:
        """The cloud has listed its machines."""
        await self.initial_machines.note(hosts)

    def on_fleet_summary(self) -> None:
        """Time for a summary in the log."""
        self.scheduling.log_waiting()

    # -- what comes from outside ----------------------------------------------------------

    def on_change(self, key: str) -> None:
        """A key has changed in the key-value store: perhaps a job was accepted or cancelled."""
        if not key.startswith(JOB_PREFIX):
            return
        job = key[len(JOB_PREFIX) :]
        record = self._context.job_index.live.get(job)
        if record is None:
            return
        job_state = self.job_queue.jobs.get(job)
        if job_state is None:
            self.job_queue.add(record, self._clock())
        else:
            self._update(job_state, record)
        self.scheduling.wake.set()

    def _update(self, job_state: JobState, record: JobRecord) -> None:
        was_cancelled = job_state.record.cancelled
        job_state.record = record
        if not record.cancelled or was_cancelled:
            return
        job_state.cancelled_known_at = self._clock()
        for attempt in list(job_state.attempts.values()):
            if attempt.never_sent:
                self.registry.release_attempt(attempt)  # never sent, and won't be
            else:
                self.registry.request_stop(attempt)
        self.command_dispatcher.wake.set()
        self.job_queue.queue_final_state_if_finished(job_state)
