"""Three controllers with fakes of the key-value store, the cloud, the workers and users."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import orjson

from spoolcourse.control.controller import Controller
from spoolcourse.control.http_client import NoResponseError, Request, Response
from spoolcourse.control.leader.active_leader import ActiveLeader
from spoolcourse.policy.keys import compile_policy
from spoolcourse.wire.settings import Settings, parse_settings
from spoolcourse.wire.standby_settings import STANDBY_OFF, StandbySettings
from tests.fakes.cloud import FakeCloud, FakeWorker, Task
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork

LABELS = ("n0", "n1", "n2")

# Every scenario can run with the warm standby on and verified; `.ci/run` runs both variants.
STANDBY = (
    StandbySettings(enabled=True, verify=True) if os.environ.get("WARM_STANDBY") else STANDBY_OFF
)


def settings(label: str = "n0", **params: Any) -> Settings:
    data = {
        "label": label,
        "site": "a",
        "listen": f"{label}:80",
        "cluster_listen": f"{label}:81",
        "seeds": [{"label": s, "site": "a", "endpoint": f"{s}:81"} for s in LABELS if s != label],
        "outside": {"cloud": "cloud:1", "state": "state:1"},
        "settings": {
            "zones": ["a", "b"],
            "teams": [
                {"name": "red", "cpus": 16.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "blue", "cpus": 16.0, "cpus_max": 32.0, "gpus": 0.0, "gpus_max": 0.0},
            ],
            "workers": {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 10.0, "list_lag_s": 5.0},
        }
        | params,
    }
    return parse_settings(orjson.dumps(data), "test")


def job(number: int = 1, **fields: Any) -> dict[str, Any]:
    return {
        "id": f"job-{number:06d}",
        "lane": "batch",
        "crew": "red",
        "shape": "array",
        "rank": "standard",
        "pieces": 4,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memoryGb": 4.0,
        "bundle": "img",
        "pullGb": 1.0,
        "builds": None,
        "yard": None,
        "oneZone": False,
        "scatter": False,
        "loaners": True,
        "expectS": 10.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
    } | fields


class World:
    def __init__(
        self,
        policy: dict[str, object] | None = None,
        params: dict[str, Any] | None = None,
        standby: StandbySettings | None = None,
    ) -> None:
        self.standby = STANDBY if standby is None else standby
        self.params = params or {}
        self.policy = compile_policy(policy or {}, "test")
        self.network = FakeNetwork()
        self.store = FakeKeyValueStore()
        self.cloud = FakeCloud(self.network, [(n, f"{n}:80") for n in LABELS])
        self.network.hosts["state:1"] = self.store.serve
        self.network.hosts["cloud:1"] = self.cloud.serve
        self.controllers: dict[str, Controller] = {}
        self.start_count = 0
        self.accepted_jobs: dict[str, dict[str, Any]] = {}  # by job ID
        self.final_stages: dict[str, str] = {}  # final stage reported to a user
        self.cancel_confirmed_at: dict[str, float] = {}  # when reported to a user
        self.starts_after_cancellation: list[str] = []  # task names
        self.cloud.on_start = self._on_start
        self.cloud.is_replica = self._is_replica
        self._watcher: asyncio.Task[None] | None = None

    # -- rules ---------------------------------------------------------------------------

    def _record_violation(self, violation: str) -> None:
        self.cloud.violations.append(violation)

    def _is_replica(self, task: str) -> bool:
        job = self.accepted_jobs.get(task.split("/", maxsplit=1)[0])
        return job is not None and job["shape"] == "standing"

    def _on_start(self, worker: FakeWorker, task: Task) -> None:
        """Check team limits, zones and cancellations at each start of a task."""
        name = task.name.split("/")[0]
        body = self.accepted_jobs.get(name)
        if body is None:
            return
        running: list[tuple[str, str]] = [
            (t.name.split("/")[0], w.host["yard"])
            for w in self.cloud.workers.values()
            for t in w.tasks.values()
            if t.is_running
        ]
        limits = {team.name: team.cpu_limit for team in settings(**self.params).settings.teams}
        used = sum(
            other["vcpus"]
            for job, _ in running
            if (other := self.accepted_jobs.get(job)) and other["crew"] == body["crew"]
        )
        if used > limits[body["crew"]]:
            self._record_violation(f"{task.name}: {body['crew']} uses {used}")
        yards = [yard for job, yard in running if job == name]
        if body["oneZone"] and len(set(yards)) > 1:
            self._record_violation(f"{task.name}: runs in two zones")
        if body["scatter"] and yards.count(worker.host["yard"]) > -(-body["pieces"] // 2):
            self._record_violation(f"{task.name}: too many tasks in {worker.host['yard']}")
        if name in self.cancel_confirmed_at:
            self.starts_after_cancellation.append(task.name)

    async def _watch_cancelled(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for name, at in self.cancel_confirmed_at.items():
                if self.now() - at > 40.0 and self.cloud.running_tasks(name):
                    self._record_violation(f"{name}: tasks run {self.now() - at:.1f} s later")

    def _check_reply(self, method: str, path: str, body: Any, reply: Response) -> None:
        """Check that accepted jobs stay known and that reported final stages never change."""
        if path == "/submissions" and reply.status == 201:
            self.accepted_jobs[body["id"]] = body
        name = reply.data.get("id") if isinstance(reply.data, dict) else None
        if (
            reply.status == 404
            and method == "GET"
            and path.rsplit("/", maxsplit=1)[-1] in self.accepted_jobs
        ):
            self._record_violation(f"{path}: accepted job is unknown")
        if reply.status not in (200, 201) or name is None:
            return
        stage, before = reply.data["stage"], self.final_stages.get(name)
        if before not in (None, stage):
            self._record_violation(f"{name}: {before}, then {stage}")
        if stage in ("done", "aborted"):
            self.final_stages[name] = stage
        if stage == "aborted":
            self.cancel_confirmed_at.setdefault(name, self.now())

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def start(self, *labels: str) -> None:
        for label in labels or LABELS:
            self.start_count += 1
            controller = Controller(
                settings(label, **self.params),
                self.network.client_of(label),
                self.policy,
                wall_clock=self.now,
                run_id=f"run{self.start_count}",
                standby=self.standby,
            )
            self.controllers[label] = controller
            self.network.hosts[f"{label}:80"] = self._endpoint(controller.public_handler)
            self.network.hosts[f"{label}:81"] = self._endpoint(controller.cluster_handler)
            controller.start()

    @staticmethod
    def _endpoint(handler: Any) -> Any:
        async def serve(method: str, path: str, body: Any) -> Response:
            raw = b"" if body is None else orjson.dumps(body)
            result = handler(Request(method, path, raw))
            reply: Response = result if isinstance(result, Response) else await result
            return reply

        return serve

    def cut_off(self, host: str) -> None:
        """Block all traffic to and from the host."""
        self.network.filters.append(
            lambda src, dst, *rest: "cut" if host in (src, dst.split(":")[0]) else None
        )

    def kill(self, label: str) -> None:
        self.controllers.pop(label).stop()
        del self.network.hosts[f"{label}:80"], self.network.hosts[f"{label}:81"]

    def active(self, label: str | None = None) -> ActiveLeader:
        """The active leader on a controller, by default on the first one that leads."""
        term = self.controllers[label or str(self.leader)].leader_term
        assert term is not None
        assert term.active is not None
        return term.active

    @property
    def leader(self) -> str | None:
        return next((n for n, c in self.controllers.items() if c.leader_term is not None), None)

    async def until(self, check: Any, limit_s: float = 120.0) -> float:
        """Wait until the check holds; returns the seconds it took."""
        began = self.now()
        while not check():
            if self.now() - began > limit_s:
                raise AssertionError(f"condition did not hold within {limit_s} s")
            await asyncio.sleep(0.1)
        return self.now() - began

    async def start_controllers(self) -> None:
        self.start()
        if self._watcher is None:
            self._watcher = asyncio.create_task(self._watch_cancelled())
        await self.until(
            lambda: self.leader and all(c.health.ready for c in self.controllers.values()), 20
        )

    async def start_with_machine(self) -> str:
        """Start controllers and one machine they did not provision; wait until they know it."""
        await self.start_controllers()
        name = self.cloud.add_machine()
        await asyncio.sleep(5)
        return name

    async def request(self, label: str, method: str, path: str, body: Any = None) -> Response:
        try:
            reply = await self.network.call("user", f"{label}:80", method, path, body, 5.0)
        except NoResponseError:
            return Response(0)
        self._check_reply(method, path, body, reply)
        return reply

    async def submit(self, body: Any, label: str = "n0") -> Response:
        return await self.request(label, "POST", "/submissions", body)

    async def poll(self, number: int = 1, label: str = "n0") -> Response:
        return await self.request(label, "GET", f"/submissions/job-{number:06d}")

    async def cancel(self, number: int = 1, label: str = "n0") -> Response:
        return await self.request(label, "POST", f"/submissions/job-{number:06d}/withdraw")

    async def wait_until_done(self, number: int = 1, limit_s: float = 120.0) -> float:
        """Poll every controller in turn until the job is done; returns the seconds it took."""
        began = self.now()
        while self.now() - began < limit_s:
            for label in list(self.controllers):
                reply = await self.poll(number, label)
                if reply.status == 200 and reply.data["stage"] == "done":
                    return self.now() - began
            await asyncio.sleep(0.5)
        raise AssertionError(f"job {number} not done within {limit_s} s")
