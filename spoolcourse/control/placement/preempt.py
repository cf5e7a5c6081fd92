"""Preemption: chooses the running tasks (victims) to stop so that unplaced tasks can start.

This is the second exception to the arrival order (docs/design.md). A job may preempt if users
wait for jobs of its class, or if it fits into its team's guarantee. It may preempt tasks of lower
rank. A job within its team's guarantee may also preempt tasks of the same rank, of teams that
exceed their own guarantee. Jobs are scheduled in the same order (rank, guarantee, arrival);
otherwise two jobs could preempt each other in turn.

A demand is the number of unplaced tasks of one job that may preempt.
"""

from __future__ import annotations

from spoolcourse.control.placement.model import (
    EPSILON,
    PlacementJob,
    PlacementMachine,
    Plan,
    RunningTask,
    Snapshot,
    tasks_that_fit,
)

MIN_LOSS_DIVISOR_CPUS = 0.1  # a task's loss is divided by its CPUs, but at least by this

_Demand = tuple[int, int]  # job index, number of unplaced tasks


def choose_victims(snapshot: Snapshot, plan: Plan, min_remaining_s: float) -> list[int]:
    """Return the attempt numbers of the tasks to stop for the plan's unplaced tasks.

    Modifies the snapshot.
    Tasks that lose the least work per CPU are chosen first. Tasks expected to end within
    `min_remaining_s` are not preempted. Resources of tasks already being stopped count as free.
    """
    demands = [
        (job_index, count)
        for job_index, count in plan.unplaced_tasks.items()
        if snapshot.jobs[job_index].may_preempt
    ]
    if not demands:
        return []
    return _VictimSelection(snapshot, demands, min_remaining_s).run()


class _VictimSelection:
    """Selects the victims of one pass. The candidates are sorted once for all demands."""

    def __init__(self, snapshot: Snapshot, demands: list[_Demand], min_remaining_s: float) -> None:
        self._snapshot = snapshot
        self._demands = demands
        self._cpus_over_guarantee = [team.cpus_over_guarantee for team in snapshot.teams]
        highest_rank = min(snapshot.jobs[job_index].rank for job_index, _ in demands)
        self._candidates = self._victim_candidates(highest_rank, min_remaining_s)
        self._lowest_rank = max((task.rank for _, task in self._candidates), default=-1)
        self._chosen_attempts: list[int] = []

    def _victim_candidates(
        self, highest_rank: int, min_remaining_s: float
    ) -> list[tuple[int, RunningTask]]:
        """Return the machine index and task of each possible victim, least loss first."""
        now = self._snapshot.now
        candidates = sorted(
            (
                (
                    task.loss_cpu_s(now) / max(task.cpus, MIN_LOSS_DIVISOR_CPUS),
                    machine_index,
                    task.expected_end,
                    task,
                )
                for machine_index, machine in enumerate(self._snapshot.machines)
                for task in machine.tasks
                if self._is_preemptible(task, highest_rank)
                and task.expected_end > now + min_remaining_s
            ),
            key=lambda candidate: candidate[:3],
        )
        return [(machine_index, task) for _, machine_index, _, task in candidates]

    def _is_preemptible(self, task: RunningTask, highest_rank: int) -> bool:
        """Whether some demand may preempt the task; `highest_rank` is the highest of them."""
        if task.stopping or task.rank < highest_rank:
            return False
        return task.rank > highest_rank or (
            self._cpus_over_guarantee[task.team] > 0 and not task.within_guarantee
        )

    def run(self) -> list[int]:
        """Process the demands in order and return the attempt numbers of the tasks to stop."""
        # Signatures of demands that found too few victims: another demand with the same signature
        # would find none, and searching all tasks for each demand costs O(machines * jobs).
        without_victims: set[tuple[object, ...]] = set()
        for job_index, unplaced_tasks in self._demands:
            job = self._snapshot.jobs[job_index]
            missing = unplaced_tasks - self._allocate_freed(job, unplaced_tasks)
            if missing <= 0 or not self._may_have_victims(job):
                continue
            # These constraints depend on machines and on the job's own tasks, which the signature
            # does not cover.
            comparable = not (
                job.avoided_machines or job.one_zone or job.max_tasks_per_zone is not None
            )
            if comparable and _demand_signature(job) in without_victims:
                continue
            missing -= self._preempt_for(job, missing)
            if missing > 0 and comparable:
                without_victims.add(_demand_signature(job))
        return self._chosen_attempts

    def _may_have_victims(self, job: PlacementJob) -> bool:
        """Whether the job may preempt tasks of the lowest rank among the candidates."""
        return self._lowest_rank > job.rank or (
            self._lowest_rank == job.rank and job.within_guarantee
        )

    def _allocate_freed(self, job: PlacementJob, max_tasks: int) -> int:
        """Allocate free resources, and those being freed, for up to `max_tasks` tasks of the job.

        Returns for how many tasks they suffice.
        """
        allocated = 0
        for machine_index, machine in enumerate(self._snapshot.machines):
            if allocated >= max_tasks:
                break
            has_cpus = machine.cpus + machine.cpus_being_freed + EPSILON >= job.cpus
            if has_cpus and _is_eligible_machine(job, machine_index, machine, self._snapshot.now):
                allocated += _allocate_freed_on_machine(job, machine, max_tasks - allocated)
        return allocated

    def _preempt_for(self, job: PlacementJob, max_tasks: int) -> int:
        """Preempt tasks until `max_tasks` tasks of the job fit; return how many then fit."""
        allocated = 0
        victims_by_machine: dict[int, list[RunningTask]] = {}
        for machine_index, task in self._candidates:
            if allocated >= max_tasks:
                break
            machine = self._snapshot.machines[machine_index]
            if task.stopping or not _may_preempt(job, task, self._cpus_over_guarantee):
                continue
            if not _is_eligible_machine(job, machine_index, machine, self._snapshot.now):
                continue
            victims = victims_by_machine.setdefault(machine_index, [])
            victims.append(task)
            if not _fits_after_preemption(job, machine, victims):
                continue
            for victim in victims:
                self._stop(machine, victim)
            victims_by_machine[machine_index] = []
            allocated += _allocate_freed_on_machine(job, machine, max_tasks - allocated)
        return allocated

    def _stop(self, machine: PlacementMachine, victim: RunningTask) -> None:
        """Choose the victim and count its resources as being freed."""
        victim.stopping = True
        self._chosen_attempts.append(victim.attempt_number)
        self._cpus_over_guarantee[victim.team] -= victim.cpus
        machine.expect_release(victim)


def _may_preempt(job: PlacementJob, task: RunningTask, cpus_over_guarantee: list[float]) -> bool:
    """Whether the job may preempt the task. No team loses CPUs within its guarantee."""
    if task.rank != job.rank:
        return task.rank > job.rank
    if task.within_guarantee or not job.within_guarantee:
        return False
    return task.team != job.team and cpus_over_guarantee[task.team] >= task.cpus


def _is_eligible_machine(
    job: PlacementJob, machine_index: int, machine: PlacementMachine, now: float
) -> bool:
    """Whether the machine is ready and the job may run on it, whatever resources are free."""
    return (
        machine.ready_at <= now
        and job.tasks_allowed_in_zone(machine.zone) > 0
        and job.runs_on(machine.machine_type, machine.spot)
        and machine_index not in job.avoided_machines
    )


def _demand_signature(job: PlacementJob) -> tuple[object, ...]:
    """Return a key that is equal for demands that may preempt the same tasks."""
    return (
        *(job.rank, job.within_guarantee, job.team),
        *(job.machine_types, job.zone, job.spot_allowed),
        *(job.cpus, job.gpus, job.memory_gb),
    )


def _fits_after_preemption(
    job: PlacementJob, machine: PlacementMachine, victims: list[RunningTask]
) -> bool:
    """Whether a task of the job fits once the victims have ended."""
    count = tasks_that_fit(
        machine.cpus + machine.cpus_being_freed + sum(task.cpus for task in victims),
        machine.gpus + machine.gpus_being_freed + sum(task.gpus for task in victims),
        machine.memory_gb + machine.memory_gb_being_freed + sum(task.memory_gb for task in victims),
        job,
    )
    return count >= 1


def _allocate_freed_on_machine(job: PlacementJob, machine: PlacementMachine, max_tasks: int) -> int:
    """Allocate the machine's free resources, and those being freed, for up to `max_tasks` tasks.

    Returns for how many tasks of the job they suffice.
    """
    fitting = tasks_that_fit(
        machine.cpus + machine.cpus_being_freed,
        machine.gpus + machine.gpus_being_freed,
        machine.memory_gb + machine.memory_gb_being_freed,
        job,
    )
    count = min(max_tasks, fitting)
    if count > 0:
        machine.cpus_being_freed -= count * job.cpus
        machine.gpus_being_freed -= count * job.gpus
        machine.memory_gb_being_freed -= count * job.memory_gb
    return count
