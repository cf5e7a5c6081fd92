"""Messages of users, workers and cloud, with the protocol's spellings."""

from __future__ import annotations

import math
import re
from functools import lru_cache
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import orjson

T = TypeVar("T")

RANKS = ("prod", "high", "standard", "best_effort")  # the highest first
BODY_LIMIT = 64 * 1024
JOB_ID = re.compile(r"job-[0-9]{6,12}")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Token = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class Malformed(Exception):
    """A message that does not follow the protocol."""


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a user submits. Unknown fields are ignored."""

    id: str
    lane: Name
    crew: Name
    shape: Literal["array", "standing"]
    rank: Literal["prod", "high", "standard", "best_effort"]
    pieces: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    vcpus: Amount
    gpus: Amount
    memoryGb: Amount
    bundle: Name
    pullGb: Amount
    oneZone: bool
    scatter: bool
    loaners: bool
    expectS: Seconds
    markEveryS: Seconds
    markCostS: Seconds
    builds: Annotated[list[Name], msgspec.Meta(max_length=50)] | None = None
    yard: Name | None = None
    dueS: Seconds | None = None

    @property
    def standing(self) -> bool:
        """A service: its tasks, the replicas, run until the job is cancelled."""
        return self.shape == "standing"


def fits(sub: Submission, build: Build) -> bool:
    """Whether the type is allowed, and an empty machine of it takes a task of the job."""
    return (
        (sub.builds is None or build.name in sub.builds)
        and sub.vcpus <= build.vcpus
        and sub.gpus <= build.gpus
        and sub.memoryGb <= build.memoryGb
    )


class Piece(msgspec.Struct, frozen=True):
    """One task in a worker's report."""

    piece: str
    attempt: Token = msgspec.field(name="try")
    stage: Literal["pulling", "running", "flushing", "ended"]
    cause: str | None = None
    stored: bool = False


class Report(msgspec.Struct, frozen=True):
    spindle: Name
    address: str
    build: Name
    yard: Name
    loaners: bool
    shift: Token
    tick: Token
    baton: Token
    pieces: list[Piece]
    recallS: float | None = None


class Build(msgspec.Struct, frozen=True):
    """A machine type of the catalog."""

    name: Name
    vcpus: Amount
    gpus: Amount
    memoryGb: Amount
    localGb: Amount
    pullGbPerS: Amount
    hourly: Amount
    marketPrice: Amount
    startupS: Amount
    yards: list[str]


class Catalog(msgspec.Struct, frozen=True):
    builds: list[Build]


class Host(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    id: Name
    build: Name
    yard: Name
    loaners: bool
    stage: Literal["starting", "running", "failed"]
    ageS: float
    address: str = ""


class HostPage(msgspec.Struct, frozen=True):
    spindles: list[Host]
    hasNext: bool = False


class Hired(msgspec.Struct, frozen=True):
    spindles: list[str]


def _finite(value: Any) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, dict):
        return all(_finite(v) for v in value.values())
    if isinstance(value, list):
        return all(_finite(v) for v in value)
    return True


def _load(raw: bytes) -> Any:
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise Malformed(f"not JSON: {exc}") from exc


def decode(raw: bytes) -> Any:
    """JSON with finite numbers only."""
    data = _load(raw)
    if not _finite(data):
        raise Malformed("a number is not finite")
    return data


def parse(data: Any, kind: type[T]) -> T:
    """Check decoded JSON against a message type."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as exc:
        raise Malformed(str(exc)) from exc


def parse_submission(raw: bytes) -> Submission:
    data = decode(raw)
    if not isinstance(data, dict):
        raise Malformed("not an object")
    sub = parse(data, Submission)
    if not JOB_ID.fullmatch(sub.id):
        raise Malformed("id: not of the form job-000412")
    return sub


def piece_name(job: str, index: int) -> str:
    return f"{job}/{index}"


@lru_cache(maxsize=65_536)  # every report names the same pieces again
def split_piece(name: str) -> tuple[str, int]:
    job, slash, index = name.partition("/")
    if not slash or not JOB_ID.fullmatch(job) or not index.isascii() or not index.isdigit():
        raise Malformed(f"piece: {name[:60]!r} is not JOB/NUMBER")
    return job, int(index)


def parse_report(raw: bytes) -> Report:
    """Reports are by far the most frequent message: they are checked in one go."""
    report = parse(_load(raw), Report)
    if report.recallS is not None and not math.isfinite(report.recallS):
        raise Malformed("recallS: a number is not finite")
    for piece in report.pieces:
        split_piece(piece.piece)
        if piece.stage == "ended" and not piece.cause:
            raise Malformed(f"pieces: {piece.piece}: ended without a cause")
    return report
