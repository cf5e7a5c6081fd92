"""What a leader does during one term; thrown away when the term is over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.fleet.command_dispatcher import CommandDispatcher
from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.jobs.job_queue import JobQueue, JobState
from spoolcourse.control.jobs.writer import Writer
from spoolcourse.control.leader.base_machines import BaseMachines
from spoolcourse.control.leader.report_admission import ReportAdmission
from spoolcourse.control.leader.scheduling_loop import SchedulingLoop
from spoolcourse.control.leader.takeover import take_over
from spoolcourse.control.leader.termination import TerminationLoop
from spoolcourse.control.leadership.cancellation_query import CancellationQuery
from spoolcourse.control.leadership.election import Leadership, Term
from spoolcourse.control.leadership.feature_level import FeatureLevel
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.machines.autoscaler import FleetAutoscaler
from spoolcourse.control.net import Reply, later
from spoolcourse.control.placement.snapshot_builder import SnapshotBuilder
from spoolcourse.control.store.client import RefusedError, UnclearError
from spoolcourse.control.store.keys import JOB
from spoolcourse.control.store.records import JobRecord, chunk_tasks
from spoolcourse.wire.messages import Host, Report

log = logging.getLogger(__name__)


class LeaderTerm:
    """The parts of a leader, put together, and their loops."""

    def __init__(self, term: Term, leadership: Leadership, context: ControllerContext) -> None:
        self._term = term
        self._leadership = leadership
        self._context = context
        self._clock = context.clock
        params = context.params
        policy = context.policy_source.initial()
        self.ready = asyncio.Event()
        self.job_queue = JobQueue(chunk_tasks(params.state.least.value_kb))
        self.registry = WorkerRegistry(
            self.job_queue, term.number, params.workers, self._clock, self
        )
        self.command_dispatcher = CommandDispatcher(
            context.net, self.registry, params.machine_limits.sockets
        )
        self.base_machines = BaseMachines(context, term)
        self.snapshot_builder = SnapshotBuilder(self.job_queue, self.registry, params, policy)
        self.autoscaler = FleetAutoscaler(context, policy, self.registry, self)
        self.scheduling = SchedulingLoop(
            context,
            policy,
            self.job_queue,
            self.registry,
            self.command_dispatcher,
            self.autoscaler,
            self.snapshot_builder,
        )
        self.renewal_deadline = RenewalDeadline(params.workers)
        self.admission = ReportAdmission(context, leadership, self.registry, self.renewal_deadline)
        self.writer = Writer(
            context.client,
            context.watch_cache,
            self.job_queue,
            term,
            leadership.depose,
            self._on_saved,
        )
        self._tasks: list[asyncio.Task[None]] = []

    # -- life -------------------------------------------------------------------------

    def start(self) -> None:
        """Begin to take over; the other loops follow once that is done."""
        depose = self._leadership.depose
        query = CancellationQuery(self._context, self._term, self.renewal_deadline, depose)
        self._spawn(self._take_over())
        self._spawn(query.run())
        self._spawn(FeatureLevel(self._context, self._term).run())

    def stop(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def _spawn(self, loop: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(self._guarded(loop)))

    async def _guarded(self, loop: Coroutine[Any, Any, None]) -> None:
        try:
            await loop
        except Exception:
            # A leader without one of its loops would be worse than no leader.
            log.exception("a loop of the leader failed")
            self._leadership.depose("a loop failed")

    async def _take_over(self) -> None:
        leftover_keys = await take_over(self._context, self.job_queue, self.registry)
        self.ready.set()
        termination = TerminationLoop(
            self._context, self.registry, self.snapshot_builder, self.autoscaler.places
        )
        for loop in (
            self.writer.run(),
            self.command_dispatcher.run(),
            self.autoscaler.machine_list.run(),
            self.autoscaler.renting.run(),
            self.autoscaler.return_loop(),
            self.autoscaler.replica_probe.run(),
            self.scheduling.run(),
            termination.run(),
        ):
            self._spawn(loop)
        if leftover_keys:
            self._spawn(self._sweep(leftover_keys))

    async def _sweep(self, leftover_keys: list[str]) -> None:
        try:
            await self.writer.sweep(leftover_keys)
        except (RefusedError, UnclearError) as exc:
            log.info("progress of finished jobs is left for the next term: %s", exc)

    def _on_saved(self) -> None:
        self.scheduling.wake.set()
        self.command_dispatcher.wake.set()

    # -- what the parts ask ---------------------------------------------------------------

    def may_start(self) -> bool:
        """Whether nobody else can lead by now."""
        return self._leadership.valid()

    def is_over(self, job: str) -> bool:
        """Whether the job can't be live any more: every start was preceded by its record."""
        return (
            self.ready.is_set()
            and job not in self._context.job_index.live
            and job not in self.job_queue.jobs
        )

    def disk_gb(self, machine_type: str) -> float:
        """How much a machine of the type caches."""
        known = self._context.machine_types().get(machine_type)
        return known.disk_gb if known else 0.0

    def on_room(self) -> None:
        """Something may be placed now that could not be before."""
        self.scheduling.wake.set()

    def base(self) -> frozenset[str]:
        """The machines that are not returned for being idle."""
        return self.base_machines.names()

    def is_rare(self, machine_type: str) -> bool:
        """Whether some job of late can use this type only, or few beside it."""
        return self.snapshot_builder.is_rare(machine_type, self._clock())

    async def on_list(self, hosts: list[Host]) -> None:
        """The cloud has listed its machines."""
        await self.base_machines.note(hosts)

    def on_summary(self) -> None:
        """Time for a summary in the log."""
        self.scheduling.log_waiting()

    # -- what comes from outside ----------------------------------------------------------

    def report(self, report: Report, relayed: bool = False) -> Reply:
        """Answer a worker's report; `relayed`: a follower has passed it on."""
        if report.fencing_token <= self._term.number and not self.ready.is_set():
            return later("taking over")
        return self.admission.answer(report, relayed)

    def on_change(self, key: str, value: Any, revision: int) -> None:
        """A key has changed in the state service: perhaps a job was accepted or cancelled."""
        if not key.startswith(JOB) or not self.ready.is_set():
            return
        job = key[len(JOB) :]
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
        was_aborted = job_state.record.aborted
        job_state.record = record
        if not record.aborted or was_aborted:
            return
        job_state.cancelled_known_at = self._clock()
        for attempt in list(job_state.attempts.values()):
            if attempt.never_sent:
                self.registry.drop(attempt)  # never sent, and won't be
            else:
                self.registry.stop(attempt)
        self.command_dispatcher.wake.set()
        self.job_queue.check(job_state)
