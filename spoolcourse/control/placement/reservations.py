"""The reservation of EASY backfilling: what is kept for the head of the queue, and from when.

The running tasks' expected ends give the shadow time: the moment at which the head can start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import inf

from spoolcourse.control.placement.model import (
    EPSILON,
    UNBOUNDED_TASKS,
    FreeResources,
    PlacementJob,
    PlacementMachine,
    Snapshot,
)

RESERVED_MAX = 64  # tasks of the head that are protected


class Reservation(FreeResources):
    """What a machine has left beside the head's tasks, from the time on at which they start."""

    starts_at: float

    def tasks_allowed(self, job: PlacementJob, expected_end: float) -> int:
        """How many tasks of the job that end then leave the head's start as it is."""
        if expected_end <= self.starts_at + EPSILON:
            return UNBOUNDED_TASKS
        return self.tasks_that_fit(job)

    def book_backfilled(self, job: PlacementJob, expected_end: float, count: int) -> None:
        """Book tasks of the job; those that end before the reservation starts need nothing."""
        if expected_end > self.starts_at + EPSILON:
            self.book(job, count)


@dataclass(slots=True)
class HeadReservations:
    """The reservations for the head, by machine, and when its first reserved task starts."""

    shadow_time: float | None = None
    by_machine: dict[int, Reservation] = field(default_factory=dict)


# A moment at which a machine may take tasks of the head: the time, the machine, and how many of
# its tasks have ended by then. A plain tuple: there is one for each machine in each pass.
_Event = tuple[float, int, int]


def reserve(snapshot: Snapshot, job: PlacementJob, zones: set[int], tasks: int) -> HeadReservations:
    """Reserve machines for the next tasks of the head: `RESERVED_MAX` at most.

    Walks through the expected ends in order of time until that many tasks fit.
    """
    events = _first_events(snapshot, job, zones)
    missing = min(tasks, RESERVED_MAX)
    reservations = HeadReservations()
    reserved_tasks: dict[int, int] = {}
    last_starts: dict[int, float] = {}
    free_by_machine: dict[int, FreeResources] = {}
    while events and missing > 0:
        at, number, ended = heappop(events)
        machine = snapshot.machines[number]
        free = free_by_machine.get(number)
        if free is None:
            free = FreeResources(machine.cpus, machine.gpus, machine.memory_gb)
            free_by_machine[number] = free
        if ended:
            free.release(machine.tasks[ended - 1])
        # Services have no end: what they hold is promised to no job.
        if ended < len(machine.tasks) and machine.tasks[ended].expected_end < inf:
            next_at = max(machine.tasks[ended].expected_end, at)
            heappush(events, (next_at, number, ended + 1))
        count = min(free.tasks_that_fit(job), missing)
        if count <= 0:
            continue
        free.book(job, count)
        missing -= count
        if reservations.shadow_time is None:
            reservations.shadow_time = at
        reserved_tasks[number] = reserved_tasks.get(number, 0) + count
        last_starts[number] = at
    for number, count in reserved_tasks.items():
        starts_at = last_starts[number]
        reservations.by_machine[number] = _reservation(
            snapshot.machines[number], job, starts_at, count
        )
    return reservations


def _first_events(snapshot: Snapshot, job: PlacementJob, zones: set[int]) -> list[_Event]:
    """A heap of each machine's first moment at which it may take tasks of the head."""
    events: list[_Event] = []
    now = snapshot.now
    for number, machine in enumerate(snapshot.machines):
        if machine.zone not in zones or number in job.avoided_machines:
            continue
        if not job.runs_on(machine.machine_type, machine.spot):
            continue
        if machine.tasks_that_fit(job):  # it boots, or the head waits for a fetch there
            events.append((max(machine.ready_at, now), number, 0))
        elif machine.tasks and machine.tasks[0].expected_end < inf:
            events.append((max(machine.tasks[0].expected_end, now), number, 1))
    heapify(events)
    return events


def _reservation(
    machine: PlacementMachine, job: PlacementJob, starts_at: float, count: int
) -> Reservation:
    """The reservation for so many tasks of the head on a machine."""
    reservation = Reservation(machine.cpus, machine.gpus, machine.memory_gb, starts_at=starts_at)
    for task in machine.tasks:
        if task.expected_end <= starts_at + EPSILON:
            reservation.release(task)
    reservation.book(job, count)
    return reservation
