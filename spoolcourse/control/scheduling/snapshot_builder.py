"""Turns the leader's state into the dense snapshot that the pass works on."""

from __future__ import annotations

import logging
from math import inf

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.placement.model import Job, Node, Snapshot, Team
from spoolcourse.control.scheduling.snapshot_cache import Index, SnapshotCache
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import HostStage, MachineType, fits
from spoolcourse.wire.settings import Objective, Params

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
        self._expected_done_s = _expected_done_s(params.objectives)
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
        """Machine types that some job recently depends on, while others have a choice."""
        for job_state in self._job_queue.jobs.values():
            fitting = [
                b.name for b in machine_types.values() if fits(job_state.record.submission, b)
            ]
            if len(fitting) < len(machine_types):
                for name in fitting:
                    self._rare_until[name] = now + self._policy.rare_s

    def is_rare(self, machine_type: str, now: float) -> bool:
        """Whether some job recently can use this type only, or few beside it."""
        return self._rare_until.get(machine_type, 0.0) > now

    def estimate(self, job_state: JobState) -> float:
        """How long a task of it runs; a service has no end."""
        submission = job_state.record.submission
        return (
            inf
            if submission.is_service
            else submission.expected_run_s or self._policy.default_estimate_s
        )

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
        """The snapshot of this moment."""
        self._order_jobs(now)
        self._snapshot_cache.judge(self._within, self._job_queue.jobs)
        self._mark_rare(now, machine_types)
        self._boot_s = max((kind.boot_s for kind in machine_types.values()), default=0.0)
        nodes = self._take_nodes(now, machine_types)
        number_of = {machine.id: number for number, machine in enumerate(self.machines)}
        return Snapshot(
            now=now,
            jobs=[self._safe_job(state, now, number_of) for state in self.job_states],
            nodes=nodes,
            teams=self._teams(),
            zones=len(self.zones),
            node_fetches=int(self._policy.node_fetches),
            zone_fetches=int(self._policy.zone_fetches),
        )

    def _order_jobs(self, now: float) -> None:
        """Put the jobs in the order of service.

        The first exception to the arrival order (docs/design.md): rank goes first, then work
        within its team's guarantee, then arrival. Stopping follows the same order: otherwise
        two claims would stop each other in turn.
        """
        self.job_states = sorted(
            (state for state in self._job_queue.jobs.values() if not state.record.cancelled),
            key=lambda state: state.arrival_order,
        )
        self.unbegun = {state.id for state in self.job_states if self._unbegun(state, now)}
        self._within = self._guarantees()
        self.job_states.sort(
            key=lambda state: (
                state.id not in self.unbegun,
                state.record.submission.rank_number,
                state.id not in self._within,
                state.arrival_order,
            )
        )

    def _teams(self) -> list[Team]:
        """What each team may still use.

        All that may be running counts, also what outlives its job, or what is on a machine
        without being the attempt that counts there.
        """
        teams = [Team(t.cpu_limit, t.gpu_limit, -t.cpus) for t in self._team_settings]
        for state in self._job_queue.jobs.values():
            self._charge(teams, state, len(state.attempts))
        for attempt in self._job_queue.attempts_of_finished_jobs():
            self._charge(teams, attempt.job_state, 1)
        for state in self._unexpected_jobs():
            self._charge(teams, state, 1, stoppable=False)
        return teams

    def _charge(
        self, teams: list[Team], state: JobState, tasks: int, stoppable: bool = True
    ) -> None:
        """Count tasks against their team; only what can be stopped counts beyond its guarantee."""
        submission = state.record.submission
        team = teams[self.teams.of(submission.team)]
        cpus = submission.cpus * tasks
        team.cpus -= cpus
        team.gpus -= submission.gpus * tasks
        if stoppable:
            team.over += cpus

    def _take_nodes(self, now: float, machine_types: dict[str, MachineType]) -> list[Node]:
        rare_types = {name for name in machine_types if self.is_rare(name, now)}
        self._snapshot_cache.keep(self._registry.machines)
        self.machines = []
        nodes: list[Node] = []
        for machine in self._registry.machines.values():
            machine_type = machine_types.get(machine.machine_type or "")
            if machine_type is None or not self._counts(machine, now):
                continue
            rare = machine_type.name in rare_types
            node = self._snapshot_cache.node(machine, machine_type, self._job_queue.jobs, now, rare)
            if machine.last_heartbeat_at is None and machine.expected_ready_at is not None:
                # An overdue machine comes up later than thought, or never.
                late = max(0.0, now - machine.expected_ready_at)
                node.ready_at = now + max(machine.expected_ready_at - now, 1.0 + late)
            nodes.append(node)
            self.machines.append(machine)
        return nodes

    def _counts(self, machine: Machine, now: float) -> bool:
        """Whether it takes work now, or will once it has booted."""
        if machine.last_heartbeat_at is None and machine.expected_ready_at is not None:
            return not machine.deletion_requested and machine.listed_stage is not HostStage.FAILED
        takes_work = machine.is_schedulable and machine.no_room_until <= now
        return takes_work and not self._registry.is_suspect(machine)

    def _unbegun(self, job_state: JobState, now: float) -> bool:
        """Whether the job has waited so long that its first task goes before rank.

        The fourth exception: urgent work that keeps arriving must not keep a job from ever
        beginning. It holds for the first task, and no more.
        """
        return (
            not job_state.attempts
            and job_state.done_count == 0
            and now - job_state.waiting_since > self._policy.begin_s
        )

    def _ordinary_at(self, job_state: JobState) -> float:
        """From when on ordinary machines may be rented for the job.

        They cost a multiple of spot ones. They are for deadlines that would be missed otherwise,
        and for work of which nobody says when it is expected; the rest waits for spot machines as
        long as it can. Without a deadline of its own a job is expected by the time that the
        objectives name for its class. A wait aim or a guarantee is missed by the time that a
        machine has booted, so neither is a reason to rent one.
        """
        submission = job_state.record.submission
        if submission.is_service:
            return job_state.waiting_since  # each second without its replicas is missed
        soon = job_state.waiting_since + self._policy.ordinary_wait_s
        due_s = submission.due_s
        if due_s is None:
            due_s = self._expected_done_s.get(submission.job_class)
        if due_s is None:
            return soon
        needed = self._policy.rescue_estimates * self.estimate(job_state) + self._boot_s
        return max(soon, job_state.waiting_since + due_s - needed)

    def _guarantees(self) -> set[str]:
        """Jobs that fit into their teams' guarantees together with the earlier ones."""
        found: set[str] = set()
        left = [[t.cpus, t.gpus] for t in self._team_settings]
        for job_state in self.job_states:
            submission = job_state.record.submission
            room = left[self.teams.of(submission.team)]
            room[0] -= submission.cpus * (submission.task_count - job_state.done_count)
            room[1] -= submission.gpus * (submission.task_count - job_state.done_count)
            if room[0] >= 0 and room[1] >= 0:
                found.add(job_state.id)
        return found

    def _unexpected_jobs(self) -> list[JobState]:
        return [
            job_state
            for machine in self._registry.machines.values()
            for attempt_id in machine.unexpected_attempts
            if (job_state := self._job_queue.jobs.get(attempt_id.job)) is not None
        ]

    def _safe_job(self, job_state: JobState, now: float, number_of: dict[str, int]) -> Job:
        """The job as the pass sees it; one that can't be judged is left out alone.

        A rule that failed for jobs without a deadline once stopped every pass of every leader.
        """
        try:
            return self._job(job_state, now, number_of)
        except Exception:
            log.exception("%s is left out of this pass", job_state.id)
            return Job(
                0, 0.0, 0.0, 0.0, 0, 0.0, self.teams.of(job_state.record.submission.team), 0.0
            )

    def _job(self, state: JobState, now: float, number_of: dict[str, int]) -> Job:
        submission = state.record.submission
        types = submission.machine_types
        job = Job(
            pending=self._pending(state, now),
            cpus=submission.cpus,
            gpus=submission.gpus,
            memory=submission.memory_gb,
            image=self._images.of(submission.image),
            image_gb=submission.image_gb,
            team=self.teams.of(submission.team),
            estimate=self.estimate(state),
            machine_types=None if types is None else frozenset(map(self.machine_types.of, types)),
            zone=None if submission.zone is None else self.zones.of(submission.zone),
            spot_allowed=submission.spot_allowed,
            one_zone=submission.one_zone,
            spread=-(-submission.task_count // 2) if submission.spread_over_zones else None,
            rank=submission.rank_number,
            guaranteed=state.id in self._within,
            ordinary_at=self._ordinary_at(state),
            service=submission.is_service,
        )
        job.claim = (
            job.guaranteed or submission.is_service or submission.job_class in self._prompt_classes
        )
        if submission.is_service:
            self._note_replicas(job, state, number_of)
        if state.avoided_machines:
            bad = [name for name, until in state.avoided_machines.items() if until > now]
            job.avoid = frozenset(number_of[name] for name in bad if name in number_of)
        if submission.one_zone or submission.spread_over_zones:
            self._note_zones(job, state)
        return job

    def _pending(self, state: JobState, now: float) -> int:
        """How many tasks the pass may place."""
        if state.backoff_until > now:
            return 0
        if state.id in self.unbegun:
            return 1
        return state.assignable_count

    @staticmethod
    def _note_replicas(job: Job, state: JobState, number_of: dict[str, int]) -> None:
        for attempt in state.attempts.values():
            number = number_of.get(attempt.machine)
            if number is not None:
                job.replicas_on[number] = job.replicas_on.get(number, 0) + 1

    def _note_zones(self, job: Job, state: JobState) -> None:
        """Where its tasks may be; what may be anywhere counts against every zone."""
        for attempt in state.attempts.values():
            machine = self._registry.machines.get(attempt.machine)
            if machine is None or machine.zone is None:
                job.lost += 1
            else:
                _note_held(job, self.zones.of(machine.zone))
        for machine in self._registry.machines.values():
            for attempt_id in machine.unexpected_attempts:
                if attempt_id.job == state.id:
                    _note_held(job, self.zones.of(machine.zone or ""))


def _expected_done_s(objectives: list[Objective]) -> dict[str, float]:
    """By class: within what time its jobs are expected to finish, the strictest if several."""
    expected: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "finished":
            known_s = expected.get(objective.job_class, inf)
            expected[objective.job_class] = min(known_s, objective.within_s)
    return expected


def _note_held(job: Job, zone: int) -> None:
    job.held[zone] = job.held.get(zone, 0) + 1
