"""Clients, settings and clocks that the components of a controller share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.http_client import HttpClient
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.process_load import ProcessLoad
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.policy.keys import CompiledPolicy
from spoolcourse.wire.messages import MachineType
from spoolcourse.wire.settings import DeploymentSettings, Peer


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerContext:
    """The clients, settings and clocks of one controller, shared by all of its leader terms.

    `params` are the deployment's parameters from the settings file, `compiled_policy` is the
    operators' policy. `machine_types` returns the cloud's machine types by name: none until the
    catalog has been read once.
    """

    http_client: HttpClient
    store_client: StoreClient
    watch_cache: WatchCache
    job_index: JobIndex
    cloud: CloudClient
    peers: list[Peer]
    params: DeploymentSettings
    compiled_policy: CompiledPolicy
    machine_types: Callable[[], dict[str, MachineType]]
    clock: Callable[[], float]  # monotonic, in seconds
    wall_clock: Callable[[], float]  # Unix time, in seconds
    load: ProcessLoad
