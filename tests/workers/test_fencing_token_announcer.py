"""A new leader's calls to workers that have sent no heartbeat under its fencing token."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import pytest

from spoolcourse.control.http_client import Response
from spoolcourse.control.workers import fencing_token_announcer
from spoolcourse.control.workers.fencing_token_announcer import FencingTokenAnnouncer
from tests.fakes.network import FakeNetwork
from tests.fakes.registry import TERM, RegistryHarness


@dataclass
class Worker:
    id: str
    confirmed: bool = False

    @property
    def address(self) -> str:
        return f"{self.id}:9"


class Fleet:
    """Workers that answer each request after half a second; records calls and concurrency."""

    def __init__(self, count: int) -> None:
        self.harness = RegistryHarness()
        self.network = FakeNetwork()
        self.workers = [Worker(f"m-{number}") for number in range(count)]
        self.called_addresses: list[str] = []
        self.concurrent_calls = 0
        self.max_concurrent_calls = 0
        for worker in self.workers:
            self.serve(worker.address, worker.id)

    def serve(self, address: str, machine: str) -> None:
        async def answer(method: str, path: str, body: Any) -> Response:
            if method == "GET":
                self.called_addresses.append(address)
            self.concurrent_calls += 1
            self.max_concurrent_calls = max(self.concurrent_calls, self.max_concurrent_calls)
            await asyncio.sleep(0.5)
            self.concurrent_calls -= 1
            return Response(200, heartbeat(machine, address))

        self.network.hosts[address] = answer

    async def announce(self, sockets: int = 0) -> None:
        http_client = self.network.client_of("n0")
        announcer = FencingTokenAnnouncer(http_client, self.harness.registry, sockets)
        await announcer.announce(self.workers, fleet_size=len(self.workers))

    def confirmed(self) -> list[str]:
        machines = self.harness.registry.machines.values()
        return [machine.id for machine in machines if machine.confirmed]


def heartbeat(machine: str, address: str) -> dict[str, Any]:
    data = {"spindle": machine, "address": address, "build": "c8", "yard": "a", "loaners": False}
    return data | {"shift": 1, "tick": 1, "baton": TERM, "pieces": []}


async def test_all_workers_are_called_once_in_order_with_bounded_concurrency(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fencing_token_announcer, "MIN_CONCURRENT_CALLS", 2)

    fleet = Fleet(24)  # one concurrent call for each eight workers
    await fleet.announce()
    assert fleet.called_addresses == [worker.address for worker in fleet.workers]
    assert fleet.max_concurrent_calls == 3
    assert fleet.confirmed() == [worker.id for worker in fleet.workers]


async def test_a_worker_whose_heartbeat_arrives_while_it_waits_is_not_called(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fencing_token_announcer, "MIN_CONCURRENT_CALLS", 1)

    fleet = Fleet(3)
    announcing = asyncio.create_task(fleet.announce())
    await asyncio.sleep(0.2)
    fleet.workers[1].confirmed = True
    await announcing
    assert fleet.called_addresses == ["m-0:9", "m-2:9"]


async def test_an_unreachable_worker_and_a_reused_address_do_not_affect_the_rest() -> None:
    fleet = Fleet(3)
    del fleet.network.hosts["m-0:9"]
    fleet.serve("m-1:9", machine="m-9")
    await fleet.announce()
    assert fleet.confirmed() == ["m-2"]
