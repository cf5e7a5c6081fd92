"""Converts the leader's state into the dense snapshot that the placement pass reads."""

from __future__ import annotations

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.placement.model import PlacementMachine, Snapshot
from spoolcourse.control.scheduling.job_order import JobOrder, order_jobs
from spoolcourse.control.scheduling.name_index import NameIndex, SnapshotIndices
from spoolcourse.control.scheduling.placement_jobs import PassContext, PlacementJobBuilder
from spoolcourse.control.scheduling.scarce_machine_types import ScarceMachineTypes
from spoolcourse.control.scheduling.snapshot_cache import SnapshotCache
from spoolcourse.control.scheduling.team_budgets import team_budgets
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import ListedMachineStage, MachineType
from spoolcourse.wire.settings import DeploymentSettings

MIN_REMAINING_BOOT_S = 1.0  # a booting machine is assumed to need at least this much longer


class SnapshotBuilder:
    """Builds the snapshots, and maps the indices in the latest one back to jobs and machines."""

    def __init__(
        self,
        job_queue: JobQueue,
        registry: WorkerRegistry,
        params: DeploymentSettings,
        policy: Policy,
    ) -> None:
        self._job_queue = job_queue
        self._registry = registry
        self._team_settings = params.teams
        self._policy = policy
        self.indices = SnapshotIndices(
            teams=NameIndex(team.name for team in params.teams), zones=NameIndex(params.zones)
        )
        self._placement_job_builder = PlacementJobBuilder(
            self.indices, registry, params.objectives, policy
        )
        self._snapshot_cache = SnapshotCache(self.indices, policy)
        self._scarce_types = ScarceMachineTypes(policy)
        # Jobs and machines of the latest snapshot, by their indices in it.
        self._order = JobOrder([], set(), set())
        self.machines: list[Machine] = []

    @property
    def job_states(self) -> list[JobState]:
        """The jobs of the latest snapshot, by index."""
        return self._order.job_states

    @property
    def starved_jobs(self) -> set[str]:
        """IDs of the jobs in the latest snapshot that are starved; see `JobOrder`."""
        return self._order.starved_jobs

    def is_scarce_type(self, machine_type: str, now: float) -> bool:
        """Whether some recent job could use this type, but not all types."""
        return self._scarce_types.is_scarce_type(machine_type, now)

    def attempts(self, attempt_numbers: list[int]) -> list[Attempt]:
        """Return the attempts with these numbers on the snapshot's machines, in the same order."""
        searched_numbers = set(attempt_numbers)
        by_number = {
            attempt.number: attempt
            for machine in self.machines
            for attempt in machine.attempts.values()
            if attempt.number in searched_numbers
        }
        return [by_number[number] for number in attempt_numbers]

    def build_snapshot(self, now: float, machine_types: dict[str, MachineType]) -> Snapshot:
        """Build the snapshot of the current state."""
        jobs = self._job_queue.jobs
        self._order = order_jobs(
            jobs.values(), self._team_settings, self.indices.teams, self._policy, now
        )
        self._snapshot_cache.update_guarantees(self._order.within_guarantee, jobs)
        self._scarce_types.update(jobs.values(), machine_types, now)
        machines = self._placement_machines(now, machine_types)
        context = PassContext(
            now=now,
            boot_s=max(
                (machine_type.boot_s for machine_type in machine_types.values()), default=0.0
            ),
            machine_indices={machine.id: index for index, machine in enumerate(self.machines)},
            within_guarantee=self._order.within_guarantee,
            starved_jobs=self._order.starved_jobs,
        )
        return Snapshot(
            now=now,
            jobs=[
                self._placement_job_builder.placement_job(job_state, context)
                for job_state in self.job_states
            ],
            machines=machines,
            teams=team_budgets(
                self._team_settings, self.indices.teams, self._job_queue, self._registry
            ),
            zone_count=len(self.indices.zones),
            fetches_per_machine=int(self._policy.node_fetches),
            fetches_per_zone=int(self._policy.zone_fetches),
        )

    def _placement_machines(
        self, now: float, machine_types: dict[str, MachineType]
    ) -> list[PlacementMachine]:
        """Return the available machines for a snapshot, and set `machines` to the same ones."""
        scarce_types = {name for name in machine_types if self.is_scarce_type(name, now)}
        self._snapshot_cache.remove_missing(self._registry.machines)
        self.machines = []
        placement_machines: list[PlacementMachine] = []
        for machine in self._registry.machines.values():
            machine_type = machine_types.get(machine.machine_type or "")
            if machine_type is None or not self._is_available(machine, now):
                continue
            placement_machine = self._snapshot_cache.placement_machine(
                machine, machine_type, self._job_queue.jobs, now, machine_type.name in scarce_types
            )
            if machine.last_heartbeat_at is None and machine.expected_ready_at is not None:
                # An overdue machine may boot much later than expected, or never.
                overdue_s = max(0.0, now - machine.expected_ready_at)
                placement_machine.ready_at = now + max(
                    machine.expected_ready_at - now, MIN_REMAINING_BOOT_S + overdue_s
                )
            placement_machines.append(placement_machine)
            self.machines.append(machine)
        return placement_machines

    def _is_available(self, machine: Machine, now: float) -> bool:
        """Whether the machine accepts tasks now, or will once it has booted."""
        if machine.last_heartbeat_at is None and machine.expected_ready_at is not None:
            return (
                not machine.deletion_requested
                and machine.listed_stage is not ListedMachineStage.FAILED
            )
        placeable = machine.is_schedulable and machine.start_refused_until <= now
        return placeable and not self._registry.is_suspect(machine)
