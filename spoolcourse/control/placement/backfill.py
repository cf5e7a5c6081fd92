"""EASY backfilling with bin packing, and with image fetches booked on machine and zone.

Jobs are served in the order given. The first one that does not fit as a whole is the head of
the queue: its shadow time, when it can start, is computed from the running tasks' expected ends.
A later job may start now only if it leaves the head's start as it is.

A job that waits only for its team's limit is not the head: machines reserved for it would stay
idle without helping it.
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

# A machine that can take a task. Sorts by preference, the best one first: its group, seconds of
# fetching, replicas of the same service on it, free CPUs (negated where the emptiest machine comes
# first), and its index. A plain tuple: many are built and sorted in each pass.
_Candidate = tuple[int, float, int, float, int]

# Groups of machines, summed: a lower sum is used first.
SCARCE_TYPE_GROUP = 1  # other jobs depend on this machine type
SCALE_IN_GROUP = 2  # should run empty
FETCH_GROUP = 4  # for a job that may preempt: people wait, so an image at hand counts most


def place(snapshot: Snapshot) -> Plan:
    """Run the placement pass. Uses up the snapshot; no I/O, no clock."""
    return BackfillPass(snapshot).run()


class BackfillPass:
    """One pass over a snapshot, which it uses up."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._plan = Plan()
        self._reservations: dict[int, Reservation] = {}
        self._fetch_limits = FetchLimits(snapshot)
        # Only machines with room for the smallest task are looked at: with a backlog
        # nearly all are full, and a pass must not cost fleet times backlog.
        waiting = [job for job in snapshot.jobs if job.pending_tasks > 0]
        self._smallest_cpus = min((job.cpus for job in waiting), default=0.0)
        self._smallest_memory_gb = min((job.memory_gb for job in waiting), default=0.0)
        self._open_machines = [
            number
            for number, machine in enumerate(snapshot.machines)
            if machine.ready_at <= snapshot.now and self._has_room_for_smallest(machine)
        ]

    def _has_room_for_smallest(self, machine: PlacementMachine) -> bool:
        return (
            machine.cpus + EPSILON >= self._smallest_cpus
            and machine.memory_gb + EPSILON >= self._smallest_memory_gb
        )

    def run(self) -> Plan:
        """Place what can be placed, in the order of service."""
        plan = self._plan
        for index, job in enumerate(self._snapshot.jobs):
            if job.pending_tasks <= 0:
                continue
            allowed = min(job.pending_tasks, self._snapshot.teams[job.team].tasks_that_fit(job))
            placed = self._place_job(index, job, allowed) if allowed > 0 else 0
            unplaced = allowed - placed
            if unplaced > 0:
                plan.unplaced_tasks[index] = unplaced
                plan.wait_reasons.setdefault(index, "machines")
                if plan.head is None:
                    self._reserve_for_head(index, job, unplaced)
            elif allowed < job.pending_tasks:
                plan.wait_reasons[index] = "team limit"
        return plan

    def _reserve_for_head(self, index: int, job: PlacementJob, unplaced: int) -> None:
        reservations = reserve(self._snapshot, job, self._allowed_zones(job), unplaced)
        self._plan.head = index
        self._plan.shadow_time = reservations.shadow_time
        self._reservations = reservations.by_machine

    def _allowed_zones(self, job: PlacementJob) -> set[int]:
        """Zones in which another task of the job may start now."""
        return {
            zone for zone in range(self._snapshot.zone_count) if job.tasks_allowed_in_zone(zone) > 0
        }

    def _place_job(self, index: int, job: PlacementJob, wanted: int) -> int:
        """Place up to so many tasks where they fit; returns how many were placed."""
        zones = self._allowed_zones(job)
        candidates, blocked_by_fetch = self._candidates(job, zones)
        if job.one_zone and not job.tasks_by_zone and candidates:
            candidates = self._in_best_zone(job, candidates, wanted)
        placed = self._place_on_candidates(index, job, candidates, wanted)
        if placed:
            machines = self._snapshot.machines
            self._open_machines = [
                number
                for number in self._open_machines
                if self._has_room_for_smallest(machines[number])
            ]
        if blocked_by_fetch and placed < wanted:
            self._plan.wait_reasons[index] = "image fetch"
            if self._plan.head is None and self._fetch_limits.need_quiet_zone:
                # A fetch larger than the limit waits until its zone is quiet.
                self._fetch_limits.close_zones(zones)
        return placed

    def _candidates(self, job: PlacementJob, zones: set[int]) -> tuple[list[_Candidate], bool]:
        """Machines that can take a task of the job, the best first.

        Also whether others could, if one more image fetch were allowed there.
        """
        candidates: list[_Candidate] = []
        blocked_by_fetch = False
        for number in self._open_machines:
            machine = self._snapshot.machines[number]
            if machine.cpus + EPSILON < job.cpus or machine.zone not in zones:
                continue
            if not job.runs_on(machine.machine_type, machine.spot):
                continue
            if number in job.avoided_machines or machine.tasks_that_fit(job) < 1:
                continue
            if self._fetch_limits.allow(job, machine):
                candidates.append(_candidate(job, number, machine))
            else:
                blocked_by_fetch = True
        candidates.sort()
        return candidates, blocked_by_fetch

    def _in_best_zone(
        self, job: PlacementJob, candidates: list[_Candidate], wanted: int
    ) -> list[_Candidate]:
        """The candidates of the zone that takes most of the job."""
        machines = self._snapshot.machines
        tasks_by_zone: dict[int, int] = {}
        for *_, number in candidates:
            machine = machines[number]
            fitting = tasks_by_zone.get(machine.zone, 0) + machine.tasks_that_fit(job)
            tasks_by_zone[machine.zone] = fitting
        best = max(tasks_by_zone, key=lambda zone: (min(tasks_by_zone[zone], wanted), -zone))
        return [candidate for candidate in candidates if machines[candidate[-1]].zone == best]

    def _place_on_candidates(
        self, index: int, job: PlacementJob, candidates: list[_Candidate], wanted: int
    ) -> int:
        # Machines that must fetch the image get one task each at first: the fetches run
        # side by side, and the more machines have an image, the sooner its next job starts.
        # So do replicas, which should run on different machines.
        placed = 0
        second_round: list[int] = []
        for _, delay_s, _, _, number in candidates:
            if placed >= wanted:
                return placed
            if job.is_service or (
                delay_s > 0.0 and not self._snapshot.machines[number].scale_in_candidate
            ):
                placed += self._place_on(index, job, number, 1)
                second_round.append(number)
            else:
                placed += self._place_on(index, job, number, wanted - placed)
                if delay_s > 0.0:
                    second_round.append(number)
        for number in second_round:
            if placed >= wanted:
                break
            placed += self._place_on(index, job, number, wanted - placed)
        return placed

    def _place_on(self, index: int, job: PlacementJob, number: int, wanted: int) -> int:
        """Place up to so many tasks on a machine; returns how many were placed."""
        machine = self._snapshot.machines[number]
        if not self._fetch_limits.allow(job, machine):
            return 0
        expected_end = self._snapshot.now + fetch_delay_s(job, machine) + job.estimate_s
        count = min(wanted, machine.tasks_that_fit(job), job.tasks_allowed_in_zone(machine.zone))
        reservation = self._reservations.get(number)
        if reservation is not None:
            count = min(count, reservation.tasks_allowed(job, expected_end))
        if count < 1:
            return 0
        if reservation is not None:
            reservation.book_backfilled(job, expected_end, count)
        self._fetch_limits.book(job, machine)
        machine.book(job, count)
        team = self._snapshot.teams[job.team]
        team.cpus -= count * job.cpus
        team.gpus -= count * job.gpus
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + count
        self._plan.placements.append(Placement(index, number, count))
        return count


def _candidate(job: PlacementJob, number: int, machine: PlacementMachine) -> _Candidate:
    """Rank a machine for a job.

    Machine types that other waiting jobs depend on come last, before them those that should run
    empty; then a short fetch counts; then the fullest machine, for empty ones can be returned.
    """
    delay_s = round(fetch_delay_s(job, machine), 1)
    # Where the image has to be fetched, the emptiest comes first: see `_place_on_candidates`. But
    # what is left for scale-in candidates is gathered on few, or none of them runs empty.
    fullest_first = delay_s == 0.0 or machine.scale_in_candidate
    group = (
        SCARCE_TYPE_GROUP * machine.has_scarce_type + SCALE_IN_GROUP * machine.scale_in_candidate
    )
    if job.may_preempt and delay_s > 0.0:
        group += FETCH_GROUP
    # Replicas of a service run on different machines where that costs nothing, so that
    # the loss of one machine stops one of them.
    replicas = job.replicas_by_machine.get(number, 0)
    packing_key = machine.cpus if fullest_first else -machine.cpus
    return (group, delay_s, replicas, packing_key, number)
