"""What a leader does during one term; thrown away when the term is over."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from itertools import islice
from typing import Any

import orjson

from spoolcourse.control.fleet.command_dispatcher import CommandDispatcher
from spoolcourse.control.fleet.relay import redirect
from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.jobs.job_queue import Attempt, JobQueue, JobState
from spoolcourse.control.jobs.writer import Writer
from spoolcourse.control.leadership.cancellation_query import CancellationQuery
from spoolcourse.control.leadership.election import Leadership, Term
from spoolcourse.control.leadership.feature_level import FeatureLevel
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.control.load import Load
from spoolcourse.control.machines.autoscaler import FleetAutoscaler
from spoolcourse.control.machines.cloud import Cloud
from spoolcourse.control.machines.planner import Offer, plan_hires, top_up
from spoolcourse.control.net import Net, Reply, later
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.model import Plan, Snapshot
from spoolcourse.control.placement.preempt import choose_victims
from spoolcourse.control.placement.snapshot_builder import SnapshotBuilder
from spoolcourse.control.store.client import Refused, StoreClient, Unclear
from spoolcourse.control.store.keys import BASE, JOB, PROGRESS, TERM, split_progress
from spoolcourse.control.store.records import (
    JobRecord,
    Progress,
    base_machines,
    base_value,
    chunk_tasks,
)
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.policy.keys import PolicySource
from spoolcourse.wire.cloud import MachineKind
from spoolcourse.wire.commands import ReportReply, to_json_object
from spoolcourse.wire.messages import Host, MachineType, Report
from spoolcourse.wire.settings import Params, Seed
from spoolcourse.wire.state_service import Put

log = logging.getLogger(__name__)


class LeaderTerm:
    def __init__(
        self,
        term: Term,
        leadership: Leadership,
        client: StoreClient,
        watch_cache: WatchCache,
        job_index: JobIndex,
        net: Net,
        cloud: Cloud,
        seeds: list[Seed],
        params: Params,
        policy_source: PolicySource,
        machine_types: Callable[[], dict[str, MachineType]],
        wall_clock: Callable[[], float],
        load: Load,
    ) -> None:
        self._load = load
        self._net = net
        self._seeds = seeds
        self._term = term
        self._leadership = leadership
        self._watch_cache = watch_cache
        self._job_index = job_index
        self._params = params
        self._policy_source = policy_source
        policy = self._policy = policy_source.initial()
        self.pass_cost_s = 0.0
        self.passes = 0
        self._machine_types = machine_types
        self._wall_clock = wall_clock
        self._clock = asyncio.get_running_loop().time
        self.renewal_deadline = RenewalDeadline(params.workers)
        self._renews = True
        self._cancellation_query = CancellationQuery(
            net,
            seeds,
            term,
            watch_cache,
            job_index,
            self.renewal_deadline,
            self._clock,
            leadership.depose,
        )
        self._attempts = 0
        self._heard_directly = self._clock()
        self._wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.job_queue = JobQueue(chunk_tasks(params.state.least.value_kb))
        self.registry = WorkerRegistry(
            self.job_queue,
            term.number,
            params.workers,
            self._clock,
            self,
        )
        self.command_dispatcher = CommandDispatcher(
            net, self.registry, params.machine_limits.sockets
        )
        self.writer = Writer(
            client, watch_cache, self.job_queue, term, leadership.depose, self._on_saved
        )
        self.autoscaler = FleetAutoscaler(
            net,
            cloud,
            self.registry,
            policy,
            machine_types,
            self._clock,
            leadership.valid,
            params,
            wall_clock,
        )
        self._snapshot_builder = SnapshotBuilder(self.job_queue, self.registry, params, policy)
        self.autoscaler.is_rare = lambda machine_type: self._snapshot_builder.is_rare(
            machine_type, self._clock()
        )
        self.autoscaler.base = self._base
        self.autoscaler.on_list = self._store_base
        self.autoscaler.on_summary = self._log_waiting
        self._client = client
        self._tasks: list[asyncio.Task[None]] = []
        self._why: dict[str, str] = {}

    # -- life -------------------------------------------------------------------------

    def start(self) -> None:
        self._spawn(self._take_over())
        self._spawn(self._cancellation_query.run())
        self._spawn(
            FeatureLevel(self._net, self._client, self._watch_cache, self._seeds, self._term).run()
        )

    def stop(self) -> None:
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
        while not await self._watch_cache.sync():
            await asyncio.sleep(0.1)
        now = self._clock()
        saved: dict[str, dict[int, tuple[Progress, int]]] = {}
        leftover_keys = []
        for entry in self._watch_cache.below(PROGRESS):
            job, chunk = split_progress(entry.key)
            if job in self._job_index.live:
                saved.setdefault(job, {})[chunk] = (
                    Progress.from_value(entry.value),
                    entry.revision,
                )
            else:
                leftover_keys.append(entry.key)
        for job, record in self._job_index.live.items():
            job_state = self.job_queue.restore(record, now, saved.get(job, {}))
            job_state.waiting_since = now - max(0.0, self._wall_clock() - record.at)
            for attempt in job_state.attempts.values():
                self.registry.link(attempt)
        log.info(
            "term %d: took over %d jobs, %d attempts to find",
            self._term.number,
            len(self.job_queue.jobs),
            sum(len(w.attempts) for w in self.job_queue.jobs.values()),
        )
        self.ready.set()
        self._spawn(self.writer.run())
        self._spawn(self.command_dispatcher.run())
        self._spawn(self.autoscaler.list_loop())
        self._spawn(self.autoscaler.rent_loop())
        self._spawn(self.autoscaler.return_loop())
        self._spawn(self.autoscaler.replica_probe.run())
        self._spawn(self._pass_loop())
        self._spawn(self._drain_loop())
        if leftover_keys:
            self._spawn(self._sweep(leftover_keys))

    async def _sweep(self, leftover_keys: list[str]) -> None:
        try:
            await self.writer.sweep(leftover_keys)
        except (Refused, Unclear) as exc:
            log.info("progress of finished jobs is left for the next term: %s", exc)

    def _on_saved(self) -> None:
        self._wake.set()
        self.command_dispatcher.wake.set()

    # -- what may be done ---------------------------------------------------------------

    def may_start(self) -> bool:
        """Whether nobody else can lead by now."""
        return self._leadership.valid()

    def _may_renew(self) -> bool:
        self.renewal_deadline.synced(self._watch_cache.synced_at)
        may = self.renewal_deadline.may_renew(self._clock())
        if may != self._renews:
            self._renews = may
            log.warning(
                "workers are answered again"
                if may
                else "workers are not answered: others may have confirmed cancellations"
            )
        return may

    def is_over(self, job: str) -> bool:
        """True if the job can't be live: every start was preceded by its record."""
        return (
            self.ready.is_set()
            and job not in self._job_index.live
            and job not in self.job_queue.jobs
        )

    def _base(self) -> frozenset[str]:
        entry = self._watch_cache.get(BASE)
        return base_machines(entry.value) if entry is not None else frozenset()

    async def _store_base(self, hosts: list[Host]) -> None:
        """Once and for all, at the first list that any leader ever gets."""
        if self._watch_cache.get(BASE) is not None:
            return
        names = [h.id for h in hosts if not h.spot and h.stage == "running"]
        value = base_value(names if self._term.number == 1 else [])
        if len(orjson.dumps(value)) > self._params.state.least.value_kb * 1024:
            value = base_value([])  # a fleet of that size is not kept by name
        try:
            conditions = {BASE: 0, TERM: self._term.revision}
            outcome = await self._client.txn(conditions, [Put(BASE, value)])
        except (Refused, Unclear) as exc:
            log.info("the fleet found at the start is not noted yet: %s", exc)
            return
        if outcome.ok:
            self._watch_cache.apply(BASE, value, outcome.store_revision)

    def disk_gb(self, machine_type: str) -> float:
        """How much a machine of the type caches."""
        known = self._machine_types().get(machine_type)
        return known.disk_gb if known else 0.0

    def waiting(self) -> list[dict[str, Any]]:
        """Jobs with tasks that wait, in order of arrival, and what for."""
        now = self._clock()
        return [
            {
                "id": job_state.id,
                "lane": job_state.record.sub.job_class,
                "crew": job_state.record.sub.team,
                "pieces": job_state.pending,
                "waitsS": round(now - job_state.waiting_since, 1),
                "why": "an error's pause"
                if job_state.retry_at > now
                else self._why.get(job_state.id, "next pass"),
            }
            for job_state in sorted(self.job_queue.jobs.values(), key=lambda w: w.order)
            if job_state.pending > 0 and not job_state.record.aborted
        ]

    def on_room(self) -> None:
        """Something may be placed now that could not be before."""
        self._wake.set()

    # -- changes of jobs ------------------------------------------------------------------

    def on_change(self, key: str, value: Any, revision: int) -> None:
        if not key.startswith(JOB) or not self.ready.is_set():
            return
        job = key[len(JOB) :]
        record = self._job_index.live.get(job)
        job_state = self.job_queue.jobs.get(job)
        if record is None:
            return
        if job_state is None:
            self.job_queue.add(record, self._clock())
        else:
            self._update(job_state, record)
        self._wake.set()

    def _update(self, job_state: JobState, record: JobRecord) -> None:
        was_aborted = job_state.record.aborted
        job_state.record = record
        if record.aborted and not was_aborted:
            job_state.cancelled_known_at = self._clock()
            for attempt in list(job_state.attempts.values()):
                if attempt.never_sent:
                    self.registry.drop(attempt)  # never sent, and won't be
                else:
                    self.registry.stop(attempt)
            self.command_dispatcher.wake.set()
            self.job_queue.check(job_state)

    # -- workers ------------------------------------------------------------------------

    def hears_no_worker(self) -> bool:
        """No worker has got through to this node itself for a while."""
        return self._clock() - self._heard_directly > self._params.workers.quiet_s

    def report(self, report: Report, relayed: bool = False) -> Reply:
        """Answer a worker's report; `relayed`: a follower has passed it on."""
        if report.fencing_token > self._term.number:
            self._leadership.depose(f"{report.machine} has seen term {report.fencing_token}")
            return redirect(None)
        if not self.ready.is_set():
            return Reply(503, {"error": "taking over"})
        if not self._may_renew():
            # What others have confirmed as cancelled must be gone in time, though this node
            # can't hear of it: from here on the leases run out.
            self.registry.overhear(report)
            return later("may not know of cancellations")
        with self._load.spent("report"):
            commands = self.registry.accept(report)
        if not relayed and commands is not None:
            self._heard_directly = self._clock()
        reply = ReportReply(
            commands or [],
            # Without a fencing token nobody's lease is renewed.
            None if commands is None else self._term.number,
            self.hears_no_worker() if relayed else None,
        )
        return Reply(200, to_json_object(reply))

    # -- passes -------------------------------------------------------------------------

    async def _pass_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._policy.pass_period_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self.may_start():
                began = time.process_time()
                with self._load.spent("pass"):
                    self._run_pass()
                self.pass_cost_s = time.process_time() - began
            # Rounds widen with the load, by the policy: what changes meanwhile is decided
            # together in the next one.
            await asyncio.sleep(self._policy.pass_gap_s)

    def _log_waiting(self) -> None:
        """What waits and what for, for the operators."""
        tasks: dict[tuple[str, str], int] = {}
        for entry in self.waiting():
            key = (entry["lane"], entry["why"])
            tasks[key] = tasks.get(key, 0) + entry["pieces"]
        for (job_class, why), count in sorted(tasks.items()):
            log.info("waiting: %d tasks of %s for: %s", count, job_class, why)

    def _refresh_policy(self, snapshot: Snapshot, wanted: float) -> None:
        at_hand = sum(node.size for node in snapshot.nodes)
        self._policy_source.refresh(
            self._policy,
            {
                "waiting_jobs": float(sum(1 for job in snapshot.jobs if job.pending > 0)),
                "machines": float(len(snapshot.nodes)),
                "load": wanted / at_hand if at_hand > 0 else 0.0,
                "pass_cost_s": self.pass_cost_s,
                "boot_s": max((b.boot_s for b in self._machine_types().values()), default=1.0),
                "report_s": self._params.workers.report_s,
                "lease_s": self._params.workers.lease_s,
            },
        )

    def _run_pass(self) -> None:
        now = self._clock()
        machine_types = self._machine_types()
        if not machine_types:
            return
        with self._load.spent("snapshot"):
            snapshot = self._snapshot_builder.take(now, machine_types)
        held = sum(w.record.sub.cpus * len(w.attempts) for w in self.job_queue.jobs.values())
        room = [team.cpus for team in snapshot.teams]
        with self._load.spent("place"):
            plan = place(snapshot)
        self.passes += 1
        self._why = {self._snapshot_builder.job_states[i].id: why for i, why in plan.why.items()}
        missing = sum(snapshot.jobs[i].cpus * count for i, count in plan.unplaced.items())
        placed = sum(snapshot.jobs[d.job].cpus * d.count for d in plan.decisions)
        wanted = held + placed + missing
        self.autoscaler.demand.note(now, wanted)
        self._refresh_policy(snapshot, wanted)
        for decision in plan.decisions:
            job_state = self._snapshot_builder.job_states[decision.job]
            machine = self._snapshot_builder.machines[decision.node]
            chosen = list(islice(job_state.candidates(), decision.count))
            for task in chosen:
                self._attempts += 1
                number = (self._term.number << 24) + self._attempts
                attempt = self.job_queue.assign(job_state, task, machine.id, number, now)
                attempt.first = job_state.id in self._snapshot_builder.unbegun
                self.registry.link(attempt)
            log.debug("%s: %d tasks to %s", job_state.id, len(chosen), machine.id)
        with self._load.spent("stop"):
            self._stop_for_claims(snapshot, plan)
        self._plan_machines(snapshot, plan, room, now, machine_types)

    def _stop_for_claims(self, snapshot: Snapshot, plan: Plan) -> None:
        chosen = choose_victims(snapshot, plan, self._policy.preempt_patience_s)
        for attempt in self._snapshot_builder.attempts(chosen) if chosen else ():
            log.info("%s/%d: stopped to make room", attempt.job_state.id, attempt.task)
            if attempt.never_sent:
                self.registry.drop(attempt)
            else:
                self.registry.stop(attempt)
                self.command_dispatcher.wake.set()

    def _plan_machines(
        self,
        snapshot: Snapshot,
        plan: Plan,
        room: list[float],
        now: float,
        machine_types: dict[str, MachineType],
    ) -> None:
        if self.autoscaler.wanted or self.autoscaler.renting:
            return
        short = self.autoscaler.short(now)
        if not plan.unplaced and short <= 0:
            return
        offers = [
            Offer(
                self._snapshot_builder.machine_types.of(b.name),
                self._snapshot_builder.zones.of(zone),
                spot,
                b.cpus,
                b.gpus,
                b.memory_gb,
                b.spot_price if spot else b.hourly_price,
                b.boot_s,
            )
            for b in machine_types.values()
            for zone in b.zones
            if zone in self._params.zones
            for spot in (True, False)
            if self.autoscaler.open_for_hire(MachineKind(b.name, zone, spot))
        ]
        demand = [(snapshot.jobs[i], count) for i, count in plan.unplaced.items()]
        hires = plan_hires(demand, snapshot.nodes, offers, now, room)
        short -= sum(h.count * h.offer.cpus for h in hires)
        hires += top_up(short, offers)
        if hires:
            self.autoscaler.wanted = [
                (
                    MachineKind(
                        self._snapshot_builder.machine_types.names[h.offer.machine_type],
                        self._snapshot_builder.zones.names[h.offer.zone],
                        h.offer.spot,
                    ),
                    h.count,
                )
                for h in hires
            ]
            self.autoscaler.wake.set()

    # -- machines about to be taken -------------------------------------------------------

    async def _drain_loop(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            now = self._clock()
            for machine in list(self.registry.machines.values()):
                if machine.terminates_at is None:
                    continue
                left = machine.terminates_at - now
                for attempt in list(machine.attempts.values()):
                    self._drain(attempt, left, now)

    def _drain(self, attempt: Attempt, left: float, now: float) -> None:
        """A notice: save what can be saved at the last moment, and don't wait for what
        can't be finished."""
        if attempt.stopping:
            return
        if attempt.stage == "assigned":
            if attempt.never_sent:
                self.registry.drop(attempt)
            return
        sub = attempt.job_state.record.sub
        if sub.is_service:
            # Its next place is ready sooner than its machine is proven gone, so it moves; but
            # one replica at a time, none while another is missing or while there is nowhere to
            # go to, as long as there is time.
            last_moment = left < 2 * self._params.workers.report_s + 1.0
            late = last_moment or (
                attempt.job_state.all_running
                and self.autoscaler.places.has_place_elsewhere(attempt)
            )
        elif sub.checkpoint_every_s > 0:
            late = left < sub.checkpoint_cost_s + 2 * self._params.workers.report_s + 1.0
        else:
            elapsed = now - attempt.since if attempt.stage == "running" else 0.0
            late = self._snapshot_builder.estimate(attempt.job_state) - elapsed > 1.5 * left
        if late:
            self.registry.stop(attempt)
