"""Turns the leader's state into the dense snapshot that the pass works on."""

from __future__ import annotations

import logging

from spoolcourse.control.fleet.roster import Machine, Roster
from spoolcourse.control.jobs.works import Attempt, Work, Works
from spoolcourse.control.placement.model import Job, Node, RunningTask, Snapshot, Team
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import RANKS, Build, fits
from spoolcourse.wire.settings import Params

log = logging.getLogger(__name__)


class Index:
    """Names to dense numbers."""

    def __init__(self, names: list[str] | None = None) -> None:
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}
        for name in names or []:
            self.of(name)

    def of(self, name: str) -> int:
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = len(self.names)
            self.names.append(name)
        return number

    def __len__(self) -> int:
        return len(self.names)


class Surveyor:
    """Builds snapshots; keeps the indices."""

    def __init__(
        self,
        works: Works,
        roster: Roster,
        params: Params,
        policy: Policy,
    ) -> None:
        self._works = works
        self._roster = roster
        self._team_settings = params.teams
        self._prompt_lanes = {o.lane for o in params.objectives if o.kind == "wait"}
        self._policy = policy
        self.teams = Index([t.name for t in params.teams])
        self.zones = Index(params.zones)
        self.builds = Index()
        self._images = Index()
        self.works: list[Work] = []
        self.machines: list[Machine] = []
        self.attempts: list[Attempt] = []
        self._rare_until: dict[str, float] = {}
        self._boot_s = 0.0
        self._within: set[str] = set()
        # What a job's tasks have in common, worked out once for all of them: CPUs, GPUs,
        # memory, rank, team, whether it is within its team's guarantee.
        self._facts: dict[str, tuple[float, float, float, int, int, bool]] = {}

    def _mark_rare(self, now: float, builds: dict[str, Build]) -> None:
        """Machine types that some job of late depends on, while others have a choice."""
        for work in self._works.jobs.values():
            fitting = [b.name for b in builds.values() if fits(work.record.sub, b)]
            if len(fitting) < len(builds):
                for name in fitting:
                    self._rare_until[name] = now + self._policy.rare_s

    def is_rare(self, build: str, now: float) -> bool:
        return self._rare_until.get(build, 0.0) > now

    def estimate(self, work: Work) -> float:
        return work.record.sub.expectS or self._policy.default_estimate_s

    def _ends(self, attempt: Attempt, now: float, fetch: float) -> float:
        estimate = self.estimate(attempt.work)
        elapsed = now - attempt.since
        if attempt.stage in ("running", "flushing"):
            # A task that overran its estimate is expected to need half again of what it
            # took so far; else it would be due at any moment, and push the head back
            # for ever.
            return now + (estimate - elapsed if elapsed < estimate else elapsed * 0.5 + 1.0)
        return now + max(fetch - elapsed, 0.5) + estimate

    @staticmethod
    def _lost(attempt: Attempt, now: float) -> float:
        sub = attempt.work.record.sub
        if attempt.stage not in ("running", "flushing"):
            return 0.0
        elapsed = now - attempt.since
        return sub.vcpus * (sub.markCostS if sub.markEveryS > 0 else elapsed)

    def take(self, now: float, builds: dict[str, Build]) -> Snapshot:
        room = [Team(t.cpus_max, t.gpus_max) for t in self._team_settings]
        self.works = sorted(
            (w for w in self._works.jobs.values() if not w.record.aborted),
            key=lambda w: w.order,
        )
        self._within = self._guarantees()
        # The first exception to the arrival order (docs/design.md): rank goes first, then
        # work within its team's guarantee, then arrival. Stopping follows the same order:
        # otherwise two claims would stop each other in turn.
        self.works.sort(
            key=lambda w: (
                not self._unbegun(w, now),
                RANKS.index(w.record.sub.rank),
                w.id not in self._within,
                w.order,
            )
        )
        self._facts = {
            work.id: (
                work.record.sub.vcpus,
                work.record.sub.gpus,
                work.record.sub.memoryGb,
                RANKS.index(work.record.sub.rank),
                self.teams.of(work.record.sub.crew),
                work.id in self._within,
            )
            for work in self._works.jobs.values()
        }
        for work in self._works.jobs.values():
            sub = work.record.sub
            team = room[self.teams.of(sub.crew)]
            team.cpus -= sub.vcpus * len(work.attempts)
            team.gpus -= sub.gpus * len(work.attempts)
        for team, settings in zip(room, self._team_settings, strict=True):
            team.over = (settings.cpus_max - team.cpus) - settings.cpus
        self.machines = []
        self.attempts = []
        self._mark_rare(now, builds)
        self._boot_s = max((b.startupS for b in builds.values()), default=0.0)
        nodes: list[Node] = []
        number_of: dict[str, int] = {}
        for machine in self._roster.machines.values():
            build = builds.get(machine.build or "")
            if build is None:
                continue
            booting = machine.heard_at is None and machine.up_at is not None
            if booting and (machine.deleting or machine.listed == "failed"):
                continue
            if not booting and not (machine.placeable and machine.refuse_until <= now):
                continue
            node = self._node(machine, build, now)
            if booting and machine.up_at is not None:
                # An overdue machine comes up later than thought, or never.
                late = max(0.0, now - machine.up_at)
                node.ready_at = now + max(machine.up_at - now, 1.0 + late)
            number_of[machine.id] = len(nodes)
            nodes.append(node)
            self.machines.append(machine)
        jobs = [self._safe_job(w, now, number_of) for w in self.works]
        for work in self._strays():
            team = room[self.teams.of(work.record.sub.crew)]
            team.cpus -= work.record.sub.vcpus
            team.gpus -= work.record.sub.gpus
        return Snapshot(
            now=now,
            jobs=jobs,
            nodes=nodes,
            teams=room,
            zones=len(self.zones),
            node_fetches=int(self._policy.node_fetches),
            zone_fetches=int(self._policy.zone_fetches),
        )

    def _unbegun(self, work: Work, now: float) -> bool:
        """The fourth exception: urgent work that keeps arriving must not keep a job from
        ever beginning, so after a while its first task, and no more, goes before rank."""
        return (
            not work.attempts and work.done == 0 and now - work.waiting_since > self._policy.begin_s
        )

    def _ordinary_at(self, work: Work) -> float:
        """Ordinary machines cost a multiple of spot ones. They are for deadlines that
        would be missed otherwise, and for work without one; the rest waits for spot
        machines as long as it can. A wait aim or a guarantee is missed by the time that a
        machine has booted, so neither is a reason to rent one."""
        sub = work.record.sub
        soon = work.waiting_since + self._policy.ordinary_wait_s
        if sub.dueS is None:
            return soon
        needed = self._policy.rescue_estimates * self.estimate(work) + self._boot_s
        return max(soon, work.waiting_since + sub.dueS - needed)

    def _guarantees(self) -> set[str]:
        """Jobs that fit into their teams' guarantees together with the earlier ones."""
        found: set[str] = set()
        left = [[t.cpus, t.gpus] for t in self._team_settings]
        for work in self.works:
            sub = work.record.sub
            room = left[self.teams.of(sub.crew)]
            room[0] -= sub.vcpus * (sub.pieces - work.done)
            room[1] -= sub.gpus * (sub.pieces - work.done)
            if room[0] >= 0 and room[1] >= 0:
                found.add(work.id)
        return found

    def _strays(self) -> list[Work]:
        return [
            work
            for machine in self._roster.machines.values()
            for stray in machine.strays
            if (work := self._works.jobs.get(stray[0])) is not None
        ]

    def _node(self, machine: Machine, build: Build, now: float) -> Node:
        node = Node(
            build=self.builds.of(build.name),
            zone=self.zones.of(machine.yard or ""),
            loaner=bool(machine.loaner),
            cpus=build.vcpus,
            gpus=build.gpus,
            memory=build.memoryGb,
            size=build.vcpus,
            pull_rate=build.pullGbPerS,
            images={self._images.of(i) for i in machine.images},
            rare=self.is_rare(build.name, now),
            surplus=machine.surplus,
        )
        rate = max(build.pullGbPerS, 1e-3)
        attempts = machine.attempts.values()
        for attempt in attempts:
            if attempt.stage in ("running", "flushing"):
                continue
            sub = attempt.work.record.sub
            if sub.bundle not in machine.images:
                since = machine.pulling.get(sub.bundle, now)
                left = max(sub.pullGb - rate * (now - since), 0.1)
                node.pulling[self._images.of(sub.bundle)] = left
        fetch = sum(node.pulling.values()) / rate
        for attempt in attempts:
            cpus, gpus, memory, rank, team, safe = self._facts[attempt.work.id]
            node.cpus -= cpus
            node.gpus -= gpus
            node.memory -= memory
            task = RunningTask(
                self._ends(attempt, now, fetch),
                cpus,
                gpus,
                memory,
                len(self.attempts),
                rank,
                team,
                self._lost(attempt, now),
                attempt.halting,
                safe,
            )
            if attempt.halting:
                node.free(task)
            self.attempts.append(attempt)
            node.tasks.append(task)
        for job, _, _ in machine.strays:
            work = self._works.jobs.get(job)
            if work is not None:
                sub = work.record.sub
                node.cpus -= sub.vcpus
                node.gpus -= sub.gpus
                node.memory -= sub.memoryGb
        return node

    def _safe_job(self, work: Work, now: float, number_of: dict[str, int]) -> Job:
        """One job that can't be judged must not keep all the others from running: a rule
        that failed for jobs without a deadline once stopped every pass of every leader."""
        try:
            return self._job(work, now, number_of)
        except Exception:
            log.exception("%s is left out of this pass", work.id)
            return Job(0, 0.0, 0.0, 0.0, 0, 0.0, self.teams.of(work.record.sub.crew), 0.0)

    def _job(self, work: Work, now: float, number_of: dict[str, int]) -> Job:
        sub = work.record.sub
        job = Job(
            pending=0 if work.retry_at > now else 1 if self._unbegun(work, now) else work.pending,
            cpus=sub.vcpus,
            gpus=sub.gpus,
            memory=sub.memoryGb,
            image=self._images.of(sub.bundle),
            image_gb=sub.pullGb,
            team=self.teams.of(sub.crew),
            estimate=self.estimate(work),
            builds=None if sub.builds is None else frozenset(map(self.builds.of, sub.builds)),
            zone=None if sub.yard is None else self.zones.of(sub.yard),
            loaners=sub.loaners,
            one_zone=sub.oneZone,
            spread=-(-sub.pieces // 2) if sub.scatter else None,
            rank=RANKS.index(sub.rank),
            guaranteed=work.id in self._within,
            ordinary_at=self._ordinary_at(work),
        )
        job.claim = job.guaranteed or sub.lane in self._prompt_lanes
        if work.bad_machines:
            job.avoid = frozenset(number_of[m] for m in work.bad_machines if m in number_of)
        if sub.oneZone or sub.scatter:
            for attempt in work.attempts.values():
                machine = self._roster.machines.get(attempt.machine)
                if machine is None or machine.yard is None:
                    job.lost += 1
                else:
                    zone = self.zones.of(machine.yard)
                    job.held[zone] = job.held.get(zone, 0) + 1
            for machine in self._roster.machines.values():
                for stray in machine.strays:
                    if stray[0] == sub.id:
                        zone = self.zones.of(machine.yard or "")
                        job.held[zone] = job.held.get(zone, 0) + 1
        return job
