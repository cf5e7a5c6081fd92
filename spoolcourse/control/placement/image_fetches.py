"""Image fetches in a placement pass: their expected delay and the limits on concurrent ones.

A machine fetches the image of a task before it runs the task, and then caches the image.
"""

from __future__ import annotations

from spoolcourse.control.placement.model import (
    MIN_FETCH_GB_PER_S,
    PlacementJob,
    PlacementMachine,
    Snapshot,
)


def needs_fetch(job: PlacementJob, machine: PlacementMachine) -> bool:
    """Whether the job has an image that is neither cached nor being fetched on the machine."""
    return (
        job.image_gb > 0
        and job.image not in machine.cached_images
        and job.image not in machine.remaining_fetch_gb
    )


def fetch_delay_s(job: PlacementJob, machine: PlacementMachine) -> float:
    """Return how long a task placed on the machine now waits for its image.

    A machine fetches its images one after another.
    """
    if job.image_gb <= 0 or job.image in machine.cached_images:
        return 0.0
    gb_per_s = max(machine.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    queued_gb = sum(machine.remaining_fetch_gb.values())
    if job.image in machine.remaining_fetch_gb:
        return queued_gb / gb_per_s
    return (queued_gb + job.image_gb) / gb_per_s


class FetchLimits:
    """Counts the fetches that run or are planned, against the limits per machine and per zone."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._per_machine = max(snapshot.fetches_per_machine, 1)
        self._per_zone = snapshot.fetches_per_zone
        self._running_by_zone = [0] * snapshot.zone_count
        self._blocked_zones: set[int] = set()
        for machine in snapshot.machines:
            self._running_by_zone[machine.zone] += len(machine.remaining_fetch_gb)

    @property
    def requires_idle_zone(self) -> bool:
        """Whether the zone limit is below one; a fetch then starts only if its zone has none."""
        return self._per_zone < 1

    def allow(self, job: PlacementJob, machine: PlacementMachine) -> bool:
        """Whether a task of the job may start on the machine as far as fetches are concerned.

        It may if it needs no new fetch there, or if the limits allow one more.
        """
        if not needs_fetch(job, machine):
            return True
        if (
            machine.zone in self._blocked_zones
            or len(machine.remaining_fetch_gb) >= self._per_machine
        ):
            return False
        running = self._running_by_zone[machine.zone]
        if self.requires_idle_zone:
            return running == 0
        return running < self._per_zone

    def add_required_fetch(self, job: PlacementJob, machine: PlacementMachine) -> None:
        """Count the fetch that starting a task of the job on the machine requires, if any."""
        if needs_fetch(job, machine):
            machine.remaining_fetch_gb[job.image] = job.image_gb
            self._running_by_zone[machine.zone] += 1

    def block_zones(self, zones: set[int]) -> None:
        """Allow no further fetches in these zones during this pass."""
        self._blocked_zones |= zones
