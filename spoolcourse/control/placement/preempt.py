"""Preemption for rank and quota: running tasks are stopped for jobs that may preempt.

This is the second exception to the arrival order (docs/design.md). A job may preempt if people
wait for its class to start, or if it fits into its team's guarantee. For it, tasks of lower rank
may be stopped. If it is within its guarantee, so may tasks of the same rank of teams that use more
than their own. That is the order of service as well (rank, guarantee, arrival): two jobs
must not preempt each other in turn.
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

MIN_LOSS_CPUS = 0.1  # divisor of the loss by CPU of tasks that hold next to none

_Claim = tuple[int, int]  # a job that may preempt, and how many of its tasks are unplaced


def choose_victims(snapshot: Snapshot, plan: Plan, patience_s: float) -> list[int]:
    """Attempt numbers of the tasks to stop. Uses up the snapshot further.

    Tasks that lose the least work by CPU come first; one that is expected to end within
    `patience_s` is waited for. What is being stopped already counts as room.
    """
    claims = [
        (index, count)
        for index, count in plan.unplaced_tasks.items()
        if snapshot.jobs[index].may_preempt
    ]
    if not claims:
        return []
    return _Preemption(snapshot, claims, patience_s).run()


class _Preemption:
    """Chooses the victims of one pass. The tasks are put in order once for all claims."""

    def __init__(self, snapshot: Snapshot, claims: list[_Claim], patience_s: float) -> None:
        self._snapshot = snapshot
        self._claims = claims
        self._cpus_over_guarantee = [team.cpus_over_guarantee for team in snapshot.teams]
        highest_rank = min(snapshot.jobs[index].rank for index, _ in claims)
        self._victims = self._possible_victims(highest_rank, patience_s)
        self._lowest_rank = max((task.rank for _, task in self._victims), default=-1)
        self._chosen: list[int] = []

    def _possible_victims(
        self, highest_rank: int, patience_s: float
    ) -> list[tuple[int, RunningTask]]:
        """Tasks that some claim might stop, with their machines: the least loss first."""
        now = self._snapshot.now
        victims = sorted(
            (
                (
                    task.loss_cpu_s(now) / max(task.cpus, MIN_LOSS_CPUS),
                    number,
                    task.expected_end,
                    task,
                )
                for number, machine in enumerate(self._snapshot.machines)
                for task in machine.tasks
                if self._is_preemptible(task, highest_rank) and task.expected_end > now + patience_s
            ),
            key=lambda victim: victim[:3],
        )
        return [(number, task) for _, number, _, task in victims]

    def _is_preemptible(self, task: RunningTask, highest_rank: int) -> bool:
        """Whether a claim of the highest rank might stop it."""
        if task.stopping or task.rank < highest_rank:
            return False
        return task.rank > highest_rank or (
            self._cpus_over_guarantee[task.team] > 0 and not task.within_guarantee
        )

    def run(self) -> list[int]:
        """Serve the claims in order; returns the attempt numbers of the tasks to stop."""
        # Signatures of claims that found too few victims: the next one like them would find none.
        # Each claim looking through all tasks again cost fleet times backlog.
        without_victims: set[tuple[object, ...]] = set()
        for index, wanted in self._claims:
            job = self._snapshot.jobs[index]
            missing = wanted - self._book_freed(job, wanted)
            if missing <= 0 or not self._may_have_victims(job):
                continue
            # These rules depend on machines and on tasks of the job itself, which differ from job
            # to job: the signature doesn't cover them.
            comparable = not (
                job.avoided_machines or job.one_zone or job.max_tasks_per_zone is not None
            )
            if comparable and _claim_signature(job) in without_victims:
                continue
            missing -= self._preempt_for(job, missing)
            if missing > 0 and comparable:
                without_victims.add(_claim_signature(job))
        return self._chosen

    def _may_have_victims(self, job: PlacementJob) -> bool:
        return self._lowest_rank > job.rank or (
            self._lowest_rank == job.rank and job.within_guarantee
        )

    def _book_freed(self, job: PlacementJob, wanted: int) -> int:
        """Book room that is free or being freed; returns for how many tasks."""
        booked = 0
        for number, machine in enumerate(self._snapshot.machines):
            if booked >= wanted:
                break
            has_cpus = machine.cpus + machine.cpus_being_freed + EPSILON >= job.cpus
            if has_cpus and _machine_suits(job, number, machine, self._snapshot.now):
                booked += _book_room(job, machine, wanted - booked)
        return booked

    def _preempt_for(self, job: PlacementJob, wanted: int) -> int:
        """Stop tasks until so many of the job fit; returns for how many there is room then."""
        booked = 0
        victims_by_machine: dict[int, list[RunningTask]] = {}
        for number, task in self._victims:
            if booked >= wanted:
                break
            machine = self._snapshot.machines[number]
            if task.stopping or not _may_stop(job, task, self._cpus_over_guarantee):
                continue
            if not _machine_suits(job, number, machine, self._snapshot.now):
                continue
            victims = victims_by_machine.setdefault(number, [])
            victims.append(task)
            if not _fits_without(job, machine, victims):
                continue
            for victim in victims:
                self._stop(machine, victim)
            victims_by_machine[number] = []
            booked += _book_room(job, machine, wanted - booked)
        return booked

    def _stop(self, machine: PlacementMachine, victim: RunningTask) -> None:
        victim.stopping = True
        self._chosen.append(victim.attempt_number)
        self._cpus_over_guarantee[victim.team] -= victim.cpus
        machine.expect_release(victim)


def _may_stop(job: PlacementJob, task: RunningTask, cpus_over_guarantee: list[float]) -> bool:
    """Whether the task may be stopped for the job; a team keeps its guarantee."""
    if task.rank != job.rank:
        return task.rank > job.rank
    if task.within_guarantee or not job.within_guarantee:
        return False
    return task.team != job.team and cpus_over_guarantee[task.team] >= task.cpus


def _machine_suits(job: PlacementJob, number: int, machine: PlacementMachine, now: float) -> bool:
    return (
        machine.ready_at <= now
        and job.tasks_allowed_in_zone(machine.zone) > 0
        and job.runs_on(machine.machine_type, machine.spot)
        and number not in job.avoided_machines
    )


def _claim_signature(job: PlacementJob) -> tuple[object, ...]:
    """Claims with the same one find the same victims."""
    return (
        *(job.rank, job.within_guarantee, job.team),
        *(job.machine_types, job.zone, job.spot_allowed),
        *(job.cpus, job.gpus, job.memory_gb),
    )


def _fits_without(job: PlacementJob, machine: PlacementMachine, victims: list[RunningTask]) -> bool:
    """Whether a task of the job fits once these have ended."""
    count = tasks_that_fit(
        machine.cpus + machine.cpus_being_freed + sum(task.cpus for task in victims),
        machine.gpus + machine.gpus_being_freed + sum(task.gpus for task in victims),
        machine.memory_gb + machine.memory_gb_being_freed + sum(task.memory_gb for task in victims),
        job,
    )
    return count >= 1


def _book_room(job: PlacementJob, machine: PlacementMachine, wanted: int) -> int:
    """Book room that is free or being freed for the job; returns for how many tasks."""
    fitting = tasks_that_fit(
        machine.cpus + machine.cpus_being_freed,
        machine.gpus + machine.gpus_being_freed,
        machine.memory_gb + machine.memory_gb_being_freed,
        job,
    )
    count = min(wanted, fitting)
    if count > 0:
        machine.cpus_being_freed -= count * job.cpus
        machine.gpus_being_freed -= count * job.gpus
        machine.memory_gb_being_freed -= count * job.memory_gb
    return count
