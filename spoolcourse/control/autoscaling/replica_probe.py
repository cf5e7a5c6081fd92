"""Calls machines that hold replicas and whose heartbeats are late, to see whether they answer.

A late heartbeat alone says little: it may be delayed, or its worker may be changing from one
controller to another. A machine that answers no call either is dead, hangs, or is cut off.
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

PERIOD_S = 0.5
FAILURES_NEEDED = 2  # in a row; one call may be lost like one heartbeat
PROBES_MAX = 64  # in flight at once; calls to machines that are cut off last until they time out


@dataclass(slots=True)
class _Failures:
    """Failed calls since the heartbeat that a machine sent at `reported_at`."""

    reported_at: float
    count: int = 0


class ReplicaProbe:
    """Calls late machines, and remembers which of them have not answered."""

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
        self._failures: dict[str, _Failures] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}

    def is_unreachable(self, machine: Machine) -> bool:
        """Whether it has answered none of the last calls and sent no heartbeat since."""
        failures = self._failures.get(machine.id)
        return (
            failures is not None
            and failures.reported_at == machine.last_own_heartbeat_at
            and failures.count >= FAILURES_NEEDED
        )

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                await asyncio.sleep(PERIOD_S)
                self._start_probes()
        finally:
            for task in self._in_flight.values():
                task.cancel()

    def _start_probes(self) -> None:
        late = [machine for machine in self._registry.machines.values() if self._is_late(machine)]
        names = {machine.id for machine in late}
        self._failures = {
            name: failures for name, failures in self._failures.items() if name in names
        }
        for machine in late:
            if len(self._in_flight) >= PROBES_MAX:
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
        reported_at = machine.last_own_heartbeat_at
        try:
            self._registry.observe_heartbeat(
                await fetch_heartbeat(self._http_client, machine.address)
            )
            self._failures.pop(machine.id, None)
        except (NoResponseError, MalformedError) as exc:
            log.debug("heartbeat late and probe failed: machine=%s reason=%s", machine.id, exc)
            self._record_failure(machine, reported_at)
        finally:
            self._in_flight.pop(machine.id, None)

    def _record_failure(self, machine: Machine, reported_at: float) -> None:
        failures = self._failures.get(machine.id)
        if failures is None or failures.reported_at != reported_at:
            failures = self._failures[machine.id] = _Failures(reported_at)
        failures.count += 1
