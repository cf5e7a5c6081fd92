"""The settings file that the platform provides, checked field by field."""

from __future__ import annotations

from math import inf
from pathlib import Path
from typing import Annotated

import msgspec
import orjson

from spoolcourse.errors import UserError

MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25  # workers send every `report_s` +/- a quarter

Positive = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Peer(msgspec.Struct, frozen=True):
    """Another controller, with its peer address."""

    label: str
    endpoint: str
    site: str = ""  # not used


class ExternalServices(msgspec.Struct, frozen=True):
    """The addresses of the cloud and the key-value store."""

    cloud: str
    state: str  # the key-value store


class Team(msgspec.Struct, frozen=True):
    """A team, with its guaranteed resources and its limits; 0: no guarantee, or no limit."""

    name: str
    cpus: Amount = 0.0  # guaranteed
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0  # guaranteed
    gpus_max: Amount = 0.0

    @property
    def cpu_limit(self) -> float:
        """CPUs that the team's tasks may use at once; infinite without a limit."""
        return self.cpus_max or inf

    @property
    def gpu_limit(self) -> float:
        """GPUs that the team's tasks may use at once; infinite without a limit."""
        return self.gpus_max or inf


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective for a job class, or for work within a team's guarantee.

    The scheduler uses the kinds `wait` (jobs start in time), `finished` (jobs complete in time) and
    `up` (replicas run), and ignores others.
    """

    kind: str
    job_class: str = msgspec.field(default="", name="class")
    share: float = 0.0  # not used by the scheduler
    within_s: float = 0.0  # time limit; used for `finished` only
    times: float = 0.0  # not used by the scheduler


class WorkerSettings(msgspec.Struct, frozen=True):
    """Heartbeats and leases of workers, and the time within which cancelled work must end."""

    heartbeat_interval_s: Positive = msgspec.field(name="report_s")
    lease_s: Positive  # a worker whose lease was not renewed for this time ends its tasks
    cancel_s: Positive  # no task may run longer after the cancellation of its job

    @property
    def max_heartbeat_interval_s(self) -> float:
        """The longest normal time between two heartbeats."""
        return MAX_HEARTBEAT_INTERVAL_FACTOR * self.heartbeat_interval_s

    @property
    def suspect_after_s(self) -> float:
        """The time without a heartbeat after which a worker has certainly missed two."""
        return 3 * self.heartbeat_interval_s + 1.0


class NextLimits(msgspec.Struct, frozen=True):
    """Limits of the key-value store from an unannounced time on; None: the present one stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StoreLimits(msgspec.Struct, frozen=True):
    """The limits of the key-value store, shared by all controllers."""

    rps: Positive  # requests per second
    write_rps: Positive  # puts and deletes per second
    value_kb: Positive  # size of a value
    txn_ops: Count  # puts and deletes in one transaction
    next: NextLimits | None = None

    @property
    def lower_limits(self) -> StoreLimits:
        """The lower of the current and the next limits, as the change is not announced."""
        if self.next is None:
            return self
        upcoming = self.next
        return StoreLimits(
            min(self.rps, upcoming.rps or self.rps),
            min(self.write_rps, upcoming.write_rps or self.write_rps),
            min(self.value_kb, upcoming.value_kb or self.value_kb),
            min(self.txn_ops, upcoming.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """The cloud's limits."""

    rps: Positive  # requests per second
    list_lag_s: Amount  # how outdated the machine list may be


class MachineLimits(msgspec.Struct, frozen=True):
    """The limits of a controller's own machine; 0: unknown."""

    # Sockets that the controller may have open.
    sockets: Annotated[int, msgspec.Meta(ge=0)] = 0


class DeploymentSettings(msgspec.Struct, frozen=True):
    """The parameters of the deployment, the same for all controllers."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StoreLimits
    cloud: CloudLimits
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()
    skew_ms: Amount = 0.0  # difference between the wall clocks of controllers, at most


class Settings(msgspec.Struct, frozen=True):
    """The settings file of one controller."""

    label: str  # the controller's name
    listen: str  # public address, for users and workers
    cluster_listen: str  # peer address, for controllers and operators
    seeds: list[Peer]  # all other controllers
    outside: ExternalServices
    settings: DeploymentSettings
    site: str = ""  # not used


def split_address(text: str, field: str) -> tuple[str, int]:
    """Host and port of an address; raises `UserError` naming the field."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise UserError(f"{field}: {text!r} is not HOST:PORT")
    return host, int(port)


def parse_settings(raw: bytes, source: str) -> Settings:
    """Parse and check the settings; `source` is the file's name for errors.

    Raises `UserError`, which names the first field that is missing or wrong.
    """
    try:
        data = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise UserError(f"{source}: not JSON: {exc}") from exc
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as exc:
        raise UserError(f"{source}: settings: {exc}") from exc
    for field, text in (
        ("listen", settings.listen),
        ("cluster_listen", settings.cluster_listen),
        ("outside.cloud", settings.outside.cloud),
        ("outside.state", settings.outside.state),
        *((f"seeds[{i}].endpoint", peer.endpoint) for i, peer in enumerate(settings.seeds)),
    ):
        split_address(text, field)
    labels = [settings.label, *(peer.label for peer in settings.seeds)]
    if "" in labels or len(set(labels)) != len(labels):
        raise UserError(f"{source}: settings: seeds: labels must be distinct and not empty")
    if not settings.settings.zones:
        raise UserError(f"{source}: settings: settings.zones: must not be empty")
    names = [team.name for team in settings.settings.teams]
    if len(set(names)) != len(names):
        raise UserError(f"{source}: settings: settings.teams: names must be distinct")
    return settings


def load_settings(path: str) -> Settings:
    """Read and check a settings file."""
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise UserError(f"{path}: cannot be read: {exc.strerror}") from exc
    return parse_settings(raw, path)
