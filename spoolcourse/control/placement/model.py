"""What the placement pass sees, and what it decides. Names are dense indices here."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

EPSILON = 1e-6
LEAST_RATE = 1e-3  # GB a second: a type whose rate is given as 0 still fetches
UNBOUNDED = 100_000  # tasks: no job has more


def fit(cpus: float, gpus: float, memory: float, job: Job) -> int:
    """How many tasks of the job go into these resources."""
    count: float = UNBOUNDED
    if job.cpus > 0:
        count = min(count, (cpus + EPSILON) // job.cpus)
    if job.memory > 0:
        count = min(count, (memory + EPSILON) // job.memory)
    if job.gpus > 0:
        count = min(count, (gpus + EPSILON) // job.gpus)
    return int(count) if count > 0 else 0


def share_out(amount: float, each: float) -> int:
    """How many times `each` goes into an amount, which is infinite where there is no limit."""
    if each <= 0 or amount == inf:
        return UNBOUNDED
    return max(0, int((amount + EPSILON) // each))


@dataclass(slots=True)
class RunningTask:
    """Holds resources until about `end`."""

    end: float
    cpus: float
    gpus: float
    memory: float
    ref: int = -1
    rank: int = 0  # 0 is the highest
    team: int = 0
    lost: float = 0.0  # CPU seconds of work that stopping it would lose, if that stays so
    stopping: bool = False
    safe: bool = False  # its job is within its team's guarantee
    since: float | None = None  # it loses all that it did since then, instead of `lost`

    def loss(self, now: float) -> float:
        """CPU seconds of work that stopping it loses."""
        return self.lost if self.since is None else self.cpus * (now - self.since)


class Room:
    """Resources that a job's tasks can be put into."""

    __slots__ = ("cpus", "gpus", "memory")
    cpus: float
    gpus: float
    memory: float

    def fit(self, job: Job) -> int:
        """How many tasks of the job fit."""
        return fit(self.cpus, self.gpus, self.memory, job)

    def add(self, task: RunningTask) -> None:
        """Count the resources of a task that has ended."""
        self.cpus += task.cpus
        self.gpus += task.gpus
        self.memory += task.memory

    def use(self, job: Job, count: int) -> None:
        """Book so many tasks of the job."""
        self.cpus -= count * job.cpus
        self.gpus -= count * job.gpus
        self.memory -= count * job.memory


@dataclass(slots=True)
class Node(Room):
    """A machine. `ready_at` is in the future while it boots."""

    machine_type: int
    zone: int
    spot: bool
    cpus: float  # free now
    gpus: float
    memory: float
    size: float  # CPUs in all
    fetch_rate: float
    images: set[int] = field(default_factory=set)
    fetching: dict[int, float] = field(default_factory=dict)  # image: GB still to come, about
    tasks: list[RunningTask] = field(default_factory=list)  # by their ends
    ready_at: float = 0.0
    scale_in_candidate: bool = False  # should run empty to be returned
    rare: bool = False  # some waiting job fits nowhere else
    freed: tuple[float, float, float] = (0.0, 0.0, 0.0)  # by tasks that are being stopped

    def free(self, task: RunningTask) -> None:
        """Count on a task that is being stopped to free its resources soon."""
        cpus, gpus, memory = self.freed
        self.freed = (cpus + task.cpus, gpus + task.gpus, memory + task.memory)


@dataclass(slots=True)
class Job:
    """A job with tasks to place. `UNBOUNDED` of them means: no bound."""

    pending: int
    cpus: float
    gpus: float
    memory: float
    image: int
    image_gb: float
    team: int
    estimate: float
    machine_types: frozenset[int] | None = None  # None: any
    zone: int | None = None
    spot_allowed: bool = True
    one_zone: bool = False
    spread: int | None = None  # at most so many tasks in one zone
    held: dict[int, int] = field(default_factory=dict)  # zone: tasks that may be there
    lost: int = 0  # tasks whose machine's zone is not known
    avoid: frozenset[int] = frozenset()  # nodes where it failed
    rank: int = 2
    claim: bool = False  # tasks may be stopped for it
    guaranteed: bool = False  # it fits into its team's guarantee
    replicas_on: dict[int, int] = field(default_factory=dict)  # of a service: node, how many
    service: bool = False
    ordinary_at: float = 0.0  # from then on ordinary machines may be rented for it

    def takes(self, machine_type: int, spot: bool) -> bool:
        """Whether it may run on this kind of machine."""
        return (self.machine_types is None or machine_type in self.machine_types) and (
            self.spot_allowed or not spot
        )

    def elsewhere(self, zone: int) -> bool:
        """It must stay in one zone, and that is another."""
        return self.one_zone and any(n for z, n in self.held.items() if z != zone)

    def zone_room(self, zone: int) -> int:
        """How many more of its tasks may start in the zone at this moment.

        Those on machines whose zone isn't known may be anywhere: they count against every zone.
        """
        if self.zone not in (None, zone) or self.elsewhere(zone) or (self.one_zone and self.lost):
            return 0
        if self.spread is not None:
            return max(0, self.spread - self.held.get(zone, 0) - self.lost)
        return UNBOUNDED


@dataclass(slots=True)
class Team:
    """What a team may still use."""

    cpus: float  # still free below its limit; infinite without one
    gpus: float
    over: float = 0.0  # CPUs that it uses beyond its guarantee

    def fit(self, job: Job) -> int:
        """How many more tasks of the job its limits allow."""
        return min(share_out(self.cpus, job.cpus), share_out(self.gpus, job.gpus))


@dataclass(slots=True)
class Snapshot:
    """Everything that a pass looks at."""

    now: float
    jobs: list[Job]  # in the order to be served
    nodes: list[Node]
    teams: list[Team]
    zones: int
    node_fetches: int
    zone_fetches: int


@dataclass(slots=True)
class Decision:
    """So many tasks of a job on a node."""

    job: int
    node: int
    count: int


@dataclass(slots=True)
class Plan:
    """What a pass has decided."""

    decisions: list[Decision] = field(default_factory=list)
    head: int | None = None
    head_start: float | None = None
    unplaced: dict[int, int] = field(default_factory=dict)  # job: tasks that need machines
    why: dict[int, str] = field(default_factory=dict)  # job: what it waits for
