"""Probes machines with replicas whose heartbeats are late.

A late heartbeat alone proves little: it may be delayed, or the worker may be switching to another
controller. A machine that answers no call either is dead, hangs, or is cut off.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from spoolcourse.control.autoscaling.replica_places import ReplicaPlaces, replicas_on
from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_client import fetch_heartbeat
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import MalformedError

log = logging.getLogger(__name__)

PROBE_PERIOD_S = 0.5
FAILURES_UNTIL_UNREACHABLE = 2  # in a row, as a single call may be lost like a heartbeat
CONCURRENT_PROBES_MAX = 64  # a call to a machine that is cut off lasts until its timeout


@dataclass(slots=True)
class _FailedProbes:
    """The number of failed probes of a machine since its last own heartbeat."""

    heartbeat_at: float  # when that heartbeat arrived
    count: int = 0


class ReplicaProbe:
    """Probes machines with replicas whose heartbeats are late; records which don't answer."""

    def __init__(
        self,
        http_client: HttpClient,
        registry: WorkerRegistry,
        places: ReplicaPlaces,
        clock: Callable[[], float],
    ) -> None:
        self._http_client = http_client
        self._registry = registry
        self._late_after_s = places.late_after_s
        self._clock = clock
        self._failed_probes: dict[str, _FailedProbes] = {}  # by machine
        self._in_flight: dict[str, asyncio.Task[None]] = {}  # probes in progress, by machine

    def is_unreachable(self, machine: Machine) -> bool:
        """Whether the machine answered none of the last probes and has sent no heartbeat since."""
        failures = self._failed_probes.get(machine.id)
        return (
            failures is not None
            and failures.heartbeat_at == machine.last_own_heartbeat_at
            and failures.count >= FAILURES_UNTIL_UNREACHABLE
        )

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                await asyncio.sleep(PROBE_PERIOD_S)
                self._start_probes()
        finally:
            for task in self._in_flight.values():
                task.cancel()

    def _start_probes(self) -> None:
        late = [machine for machine in self._registry.machines.values() if self._is_late(machine)]
        names = {machine.id for machine in late}
        self._failed_probes = {
            name: failures for name, failures in self._failed_probes.items() if name in names
        }
        for machine in late:
            if len(self._in_flight) >= CONCURRENT_PROBES_MAX:
                return
            if machine.id in self._in_flight or self.is_unreachable(machine):
                continue
            task = asyncio.get_running_loop().create_task(self._probe(machine))
            self._in_flight[machine.id] = task

    def _is_late(self, machine: Machine) -> bool:
        return (
            machine.is_in_service
            and machine.is_overdue(self._clock(), self._late_after_s)
            and bool(machine.address)
            and bool(replicas_on(machine))
        )

    async def _probe(self, machine: Machine) -> None:
        heartbeat_at = machine.last_own_heartbeat_at
        try:
            self._registry.observe_heartbeat(
                await fetch_heartbeat(self._http_client, machine.address)
            )
            self._failed_probes.pop(machine.id, None)
        except (NoResponseError, MalformedError) as exc:
            log.debug("heartbeat late and probe failed: machine=%s reason=%s", machine.id, exc)
            self._record_failure(machine, heartbeat_at)
        finally:
            self._in_flight.pop(machine.id, None)

    def _record_failure(self, machine: Machine, heartbeat_at: float) -> None:
        failures = self._failed_probes.get(machine.id)
        if failures is None or failures.heartbeat_at != heartbeat_at:
            failures = self._failed_probes[machine.id] = _FailedProbes(heartbeat_at)
        failures.count += 1
