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


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerContext:
    """Made once for a controller, and shared by all of its leader terms.

    `policy_source` gives the operators' policy; `machine_types` the types that the cloud rents by
    their names, and none before its catalog was read once.
    """

    http_client: HttpClient
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
