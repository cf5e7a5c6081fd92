"""The placement pass: EASY backfilling with bin packing and limits on image fetches.

Jobs are placed in the order of the snapshot. The first job that does not fit completely becomes
the head of the queue. Its shadow time, the time at which it can start, follows from the expected
ends of the running tasks. A later job may start now only if that does not delay the head: it is
then backfilled.

A job that waits only for its team's limit does not become the head: machines reserved for it would
stay idle without helping it.
"""

from __future__ import annotations

from spoolcourse.control.placement.image_fetches import FetchLimits, fetch_delay_s
from spoolcourse.control.placement.model import (
    EPSILON,
    Placement,
    PlacementJob,
    PlacementMachine,
    Plan,
    Snapshot,
)
from spoolcourse.control.placement.reservations import Reservation, reserve

# A machine that can take a task, as a sort key with the preferred machine first: penalty, image
# fetch delay in seconds, replicas of the same service on it, free CPUs (negated where the emptiest
# machine is preferred), machine index. A plain tuple, as each pass builds and sorts many of them.
_Candidate = tuple[int, float, int, float, int]

# Penalties of a candidate machine for a job. They are summed; the lowest sum is preferred.
SCARCE_TYPE_PENALTY = 1  # some jobs can use this machine type, but not all types
SCALE_IN_PENALTY = 2  # the autoscaler wants to empty and release the machine
FETCH_PENALTY = 4  # only for jobs that may preempt: users wait, so a fetch outweighs the others


def place(snapshot: Snapshot) -> Plan:
    """Run the placement pass and return its plan. Modifies the snapshot."""
    return BackfillPass(snapshot).run()


class BackfillPass:
    """One placement pass over a snapshot. Modifies the snapshot."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._plan = Plan()
        self._reservations: dict[int, Reservation] = {}
        self._fetch_limits = FetchLimits(snapshot)
        # Only machines that can hold the smallest pending task are considered. With a backlog
        # nearly all machines are full, and a pass must not cost O(machines * jobs).
        waiting = [job for job in snapshot.jobs if job.pending_tasks > 0]
        self._smallest_cpus = min((job.cpus for job in waiting), default=0.0)
        self._smallest_memory_gb = min((job.memory_gb for job in waiting), default=0.0)
        self._available_machines = [
            machine_index
            for machine_index, machine in enumerate(snapshot.machines)
            if machine.ready_at <= snapshot.now and self._has_room_for_smallest(machine)
        ]

    def _has_room_for_smallest(self, machine: PlacementMachine) -> bool:
        """Whether the machine has the CPUs and memory of the smallest pending task."""
        return (
            machine.cpus + EPSILON >= self._smallest_cpus
            and machine.memory_gb + EPSILON >= self._smallest_memory_gb
        )

    def run(self) -> Plan:
        """Place as many pending tasks as possible, job by job in scheduling order."""
        plan = self._plan
        for job_index, job in enumerate(self._snapshot.jobs):
            if job.pending_tasks <= 0:
                continue
            max_tasks = min(job.pending_tasks, self._snapshot.teams[job.team].tasks_that_fit(job))
            placed = self._place_job(job_index, job, max_tasks) if max_tasks > 0 else 0
            unplaced = max_tasks - placed
            if unplaced > 0:
                plan.unplaced_tasks[job_index] = unplaced
                plan.wait_reasons.setdefault(job_index, "machines")
                if plan.head is None:
                    self._reserve_for_head(job_index, job, unplaced)
            elif max_tasks < job.pending_tasks:
                plan.wait_reasons[job_index] = "team limit"
        return plan

    def _reserve_for_head(self, job_index: int, job: PlacementJob, unplaced: int) -> None:
        """Make the job the head of the queue and reserve machines for its unplaced tasks."""
        reservations = reserve(self._snapshot, job, self._allowed_zones(job), unplaced)
        self._plan.head = job_index
        self._plan.shadow_time = reservations.shadow_time
        self._reservations = reservations.by_machine

    def _allowed_zones(self, job: PlacementJob) -> set[int]:
        """Return the zones in which another task of the job may start now."""
        return {
            zone for zone in range(self._snapshot.zone_count) if job.tasks_allowed_in_zone(zone) > 0
        }

    def _place_job(self, job_index: int, job: PlacementJob, max_tasks: int) -> int:
        """Place up to `max_tasks` tasks of a job and return how many were placed."""
        zones = self._allowed_zones(job)
        candidates, blocked_by_fetch = self._candidates(job, zones)
        if job.one_zone and not job.tasks_by_zone and candidates:
            candidates = self._in_best_zone(job, candidates, max_tasks)
        placed = self._place_on_candidates(job_index, job, candidates, max_tasks)
        if placed:
            machines = self._snapshot.machines
            self._available_machines = [
                machine_index
                for machine_index in self._available_machines
                if self._has_room_for_smallest(machines[machine_index])
            ]
        if blocked_by_fetch and placed < max_tasks:
            self._plan.wait_reasons[job_index] = "image fetch"
            if self._plan.head is None and self._fetch_limits.requires_idle_zone:
                # A fetch that exceeds the zone limit waits until no other fetch runs in the zone.
                self._fetch_limits.block_zones(zones)
        return placed

    def _candidates(self, job: PlacementJob, zones: set[int]) -> tuple[list[_Candidate], bool]:
        """Return the machines that can take a task of the job, the preferred one first.

        The second value tells whether a fetch limit alone excluded some other machine.
        """
        candidates: list[_Candidate] = []
        blocked_by_fetch = False
        for machine_index in self._available_machines:
            machine = self._snapshot.machines[machine_index]
            if machine.cpus + EPSILON < job.cpus or machine.zone not in zones:
                continue
            if not job.runs_on(machine.machine_type, machine.spot):
                continue
            if machine_index in job.avoided_machines or machine.tasks_that_fit(job) < 1:
                continue
            if self._fetch_limits.allow(job, machine):
                candidates.append(_candidate(job, machine_index, machine))
            else:
                blocked_by_fetch = True
        candidates.sort()
        return candidates, blocked_by_fetch

    def _in_best_zone(
        self, job: PlacementJob, candidates: list[_Candidate], max_tasks: int
    ) -> list[_Candidate]:
        """Return the candidates in the zone that can take the most tasks of the job."""
        machines = self._snapshot.machines
        tasks_by_zone: dict[int, int] = {}
        for *_, machine_index in candidates:
            machine = machines[machine_index]
            fitting = tasks_by_zone.get(machine.zone, 0) + machine.tasks_that_fit(job)
            tasks_by_zone[machine.zone] = fitting
        best = max(tasks_by_zone, key=lambda zone: (min(tasks_by_zone[zone], max_tasks), -zone))
        return [candidate for candidate in candidates if machines[candidate[-1]].zone == best]

    def _place_on_candidates(
        self, job_index: int, job: PlacementJob, candidates: list[_Candidate], max_tasks: int
    ) -> int:
        """Place up to `max_tasks` tasks on the candidates; return how many were placed."""
        # In the first round, machines that must fetch the image get one task each: the fetches
        # run in parallel, and the more machines cache an image, the sooner its next job starts.
        # Services also get one replica per machine, as replicas should run on different machines.
        placed = 0
        second_round: list[int] = []
        for _, delay_s, _, _, machine_index in candidates:
            if placed >= max_tasks:
                return placed
            if job.is_service or (
                delay_s > 0.0 and not self._snapshot.machines[machine_index].scale_in_candidate
            ):
                placed += self._place_on(job_index, job, machine_index, 1)
                second_round.append(machine_index)
            else:
                placed += self._place_on(job_index, job, machine_index, max_tasks - placed)
                if delay_s > 0.0:
                    second_round.append(machine_index)
        for machine_index in second_round:
            if placed >= max_tasks:
                break
            placed += self._place_on(job_index, job, machine_index, max_tasks - placed)
        return placed

    def _place_on(
        self, job_index: int, job: PlacementJob, machine_index: int, max_tasks: int
    ) -> int:
        """Place up to `max_tasks` tasks of a job on a machine; return how many were placed."""
        machine = self._snapshot.machines[machine_index]
        if not self._fetch_limits.allow(job, machine):
            return 0
        expected_end = self._snapshot.now + fetch_delay_s(job, machine) + job.estimate_s
        count = min(max_tasks, machine.tasks_that_fit(job), job.tasks_allowed_in_zone(machine.zone))
        reservation = self._reservations.get(machine_index)
        if reservation is not None:
            count = min(count, reservation.tasks_allowed(job, expected_end))
        if count < 1:
            return 0
        if reservation is not None:
            reservation.allocate_backfilled(job, expected_end, count)
        self._fetch_limits.add_required_fetch(job, machine)
        machine.allocate(job, count)
        team = self._snapshot.teams[job.team]
        team.cpus -= count * job.cpus
        team.gpus -= count * job.gpus
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + count
        self._plan.placements.append(Placement(job_index, machine_index, count))
        return count


def _candidate(job: PlacementJob, machine_index: int, machine: PlacementMachine) -> _Candidate:
    """Return the sort key of a machine for a job.

    Scarce machine types, on which other waiting jobs depend, come last and scale-in candidates
    before them. Then the shortest fetch delay is preferred, then the fullest machine, so that empty
    machines can be released.
    """
    delay_s = round(fetch_delay_s(job, machine), 1)
    # If the image must be fetched, the emptiest machine is preferred: see `_place_on_candidates`.
    # But on scale-in candidates tasks are packed onto few machines, or none of them becomes empty.
    fullest_first = delay_s == 0.0 or machine.scale_in_candidate
    penalty = (
        SCARCE_TYPE_PENALTY * machine.has_scarce_type
        + SCALE_IN_PENALTY * machine.scale_in_candidate
    )
    if job.may_preempt and delay_s > 0.0:
        penalty += FETCH_PENALTY
    # Replicas of a service are spread over machines with equal penalty and delay, so that the loss
    # of a machine stops only one replica.
    replicas = job.replicas_by_machine.get(machine_index, 0)
    packing_key = machine.cpus if fullest_first else -machine.cpus
    return (penalty, delay_s, replicas, packing_key, machine_index)
