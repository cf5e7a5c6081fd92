"""What the passes see of each machine, kept between them.

A machine's free resources and its tasks' expected ends are computed again only when something
changed there, or when time alone changes them. Measured on a fleet of 534 machines, where a
pass computed all of them again ten times a second: four fifths of the leader's time.
"""

from __future__ import annotations

from math import inf

import msgspec

from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.placement.model import (
    MIN_FETCH_GB_PER_S,
    PlacementMachine,
    RunningTask,
)
from spoolcourse.control.scheduling.estimates import run_estimate_s
from spoolcourse.control.scheduling.name_index import SnapshotIndices
from spoolcourse.control.workers.machine import Machine
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import MachineType, Submission

REFRESH_S = 0.5  # an overrun or a fetch under way is computed again after so long
OVERRUN_SHARE = 0.5  # of what a task took so far: what one that overran is expected to need
OVERRUN_LEAST_S = 1.0
LEAST_LEFT_GB = 0.1  # of an image whose fetch should be over
LEAST_FETCH_S = 0.5


class CachedMachine(msgspec.Struct):
    """What was computed for a machine; a pass changes none of the collections."""

    changes: int  # the machine's count of changes at that time
    valid_until: float
    machine_type: int
    zone: int
    cpus: float  # free, as are the next two
    gpus: float
    memory_gb: float
    cpus_being_freed: float
    gpus_being_freed: float
    memory_gb_being_freed: float
    cached_images: set[int]
    fetch_left_gb: dict[int, float]
    tasks: list[RunningTask]


class SnapshotCache:
    """Keeps what passes see of machines until it changes."""

    def __init__(self, indices: SnapshotIndices, policy: Policy) -> None:
        self._indices = indices
        self._policy = policy
        self._cached: dict[str, CachedMachine] = {}  # by machine
        self._within_guarantee: set[str] = set()

    def update_guarantees(self, within_guarantee: set[str], jobs: dict[str, JobState]) -> None:
        """Take over which jobs are within guarantees; drops the machines of those that changed."""
        for job in self._within_guarantee ^ within_guarantee:
            job_state = jobs.get(job)
            for attempt in job_state.attempts.values() if job_state is not None else ():
                self._cached.pop(attempt.machine, None)
        self._within_guarantee = set(within_guarantee)

    def forget_missing(self, machines: dict[str, Machine]) -> None:
        """Forget machines that are not among these."""
        if len(self._cached) > len(machines):
            self._cached = {name: c for name, c in self._cached.items() if name in machines}

    def view(
        self,
        machine: Machine,
        machine_type: MachineType,
        jobs: dict[str, JobState],
        now: float,
        has_scarce_type: bool,
    ) -> PlacementMachine:
        """What the pass sees of a machine, computed again only if something changed there."""
        cached = self._cached.get(machine.id)
        if cached is None or cached.changes != machine.change_count or cached.valid_until <= now:
            cached = self._cached[machine.id] = self._compute(machine, machine_type, jobs, now)
        # At most 15 keywords: CPython makes a dict of more, which takes three times as long.
        view = PlacementMachine(
            machine_type=cached.machine_type,
            zone=cached.zone,
            spot=bool(machine.spot),
            cpus=cached.cpus,
            gpus=cached.gpus,
            memory_gb=cached.memory_gb,
            total_cpus=machine_type.cpus,
            fetch_gb_per_s=machine_type.fetch_gb_per_s,
            cached_images=cached.cached_images,
            fetch_left_gb=dict(cached.fetch_left_gb) if cached.fetch_left_gb else {},
            tasks=cached.tasks,
            cpus_being_freed=cached.cpus_being_freed,
            gpus_being_freed=cached.gpus_being_freed,
            memory_gb_being_freed=cached.memory_gb_being_freed,
        )
        view.scale_in_candidate = machine.scale_in_candidate
        view.has_scarce_type = has_scarce_type
        return view

    def _compute(
        self, machine: Machine, machine_type: MachineType, jobs: dict[str, JobState], now: float
    ) -> CachedMachine:
        gb_per_s = max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
        view = PlacementMachine(
            machine_type=self._indices.machine_types.number_of(machine_type.name),
            zone=self._indices.zones.number_of(machine.zone or ""),
            spot=bool(machine.spot),
            cpus=machine_type.cpus,
            gpus=machine_type.gpus,
            memory_gb=machine_type.memory_gb,
            total_cpus=machine_type.cpus,
            fetch_gb_per_s=machine_type.fetch_gb_per_s,
            fetch_left_gb=self._fetch_left_gb(machine, gb_per_s, now),
        )
        fetch_s = sum(view.fetch_left_gb.values()) / gb_per_s
        valid_until = self._add_tasks(view, machine, fetch_s, now)
        for job, _, _ in machine.unexpected_attempts:
            job_state = jobs.get(job)
            if job_state is not None:
                _subtract(view, job_state.record.submission)
        view.tasks.sort(key=lambda task: task.expected_end)
        return CachedMachine(
            changes=machine.change_count,
            valid_until=valid_until,
            machine_type=view.machine_type,
            zone=view.zone,
            cpus=view.cpus,
            gpus=view.gpus,
            memory_gb=view.memory_gb,
            cpus_being_freed=view.cpus_being_freed,
            gpus_being_freed=view.gpus_being_freed,
            memory_gb_being_freed=view.memory_gb_being_freed,
            cached_images={self._indices.images.number_of(image) for image in machine.images},
            fetch_left_gb=view.fetch_left_gb,
            tasks=view.tasks,
        )

    def _fetch_left_gb(self, machine: Machine, gb_per_s: float, now: float) -> dict[int, float]:
        """By image: about how much is still to be fetched for the machine's attempts."""
        fetch_left_gb: dict[int, float] = {}
        for attempt in machine.attempts.values():
            if attempt.is_executing:
                continue
            submission = attempt.job_state.record.submission
            if submission.image not in machine.images:
                since = machine.fetching.get(submission.image, now)
                left_gb = max(submission.image_gb - gb_per_s * (now - since), LEAST_LEFT_GB)
                fetch_left_gb[self._indices.images.number_of(submission.image)] = left_gb
        return fetch_left_gb

    def _add_tasks(
        self, view: PlacementMachine, machine: Machine, fetch_s: float, now: float
    ) -> float:
        """Add the machine's attempts to its view; returns until when the view is valid."""
        valid_until = inf
        for attempt in machine.attempts.values():
            _subtract(view, attempt.job_state.record.submission)
            expected_end, is_steady = self._expected_end(attempt, now, fetch_s)
            valid_until = min(valid_until, expected_end if is_steady else now + REFRESH_S)
            task = self._running_task(attempt, expected_end)
            if attempt.stopping:
                view.expect_release(task)
            view.tasks.append(task)
        return valid_until

    def _running_task(self, attempt: Attempt, expected_end: float) -> RunningTask:
        submission = attempt.job_state.record.submission
        is_executing = attempt.is_executing
        has_checkpoints = submission.checkpoint_every_s > 0
        checkpoint_cpu_s = submission.cpus * submission.checkpoint_cost_s
        return RunningTask(
            expected_end=expected_end,
            cpus=submission.cpus,
            gpus=submission.gpus,
            memory_gb=submission.memory_gb,
            attempt_number=attempt.number,
            # What goes before rank must not be stopped by rank, or the two would take
            # turns. Measured: one first task stopped a hundred times on a busy day.
            rank=0 if attempt.exempt_from_preemption else submission.rank_number,
            team=self._indices.teams.number_of(submission.team),
            checkpoint_loss_cpu_s=checkpoint_cpu_s if is_executing and has_checkpoints else 0.0,
            stopping=attempt.stopping,
            within_guarantee=attempt.exempt_from_preemption
            or attempt.job_state.id in self._within_guarantee,
            unsaved_since=attempt.since if is_executing and not has_checkpoints else None,
        )

    def _expected_end(self, attempt: Attempt, now: float, fetch_s: float) -> tuple[float, bool]:
        """When it is expected to end, and whether that stays so while time passes."""
        estimate_s = run_estimate_s(attempt.job_state, self._policy)
        elapsed_s = now - attempt.since
        if attempt.is_executing:
            if elapsed_s < estimate_s:
                return attempt.since + estimate_s, True
            # A task that overran its estimate is expected to need half again of what it
            # took so far; else it would be due at any moment, and push the head back
            # forever.
            return now + elapsed_s * OVERRUN_SHARE + OVERRUN_LEAST_S, False
        return now + max(fetch_s - elapsed_s, LEAST_FETCH_S) + estimate_s, False


def _subtract(view: PlacementMachine, submission: Submission) -> None:
    """Subtract what one task of the job holds."""
    view.cpus -= submission.cpus
    view.gpus -= submission.gpus
    view.memory_gb -= submission.memory_gb
