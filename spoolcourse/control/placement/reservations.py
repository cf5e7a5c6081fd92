"""The reservations of EASY backfilling: resources kept for the head of the queue.

The head of the queue is the first job that does not fit completely. The shadow time, at which its
first reserved task can start, follows from the expected ends of the running tasks.
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

MAX_RESERVED_TASKS = 64  # the most tasks of the head that get a reservation


class Reservation(FreeResources):
    """The reservation of a machine for tasks of the head of the queue.

    The inherited fields are the resources left free once all these tasks run.
    """

    starts_at: float  # when the last of the reserved tasks can start on this machine

    def tasks_allowed(self, job: PlacementJob, expected_end: float) -> int:
        """Return how many tasks of `job` may run until `expected_end` without delaying the head."""
        if expected_end <= self.starts_at + EPSILON:
            return UNBOUNDED_TASKS
        return self.tasks_that_fit(job)

    def allocate_backfilled(self, job: PlacementJob, expected_end: float, count: int) -> None:
        """Subtract the resources of backfilled tasks, unless they end by `starts_at`."""
        if expected_end > self.starts_at + EPSILON:
            self.allocate(job, count)


@dataclass(slots=True)
class HeadReservations:
    """The reservations for the head of the queue, by machine index."""

    shadow_time: float | None = None  # when the first reserved task can start, if any can
    by_machine: dict[int, Reservation] = field(default_factory=dict)


# A time at which a machine may have room for tasks of the head of the queue: the time, the machine
# index, and how many of the machine's tasks have ended by then. A plain tuple, as each pass builds
# one per machine.
_Event = tuple[float, int, int]


def reserve(snapshot: Snapshot, job: PlacementJob, zones: set[int], tasks: int) -> HeadReservations:
    """Reserve machines for up to `tasks` tasks of `job`, the head of the queue.

    At most `MAX_RESERVED_TASKS` tasks get a reservation. Processes the expected ends of running
    tasks in time order until all tasks to be reserved fit.
    """
    events = _first_events(snapshot, job, zones)
    missing = min(tasks, MAX_RESERVED_TASKS)
    reservations = HeadReservations()
    reserved_tasks: dict[int, int] = {}
    last_start_times: dict[int, float] = {}
    free_by_machine: dict[int, FreeResources] = {}
    while events and missing > 0:
        event_at, machine_index, ended_tasks = heappop(events)
        machine = snapshot.machines[machine_index]
        free = free_by_machine.get(machine_index)
        if free is None:
            free = FreeResources(machine.cpus, machine.gpus, machine.memory_gb)
            free_by_machine[machine_index] = free
        if ended_tasks:
            free.release(machine.tasks[ended_tasks - 1])
        # Services have no expected end: their resources are not reserved for any job.
        if ended_tasks < len(machine.tasks) and machine.tasks[ended_tasks].expected_end < inf:
            next_event_at = max(machine.tasks[ended_tasks].expected_end, event_at)
            heappush(events, (next_event_at, machine_index, ended_tasks + 1))
        count = min(free.tasks_that_fit(job), missing)
        if count <= 0:
            continue
        free.allocate(job, count)
        missing -= count
        if reservations.shadow_time is None:
            reservations.shadow_time = event_at
        reserved_tasks[machine_index] = reserved_tasks.get(machine_index, 0) + count
        last_start_times[machine_index] = event_at
    for machine_index, count in reserved_tasks.items():
        starts_at = last_start_times[machine_index]
        reservations.by_machine[machine_index] = _reservation(
            snapshot.machines[machine_index], job, starts_at, count
        )
    return reservations


def _first_events(snapshot: Snapshot, job: PlacementJob, zones: set[int]) -> list[_Event]:
    """Return a heap of the earliest time at which each machine may take tasks of `job`."""
    events: list[_Event] = []
    now = snapshot.now
    for machine_index, machine in enumerate(snapshot.machines):
        if machine.zone not in zones or machine_index in job.avoided_machines:
            continue
        if not job.runs_on(machine.machine_type, machine.spot):
            continue
        # A task fits although none was placed: the machine boots, or a fetch limit excluded it.
        if machine.tasks_that_fit(job):
            events.append((max(machine.ready_at, now), machine_index, 0))
        elif machine.tasks and machine.tasks[0].expected_end < inf:
            events.append((max(machine.tasks[0].expected_end, now), machine_index, 1))
    heapify(events)
    return events


def _reservation(
    machine: PlacementMachine, job: PlacementJob, starts_at: float, count: int
) -> Reservation:
    """Build a machine's reservation for `count` tasks of `job`, the head of the queue."""
    reservation = Reservation(machine.cpus, machine.gpus, machine.memory_gb, starts_at=starts_at)
    for task in machine.tasks:
        if task.expected_end <= starts_at + EPSILON:
            reservation.release(task)
    reservation.allocate(job, count)
    return reservation
