"""Fakes of the cloud and its workers, written from their protocols."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from spoolcourse.control.http_client import NoResponseError, Response
from tests.fakes.clock import spawn
from tests.fakes.network import Endpoint, FakeHttpClient, FakeNetwork

MACHINE_TYPE = {
    "name": "c8",
    "vcpus": 8.0,
    "gpus": 0.0,
    "memoryGb": 32.0,
    "localGb": 50.0,
    "pullGbPerS": 1.0,
    "hourly": 1.0,
    "marketPrice": 0.3,
    "startupS": 10.0,
    "yards": ["a", "b"],
}


class Task:
    def __init__(self, name: str, number: int) -> None:
        self.name, self.number = name, number
        self.stage = "pulling"
        self.cause: str | None = None
        self.started: float | None = None

    @property
    def is_running(self) -> bool:
        return self.stage in ("running", "flushing")

    def to_json_object(self) -> dict[str, Any]:
        entry: dict[str, Any] = {"piece": self.name, "try": self.number, "stage": self.stage}
        if self.cause:
            entry["cause"] = self.cause
        return entry


class FakeWorker:
    """A machine's worker: one heartbeat in flight, drops what the protocol says it drops."""

    def __init__(self, cloud: FakeCloud, name: str, host: dict[str, Any]) -> None:
        self.cloud, self.name, self.host = cloud, name, host
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.lease_renewed_at = asyncio.get_running_loop().time()
        self.termination_notice_s: float | None = None
        self.controller_index = 0
        self.alive = True
        self.http_client: FakeHttpClient = cloud.network.client_of(name)
        self._changed = asyncio.Event()
        cloud.network.hosts[host["address"]] = cloud.wrap_endpoint(self.serve)
        self.background_tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._expire_lease()),
        ]

    def die(self) -> None:
        self.alive = False
        self._lose_tasks()
        self.cloud.network.hosts.pop(self.host["address"], None)
        for loop in self.background_tasks:
            loop.cancel()

    def heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        return {
            "spindle": self.name,
            "address": self.host["address"],
            "build": self.host["build"],
            "yard": self.host["yard"],
            "loaners": self.host["loaners"],
            "shift": self.incarnation,
            "tick": self.sequence,
            "baton": self.fencing_token,
            "recallS": self.termination_notice_s,
            "pieces": [t.to_json_object() for t in self.tasks.values()],
        }

    def execute(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            key = (command["piece"], command["try"])
            task = self.tasks.get(key)
            if command["verb"] == "start" and task is None:
                self.tasks[key] = Task(*key)
                spawn(self._run(self.tasks[key], self.incarnation))
            elif command["verb"] == "halt" and task is not None and task.stage != "ended":
                self._end(task, "halted")
            elif command["verb"] == "reap" and task is not None and task.stage == "ended":
                del self.tasks[key]
        self._changed.set()

    async def _run(self, task: Task, incarnation: int) -> None:
        await asyncio.sleep(self.cloud.image_fetch_s)
        if not (self._is_current(task, incarnation) and task.stage == "pulling"):
            return
        if task.name in self.cloud.results:
            self._end(task, "done")
            self._changed.set()
        else:
            task.stage = "running"
            self.cloud.record_start(self, task)
            self._changed.set()
            await asyncio.sleep(self.cloud.run_s(task.name))
            if self._is_current(task, incarnation) and task.stage == "running":
                self._end(task, self.cloud.end_cause(self, task))
                self._changed.set()

    def _end(self, task: Task, cause: str) -> None:
        task.stage, task.cause = "ended", cause
        if cause == "done" and not self.cloud.is_replica(task.name):
            self.cloud.results.add(task.name)
        self.cloud.on_end(self, task)

    def _lose_tasks(self) -> None:
        for task in self.tasks.values():
            self.cloud.on_end(self, task)
        self.tasks.clear()

    def _is_current(self, task: Task, incarnation: int) -> bool:
        return self.alive and incarnation == self.incarnation and task in self.tasks.values()

    async def _expire_lease(self) -> None:
        while True:
            await asyncio.sleep(self.cloud.lease_check_interval_s)
            if asyncio.get_running_loop().time() - self.lease_renewed_at > self.cloud.lease_s:
                self.incarnation += 1
                self._lose_tasks()
                self.lease_renewed_at = asyncio.get_running_loop().time()
                self._changed.set()

    async def _send_heartbeats(self) -> None:
        controllers = self.cloud.controllers
        while True:
            sent_at, incarnation = asyncio.get_running_loop().time(), self.incarnation
            self._changed.clear()
            try:
                reply = await self.http_client.call(
                    controllers[self.controller_index][1],
                    "POST",
                    "/v1/report",
                    self.heartbeat(),
                    timeout_s=4.0,
                )
            except NoResponseError:
                reply = Response(0)
            if reply.status == 200:
                fencing_token = (reply.data or {}).get("baton", 0)
                if incarnation == self.incarnation and fencing_token >= self.fencing_token:
                    if fencing_token > self.fencing_token:
                        self._changed.set()
                    self.fencing_token, self.lease_renewed_at = fencing_token, sent_at
                    self.execute(reply.data["orders"])
            else:
                labels = [label for label, _ in controllers]
                leader = (reply.data or {}).get("foreman")
                if (
                    reply.status == 421
                    and leader in labels
                    and leader != labels[self.controller_index]
                ):
                    self.controller_index = labels.index(leader)
                else:
                    self.controller_index = (self.controller_index + 1) % len(controllers)
                    await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(self.cloud.heartbeat_interval_s - 0.5):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def serve(self, method: str, path: str, body: Any) -> Response:
        if path == "/show":
            return Response(200, self.heartbeat())
        if "baton" not in body or "shift" not in body:
            return Response(400, {})
        if body["baton"] < self.fencing_token or body["shift"] != self.incarnation:
            return Response(409, self.heartbeat())
        if body["baton"] > self.fencing_token:
            self._changed.set()
        self.fencing_token = body["baton"]
        self.execute(body["orders"])
        return Response(200, self.heartbeat())


class FakeCloud:
    """The cloud's API and its machines; `violations` lists the rules that were broken."""

    def __init__(
        self,
        network: FakeNetwork,
        controllers: list[tuple[str, str]],
        address_of: Callable[[str], str] = lambda name: f"{name}:9000",
    ) -> None:
        self.network, self.controllers, self.address_of = network, controllers, address_of
        self.wrap_endpoint: Callable[[Endpoint], Endpoint] = lambda serve: serve
        self.on_end: Callable[[FakeWorker, Task], None] = lambda worker, task: None
        self.workers: dict[str, FakeWorker] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.provisions: dict[str, list[str]] = {}
        self.created_at: dict[str, float] = {}
        self._created_count = 0
        self.capacity = 50
        self.lease_s, self.heartbeat_interval_s, self.image_fetch_s, self.boot_s = (
            10.0,
            1.5,
            1.0,
            5.0,
        )
        self.run_s: Callable[[str], float] = lambda task: 10.0
        self.end_cause: Callable[[FakeWorker, Task], str] = lambda worker, task: "done"
        self.results: set[str] = set()  # tasks with a result: started again, they exit at once
        self.is_replica: Callable[[str], bool] = lambda task: False
        self.lease_check_interval_s = 0.1  # how often a worker checks its own lease
        self.violations: list[str] = []
        self.on_start: Callable[[FakeWorker, Task], None] = lambda worker, task: None
        self.starts: list[tuple[float, str, str]] = []
        self.never_booting: set[str] = set()

    def record_start(self, worker: FakeWorker, task: Task) -> None:
        self.starts.append((asyncio.get_running_loop().time(), task.name, worker.name))
        for other in self.workers.values():
            for duplicate in other.tasks.values():
                if duplicate is not task and duplicate.name == task.name and duplicate.is_running:
                    self.violations.append(f"{task.name} ran twice: {worker.name}, {other.name}")
        self.on_start(worker, task)

    def running_tasks(self, job: str) -> list[str]:
        return [
            t.name
            for w in self.workers.values()
            for t in w.tasks.values()
            if t.is_running and t.name.startswith(job + "/")
        ]

    def add_machine(self, zone: str = "a", spot: bool = False, boot_s: float = 0.0) -> str:
        name = f"m-{self._created_count:06d}"  # never reused
        self._created_count += 1
        host = {
            "id": name,
            "address": self.address_of(name),
            "build": "c8",
            "yard": zone,
            "loaners": spot,
            "stage": "starting",
        }
        self.hosts[name] = host
        self.created_at[name] = asyncio.get_running_loop().time()
        spawn(self._boot(name, host, boot_s))
        return name

    async def _boot(self, name: str, host: dict[str, Any], boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if name in self.hosts and name not in self.never_booting:
            host["stage"] = "running"
            self.workers[name] = FakeWorker(self, name, host)

    def lose_machine(self, name: str) -> None:
        """Remove a machine at once, without a termination notice."""
        self.hosts.pop(name, None)
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()

    async def serve(self, method: str, path: str, body: Any) -> Response:
        url = urlsplit(path)
        if url.path == "/catalog":
            return Response(200, {"builds": [MACHINE_TYPE]})
        if url.path == "/hosts/delete":
            if len(body["spindles"]) > 100:
                return Response(400, {"error": "too many names"})
            for name in body["spindles"]:
                self.lose_machine(name)
            return Response(200, {})
        if method == "POST":
            if body["count"] > 50:
                return Response(400, {"error": "too many machines"})
            if body["hire"] not in self.provisions:
                count = min(body["count"], self.capacity - len(self.hosts))
                if count < 1:
                    return Response(503, {"error": "no capacity"})
                self.provisions[body["hire"]] = [
                    self.add_machine(body["yard"], body["loaners"], self.boot_s)
                    for _ in range(count)
                ]
            return Response(200, {"spindles": self.provisions[body["hire"]]})
        query = parse_qs(url.query)
        since, page = query.get("since", [""])[0], int(query["page"][0])
        now = asyncio.get_running_loop().time()
        listed = [
            h | {"ageS": now - self.created_at[n]}
            for n, h in sorted(self.hosts.items())
            if n > since
        ]
        return Response(200, {"spindles": listed[:page], "hasNext": len(listed) > page})
