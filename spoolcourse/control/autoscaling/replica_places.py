"""Checks whether a replica of a service could run on a machine other than its current one.

The check precedes actions that take the machine from a replica: an early deletion, or a move after
a termination notice of the cloud.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import MachineType, task_fits
from spoolcourse.wire.settings import WorkerSettings

HEARTBEAT_TRANSIT_S = 1.0  # including the wait until this process handles the heartbeat


class ReplicaPlaces:
    """Finds machines that are up, have reported recently and have room for a replica."""

    def __init__(
        self,
        registry: WorkerRegistry,
        workers: WorkerSettings,
        clock: Callable[[], float],
        machine_types: Callable[[], dict[str, MachineType]],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._machine_types = machine_types
        # A machine is late if the age of its last heartbeat exceeds this.
        self.late_after_s = workers.max_heartbeat_interval_s + HEARTBEAT_TRANSIT_S

    def can_run_elsewhere(self, replica: Attempt) -> bool:
        """Whether the replica could be started on some other machine now.

        Work of lower rank does not count: it is preempted for a replica.
        """
        now = self._clock()
        machine_types = self._machine_types()
        for machine in self._registry.machines.values():
            if machine.id == replica.machine or not machine.is_schedulable:
                continue
            machine_type = machine_types.get(machine.machine_type or "")
            if machine_type is None or machine.is_overdue(now, self.late_after_s):
                continue
            if not _has_room_for(replica.job_state, machine, machine_type):
                continue
            if self._is_zone_allowed(replica, machine):
                return True
        return False

    def _is_zone_allowed(self, replica: Attempt, machine: Machine) -> bool:
        """Whether the zone rules allow the machine, counting all attempts but the replica's own."""
        submission = replica.job_state.record.submission
        attempts_by_zone = Counter(
            other.zone
            for attempt in replica.job_state.attempts.values()
            if attempt is not replica
            and (other := self._registry.machines.get(attempt.machine)) is not None
        )
        if submission.one_zone and any(zone != machine.zone for zone in attempts_by_zone):
            return False
        max_per_zone = -(-submission.task_count // 2)
        return not submission.spread_over_zones or attempts_by_zone[machine.zone] < max_per_zone


def replicas_on(machine: Machine) -> list[Attempt]:
    """Return the replicas of live services that may be running on the machine."""
    return [
        attempt
        for attempt in machine.attempts.values()
        if attempt.job_state.record.submission.is_service
        and not attempt.job_state.record.cancelled
        and not attempt.cannot_start
    ]


def _has_room_for(job_state: JobState, machine: Machine, machine_type: MachineType) -> bool:
    """Whether the job may run on the machine, and one task fits beside work it can't preempt."""
    submission = job_state.record.submission
    if not task_fits(submission, machine_type) or (machine.spot and not submission.spot_allowed):
        return False
    if submission.zone not in (None, machine.zone):
        return False
    rank = submission.rank_number
    not_preempted = [
        attempt.job_state.record.submission
        for attempt in machine.attempts.values()
        if attempt.job_state.record.submission.rank_number <= rank
    ]
    return (
        sum(other.cpus for other in not_preempted) + submission.cpus <= machine_type.cpus
        and sum(other.gpus for other in not_preempted) + submission.gpus <= machine_type.gpus
        and sum(other.memory_gb for other in not_preempted) + submission.memory_gb
        <= machine_type.memory_gb
    )
