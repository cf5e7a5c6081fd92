"""A small deployment: controller processes, the stand-ins around them, and users."""

import asyncio
import json
import os
import shlex
import shutil
import signal
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.standins.cloud import Cloud, Task, Worker
from review.standins.http import Client, ReservedAddress
from review.standins.record import Record
from review.standins.state import StateService

ROOT = Path(__file__).resolve().parents[2]
USER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
WAIT_STEP_S = 0.02

# Machine types and settings of the second operator's site (zhanibek-almaty).
BUILDS = {
    "shagyn": {
        "name": "shagyn",
        "vcpus": 8.0,
        "gpus": 0.0,
        "memoryGb": 64.0,
        "localGb": 70.0,
        "pullGbPerS": 0.4,
        "hourly": 0.48,
        "marketPrice": 0.16,
        "startupS": 20.0,
        "yards": ["almaty", "astana"],
    },
    "karagai": {
        "name": "karagai",
        "vcpus": 64.0,
        "gpus": 0.0,
        "memoryGb": 128.0,
        "localGb": 40.0,
        "pullGbPerS": 0.25,
        "hourly": 2.99,
        "marketPrice": 0.96,
        "startupS": 25.0,
        "yards": ["almaty", "astana"],
    },
}
SITES = ["almaty", "astana", "almaty"]
SETTINGS: dict[str, Any] = {
    "count": 3,
    "zones": ["almaty", "astana"],
    "teams": [
        {"name": f"dispetcher-{n}", "cpus": 64.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0}
        for n in range(1, 7)
    ],
    "objectives": [
        {"kind": "deadline", "class": "tungi-marshrut", "share": 0.85, "times": 1.0},
        {"kind": "wait", "class": "tanerten-tuzetu", "within_s": 5.0, "share": 0.85},
    ],
    "workers": {"report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0},
    "state": {"rps": 80.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 5.0},
    "machine_limits": {"core_share": 0.288, "memory_mb": 186.0, "sockets": 1500},
    "skew_ms": 5.0,
}


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A submission."""
    return {
        "id": f"job-{number:06d}",
        "lane": "mekenzhai-tazalau",
        "crew": "dispetcher-1",
        "shape": "array",
        "rank": "standard",
        "pieces": 1,
        "vcpus": 4.0,
        "gpus": 0.0,
        "memoryGb": 4.6,
        "bundle": "img-01",
        "pullGb": 0.2,
        "builds": None,
        "yard": None,
        "oneZone": False,
        "scatter": False,
        "loaners": True,
        "expectS": 35.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
    } | fields


@dataclass
class Node:
    """A controller and its process."""

    label: str
    listen: str
    cluster_listen: str
    config: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        with self.config.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(self.config)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Three controllers, the state service, the cloud and its workers."""

    def __init__(self, record: Record, settings: dict[str, Any] | None = None) -> None:
        self.record = record
        self.settings = settings or SETTINGS
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []
        self._reserved: list[ReservedAddress] = []
        self.client = Client()
        state, workers = self.settings["state"], self.settings["workers"]
        self.state = StateService(record, state["rps"], state["write_rps"])
        self.cloud = Cloud(
            record,
            self.client,
            BUILDS,
            [],
            workers["report_s"],
            workers["lease_s"],
            self.settings["cloud"]["list_lag_s"],
            lambda task: task.job["expectS"],
        )

    async def start(self, machines: list[tuple[str, str]]) -> None:
        """Start the stand-ins, then the controllers; return once they can take requests.

        `machines`: type and zone of each on-demand machine that is up at the start.
        """
        for number, site in enumerate(SITES):
            label = f"spindle-{number}"
            public, peers = ReservedAddress(), ReservedAddress()
            self._reserved += [public, peers]
            node = Node(label, str(public), str(peers), self.directory / f"{label}.json")
            self.nodes.append(node)
            self.cloud.nodes.append((label, node.listen))
            outside = {
                "cloud": await self.cloud.listen(label),
                "state": await self.state.listen(label),
            }
            config = {
                "label": label,
                "site": site,
                "listen": node.listen,
                "cluster_listen": node.cluster_listen,
                "outside": outside,
                "settings": self.settings,
            }
            node.config.write_text(json.dumps(config), encoding="utf-8")
        for node in self.nodes:
            config = json.loads(node.config.read_text(encoding="utf-8"))
            config["seeds"] = [
                {"label": other.label, "site": site, "endpoint": other.cluster_listen}
                for other, site in zip(self.nodes, SITES, strict=True)
                if other is not node
            ]
            node.config.write_text(json.dumps(config), encoding="utf-8")
        for build, yard in machines:
            await self.cloud.add(build, yard)
        self.cloud.start()
        for node in self.nodes:
            node.start()
        await self.until(self._all_healthy, 30.0, "all controllers are healthy")

    async def _all_healthy(self) -> bool:
        statuses = [(await self.client.call(n.listen, "GET", "/healthz"))[0] for n in self.nodes]
        return all(status == 200 for status in statuses) and self.state.leader() is not None

    async def close(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.kill()
        for worker in list(self.cloud.workers.values()):
            worker.stop()
        for address in self._reserved:
            address.release()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.directory)
        await self.client.close()

    def leader(self) -> Node:
        """The controller that the leader key names."""
        label = self.state.leader()
        return next(node for node in self.nodes if node.label == label)

    async def until(self, check: Any, limit_s: float, what: str) -> None:
        """Wait until a check holds; it is a function or a coroutine function."""
        ends_at = self.record.now() + limit_s
        while True:
            result = check()
            if await result if asyncio.iscoroutine(result) else result:
                return
            if self.record.now() > ends_at:
                raise CannotRunError(f"not within {limit_s:g} s: {what}")
            await asyncio.sleep(WAIT_STEP_S)

    # -- users ----------------------------------------------------------------------------

    async def request(
        self, node: Node, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a user's request once, and record the answer."""
        timeout_s = POLL_TIMEOUT_S if method == "GET" else USER_TIMEOUT_S
        status, data = await self.client.call(node.listen, method, path, body, timeout_s)
        request = f"{method} {path}"
        self.record.write("user", node=node.label, request=request, status=status, answer=data)
        return status, data

    async def repeat(self, nodes: list[Node], method: str, path: str, body: Any = None) -> Any:
        """Send a user's request until it gets a final answer; return its body."""
        for attempt in range(30):
            status, data = await self.request(nodes[attempt % len(nodes)], method, path, body)
            if status in (200, 201):
                return data
            if status in (400, 404, 422):
                raise CannotRunError(f"{method} {path}: {status} {data}")
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{method} {path}: no answer")

    async def submit(self, submission: dict[str, Any], nodes: list[Node] | None = None) -> Any:
        """Submit a job."""
        self.cloud.jobs[submission["id"]] = submission
        return await self.repeat(nodes or self.nodes, "POST", "/submissions", submission)

    async def cancel(self, name: str, nodes: list[Node] | None = None) -> Any:
        """Cancel a job."""
        return await self.repeat(nodes or self.nodes, "POST", f"/submissions/{name}/withdraw")

    def running(self, name: str) -> list[tuple[Worker, Task]]:
        """The tasks of a job that are on machines."""
        return [
            (worker, task)
            for worker in self.cloud.workers.values()
            for task in worker.running()
            if task.piece.split("/")[0] == name
        ]


class CannotRunError(Exception):
    """The case could not run."""
