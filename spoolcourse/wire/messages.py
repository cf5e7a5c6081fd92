"""Messages of users, workers and the cloud.

Only the names given to msgspec and the enum values are in the protocol's spelling. Sources:
PROTOCOL, Users -> controller nodes; Workers -> controller nodes; Controller nodes -> cloud.
"""

from __future__ import annotations

import math
import re
from enum import Enum, StrEnum
from functools import lru_cache
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import orjson

from spoolcourse.wire.identities import HeartbeatId, TaskId

T = TypeVar("T")

RANKS = ("prod", "high", "standard", "best_effort")  # highest first
MAX_BODY_BYTES = 64 * 1024  # bytes in a request's body
JOB_ID = re.compile(r"job-[0-9]{6,12}")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class TaskStage(StrEnum):
    """The state of a task in a worker's heartbeat."""

    FETCHING = "pulling"  # its image
    RUNNING = "running"
    SAVING = "flushing"  # a checkpoint, before it stops
    ENDED = "ended"


class EndCause(StrEnum):
    """Why an attempt has ended; a worker may name causes that are not listed here."""

    DONE = "done"  # the task finished with a result
    STOPPED = "halted"
    ERROR = "error"  # the task failed
    # The worker refused the start:
    NO_ROOM = "no_room"
    OTHER_ATTEMPT_ON_MACHINE = "in_use"
    NO_SUCH_TASK = "no_such"


class ListedMachineStage(StrEnum):
    """A machine's stage in the cloud's list."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"


class JobStage(Enum):
    """The state of a job for its user. The last two are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"

    @property
    def is_final(self) -> bool:
        """Whether the job is over."""
        return self in (JobStage.DONE, JobStage.CANCELLED)


class MalformedError(Exception):
    """A received message does not follow the protocol."""


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its user submits it. Unknown fields are ignored."""

    id: str
    job_class: Name = msgspec.field(name="lane")
    team: Name = msgspec.field(name="crew")
    shape: Literal["array", "standing"]  # an array of tasks that end, or a service
    rank: Literal["prod", "high", "standard", "best_effort"]
    task_count: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = msgspec.field(name="pieces")
    # Needed by each task.
    cpus: Amount = msgspec.field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = msgspec.field(name="memoryGb")
    # Fetched by a machine before it runs a task.
    image: Name = msgspec.field(name="bundle")
    image_gb: Amount = msgspec.field(name="pullGb")
    one_zone: bool = msgspec.field(name="oneZone")  # all tasks run in the same zone
    # At most half of the tasks, rounded up, run in one zone.
    spread_over_zones: bool = msgspec.field(name="scatter")
    spot_allowed: bool = msgspec.field(name="loaners")
    expected_run_s: Seconds = msgspec.field(name="expectS")  # of one task; 0: unknown
    checkpoint_every_s: Seconds = msgspec.field(name="markEveryS")  # 0: no checkpoints
    checkpoint_cost_s: Seconds = msgspec.field(name="markCostS")  # time to save one
    # The only types and the only zone allowed; None: any.
    machine_types: Annotated[list[Name], msgspec.Meta(max_length=50)] | None = msgspec.field(
        name="builds", default=None
    )
    zone: Name | None = msgspec.field(name="yard", default=None)
    # The deadline, counted from the acceptance; None: no deadline of its own.
    due_s: Seconds | None = msgspec.field(name="dueS", default=None)

    @property
    def rank_number(self) -> int:
        """The rank as a number, 0 for the highest."""
        return RANKS.index(self.rank)

    @property
    def is_service(self) -> bool:
        """Whether the job is a service: its tasks, the replicas, run until it is cancelled."""
        return self.shape == "standing"


def task_fits(submission: Submission, machine_type: MachineType) -> bool:
    """Whether the job allows the type, and an empty machine of it has room for one of its tasks."""
    return (
        (submission.machine_types is None or machine_type.name in submission.machine_types)
        and submission.cpus <= machine_type.cpus
        and submission.gpus <= machine_type.gpus
        and submission.memory_gb <= machine_type.memory_gb
    )


class JobResponse(msgspec.Struct, frozen=True):
    """The response to an accepted submission and to a cancellation."""

    id: str
    stage: JobStage


class JobStatus(msgspec.Struct, frozen=True):
    """The response to a status request; the task counts are only for display."""

    id: str
    stage: JobStage
    done: int = 0  # tasks with a result
    running: int = 0


class TaskStatus(msgspec.Struct, frozen=True):
    """The state of one attempt in a worker's heartbeat."""

    task: str = msgspec.field(name="piece")
    attempt: Count = msgspec.field(name="try")  # the attempt's number
    stage: TaskStage
    cause: str | None = None  # an `EndCause` or another text; set if the attempt has ended
    stored: bool = False  # not used by the controllers


class Heartbeat(msgspec.Struct, frozen=True):
    """The state of a worker and its machine: sent as a heartbeat, and in response to any request.

    Of two heartbeats, the one with the larger (incarnation, sequence) is newer. `tasks` lists all
    attempts on the machine, ended ones until they are acknowledged.
    """

    machine: Name = msgspec.field(name="spindle")
    address: str
    machine_type: Name = msgspec.field(name="build")
    zone: Name = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    incarnation: Count = msgspec.field(name="shift")
    sequence: Count = msgspec.field(name="tick")
    fencing_token: Count = msgspec.field(name="baton")  # the highest that the worker has seen
    tasks: list[TaskStatus] = msgspec.field(name="pieces")
    # Time until the cloud reclaims the spot machine; None: no termination notice.
    terminates_in_s: float | None = msgspec.field(name="recallS", default=None)

    @property
    def id(self) -> HeartbeatId:
        """The heartbeat's place in the order of the worker's heartbeats."""
        return HeartbeatId(self.incarnation, self.sequence)


class MachineType(msgspec.Struct, frozen=True):
    """A machine type of the cloud's catalog."""

    name: Name
    cpus: Amount = msgspec.field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = msgspec.field(name="memoryGb")
    disk_gb: Amount = msgspec.field(name="localGb")  # disk space for cached images
    fetch_gb_per_s: Amount = msgspec.field(name="pullGbPerS")  # speed of image fetches
    hourly_price: Amount = msgspec.field(name="hourly")  # on demand
    spot_price: Amount = msgspec.field(name="marketPrice")
    boot_s: Amount = msgspec.field(name="startupS")
    zones: list[str] = msgspec.field(name="yards")


class Catalog(msgspec.Struct, frozen=True):
    """The machine types that the cloud offers, with their current prices."""

    machine_types: list[MachineType] = msgspec.field(name="builds")


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    id: Name
    machine_type: Name = msgspec.field(name="build")
    zone: Name = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    stage: ListedMachineStage
    age_s: float = msgspec.field(name="ageS")  # since it was provisioned
    address: str = ""  # of its worker; empty if not known yet


class MachineListPage(msgspec.Struct, frozen=True):
    """One page of the cloud's machine list."""

    machines: list[ListedMachine] = msgspec.field(name="spindles")
    has_next: bool = msgspec.field(name="hasNext", default=False)


class ProvisionedMachines(msgspec.Struct, frozen=True):
    """The names of the machines that a provision request has created."""

    machines: list[str] = msgspec.field(name="spindles")


def _is_finite(value: Any) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, dict):
        return all(_is_finite(v) for v in value.values())
    if isinstance(value, list):
        return all(_is_finite(v) for v in value)
    return True


def _decode_json(raw: bytes) -> Any:
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise MalformedError(f"not JSON: {exc}") from exc


def decode(raw: bytes) -> Any:
    """Decode JSON with finite numbers only; raises `MalformedError`."""
    data = _decode_json(raw)
    if not _is_finite(data):
        raise MalformedError("a number is not finite")
    return data


def parse(data: Any, message_type: type[T]) -> T:
    """Convert decoded JSON to a message type; raises `MalformedError` if it does not conform."""
    try:
        return msgspec.convert(data, message_type)
    except msgspec.ValidationError as exc:
        raise MalformedError(str(exc)) from exc


def parse_submission(raw: bytes) -> Submission:
    """Parse a user's submission; raises `MalformedError`."""
    data = decode(raw)
    if not isinstance(data, dict):
        raise MalformedError("not an object")
    submission = parse(data, Submission)
    if not JOB_ID.fullmatch(submission.id):
        raise MalformedError("id: not of the form job-000412")
    return submission


def task_name(job: str, index: int) -> str:
    """The name of a task in heartbeats and commands."""
    return f"{job}/{index}"


@lru_cache(maxsize=65_536)  # successive heartbeats name the same tasks
def parse_task_name(name: str) -> TaskId:
    """Parse the name of a task in a heartbeat; raises `MalformedError`."""
    job, slash, index = name.partition("/")
    if not slash or not JOB_ID.fullmatch(job) or not index.isascii() or not index.isdigit():
        raise MalformedError(f"piece: {name[:60]!r} is not JOB/NUMBER")
    return TaskId(job, int(index))


def parse_heartbeat(raw: bytes) -> Heartbeat:
    """Parse a worker's heartbeat, by far the most frequent message; raises `MalformedError`."""
    heartbeat = parse(_decode_json(raw), Heartbeat)
    if heartbeat.terminates_in_s is not None and not math.isfinite(heartbeat.terminates_in_s):
        raise MalformedError("recallS: a number is not finite")
    for status in heartbeat.tasks:
        parse_task_name(status.task)
        if status.stage is TaskStage.ENDED and not status.cause:
            raise MalformedError(f"pieces: {status.task}: ended without a cause")
    return heartbeat
