"""Whether another machine can take a replica of a service, once the replica here is gone.

Asked before something is done that costs a replica its machine: an early deletion, or a move on
a termination notice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import MachineType, fits
from spoolcourse.wire.settings import Workers

LATE_S = 1.0  # for a heartbeat on its way, and for this process to get round to it


class ReplicaPlaces:
    """Looks for machines that are up, were heard of lately and have room for a replica."""

    def __init__(
        self,
        registry: WorkerRegistry,
        workers: Workers,
        clock: Callable[[], float],
        machine_types: Callable[[], dict[str, MachineType]],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._machine_types = machine_types
        self.late_s = workers.heartbeat_gap_s + LATE_S

    def has_place_elsewhere(self, replica: Attempt) -> bool:
        """Whether some other machine takes the replica under the rules of any start.

        Work of lower rank does not count: it is stopped for a replica.
        """
        now = self._clock()
        types = self._machine_types()
        for machine in self._registry.machines.values():
            if machine.id == replica.machine or not machine.is_schedulable:
                continue
            machine_type = types.get(machine.machine_type or "")
            if machine_type is None or machine.is_overdue(now, self.late_s):
                continue
            if _takes(machine, machine_type, replica.job_state) and self._zone_takes(
                replica, machine
            ):
                return True
        return False

    def _zone_takes(self, replica: Attempt, machine: Machine) -> bool:
        """Zone rules, with all attempts but the replica's own counted."""
        submission = replica.job_state.record.submission
        zones = Counter(
            host.zone
            for attempt in replica.job_state.attempts.values()
            if attempt is not replica
            and (host := self._registry.machines.get(attempt.machine)) is not None
        )
        if submission.one_zone and any(zone != machine.zone for zone in zones):
            return False
        most_in_a_zone = -(-submission.task_count // 2)
        return not submission.spread_over_zones or zones[machine.zone] < most_in_a_zone


def replicas_on(machine: Machine) -> list[Attempt]:
    """Replicas of live services that may be running there."""
    return [
        attempt
        for attempt in machine.attempts.values()
        if attempt.job_state.record.submission.is_service
        and not attempt.job_state.record.cancelled
        and not attempt.never_sent
    ]


def _takes(machine: Machine, machine_type: MachineType, job_state: JobState) -> bool:
    """Whether the job may run there, and what stays leaves room for one task of it."""
    submission = job_state.record.submission
    if not fits(submission, machine_type) or (machine.spot and not submission.spot_allowed):
        return False
    if submission.zone not in (None, machine.zone):
        return False
    rank = submission.rank_number
    staying = [
        attempt.job_state.record.submission
        for attempt in machine.attempts.values()
        if attempt.job_state.record.submission.rank_number <= rank
    ]
    return (
        sum(other.cpus for other in staying) + submission.cpus <= machine_type.cpus
        and sum(other.gpus for other in staying) + submission.gpus <= machine_type.gpus
        and sum(other.memory_gb for other in staying) + submission.memory_gb
        <= machine_type.memory_gb
    )
