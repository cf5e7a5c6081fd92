"""Renting machines, and pauses after kinds that the cloud has refused."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from spoolcourse.control.autoscaling.fleet_view import FleetView
from spoolcourse.control.cloud.client import ProvisioningClient
from spoolcourse.control.cloud.errors import CloudRequestFailedError, NoCapacityError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.wire.cloud import PROVISION_MAX, MachineKind

log = logging.getLogger(__name__)

TRIES = 3  # of one request, which the cloud carries out once however often it comes
RETRY_S = 0.5
PAUSE_GROWTH = 1.5
PAUSE_MOST = 4.0  # times the policy's `refused_s`


@dataclass(slots=True)
class _Refusal:
    until: float
    pause_s: float


def _requests(count: int) -> Iterator[int]:
    """The sizes of the requests that ask for so many machines."""
    while count > 0:
        asked = min(count, PROVISION_MAX)
        yield asked
        count -= asked


class ScaleOut:
    """Asks for what the last pass wanted."""

    def __init__(
        self,
        leader: LeaderContext,
        cloud: ProvisioningClient,
        view: FleetView,
        may_rent: Callable[[], bool],
    ) -> None:
        self._cloud = cloud
        self._clock = leader.controller.clock
        self._policy = leader.policy
        self._registry = leader.registry
        self._view = view
        self._may_rent = may_rent
        self._refusals: dict[MachineKind, _Refusal] = {}
        self._wanted: list[tuple[MachineKind, int]] = []
        self._wake = asyncio.Event()
        self._asking = False

    @property
    def busy(self) -> bool:
        """Whether what is being asked for is not known as machines yet."""
        return bool(self._wanted) or self._asking

    def want(self, machines: list[tuple[MachineKind, int]]) -> None:
        """Rent so many of these kinds."""
        self._wanted = machines
        self._wake.set()

    def may_ask_for(self, kind: MachineKind) -> bool:
        """Whether the cloud has not refused the kind a short while ago."""
        refusal = self._refusals.get(kind)
        return refusal is None or refusal.until <= self._clock()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            wanted, self._wanted = self._wanted, []
            self._asking = True
            for kind, count in wanted:
                for asked in _requests(count):
                    if self._may_rent() and self.may_ask_for(kind):
                        await self._rent(kind, asked)
            self._asking = False

    async def _rent(self, kind: MachineKind, count: int) -> None:
        name = self._cloud.next_request_name()
        for _ in range(TRIES):
            asked_at = self._clock()
            try:
                names = await self._cloud.provision(name, kind, count)
            except NoCapacityError:
                self._note_refusal(kind)
                return
            except CloudRequestFailedError as exc:
                log.info("hire %s: %s", name, exc)
                await asyncio.sleep(RETRY_S)
                continue
            self._take(names, kind, count, asked_at)
            return

    def _take(self, names: list[str], kind: MachineKind, count: int, asked_at: float) -> None:
        for name in names:
            if name in self._registry.deleted_names:
                continue
            machine = self._registry.ensure_machine(name)
            machine.machine_type, machine.zone, machine.spot = (
                kind.machine_type,
                kind.zone,
                kind.spot,
            )
            machine.rented_at = asked_at
            if machine.last_heartbeat_at is None:
                machine.expected_ready_at = asked_at + self._view.boot_s(machine)
        log.info("hired %d of %d %s: %s", len(names), count, _words(kind), " ".join(names))
        if len(names) < count:
            self._note_refusal(kind)
        else:
            self._refusals.pop(kind, None)

    def _note_refusal(self, kind: MachineKind) -> None:
        before = self._refusals.get(kind)
        pause_s = self._policy.refused_s
        if before is not None:
            pause_s = min(before.pause_s * PAUSE_GROWTH, PAUSE_MOST * self._policy.refused_s)
        self._refusals[kind] = _Refusal(self._clock() + pause_s, pause_s)
        log.info("no more %s, for now", _words(kind))


def _words(kind: MachineKind) -> str:
    return f"{kind.machine_type} in {kind.zone}, spot {'yes' if kind.spot else 'no'}"
