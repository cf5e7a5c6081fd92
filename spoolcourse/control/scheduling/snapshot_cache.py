"""What the passes see of each machine, kept between them.

A machine's free room and its tasks' expected ends are worked out again only when something
changed there, or when time alone changes them. Measured on a fleet of 534 machines, where a
pass worked out all of them again ten times a second: four fifths of the leader's time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.placement.model import (
    MIN_FETCH_GB_PER_S,
    PlacementMachine,
    Resources,
    RunningTask,
)
from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import MachineType

LOOK_AGAIN_S = 0.5  # an overrun or a fetch under way is looked at again after so long
OVERRUN_SHARE = 0.5  # of what a task took so far: what one that overran is expected to need
OVERRUN_LEAST_S = 1.0
LEAST_LEFT_GB = 0.1  # of an image whose fetch should be over
LEAST_FETCH_S = 0.5


class Index:
    """Names to dense numbers."""

    def __init__(self, names: list[str] | None = None) -> None:
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}
        for name in names or []:
            self.of(name)

    def of(self, name: str) -> int:
        """The index of a name; a new name gets the next one."""
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = len(self.names)
            self.names.append(name)
        return number

    def __len__(self) -> int:
        """How many names there are."""
        return len(self.names)


@dataclass(slots=True)
class MachineSnapshot:
    """A machine as it was seen; `images`, `fetching` and `tasks` are not changed by a pass."""

    changes: int  # of the machine, when it was seen
    until: float
    machine_type: int
    zone: int
    cpus: float
    gpus: float
    memory: float
    freed: Resources
    images: set[int]
    fetching: dict[int, float]
    tasks: list[RunningTask]


class SnapshotCache:
    """Keeps what passes see of machines until it changes."""

    def __init__(
        self,
        teams: Index,
        zones: Index,
        machine_types: Index,
        estimate: Callable[[JobState], float],
    ) -> None:
        self._teams = teams
        self._zones = zones
        self._machine_types = machine_types
        self.images = Index()
        self._estimate = estimate
        self._known: dict[str, MachineSnapshot] = {}
        self._within: set[str] = set()

    def judge(self, within: set[str], jobs: dict[str, JobState]) -> None:
        """Which jobs are within their teams' guarantees, for what their tasks look like."""
        for job in self._within ^ within:
            job_state = jobs.get(job)
            for attempt in job_state.attempts.values() if job_state is not None else ():
                self._known.pop(attempt.machine, None)
        self._within = set(within)

    def keep(self, machines: dict[str, Machine]) -> None:
        """Forget those that are gone."""
        if len(self._known) > len(machines):
            self._known = {name: s for name, s in self._known.items() if name in machines}

    def node(
        self,
        machine: Machine,
        machine_type: MachineType,
        jobs: dict[str, JobState],
        now: float,
        rare: bool,
    ) -> PlacementMachine:
        """What the pass sees of a machine, made again only if something changed there."""
        known = self._known.get(machine.id)
        if known is None or known.changes != machine.change_count or known.until <= now:
            known = self._known[machine.id] = self._make(machine, machine_type, jobs, now)
        return PlacementMachine(
            known.machine_type,
            known.zone,
            bool(machine.spot),
            known.cpus,
            known.gpus,
            known.memory,
            machine_type.cpus,
            machine_type.fetch_gb_per_s,
            known.images,
            dict(known.fetching) if known.fetching else {},
            known.tasks,
            0.0,
            machine.scale_in_candidate,
            rare,
            known.freed,
        )

    def _make(
        self, machine: Machine, machine_type: MachineType, jobs: dict[str, JobState], now: float
    ) -> MachineSnapshot:
        node = PlacementMachine(
            self._machine_types.of(machine_type.name),
            self._zones.of(machine.zone or ""),
            bool(machine.spot),
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            machine_type.cpus,
            machine_type.fetch_gb_per_s,
        )
        rate = max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
        attempts = machine.attempts.values()
        for attempt in attempts:
            if attempt.is_executing:
                continue
            submission = attempt.job_state.record.submission
            if submission.image not in machine.images:
                since = machine.fetching.get(submission.image, now)
                left = max(submission.image_gb - rate * (now - since), LEAST_LEFT_GB)
                node.fetch_left_gb[self.images.of(submission.image)] = left
        fetch = sum(node.fetch_left_gb.values()) / rate
        until = float("inf")
        for attempt in attempts:
            submission = attempt.job_state.record.submission
            node.cpus -= submission.cpus
            node.gpus -= submission.gpus
            node.memory_gb -= submission.memory_gb
            end, steady = self._ends(attempt, now, fetch)
            until = min(until, end if steady else now + LOOK_AGAIN_S)
            going = attempt.is_executing
            saves = submission.checkpoint_every_s > 0
            task = RunningTask(
                end,
                submission.cpus,
                submission.gpus,
                submission.memory_gb,
                attempt.number,
                # What goes before rank must not be stopped by rank, or the two would take
                # turns. Measured: one first task stopped a hundred times on a busy day.
                0 if attempt.exempt_from_preemption else submission.rank_number,
                self._teams.of(submission.team),
                submission.cpus * submission.checkpoint_cost_s if going and saves else 0.0,
                attempt.stopping,
                attempt.exempt_from_preemption or attempt.job_state.id in self._within,
                attempt.since if going and not saves else None,
            )
            if attempt.stopping:
                node.expect_release(task)
            node.tasks.append(task)
        for job, _, _ in machine.unexpected_attempts:
            job_state = jobs.get(job)
            if job_state is not None:
                submission = job_state.record.submission
                node.cpus -= submission.cpus
                node.gpus -= submission.gpus
                node.memory_gb -= submission.memory_gb
        node.tasks.sort(key=lambda t: t.expected_end)
        return MachineSnapshot(
            machine.change_count,
            until,
            node.machine_type,
            node.zone,
            node.cpus,
            node.gpus,
            node.memory_gb,
            node.being_freed,
            {self.images.of(i) for i in machine.images},
            node.fetch_left_gb,
            node.tasks,
        )

    def _ends(self, attempt: Attempt, now: float, fetch: float) -> tuple[float, bool]:
        """When it is expected to end, and whether that stays so while time passes."""
        estimate = self._estimate(attempt.job_state)
        elapsed = now - attempt.since
        if attempt.is_executing:
            if elapsed < estimate:
                return attempt.since + estimate, True
            # A task that overran its estimate is expected to need half again of what it
            # took so far; else it would be due at any moment, and push the head back
            # forever.
            return now + elapsed * OVERRUN_SHARE + OVERRUN_LEAST_S, False
        return now + max(fetch - elapsed, LEAST_FETCH_S) + estimate, False
