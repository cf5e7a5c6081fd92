"""The fakes of key-value store, cloud and workers, served over HTTP on loopback."""

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
    """Nothing happens at this point."""


def bound_socket() -> socket.socket:
    """A socket on loopback with a port that the system has chosen."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind(("127.0.0.1", 0))
    return found


def address_of(bound: socket.socket) -> str:
    """The address of a socket."""
    return f"127.0.0.1:{bound.getsockname()[1]}"


class LoopbackNetwork(FakeNetwork):
    """Calls go over HTTP; what is put into `hosts` is served once its address is bound."""

    def __init__(self) -> None:
        super().__init__()
        self._http_client = AiohttpClient()
        self._open: set[Connection] = set()

    def bind(self, name: str) -> str:
        """A new address; requests go to whatever `hosts` has for it."""
        bound = bound_socket()
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
            return Response(503, {"error": "gone"})
        body = orjson.loads(request.body) if request.body else None
        return await endpoint(request.method, request.path, body)

    async def call(
        self, src: str, dst: str, method: str, path: str, body: Any, timeout: float
    ) -> Response:
        return await self._http_client.call(dst, method, path, body, timeout_s=timeout)

    async def close(self) -> None:
        """End all calls."""
        await self._http_client.close()


class Stage:
    """Key-value store, cloud and workers, with a history, and hooks before and after requests."""

    def __init__(self, controllers: list[tuple[str, str]], machines: int) -> None:
        self.network = LoopbackNetwork()
        self.history = History()
        self.state = FakeKeyValueStore()
        self.state_address = self.network.bind("state")
        self.network.hosts[self.state_address] = self._serve_state
        self.cloud = FakeCloud(self.network, controllers, self.network.bind)
        self.cloud_address = self.network.bind("cloud")
        self.network.hosts[self.cloud_address] = self.cloud.serve
        self.cloud.pull_s, self.cloud.boot_s = 0.02, 0.1
        self.cloud.on_start = self._started
        self.cloud.on_end = self._ended
        self.cloud.wrap = self._wrap_worker
        self.before_write = self.after_write = no_hook
        self.before_start = self.after_start = no_hook
        self.first_starts: list[tuple[int, float]] = []  # by attempt number
        for _ in range(machines):
            self.cloud.add()

    def now(self) -> float:
        """The steady clock of this process."""
        return asyncio.get_running_loop().time()

    async def _serve_state(self, method: str, path: str, body: Any) -> Response:
        if path != "/multi" or not body.get("apply"):
            return await self.state.serve(method, path, body)
        await self.before_write(path, body)
        reply = await self.state.serve(method, path, body)
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

    def _started(self, worker: FakeWorker, task: Task) -> None:
        run = Run(task.name, task.number, worker.name, self.now())
        self.history.runs.append(run)
        self.first_starts.append((task.number, run.began))

    def _ended(self, worker: FakeWorker, task: Task) -> None:
        """A task has come to its end, or its machine's lease has."""
        for run in reversed(self.history.runs):
            if (run.task, run.attempt, run.machine) == (task.name, task.number, worker.name):
                run.done = run.done or task.cause == "done"
                run.lost = task.stage != "ended" or run.ended is not None
                run.ended = run.ended or self.now()
                return
