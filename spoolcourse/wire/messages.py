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

from spoolcourse.wire.identities import TaskId

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

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "flushing"
    ENDED = "ended"


class EndCause(StrEnum):
    """Why an attempt has ended; a worker may name causes that are not listed here."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
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
    """A message that does not follow the protocol."""


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its user submits it. Unknown fields are ignored."""

    id: str
    job_class: Name = msgspec.field(name="lane")
    team: Name = msgspec.field(name="crew")
    shape: Literal["array", "standing"]
    rank: Literal["prod", "high", "standard", "best_effort"]
    task_count: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = msgspec.field(name="pieces")
    cpus: Amount = msgspec.field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = msgspec.field(name="memoryGb")
    image: Name = msgspec.field(name="bundle")
    image_gb: Amount = msgspec.field(name="pullGb")
    one_zone: bool = msgspec.field(name="oneZone")
    spread_over_zones: bool = msgspec.field(name="scatter")
    spot_allowed: bool = msgspec.field(name="loaners")
    expected_run_s: Seconds = msgspec.field(name="expectS")
    checkpoint_every_s: Seconds = msgspec.field(name="markEveryS")
    checkpoint_cost_s: Seconds = msgspec.field(name="markCostS")
    machine_types: Annotated[list[Name], msgspec.Meta(max_length=50)] | None = msgspec.field(
        name="builds", default=None
    )
    zone: Name | None = msgspec.field(name="yard", default=None)
    due_s: Seconds | None = msgspec.field(name="dueS", default=None)

    @property
    def rank_number(self) -> int:
        """0 for the highest rank."""
        return RANKS.index(self.rank)

    @property
    def is_service(self) -> bool:
        """Whether its tasks, the replicas, run until the job is cancelled."""
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
    done: int = 0
    running: int = 0


class TaskStatus(msgspec.Struct, frozen=True):
    """One task in a worker's heartbeat."""

    task: str = msgspec.field(name="piece")
    attempt: Count = msgspec.field(name="try")
    stage: TaskStage
    cause: str | None = None
    stored: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """The state of a worker and its machine: a heartbeat, and the response to any request.

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
    fencing_token: Count = msgspec.field(name="baton")
    tasks: list[TaskStatus] = msgspec.field(name="pieces")
    terminates_in_s: float | None = msgspec.field(name="recallS", default=None)


class MachineType(msgspec.Struct, frozen=True):
    """A machine type of the cloud's catalog."""

    name: Name
    cpus: Amount = msgspec.field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = msgspec.field(name="memoryGb")
    disk_gb: Amount = msgspec.field(name="localGb")
    fetch_gb_per_s: Amount = msgspec.field(name="pullGbPerS")
    hourly_price: Amount = msgspec.field(name="hourly")
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
    age_s: float = msgspec.field(name="ageS")
    address: str = ""


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
    """Check decoded JSON against a message type; raises `MalformedError`."""
    try:
        return msgspec.convert(data, message_type)
    except msgspec.ValidationError as exc:
        raise MalformedError(str(exc)) from exc


def parse_submission(raw: bytes) -> Submission:
    """Check a user's submission; raises `MalformedError`."""
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
    """Check a worker's heartbeat, by far the most frequent message; raises `MalformedError`."""
    heartbeat = parse(_decode_json(raw), Heartbeat)
    if heartbeat.terminates_in_s is not None and not math.isfinite(heartbeat.terminates_in_s):
        raise MalformedError("recallS: a number is not finite")
    for status in heartbeat.tasks:
        parse_task_name(status.task)
        if status.stage is TaskStage.ENDED and not status.cause:
            raise MalformedError(f"pieces: {status.task}: ended without a cause")
    return heartbeat
