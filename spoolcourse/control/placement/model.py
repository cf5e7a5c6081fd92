"""The placement model: what a placement pass reads (the snapshot) and returns (the plan).

Terms of a placement pass:

- Scheduling order: the order in which a pass considers the jobs.
- Head of the queue: the first job in that order with pending tasks that no machine can take now.
- Shadow time: when the first of the head's reserved tasks can start. It follows from the expected
  ends of the running tasks.
- Guarantee: the CPUs and GPUs that the settings promise to a team. A job is within the guarantee
  if its unfinished tasks fit into it together with those of the team's earlier jobs.
- Scarce machine type: one that some recent job can use, while that job can't use all types.
- Scale-in candidate: an on-demand machine beyond recent demand, to be emptied and released.

Machines, jobs, teams, zones, machine types and images are dense indices here. Times are seconds
on the leader's clock, durations are in seconds, memory and image sizes in GB; CPU counts may be
fractional.

Records of which a snapshot has thousands are `msgspec.Struct`s: constructing one with keywords
takes a quarter of the processor time of a dataclass.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

import msgspec

EPSILON = 1e-6  # absolute tolerance for resources and times, which are sums of floats
MIN_FETCH_GB_PER_S = 1e-3  # used for machine types whose configured rate is 0
UNBOUNDED_TASKS = 100_000  # task count that means "no limit": no job has more tasks


def tasks_that_fit(cpus: float, gpus: float, memory_gb: float, job: PlacementJob) -> int:
    """Return how many tasks of the job fit into the given free resources."""
    count: float = UNBOUNDED_TASKS
    if job.cpus > 0:
        count = min(count, (cpus + EPSILON) // job.cpus)
    if job.memory_gb > 0:
        count = min(count, (memory_gb + EPSILON) // job.memory_gb)
    if job.gpus > 0:
        count = min(count, (gpus + EPSILON) // job.gpus)
    return int(count) if count > 0 else 0


def tasks_within_limit(free: float, per_task: float) -> int:
    """Return how many tasks fit into the free part of a limit; infinity means no limit."""
    if per_task <= 0 or free == inf:
        return UNBOUNDED_TASKS
    return max(0, int((free + EPSILON) // per_task))


class RunningTask(msgspec.Struct):
    """An attempt on a machine; it uses the machine's resources until about `expected_end`."""

    expected_end: float  # infinite for a service
    cpus: float
    gpus: float
    memory_gb: float
    attempt_number: int = -1
    rank: int = 0  # 0 is the highest
    team: int = 0
    # CPU seconds lost if the task is stopped; used only if `unsaved_since` is None.
    checkpoint_loss_cpu_s: float = 0.0
    stopping: bool = False  # the leader has already decided to stop it
    # Its job is within the team's guarantee, or it is exempt from preemption: no job of the same
    # rank may preempt it.
    within_guarantee: bool = False
    unsaved_since: float | None = None  # if stopped, all work since then is lost

    def loss_cpu_s(self, now: float) -> float:
        """CPU seconds of work that are lost if the task is stopped."""
        if self.unsaved_since is None:
            return self.checkpoint_loss_cpu_s
        return self.cpus * (now - self.unsaved_since)


class FreeResources(msgspec.Struct):
    """The free resources of one machine, into which tasks are packed."""

    cpus: float
    gpus: float
    memory_gb: float

    def tasks_that_fit(self, job: PlacementJob) -> int:
        """Return how many tasks of the job fit."""
        return tasks_that_fit(self.cpus, self.gpus, self.memory_gb, job)

    def release(self, task: RunningTask) -> None:
        """Add the resources of a task that has ended."""
        self.cpus += task.cpus
        self.gpus += task.gpus
        self.memory_gb += task.memory_gb

    def allocate(self, job: PlacementJob, count: int) -> None:
        """Subtract the resources of `count` tasks of the job."""
        self.cpus -= count * job.cpus
        self.gpus -= count * job.gpus
        self.memory_gb -= count * job.memory_gb


class PlacementMachine(FreeResources, kw_only=True):
    """A machine in a snapshot; the inherited fields are its free resources."""

    machine_type: int
    zone: int
    spot: bool
    total_cpus: float
    fetch_gb_per_s: float
    cached_images: set[int] = msgspec.field(default_factory=set)
    remaining_fetch_gb: dict[int, float] = msgspec.field(default_factory=dict)  # estimate, by image
    tasks: list[RunningTask] = msgspec.field(default_factory=list)  # sorted by expected end
    ready_at: float = 0.0  # when the machine can take tasks; in the future while it boots
    scale_in_candidate: bool = False  # to be emptied and released
    has_scarce_type: bool = False  # some recent job can use this type, but not all types
    cpus_being_freed: float = 0.0  # by tasks that are being stopped; also the next two
    gpus_being_freed: float = 0.0
    memory_gb_being_freed: float = 0.0

    def expect_release(self, task: RunningTask) -> None:
        """Add the resources of a task that is being stopped to those being freed."""
        self.cpus_being_freed += task.cpus
        self.gpus_being_freed += task.gpus
        self.memory_gb_being_freed += task.memory_gb


class PlacementJob(msgspec.Struct):
    """A job in a snapshot."""

    pending_tasks: int  # tasks that the pass may place
    cpus: float  # per task; also the next two
    gpus: float
    memory_gb: float
    image: int
    image_gb: float
    team: int
    estimate_s: float  # expected run time of a task; infinite for a service
    machine_types: frozenset[int] | None = None  # None: any
    zone: int | None = None  # None: any
    spot_allowed: bool = True  # on spot machines, besides on-demand ones
    one_zone: bool = False  # all its tasks must run in the same zone
    max_tasks_per_zone: int | None = None  # None: no limit
    tasks_by_zone: dict[int, int] = msgspec.field(default_factory=dict)  # tasks that may be running
    tasks_in_unknown_zones: int = 0  # tasks on machines whose zone is unknown
    avoided_machines: frozenset[int] = frozenset()  # machines on which it failed recently
    rank: int = 2  # 0 is the highest
    may_preempt: bool = False  # running tasks may be preempted for it
    within_guarantee: bool = False  # of its team; defined in the module docstring
    replicas_by_machine: dict[int, int] = msgspec.field(default_factory=dict)  # if it is a service
    is_service: bool = False
    on_demand_from: float = 0.0  # time from which on-demand machines may be provisioned for it

    def runs_on(self, machine_type: int, spot: bool) -> bool:
        """Whether the job may run on spot or on-demand machines of this type."""
        return (self.machine_types is None or machine_type in self.machine_types) and (
            self.spot_allowed or not spot
        )

    def is_bound_to_another_zone(self, zone: int) -> bool:
        """Whether the job is limited to one zone and already has tasks in another."""
        return self.one_zone and any(
            count for other, count in self.tasks_by_zone.items() if other != zone
        )

    def tasks_allowed_in_zone(self, zone: int) -> int:
        """Return how many more tasks of the job may start in the zone now.

        Tasks on machines whose zone is unknown may be anywhere, so they count against every zone.
        """
        if self.zone not in (None, zone) or self.is_bound_to_another_zone(zone):
            return 0
        if self.one_zone and self.tasks_in_unknown_zones:
            return 0
        if self.max_tasks_per_zone is not None:
            in_zone = self.tasks_by_zone.get(zone, 0)
            return max(0, self.max_tasks_per_zone - in_zone - self.tasks_in_unknown_zones)
        return UNBOUNDED_TASKS


@dataclass(slots=True)
class TeamBudget:
    """Resources that a team may still use under its limits; infinite without a limit."""

    cpus: float
    gpus: float
    cpus_over_guarantee: float = 0.0  # CPUs in use beyond the guarantee; negative below it

    def tasks_that_fit(self, job: PlacementJob) -> int:
        """Return how many more tasks of the job the limits allow."""
        return min(tasks_within_limit(self.cpus, job.cpus), tasks_within_limit(self.gpus, job.gpus))


@dataclass(slots=True)
class Snapshot:
    """The input of a pass. A pass modifies it: it subtracts the resources of placed tasks."""

    now: float
    jobs: list[PlacementJob]  # in scheduling order
    machines: list[PlacementMachine]
    teams: list[TeamBudget]
    zone_count: int
    fetches_per_machine: int  # limit on concurrent image fetches; also the next one
    fetches_per_zone: int


@dataclass(slots=True)
class Placement:
    """A number of tasks of a job to start on a machine."""

    job: int  # index in the snapshot
    machine: int  # index in the snapshot
    task_count: int


@dataclass(slots=True)
class Plan:
    """The result of a pass. Jobs and machines are indices into the snapshot's lists."""

    placements: list[Placement] = field(default_factory=list)
    head: int | None = None  # the head of the queue; None if no job waits for machines
    shadow_time: float | None = None  # of the head; None if there is none or it can't be predicted
    unplaced_tasks: dict[int, int] = field(default_factory=dict)  # by job: tasks that need machines
    wait_reasons: dict[int, str] = field(default_factory=dict)  # by job: shown in /status
