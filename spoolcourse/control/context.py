"""What the parts of a controller share: its connections, its settings and its clocks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.http_client import HttpClient
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.process_load import ProcessLoad
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.policy.keys import PolicySource
from spoolcourse.wire.messages import MachineType
from spoolcourse.wire.settings import Params, Seed


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """Made once for a controller, and handed to each leader term of it."""

    net: HttpClient
    client: StoreClient
    watch_cache: WatchCache
    job_index: JobIndex
    cloud: CloudClient
    peers: list[Seed]
    params: Params
    policy_source: PolicySource
    machine_types: Callable[[], dict[str, MachineType]]
    clock: Callable[[], float]  # steady, in seconds
    wall_clock: Callable[[], float]  # time of day, in seconds
    load: ProcessLoad
