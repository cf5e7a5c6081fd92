"""One trial: controller processes, users, and leaders that are killed or paused at chosen points.

All random choices come from a seed, but the timing of processes does not: a seed replays a trial
only approximately.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

import orjson

from spoolcourse.control.http_client import NoResponseError, Response
from spoolcourse.control.store.keys import LEADER_KEY, PROGRESS_PREFIX
from tests.fakes.world import job
from tests.loopback.fake_services import FakeServices, address_of, bind_socket, no_hook
from tests.loopback.history import ReportedStage, rule_violations

ROOT = Path(__file__).resolve().parent.parent.parent
START_LIMIT_S = 40.0
JOBS_END_LIMIT_S = 60.0  # for all accepted jobs to end after the last failure
JOBS_END_LIMIT_LEASES = 4  # or this many worker leases, if that is longer
RESTART_DELAY_S = 1.5
HEARTBEATS_PER_LEASE = 5
CHECKS_PER_LEASE = 50  # how often a worker checks its lease, per lease time
CANCEL_LEASES = 4
PAUSE_S = 4.0  # longer than the leader's lease
SETTLE_S = 0.5  # for the failed controller to be back
ATTEMPT_NUMBER_BITS = 24


class KillPoint(Enum):
    """When the leader is killed or paused."""

    BEFORE_WRITE = "before a placement is written"
    AFTER_WRITE = "after it is written, before its answer"
    BEFORE_START = "before a start reaches its worker"
    AFTER_START = "after it has reached its worker"
    RANDOM = "at some moment"


@dataclass(frozen=True, slots=True)
class Options:
    """The parameters of a trial."""

    seed: int
    standby: bool
    controllers: int = 3
    kills: int = 2
    pauses: bool = True  # some leaders are paused instead of killed
    lag: bool = False  # a burst of changes is written just before each failure
    machines: int = 4
    heartbeat_interval_s: float = 1.0  # of a worker; its lease is five times that


@dataclass(frozen=True, slots=True)
class FailoverTimes:
    """How long one failover took."""

    point: str
    paused: bool
    to_first_start_s: float
    phases_s: dict[str, float]
    proof: str


@dataclass(slots=True)
class Outcome:
    """The result of a trial; the field names are those of the `--out` file."""

    options: Options
    broken: list[str] = field(default_factory=list)
    takeovers: list[FailoverTimes] = field(default_factory=list)
    submissions: int = 0
    refused: int = 0  # user requests with a 503 reply or no reply


class ControllerProcess:
    """A controller running as a process of its own."""

    def __init__(self, label: str, config: Path, standby: bool) -> None:
        self.label = label
        self.public, self.peers = "", ""
        self._config = config
        self._arguments = ["serve", "--config", str(config)]
        if standby:
            self._arguments += ["--standby", str(ROOT / "deploy" / "standby.toml")]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its log goes to a file next to its settings."""
        with open(self._config.with_suffix(".log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "run.py"), *self._arguments],
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process; after SIGKILL, wait for it to exit."""
        assert self.process is not None
        self.process.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            self.process.wait()


class FailoverTrial:
    """Runs controllers, users and leader failures, then checks the history."""

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        self.outcome = Outcome(options)
        self._random = Random(options.seed)
        self._lease_s = HEARTBEATS_PER_LEASE * options.heartbeat_interval_s
        self._cancel_s = CANCEL_LEASES * self._lease_s
        self._directory = directory
        self.controllers: list[ControllerProcess] = []
        self._stages: dict[str, str] = {}  # of accepted jobs, last reported
        self._job_count = 0
        self._submitting = True

    async def run(self) -> Outcome:
        """Run the trial and check the history."""
        self._prepare()
        users = asyncio.create_task(self._run_users())
        try:
            for controller in self.controllers:
                controller.start()
            await self._wait_until(self._has_started_task, START_LIMIT_S)
            for _ in range(self.options.kills):
                await asyncio.sleep(self._random.uniform(1.0, 2.5))
                await self._fail_leader()
            self._submitting = False
            await self._wait_until(
                self._all_jobs_ended, max(JOBS_END_LIMIT_S, JOBS_END_LIMIT_LEASES * self._lease_s)
            )
        except TimeoutError as exc:
            self.outcome.broken.append(str(exc))
        finally:
            users.cancel()
            self._kill_controllers()
            for bound in self._ports:
                bound.close()
            for worker in list(self.services.cloud.workers.values()):
                worker.die()
            await self.services.network.close()
        self.services.history.ended_at = self.services.now()
        self.outcome.broken += self.services.cloud.violations
        self.outcome.broken += rule_violations(self.services.history, self._cancel_s)
        return self.outcome

    # -- processes ------------------------------------------------------------------------

    def _prepare(self) -> None:
        labels = [f"n{number}" for number in range(self.options.controllers)]
        sockets = {label: (bind_socket(), bind_socket()) for label in labels}
        for label, (public, peers) in sockets.items():
            controller = ControllerProcess(
                label, self._directory / f"{label}.json", self.options.standby
            )
            controller.public, controller.peers = address_of(public), address_of(peers)
            self.controllers.append(controller)
        # Bound for the whole trial but never listened on here: a controller process can still
        # listen on its port, and the system gives it to nobody else while that process is down.
        self._ports = [bound for pair in sockets.values() for bound in pair]
        controllers = [(controller.label, controller.public) for controller in self.controllers]
        self.services = FakeServices(controllers, self.options.machines)
        self.services.cloud.heartbeat_interval_s = self.options.heartbeat_interval_s
        self.services.cloud.lease_s = self._lease_s
        self.services.cloud.lease_check_interval_s = self._lease_s / CHECKS_PER_LEASE
        for controller in self.controllers:
            path = self._directory / f"{controller.label}.json"
            path.write_bytes(orjson.dumps(self._settings(controller)))

    def _settings(self, controller: ControllerProcess) -> dict[str, Any]:
        others = [other for other in self.controllers if other is not controller]
        seeds = [{"label": other.label, "endpoint": other.peers, "site": "a"} for other in others]
        return {
            "label": controller.label,
            "listen": controller.public,
            "cluster_listen": controller.peers,
            "seeds": seeds,
            "outside": {"cloud": self.services.cloud_address, "state": self.services.store_address},
            "settings": {
                "zones": ["a", "b"],
                "teams": [{"name": "red", "cpus": 16.0, "cpus_max": 0.0}],
                "workers": {
                    "report_s": self.options.heartbeat_interval_s,
                    "lease_s": self._lease_s,
                    "cancel_s": self._cancel_s,
                },
                "state": {"rps": 2000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
            },
        }

    def _kill_controllers(self) -> None:
        for controller in self.controllers:
            if controller.process is not None and controller.process.poll() is None:
                controller.send_signal(signal.SIGKILL)

    def _leader(self) -> ControllerProcess | None:
        value = self.services.store.value(LEADER_KEY)
        return next((n for n in self.controllers if value and n.label == value["label"]), None)

    # -- failures -------------------------------------------------------------------------

    async def _fail_leader(self) -> None:
        """Kill or pause the leader, and wait for the first task start of its successor."""
        await self._wait_until(lambda: self._leader() is not None, START_LIMIT_S)
        leader = self._leader()
        assert leader is not None
        point = self._random.choice(list(KillPoint))
        paused = self.options.pauses and self._random.random() < 0.4
        term = self._term()
        if self.options.lag:
            self._write_burst()
        await self._fail_at(leader, point, paused)
        failed_at = self.services.now()
        asyncio.get_running_loop().call_later(
            PAUSE_S if paused else RESTART_DELAY_S, self._recover, leader, paused
        )
        await self._wait_until(lambda: self._first_start(term) is not None, START_LIMIT_S)
        first = self._first_start(term)
        assert first is not None
        await self._record_times(point, paused, first - failed_at)
        recovered_at = failed_at + (PAUSE_S if paused else RESTART_DELAY_S) + SETTLE_S
        await asyncio.sleep(max(0.0, recovered_at - self.services.now()))

    async def _fail_at(self, leader: ControllerProcess, point: KillPoint, paused: bool) -> None:
        signal_number = signal.SIGSTOP if paused else signal.SIGKILL
        sent = asyncio.Event()

        async def send_once(path: str, body: Any) -> None:
            if point in (KillPoint.BEFORE_WRITE, KillPoint.AFTER_WRITE) and not any(
                op.get("set", "").startswith(PROGRESS_PREFIX) for op in body["apply"]
            ):
                return
            if not sent.is_set():
                leader.send_signal(signal_number)
                sent.set()

        hook_names = {
            KillPoint.BEFORE_WRITE: "before_write",
            KillPoint.AFTER_WRITE: "after_write",
            KillPoint.BEFORE_START: "before_start",
            KillPoint.AFTER_START: "after_start",
        }
        if point is KillPoint.RANDOM:
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            leader.send_signal(signal_number)
            return
        setattr(self.services, hook_names[point], send_once)
        try:
            async with asyncio.timeout(START_LIMIT_S):
                await sent.wait()
        finally:
            setattr(self.services, hook_names[point], no_hook)

    def _recover(self, controller: ControllerProcess, paused: bool) -> None:
        if paused:
            controller.send_signal(signal.SIGCONT)
        else:
            controller.start()

    def _write_burst(self) -> None:
        """Write a thousand changes at once, to the progress of a job that does not exist."""
        for number in range(1000):
            key = f"{PROGRESS_PREFIX}job-999999/{number % 50}"
            self.services.store._apply([{"set": key, "v": {"done": "0", "held": {}}}])

    def _term(self) -> int:
        value = self.services.store.value(LEADER_KEY)
        return int(value["term"]) if value else 0

    def _first_start(self, term: int) -> float | None:
        starts = self.services.starts
        return next((at for number, at in starts if number >> ATTEMPT_NUMBER_BITS > term), None)

    async def _record_times(self, point: KillPoint, paused: bool, seconds: float) -> None:
        leader = self._leader()
        phases: dict[str, float] = {}
        proof = "unknown"
        if leader is not None:
            reply = await self._call(leader.peers, "GET", "/status")
            failover = (reply.data or {}).get("lastTakeover", {})
            phases, proof = failover.get("phasesS", {}), str(failover.get("proof"))
        times = FailoverTimes(point.value, paused, seconds, phases, proof)
        self.outcome.takeovers.append(times)

    # -- users ----------------------------------------------------------------------------

    async def _run_users(self) -> None:
        """Keep submitting jobs, poll them, and cancel some."""
        pending: set[asyncio.Task[None]] = set()
        while True:
            if self._submitting:
                self._job_count += 1
                pending.add(asyncio.create_task(self._run_job(self._job_count)))
            pending = {task for task in pending if not task.done()}
            await asyncio.sleep(0.25)

    async def _run_job(self, number: int) -> None:
        body = job(number, pieces=self._random.randint(1, 4), vcpus=1.0, expectS=1.0)
        cancelled = self._random.random() < 0.1
        self.outcome.submissions += 1
        await self._request(body["id"], "POST", "/submissions", body)
        path = f"/submissions/{body['id']}"
        if cancelled:
            await asyncio.sleep(self._random.uniform(0.0, 2.0))
            await self._request(body["id"], "POST", f"{path}/withdraw")
        while self._stages.get(body["id"]) not in ("done", "aborted"):
            await asyncio.sleep(1.0)
            await self._request(body["id"], "GET", path)

    async def _request(self, job_id: str, method: str, path: str, body: Any = None) -> None:
        """Send a request to random controllers until one of them answers it."""
        while True:
            controller = self._random.choice(self.controllers)
            reply = await self._call(controller.public, method, path, body)
            if reply.status in (200, 201):
                stage = reply.data["stage"]
                self._stages[job_id] = stage
                self.services.history.reported.append(
                    ReportedStage(job_id, stage, self.services.now())
                )
                return
            if reply.status == 404 and job_id in self._stages:
                self.services.history.unknown_jobs.append(job_id)
                return
            self.outcome.refused += 1
            await asyncio.sleep(0.3)

    async def _call(self, address: str, method: str, path: str, body: Any = None) -> Response:
        try:
            return await self.services.network.call("user", address, method, path, body, 2.0)
        except NoResponseError:
            return Response(0)

    # -- waiting --------------------------------------------------------------------------

    async def _has_started_task(self) -> bool:
        return bool(self.services.history.runs)

    async def _all_jobs_ended(self) -> bool:
        over = ("done", "aborted")
        return len(self._stages) == self._job_count and set(self._stages.values()) <= set(over)

    async def _wait_until(
        self, check: Callable[[], Awaitable[bool]] | Callable[[], bool], limit_s: float
    ) -> None:
        began = self.services.now()
        while True:
            result = check()
            if result if isinstance(result, bool) else await result:
                return
            if self.services.now() - began > limit_s:
                raise TimeoutError(f"{check.__qualname__}: did not hold within {limit_s:.0f} s")
            await asyncio.sleep(0.02)
