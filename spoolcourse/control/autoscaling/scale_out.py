"""Scale out: provisions machines, with backoff for kinds that the cloud has refused.

A refusal is a response that the cloud has no machine of the kind, or fewer than requested. The kind
is then not requested again until its backoff has passed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.cloud.client import ProvisioningClient
from spoolcourse.control.cloud.errors import CloudRequestFailedError, NoCapacityError
from spoolcourse.control.leader_context import LeaderContext
from spoolcourse.wire.cloud import MAX_MACHINES_PER_PROVISION_REQUEST, MachineKind

log = logging.getLogger(__name__)

REQUEST_TRIES_MAX = 3  # the cloud executes a repeated request only once
RETRY_PAUSE_S = 0.5
BACKOFF_GROWTH_FACTOR = 1.5  # after each further refusal
BACKOFF_MAX_FACTOR = 4.0  # times the policy's `refused_s`


@dataclass(frozen=True, slots=True)
class ScaleOutRequest:
    """A number of machines of one kind to provision."""

    kind: MachineKind
    count: int


@dataclass(slots=True)
class _Backoff:
    """The backoff of a kind that the cloud has refused: not requested before `until`."""

    until: float
    backoff_s: float  # its length


class ScaleOut:
    """Provisions what the last placement pass requested; refused kinds wait for a backoff.

    `holds_lease` returns whether this controller certainly still leads; machines are provisioned
    only then.
    """

    def __init__(
        self,
        leader: LeaderContext,
        cloud: ProvisioningClient,
        types: MachineTypeLookup,
        holds_lease: Callable[[], bool],
    ) -> None:
        self._cloud = cloud
        self._clock = leader.controller.clock
        self._policy = leader.policy
        self._registry = leader.registry
        self._types = types
        self._holds_lease = holds_lease
        self._backoffs: dict[MachineKind, _Backoff] = {}
        self._pending: list[ScaleOutRequest] = []
        self._wake = asyncio.Event()
        self._requesting = False

    @property
    def is_in_progress(self) -> bool:
        """Whether requests to the cloud are pending or in progress."""
        return bool(self._pending) or self._requesting

    def request(self, requests: list[ScaleOutRequest]) -> None:
        """Provision these machines, in order, in place of the pending requests."""
        self._pending = requests
        self._wake.set()

    def may_request(self, kind: MachineKind) -> bool:
        """Whether the kind is not in backoff after a refusal."""
        backoff = self._backoffs.get(kind)
        return backoff is None or backoff.until <= self._clock()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            requests, self._pending = self._pending, []
            self._requesting = True
            for request in requests:
                for part in _split_request(request):
                    if self._holds_lease() and self.may_request(part.kind):
                        await self._provision(part)
            self._requesting = False

    async def _provision(self, request: ScaleOutRequest) -> None:
        request_name = self._cloud.next_request_name()
        for _ in range(REQUEST_TRIES_MAX):
            requested_at = self._clock()
            try:
                names = await self._cloud.provision(request_name, request.kind, request.count)
            except NoCapacityError:
                self._start_or_extend_backoff(request.kind)
                return
            except CloudRequestFailedError as exc:
                log.info("scale out failed: request=%s reason=%s", request_name, exc)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._register(names, request, requested_at)
            return

    def _register(self, names: list[str], request: ScaleOutRequest, requested_at: float) -> None:
        """Register the provisioned machines; fewer than requested count as a refusal."""
        kind, count = request.kind, request.count
        for name in names:
            if name not in self._registry.deleted_names:
                self._register_machine(name, kind, requested_at)
        log.info(
            "scale out: provisioned=%d requested=%d %s machines=%s",
            len(names),
            count,
            _format_kind(kind),
            " ".join(names),
        )
        if len(names) < count:
            self._start_or_extend_backoff(kind)
        else:
            self._backoffs.pop(kind, None)

    def _register_machine(self, name: str, kind: MachineKind, requested_at: float) -> None:
        machine = self._registry.ensure_machine(name)
        machine.machine_type, machine.zone, machine.spot = (
            kind.machine_type,
            kind.zone,
            kind.spot,
        )
        machine.provisioned_at = requested_at
        if machine.last_heartbeat_at is None:
            machine.expected_ready_at = requested_at + self._types.boot_s(machine)

    def _start_or_extend_backoff(self, kind: MachineKind) -> None:
        """Start the backoff of a kind after a refusal, longer than the previous one if any."""
        previous = self._backoffs.get(kind)
        backoff_s = self._policy.refused_s
        if previous is not None:
            backoff_max_s = BACKOFF_MAX_FACTOR * self._policy.refused_s
            backoff_s = min(previous.backoff_s * BACKOFF_GROWTH_FACTOR, backoff_max_s)
        self._backoffs[kind] = _Backoff(self._clock() + backoff_s, backoff_s)
        log.info("scale out refused: %s backoff_s=%.1f", _format_kind(kind), backoff_s)


def _split_request(request: ScaleOutRequest) -> Iterator[ScaleOutRequest]:
    """Split the request by the cloud's limit, `MAX_MACHINES_PER_PROVISION_REQUEST` machines."""
    remaining = request.count
    while remaining > 0:
        part = ScaleOutRequest(request.kind, min(remaining, MAX_MACHINES_PER_PROVISION_REQUEST))
        yield part
        remaining -= part.count


def _format_kind(kind: MachineKind) -> str:
    spot = "yes" if kind.spot else "no"
    return f"machine_type={kind.machine_type} zone={kind.zone} spot={spot}"
