"""Fakes of the key-value store, the cloud and the workers, served over HTTP on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from spoolcourse.control.http_client import AiohttpClient, Request, Response
from spoolcourse.control.http_connection import Connection
from spoolcourse.control.store.keys import FINAL_PREFIX
from tests.fakes.clock import spawn
from tests.fakes.cloud import FakeCloud, FakeWorker, Task
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import Endpoint, FakeNetwork
from tests.loopback.history import FinalWritten, History, Run

Hook = Callable[[str, Any], Awaitable[None]]  # path and body of a request


async def no_hook(path: str, body: Any) -> None:
    """Do nothing at this point."""


def bind_socket() -> socket.socket:
    """Bind a socket on loopback to a port chosen by the system."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_of(bound: socket.socket) -> str:
    """The address of a socket."""
    return f"127.0.0.1:{bound.getsockname()[1]}"


class LoopbackNetwork(FakeNetwork):
    """Sends calls over HTTP, and serves the endpoints in `hosts` at their bound addresses."""

    def __init__(self) -> None:
        super().__init__()
        self._http_client = AiohttpClient()
        self._open: set[Connection] = set()

    def bind(self, name: str) -> str:
        """Return a new address; requests to it go to the endpoint that `hosts` has for it."""
        bound = bind_socket()
        address = address_of(bound)
        loop = asyncio.get_running_loop()

        async def serve() -> None:
            await loop.create_server(
                lambda: Connection(lambda r: self._answer(address, r), self._open), sock=bound
            )

        spawn(serve())
        return address

    async def _answer(self, address: str, request: Request) -> Response:
        endpoint: Endpoint | None = self.hosts.get(address)
        if endpoint is None:
            return Response(503, {"error": "host is gone"})
        body = orjson.loads(request.body) if request.body else None
        return await endpoint(request.method, request.path, body)

    async def call(
        self, src: str, dst: str, method: str, path: str, body: Any, timeout: float
    ) -> Response:
        return await self._http_client.call(dst, method, path, body, timeout_s=timeout)

    async def close(self) -> None:
        """Close all connections of the client."""
        await self._http_client.close()


class FakeServices:
    """Key-value store, cloud and workers, with a history and hooks around requests."""

    def __init__(self, controllers: list[tuple[str, str]], machines: int) -> None:
        self.network = LoopbackNetwork()
        self.history = History()
        self.store = FakeKeyValueStore()
        self.store_address = self.network.bind("state")
        self.network.hosts[self.store_address] = self._serve_store
        self.cloud = FakeCloud(self.network, controllers, self.network.bind)
        self.cloud_address = self.network.bind("cloud")
        self.network.hosts[self.cloud_address] = self.cloud.serve
        self.cloud.image_fetch_s, self.cloud.boot_s = 0.02, 0.1
        self.cloud.on_start = self._record_start
        self.cloud.on_end = self._record_end
        self.cloud.wrap_endpoint = self._wrap_worker
        self.before_write = self.after_write = no_hook
        self.before_start = self.after_start = no_hook
        self.starts: list[tuple[int, float]] = []  # attempt number, time
        for _ in range(machines):
            self.cloud.add_machine()

    def now(self) -> float:
        """The monotonic clock of this process."""
        return asyncio.get_running_loop().time()

    async def _serve_store(self, method: str, path: str, body: Any) -> Response:
        if path != "/multi" or not body.get("apply"):
            return await self.store.serve(method, path, body)
        await self.before_write(path, body)
        reply = await self.store.serve(method, path, body)
        if reply.status == 200:
            for op in body["apply"]:
                if op.get("set", "").startswith(FINAL_PREFIX):
                    job = op["set"][len(FINAL_PREFIX) :]
                    self.history.finals.append(FinalWritten(job, op["v"]["stage"]))
        await self.after_write(path, body)
        return reply

    def _wrap_worker(self, serve: Endpoint) -> Endpoint:
        async def hooked(method: str, path: str, body: Any) -> Response:
            starts = path == "/orders" and any(o["verb"] == "start" for o in body["orders"])
            if not starts:
                return await serve(method, path, body)
            await self.before_start(path, body)
            reply = await serve(method, path, body)
            await self.after_start(path, body)
            return reply

        return hooked

    def _record_start(self, worker: FakeWorker, task: Task) -> None:
        run = Run(task.name, task.number, worker.name, self.now())
        self.history.runs.append(run)
        self.starts.append((task.number, run.started_at))

    def _record_end(self, worker: FakeWorker, task: Task) -> None:
        """Record that a task has ended, or that its machine's lease has expired."""
        for run in reversed(self.history.runs):
            if (run.task, run.attempt, run.machine) == (task.name, task.number, worker.name):
                run.done = run.done or task.cause == "done"
                run.result_lost = task.stage != "ended" or run.ended_at is not None
                run.ended_at = run.ended_at or self.now()
                return
