"""One play: controllers as processes, users, and a leader that is hit at chosen points.

What happens when is drawn from a seed; the processes' own timing is not, so a seed replays a play
as far as processes can.
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
from tests.loopback.history import Told, broken_rules
from tests.loopback.standins import Stage, address_of, bound_socket, no_hook

ROOT = Path(__file__).resolve().parent.parent.parent
START_LIMIT_S = 40.0
CALM_LIMIT_S = 60.0  # until everything accepted is over, after the last trouble
CALM_LEASES = 4  # or so many leases of the workers, if that is longer
RESTART_S = 1.5
LEASE_REPORTS = 5
TICKS = 50  # looks in a lease whether it has run out
CANCEL_LEASES = 4
PAUSE_S = 4.0  # longer than the leader's lease
SETTLE_S = 0.5  # after which whoever was hit is back
ATTEMPT_BITS = 24


class KillPoint(Enum):
    """When the leader is hit."""

    BEFORE_WRITE = "before a placement is written"
    AFTER_WRITE = "after it is written, before its answer"
    BEFORE_START = "before a start reaches its worker"
    AFTER_START = "after it has reached its worker"
    RANDOM = "at some moment"


@dataclass(frozen=True, slots=True)
class Options:
    """What a play is like."""

    seed: int
    standby: bool
    controllers: int = 3
    kills: int = 2
    pauses: bool = True  # some leaders are paused instead of killed
    lag: bool = False  # a burst of changes comes just before the leader is hit
    machines: int = 4
    heartbeat_interval_s: float = 1.0  # between a worker's heartbeats; its lease is five times that


@dataclass(frozen=True, slots=True)
class TakeoverTimes:
    """What one loss of the leader took."""

    point: str
    paused: bool
    to_first_start_s: float
    phases_s: dict[str, float]
    proof: str


@dataclass(slots=True)
class Outcome:
    """What came of a play."""

    options: Options
    broken: list[str] = field(default_factory=list)
    takeovers: list[TakeoverTimes] = field(default_factory=list)
    submissions: int = 0
    refused: int = 0  # requests of users that were answered 503, or not at all


class Node:
    """A controller's process."""

    def __init__(self, label: str, config: Path, standby: bool) -> None:
        self.label = label
        self.public, self.peers = "", ""
        self._config = config
        self._arguments = ["serve", "--config", str(config)]
        if standby:
            self._arguments += ["--standby", str(ROOT / "deploy" / "standby.toml")]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; what it logs goes to a file beside its settings."""
        with open(self._config.with_suffix(".log"), "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "run.py"), *self._arguments],
                stdout=out,
                stderr=out,
                env=os.environ | {"LOG_LEVEL": "info"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, and wait for its end after SIGKILL."""
        assert self.process is not None
        self.process.send_signal(number)
        if number is signal.SIGKILL:
            self.process.wait()


class Play:
    """The whole of it."""

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        self.outcome = Outcome(options)
        self._random = Random(options.seed)
        self._lease_s = LEASE_REPORTS * options.heartbeat_interval_s
        self._cancel_s = CANCEL_LEASES * self._lease_s
        self._directory = directory
        self.nodes: list[Node] = []
        self._accepted: dict[str, str] = {}  # the last stage that was told
        self._number = 0
        self._busy = True

    async def run(self) -> Outcome:
        """Play it, and check the history."""
        self._prepare()
        users = asyncio.create_task(self._use())
        try:
            for node in self.nodes:
                node.start()
            await self._until(self._served, START_LIMIT_S)
            for _ in range(self.options.kills):
                await asyncio.sleep(self._random.uniform(1.0, 2.5))
                await self._trouble()
            self._busy = False
            await self._until(self._calm, max(CALM_LIMIT_S, CALM_LEASES * self._lease_s))
        except TimeoutError as exc:
            self.outcome.broken.append(str(exc))
        finally:
            users.cancel()
            self._end()
            for bound in self._ports:
                bound.close()
            for worker in list(self.stage.cloud.workers.values()):
                worker.die()
            await self.stage.network.close()
        self.stage.history.ended = self.stage.now()
        self.outcome.broken += self.stage.cloud.broken
        self.outcome.broken += broken_rules(self.stage.history, self._cancel_s)
        return self.outcome

    # -- processes ------------------------------------------------------------------------

    def _prepare(self) -> None:
        labels = [f"n{number}" for number in range(self.options.controllers)]
        sockets = {label: (bound_socket(), bound_socket()) for label in labels}
        for label, (public, peers) in sockets.items():
            node = Node(label, self._directory / f"{label}.json", self.options.standby)
            node.public, node.peers = address_of(public), address_of(peers)
            self.nodes.append(node)
        # Bound as long as the play goes on, and never listened on here: a process may listen on
        # its port beside that, and nobody else is given it while the process is away.
        self._ports = [bound for pair in sockets.values() for bound in pair]
        controllers = [(node.label, node.public) for node in self.nodes]
        self.stage = Stage(controllers, self.options.machines)
        self.stage.cloud.heartbeat_interval_s = self.options.heartbeat_interval_s
        self.stage.cloud.lease_s = self._lease_s
        self.stage.cloud.tick_s = self._lease_s / TICKS
        for node in self.nodes:
            path = self._directory / f"{node.label}.json"
            path.write_bytes(orjson.dumps(self._settings(node)))

    def _settings(self, node: Node) -> dict[str, Any]:
        others = [other for other in self.nodes if other is not node]
        seeds = [{"label": other.label, "endpoint": other.peers, "site": "a"} for other in others]
        return {
            "label": node.label,
            "listen": node.public,
            "cluster_listen": node.peers,
            "seeds": seeds,
            "outside": {"cloud": self.stage.cloud_address, "state": self.stage.state_address},
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

    def _end(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.send(signal.SIGKILL)

    def _leader(self) -> Node | None:
        value = self.stage.state.value(LEADER_KEY)
        return next((n for n in self.nodes if value and n.label == value["label"]), None)

    # -- troubles -------------------------------------------------------------------------

    async def _trouble(self) -> None:
        """Hit the leader at a point, and wait for the first start of its successor."""
        await self._until(lambda: self._leader() is not None, START_LIMIT_S)
        leader = self._leader()
        assert leader is not None
        point = self._random.choice(list(KillPoint))
        paused = self.options.pauses and self._random.random() < 0.4
        term = self._term()
        if self.options.lag:
            self._burst()
        await self._hit(leader, point, paused)
        hit_at = self.stage.now()
        asyncio.get_running_loop().call_later(
            PAUSE_S if paused else RESTART_S, self._bring_back, leader, paused
        )
        await self._until(lambda: self._first_start(term) is not None, START_LIMIT_S)
        first = self._first_start(term)
        assert first is not None
        await self._note(point, paused, first - hit_at)
        back_at = hit_at + (PAUSE_S if paused else RESTART_S) + SETTLE_S
        await asyncio.sleep(max(0.0, back_at - self.stage.now()))

    async def _hit(self, leader: Node, point: KillPoint, paused: bool) -> None:
        number = signal.SIGSTOP if paused else signal.SIGKILL
        hit = asyncio.Event()

        async def act(path: str, body: Any) -> None:
            if point in (KillPoint.BEFORE_WRITE, KillPoint.AFTER_WRITE) and not any(
                op.get("set", "").startswith(PROGRESS_PREFIX) for op in body["apply"]
            ):
                return
            if not hit.is_set():
                leader.send(number)
                hit.set()

        names = {
            KillPoint.BEFORE_WRITE: "before_write",
            KillPoint.AFTER_WRITE: "after_write",
            KillPoint.BEFORE_START: "before_start",
            KillPoint.AFTER_START: "after_start",
        }
        if point is KillPoint.RANDOM:
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            leader.send(number)
            return
        setattr(self.stage, names[point], act)
        try:
            async with asyncio.timeout(START_LIMIT_S):
                await hit.wait()
        finally:
            setattr(self.stage, names[point], no_hook)

    def _bring_back(self, node: Node, paused: bool) -> None:
        if paused:
            node.send(signal.SIGCONT)
        else:
            node.start()

    def _burst(self) -> None:
        """A thousand changes in one go, of progress that belongs to no live job."""
        for number in range(1000):
            key = f"{PROGRESS_PREFIX}job-999999/{number % 50}"
            self.stage.state._apply([{"set": key, "v": {"done": "0", "held": {}}}])

    def _term(self) -> int:
        value = self.stage.state.value(LEADER_KEY)
        return int(value["term"]) if value else 0

    def _first_start(self, term: int) -> float | None:
        starts = self.stage.first_starts
        return next((at for number, at in starts if number >> ATTEMPT_BITS > term), None)

    async def _note(self, point: KillPoint, paused: bool, seconds: float) -> None:
        leader = self._leader()
        phases: dict[str, float] = {}
        proof = "unknown"
        if leader is not None:
            reply = await self._call(leader.peers, "GET", "/status")
            failover = (reply.data or {}).get("lastTakeover", {})
            phases, proof = failover.get("phasesS", {}), str(failover.get("proof"))
        times = TakeoverTimes(point.value, paused, seconds, phases, proof)
        self.outcome.takeovers.append(times)

    # -- users ----------------------------------------------------------------------------

    async def _use(self) -> None:
        """Submit jobs all the time, ask for them, and cancel some."""
        pending: set[asyncio.Task[None]] = set()
        while True:
            if self._busy:
                self._number += 1
                pending.add(asyncio.create_task(self._one_job(self._number)))
            pending = {task for task in pending if not task.done()}
            await asyncio.sleep(0.25)

    async def _one_job(self, number: int) -> None:
        body = job(number, pieces=self._random.randint(1, 4), vcpus=1.0, expectS=1.0)
        cancelled = self._random.random() < 0.1
        self.outcome.submissions += 1
        await self._ask(body["id"], "POST", "/submissions", body)
        path = f"/submissions/{body['id']}"
        if cancelled:
            await asyncio.sleep(self._random.uniform(0.0, 2.0))
            await self._ask(body["id"], "POST", f"{path}/withdraw")
        while self._accepted.get(body["id"]) not in ("done", "aborted"):
            await asyncio.sleep(1.0)
            await self._ask(body["id"], "GET", path)

    async def _ask(self, job_id: str, method: str, path: str, body: Any = None) -> None:
        """Ask one controller after the other until one of them answers."""
        while True:
            node = self._random.choice(self.nodes)
            reply = await self._call(node.public, method, path, body)
            if reply.status in (200, 201):
                stage = reply.data["stage"]
                self._accepted[job_id] = stage
                self.stage.history.told.append(Told(job_id, stage, self.stage.now()))
                return
            if reply.status == 404 and job_id in self._accepted:
                self.stage.history.forgotten.append(job_id)
                return
            self.outcome.refused += 1
            await asyncio.sleep(0.3)

    async def _call(self, address: str, method: str, path: str, body: Any = None) -> Response:
        try:
            return await self.stage.network.call("user", address, method, path, body, 2.0)
        except NoResponseError:
            return Response(0)

    # -- waiting --------------------------------------------------------------------------

    async def _served(self) -> bool:
        return bool(self.stage.history.runs)

    async def _calm(self) -> bool:
        over = ("done", "aborted")
        return len(self._accepted) == self._number and set(self._accepted.values()) <= set(over)

    async def _until(
        self, check: Callable[[], Awaitable[bool]] | Callable[[], bool], limit_s: float
    ) -> None:
        began = self.stage.now()
        while True:
            found = check()
            if found if isinstance(found, bool) else await found:
                return
            if self.stage.now() - began > limit_s:
                raise TimeoutError(f"{check.__qualname__}: not so within {limit_s:.0f} s")
            await asyncio.sleep(0.02)
