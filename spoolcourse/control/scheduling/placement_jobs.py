"""Converts the leader's job states into the jobs of a snapshot."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from math import inf

from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.placement.model import PlacementJob
from spoolcourse.control.scheduling.estimates import run_estimate_s
from spoolcourse.control.scheduling.name_index import SnapshotIndices
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import Submission
from spoolcourse.wire.settings import Objective

log = logging.getLogger(__name__)

# Objective kinds of classes whose users wait for a job to start, or for a service's replicas.
LATENCY_SENSITIVE_OBJECTIVES = ("wait", "up")
COMPLETION_OBJECTIVE = "finished"  # objective kind that limits the time until a job is done


@dataclass(frozen=True, slots=True)
class PassContext:
    """The input for building `PlacementJob`s that is the same for all jobs of a pass."""

    now: float
    boot_s: float  # boot time of the machine type that boots slowest
    machine_indices: dict[str, int]  # by machine ID: index in the snapshot
    within_guarantee: set[str]  # IDs of the jobs within their team's guarantee
    starved_jobs: set[str]  # job IDs; see `JobOrder`


class PlacementJobBuilder:
    """Builds the `PlacementJob` of each job for a pass."""

    def __init__(
        self,
        indices: SnapshotIndices,
        registry: WorkerRegistry,
        objectives: list[Objective],
        policy: Policy,
    ) -> None:
        self._indices = indices
        self._registry = registry
        self._policy = policy
        self._latency_sensitive_classes = {
            objective.job_class
            for objective in objectives
            if objective.kind in LATENCY_SENSITIVE_OBJECTIVES
        }
        self._completion_s_by_class = _completion_s_by_class(objectives)

    def placement_job(self, job_state: JobState, context: PassContext) -> PlacementJob:
        """Return the `PlacementJob` of a job; if building it fails, one without pending tasks.

        An error for one job must not stop the pass for all others: a rule that failed for jobs
        without a deadline once stopped every pass of every leader.
        """
        try:
            return self._build_placement_job(job_state, context)
        except Exception:
            log.exception("job left out of this pass: job=%s", job_state.id)
            return PlacementJob(
                pending_tasks=0,
                cpus=0.0,
                gpus=0.0,
                memory_gb=0.0,
                image=0,
                image_gb=0.0,
                team=self._indices.teams.index_of(job_state.record.submission.team),
                estimate_s=0.0,
            )

    def _build_placement_job(self, job_state: JobState, context: PassContext) -> PlacementJob:
        submission = job_state.record.submission
        indices = self._indices
        types, zone = submission.machine_types, submission.zone
        within_guarantee = job_state.id in context.within_guarantee
        job = PlacementJob(
            pending_tasks=_tasks_to_place(job_state, context),
            cpus=submission.cpus,
            gpus=submission.gpus,
            memory_gb=submission.memory_gb,
            image=indices.images.index_of(submission.image),
            image_gb=submission.image_gb,
            team=indices.teams.index_of(submission.team),
            estimate_s=run_estimate_s(job_state, self._policy),
            machine_types=(
                None if types is None else frozenset(map(indices.machine_types.index_of, types))
            ),
            zone=None if zone is None else indices.zones.index_of(zone),
            spot_allowed=submission.spot_allowed,
            one_zone=submission.one_zone,
            max_tasks_per_zone=_max_tasks_per_zone(submission),
            rank=submission.rank_number,
            within_guarantee=within_guarantee,
            may_preempt=within_guarantee or self._is_latency_sensitive(submission),
            on_demand_from=self._on_demand_from(job_state, context.boot_s),
            is_service=submission.is_service,
        )
        if submission.is_service:
            _count_replicas(job, job_state, context.machine_indices)
        if job_state.avoided_machines:
            job.avoided_machines = _avoided_machines(job_state, context)
        if submission.one_zone or submission.spread_over_zones:
            self._count_tasks_by_zone(job, job_state)
        return job

    def _is_latency_sensitive(self, submission: Submission) -> bool:
        """Whether users wait for the job to start: services, and classes with such an objective."""
        return submission.is_service or submission.job_class in self._latency_sensitive_classes

    def _on_demand_from(self, job_state: JobState, boot_s: float) -> float:
        """Return the time from which on-demand machines may be provisioned for the job.

        On-demand machines cost a multiple of spot machines. They are used for deadlines that would
        otherwise be missed and for jobs without a known deadline; other jobs wait for spot machines
        as long as possible. A job without its own deadline gets the one of its class's objectives.
        By the time a new machine has booted, a wait objective or a guarantee is already missed, so
        neither is a reason to provision one.

        Policy keys: `ordinary_wait_s` is the least time that a job waits for spot machines;
        `rescue_estimates` times its estimated run time, plus a boot, is the time that must be left
        before its deadline.
        """
        submission = job_state.record.submission
        if submission.is_service:
            return job_state.waiting_since  # every second without its replicas counts as missed
        earliest_at = job_state.waiting_since + self._policy.ordinary_wait_s
        due_s = submission.due_s
        if due_s is None:
            due_s = self._completion_s_by_class.get(submission.job_class)
        if due_s is None:
            return earliest_at
        estimate_s = run_estimate_s(job_state, self._policy)
        needed_s = self._policy.rescue_estimates * estimate_s + boot_s
        return max(earliest_at, job_state.waiting_since + due_s - needed_s)

    def _count_tasks_by_zone(self, job: PlacementJob, job_state: JobState) -> None:
        """Count the tasks that may be running by zone, and those whose zone is unknown."""
        zones = self._indices.zones
        for attempt in job_state.attempts.values():
            machine = self._registry.machines.get(attempt.machine)
            if machine is None or machine.zone is None:
                job.tasks_in_unknown_zones += 1
            else:
                _count_task(job, zones.index_of(machine.zone))
        for machine in self._registry.machines.values():
            for attempt_id in machine.unexpected_attempts:
                if attempt_id.job == job_state.id:
                    _count_task(job, zones.index_of(machine.zone or ""))


def _tasks_to_place(job_state: JobState, context: PassContext) -> int:
    """Return how many tasks of the job the pass may place: only the first of a starved job."""
    if job_state.backoff_until > context.now:
        return 0
    if job_state.id in context.starved_jobs:
        return 1
    return job_state.assignable_count


def _max_tasks_per_zone(submission: Submission) -> int | None:
    """Return the most tasks per zone: half of them, rounded up, if the job is spread over zones.

    None means no limit.
    """
    return -(-submission.task_count // 2) if submission.spread_over_zones else None


def _avoided_machines(job_state: JobState, context: PassContext) -> frozenset[int]:
    """Return the indices of the machines on which the job failed recently."""
    avoided = [name for name, until in job_state.avoided_machines.items() if until > context.now]
    indices = context.machine_indices
    return frozenset(indices[name] for name in avoided if name in indices)


def _count_replicas(
    job: PlacementJob, job_state: JobState, machine_indices: dict[str, int]
) -> None:
    """Count the service's replicas by machine."""
    for attempt in job_state.attempts.values():
        machine_index = machine_indices.get(attempt.machine)
        if machine_index is not None:
            job.replicas_by_machine[machine_index] = (
                job.replicas_by_machine.get(machine_index, 0) + 1
            )


def _count_task(job: PlacementJob, zone: int) -> None:
    job.tasks_by_zone[zone] = job.tasks_by_zone.get(zone, 0) + 1


def _completion_s_by_class(objectives: list[Objective]) -> dict[str, float]:
    """Return, by job class, the time of its strictest completion objective."""
    completion_s: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == COMPLETION_OBJECTIVE:
            known_s = completion_s.get(objective.job_class, inf)
            completion_s[objective.job_class] = min(known_s, objective.within_s)
    return completion_s
