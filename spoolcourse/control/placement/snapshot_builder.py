"""Turns the leader's state into the dense snapshot that the pass works on."""

from __future__ import annotations

import logging
from math import inf

from spoolcourse.control.fleet.machine import Machine
from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.jobs.job_queue import Attempt, JobQueue, JobState
from spoolcourse.control.placement.model import Job, Node, Snapshot, Team
from spoolcourse.control.placement.snapshot_cache import Index, SnapshotCache
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import RANKS, MachineType, fits
from spoolcourse.wire.settings import Params

log = logging.getLogger(__name__)


class SnapshotBuilder:
    """Builds snapshots; keeps the indices."""

    def __init__(
        self,
        job_queue: JobQueue,
        registry: WorkerRegistry,
        params: Params,
        policy: Policy,
    ) -> None:
        self._job_queue = job_queue
        self._registry = registry
        self._team_settings = params.teams
        self._prompt_classes = {o.job_class for o in params.objectives if o.kind in ("wait", "up")}
        self._policy = policy
        self.teams = Index([t.name for t in params.teams])
        self.zones = Index(params.zones)
        self.machine_types = Index()
        self._snapshot_cache = SnapshotCache(
            self.teams, self.zones, self.machine_types, self.estimate
        )
        self._images = self._snapshot_cache.images
        self.job_states: list[JobState] = []
        self.machines: list[Machine] = []
        self._rare_until: dict[str, float] = {}
        self._boot_s = 0.0
        self._within: set[str] = set()
        self.unbegun: set[str] = set()  # jobs whose first task goes before rank

    def _mark_rare(self, now: float, machine_types: dict[str, MachineType]) -> None:
        """Machine types that some job of late depends on, while others have a choice."""
        for job_state in self._job_queue.jobs.values():
            fitting = [b.name for b in machine_types.values() if fits(job_state.record.sub, b)]
            if len(fitting) < len(machine_types):
                for name in fitting:
                    self._rare_until[name] = now + self._policy.rare_s

    def is_rare(self, machine_type: str, now: float) -> bool:
        return self._rare_until.get(machine_type, 0.0) > now

    def estimate(self, job_state: JobState) -> float:
        """How long a task of it runs; a service has no end."""
        sub = job_state.record.sub
        return inf if sub.is_service else sub.expected_run_s or self._policy.default_estimate_s

    def attempts(self, numbers: list[int]) -> list[Attempt]:
        """Those that the pass knows by number, in the same order."""
        wanted = set(numbers)
        found = {
            attempt.number: attempt
            for machine in self.machines
            for attempt in machine.attempts.values()
            if attempt.number in wanted
        }
        return [found[number] for number in numbers]

    def take(self, now: float, machine_types: dict[str, MachineType]) -> Snapshot:
        room = [Team(t.cpus_max, t.gpus_max) for t in self._team_settings]
        self.job_states = sorted(
            (w for w in self._job_queue.jobs.values() if not w.record.aborted),
            key=lambda w: w.order,
        )
        self.unbegun = {w.id for w in self.job_states if self._unbegun(w, now)}
        self._within = self._guarantees()
        # The first exception to the arrival order (docs/design.md): rank goes first, then
        # work within its team's guarantee, then arrival. Stopping follows the same order:
        # otherwise two claims would stop each other in turn.
        self.job_states.sort(
            key=lambda w: (
                w.id not in self.unbegun,
                RANKS.index(w.record.sub.rank),
                w.id not in self._within,
                w.order,
            )
        )
        self._snapshot_cache.judge(self._within, self._job_queue.jobs)
        for job_state in self._job_queue.jobs.values():
            sub = job_state.record.sub
            team = room[self.teams.of(sub.team)]
            team.cpus -= sub.cpus * len(job_state.attempts)
            team.gpus -= sub.gpus * len(job_state.attempts)
        for attempt in self._job_queue.attempts_of_finished_jobs():
            sub = attempt.job_state.record.sub
            team = room[self.teams.of(sub.team)]
            team.cpus -= sub.cpus
            team.gpus -= sub.gpus
        for team, settings in zip(room, self._team_settings, strict=True):
            team.over = (settings.cpus_max - team.cpus) - settings.cpus
        self.machines = []
        self._mark_rare(now, machine_types)
        self._boot_s = max((b.boot_s for b in machine_types.values()), default=0.0)
        rare_types = {name for name in machine_types if self.is_rare(name, now)}
        self._snapshot_cache.keep(self._registry.machines)
        nodes: list[Node] = []
        number_of: dict[str, int] = {}
        for machine in self._registry.machines.values():
            machine_type = machine_types.get(machine.machine_type or "")
            if machine_type is None:
                continue
            booting = machine.heard_at is None and machine.up_at is not None
            if booting and (machine.deleting or machine.listed_stage == "failed"):
                continue
            if not booting and not (machine.placeable and machine.full_until <= now):
                continue
            if self._registry.is_quiet(machine):
                continue
            rare = machine_type.name in rare_types
            node = self._snapshot_cache.node(machine, machine_type, self._job_queue.jobs, now, rare)
            if booting and machine.up_at is not None:
                # An overdue machine comes up later than thought, or never.
                late = max(0.0, now - machine.up_at)
                node.ready_at = now + max(machine.up_at - now, 1.0 + late)
            number_of[machine.id] = len(nodes)
            nodes.append(node)
            self.machines.append(machine)
        jobs = [self._safe_job(w, now, number_of) for w in self.job_states]
        for job_state in self._unexpected_jobs():
            team = room[self.teams.of(job_state.record.sub.team)]
            team.cpus -= job_state.record.sub.cpus
            team.gpus -= job_state.record.sub.gpus
        return Snapshot(
            now=now,
            jobs=jobs,
            nodes=nodes,
            teams=room,
            zones=len(self.zones),
            node_fetches=int(self._policy.node_fetches),
            zone_fetches=int(self._policy.zone_fetches),
        )

    def _unbegun(self, job_state: JobState, now: float) -> bool:
        """The fourth exception: urgent work that keeps arriving must not keep a job from
        ever beginning, so after a while its first task, and no more, goes before rank."""
        return (
            not job_state.attempts
            and job_state.done == 0
            and now - job_state.waiting_since > self._policy.begin_s
        )

    def _ordinary_at(self, job_state: JobState) -> float:
        """Ordinary machines cost a multiple of spot ones. They are for deadlines that
        would be missed otherwise, and for work without one; the rest waits for spot
        machines as long as it can. A wait aim or a guarantee is missed by the time that a
        machine has booted, so neither is a reason to rent one."""
        sub = job_state.record.sub
        if sub.is_service:
            return job_state.waiting_since  # each second without its replicas is missed
        soon = job_state.waiting_since + self._policy.ordinary_wait_s
        if sub.due_s is None:
            return soon
        needed = self._policy.rescue_estimates * self.estimate(job_state) + self._boot_s
        return max(soon, job_state.waiting_since + sub.due_s - needed)

    def _guarantees(self) -> set[str]:
        """Jobs that fit into their teams' guarantees together with the earlier ones."""
        found: set[str] = set()
        left = [[t.cpus, t.gpus] for t in self._team_settings]
        for job_state in self.job_states:
            sub = job_state.record.sub
            room = left[self.teams.of(sub.team)]
            room[0] -= sub.cpus * (sub.task_count - job_state.done)
            room[1] -= sub.gpus * (sub.task_count - job_state.done)
            if room[0] >= 0 and room[1] >= 0:
                found.add(job_state.id)
        return found

    def _unexpected_jobs(self) -> list[JobState]:
        return [
            job_state
            for machine in self._registry.machines.values()
            for unexpected in machine.unexpected_tasks
            if (job_state := self._job_queue.jobs.get(unexpected[0])) is not None
        ]

    def _safe_job(self, job_state: JobState, now: float, number_of: dict[str, int]) -> Job:
        """One job that can't be judged must not keep all the others from running: a rule
        that failed for jobs without a deadline once stopped every pass of every leader."""
        try:
            return self._job(job_state, now, number_of)
        except Exception:
            log.exception("%s is left out of this pass", job_state.id)
            return Job(0, 0.0, 0.0, 0.0, 0, 0.0, self.teams.of(job_state.record.sub.team), 0.0)

    def _job(self, job_state: JobState, now: float, number_of: dict[str, int]) -> Job:
        sub = job_state.record.sub
        job = Job(
            pending=0
            if job_state.retry_at > now
            else 1
            if job_state.id in self.unbegun
            else job_state.assignable,
            cpus=sub.cpus,
            gpus=sub.gpus,
            memory=sub.memory_gb,
            image=self._images.of(sub.image),
            image_gb=sub.image_gb,
            team=self.teams.of(sub.team),
            estimate=self.estimate(job_state),
            machine_types=None
            if sub.machine_types is None
            else frozenset(map(self.machine_types.of, sub.machine_types)),
            zone=None if sub.zone is None else self.zones.of(sub.zone),
            spot_allowed=sub.spot_allowed,
            one_zone=sub.one_zone,
            spread=-(-sub.task_count // 2) if sub.spread_over_zones else None,
            rank=RANKS.index(sub.rank),
            guaranteed=job_state.id in self._within,
            ordinary_at=self._ordinary_at(job_state),
        )
        job.claim = job.guaranteed or sub.is_service or sub.job_class in self._prompt_classes
        job.service = sub.is_service
        if sub.is_service:
            for attempt in job_state.attempts.values():
                number = number_of.get(attempt.machine)
                if number is not None:
                    job.replicas_on[number] = job.replicas_on.get(number, 0) + 1
        if job_state.bad_machines:
            bad = [m for m, until in job_state.bad_machines.items() if until > now]
            job.avoid = frozenset(number_of[m] for m in bad if m in number_of)
        if sub.one_zone or sub.spread_over_zones:
            for attempt in job_state.attempts.values():
                machine = self._registry.machines.get(attempt.machine)
                if machine is None or machine.zone is None:
                    job.lost += 1
                else:
                    zone = self.zones.of(machine.zone)
                    job.held[zone] = job.held.get(zone, 0) + 1
            for machine in self._registry.machines.values():
                for unexpected in machine.unexpected_tasks:
                    if unexpected[0] == sub.id:
                        zone = self.zones.of(machine.zone or "")
                        job.held[zone] = job.held.get(zone, 0) + 1
        return job
