"""The leader's components that schedule and send commands.

They exist once the failover is proven: this controller has then seen every placement of earlier
leaders (`leadership.failover_proof`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from spoolcourse.control.autoscaling.autoscaler import FleetAutoscaler
from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.strategies import FailoverResult
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.progress_writer import ProgressWriter
from spoolcourse.control.leader.heartbeat_handler import HeartbeatHandler
from spoolcourse.control.leader.hinted_workers import HintedWorkers
from spoolcourse.control.leader.initial_machines import InitialMachines
from spoolcourse.control.leader.job_changes import JobChanges
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.failover_timeline import FailoverPhase, FailoverTimeline
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.scheduling.scheduling_loop import SchedulingLoop
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.scheduling.termination_notices import TerminationNoticeLoop
from spoolcourse.control.store.errors import StoreUnavailableError
from spoolcourse.control.supervisor import LoopFunction
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import ListedMachine

log = logging.getLogger(__name__)


class ActiveLeader:
    """Builds the worker registry and the loops that use it, and connects them to the job queue.

    The registry and the autoscaler call other components through this object, which implements
    their interfaces `leader_interface.Leader` and `AutoscalerOwner`.
    """

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
        self.registry = WorkerRegistry(
            self.job_queue, self.proof, params.workers, self._clock, self
        )
        leader_context = self._build_context()
        sockets = params.machine_limits.sockets
        self.command_dispatcher = CommandDispatcher(context.http_client, self.registry, sockets)
        self.initial_machines = InitialMachines(context, self.proof.term)
        self.snapshot_builder = SnapshotBuilder(
            self.job_queue, self.registry, params, leader_context.policy
        )
        self.autoscaler = FleetAutoscaler(leader_context, self)
        self.scheduling = SchedulingLoop(
            leader_context, self.command_dispatcher, self.autoscaler, self.snapshot_builder
        )
        self.termination = TerminationNoticeLoop(leader_context, self.autoscaler.replica_places)
        self.heartbeat_handler = HeartbeatHandler(
            context, leadership, self.registry, renewal_deadline
        )
        self.hinted_workers = HintedWorkers(leader_context, failover.hints)
        self.writer = self._build_writer()
        self._job_changes = self._build_job_changes()
        _track_restored_attempts(self.job_queue, self.registry)

    # -- construction ---------------------------------------------------------------------

    def _build_context(self) -> LeaderContext:
        return LeaderContext(
            controller=self._context,
            proof=self.proof,
            policy=self._context.compiled_policy.initial(),
            job_queue=self.job_queue,
            registry=self.registry,
        )

    def _build_writer(self) -> ProgressWriter:
        return ProgressWriter(
            self._context.store_client,
            self._context.watch_cache,
            self.job_queue,
            self.proof,
            self._leadership.step_down,
            self._on_progress_saved,
        )

    def _build_job_changes(self) -> JobChanges:
        return JobChanges(
            job_index=self._context.job_index,
            job_queue=self.job_queue,
            registry=self.registry,
            scheduling=self.scheduling,
            command_dispatcher=self.command_dispatcher,
            clock=self._clock,
        )

    # -- life cycle -----------------------------------------------------------------------

    def start(self, spawn: Callable[[LoopFunction], None]) -> None:
        """Start all loops."""
        for loop in (
            self.writer.run,
            self.command_dispatcher.run,
            self.autoscaler.machine_list.run,
            self.autoscaler.scale_out.run,
            self.autoscaler.scale_in_loop,
            self.autoscaler.replica_probe.run,
            self.scheduling.run,
            self.termination.run,
            self.hinted_workers.run,
        ):
            spawn(loop)
        if self._leftover_keys:
            spawn(self._delete_leftover_keys)

    async def _delete_leftover_keys(self) -> None:
        try:
            await self.writer.delete_progress(self._leftover_keys)
        except StoreUnavailableError as exc:
            log.info("progress of finished jobs not deleted, left to the next term: %s", exc)

    def _on_progress_saved(self) -> None:
        self.scheduling.wake.set()
        self.command_dispatcher.wake.set()

    # -- interface for the components -----------------------------------------------------

    def holds_lease(self) -> bool:
        """Whether this controller certainly still leads: no other can have been elected."""
        return self._leadership.holds_lease()

    def is_job_over(self, job: str) -> bool:
        """Whether the job certainly has a final state: done or cancelled.

        Every task that was ever started belongs to a job whose record this controller has read, so
        a job that is not live any more is over.
        """
        return job not in self._context.job_index.live and job not in self.job_queue.jobs

    def disk_gb(self, machine_type: str) -> float:
        """Return the disk space of a machine type for cached images, in GB; 0 if unknown."""
        type_info = self._context.machine_types().get(machine_type)
        return type_info.disk_gb if type_info else 0.0

    def on_capacity_change(self) -> None:
        """Wake the scheduling loop: tasks may fit that did not fit before."""
        self.scheduling.wake.set()

    def record_failover_phase(self, phase: FailoverPhase) -> None:
        """Record that the failover reached a phase; only the first call for a phase counts."""
        self._timeline.record(phase)

    def initial_machine_names(self) -> frozenset[str]:
        """Return the names of the machines that are never deleted for being idle."""
        return self.initial_machines.names()

    def is_scarce_type(self, machine_type: str) -> bool:
        """Whether a recent job can use only this machine type or few others."""
        return self.snapshot_builder.is_scarce_type(machine_type, self._clock())

    async def on_machine_list(self, listed_machines: list[ListedMachine]) -> None:
        """Record the initial machines, unless they have been recorded, from a new machine list."""
        await self.initial_machines.record_once(listed_machines)

    def on_fleet_summary(self) -> None:
        """Log a summary of the waiting jobs."""
        self.scheduling.waiting_jobs.log_summary()

    # -- events ---------------------------------------------------------------------------

    def on_change(self, key: str) -> None:
        """Apply the change of a key in the key-value store to the job queue."""
        self._job_changes.on_change(key)


def _track_restored_attempts(job_queue: JobQueue, registry: WorkerRegistry) -> None:
    """Add the restored attempts to their machines."""
    for job_state in job_queue.jobs.values():
        for attempt in job_state.attempts.values():
            registry.track_attempt(attempt)
