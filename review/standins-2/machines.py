"""Stand-ins of the cloud and of its machines' workers (PROTOCOL, Workers, Cloud)."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from net import NO_ANSWER, NoAnswerError, Server, call

REPORT_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5
LEASE_CHECK_S = 0.05
MISTAKE_SHOWS_S = 0.5


@dataclass
class MachineType:
    """A machine type of the catalog."""

    name: str
    vcpus: float
    memory_gb: float
    hourly: float
    market_price: float
    startup_s: float
    pull_gb_per_s: float
    local_gb: float
    zones: tuple[str, ...]

    def entry(self) -> dict[str, Any]:
        """Return the entry in the catalog."""
        return {
            "name": self.name,
            "vcpus": self.vcpus,
            "gpus": 0.0,
            "memoryGb": self.memory_gb,
            "localGb": self.local_gb,
            "pullGbPerS": self.pull_gb_per_s,
            "hourly": self.hourly,
            "marketPrice": self.market_price,
            "startupS": self.startup_s,
            "yards": list(self.zones),
        }


@dataclass
class Piece:
    """An attempt at a task on a worker."""

    task: str
    attempt: int
    job: dict[str, Any]
    stage: str = "pulling"
    cause: str | None = None
    stored: bool = False
    runner: asyncio.Task[None] | None = None

    @property
    def on_machine(self) -> bool:
        """Whether it has its image and has not exited."""
        return self.stage in ("running", "flushing")

    def entry(self) -> dict[str, Any]:
        """Return the entry in a report."""
        entry: dict[str, Any] = {"piece": self.task, "try": self.attempt, "stage": self.stage}
        if self.cause:
            entry["cause"] = self.cause
        if self.stored:
            entry["stored"] = True
        return entry


@dataclass
class Run:
    """A task on a machine, from its image to its exit."""

    task: str
    attempt: int
    machine: str
    zone: str
    vcpus: float
    team: str
    began: float
    ended: float | None = None
    cause: str | None = None


@dataclass
class World:
    """What users uploaded, what ran, and what was stored outside the machines."""

    record: Callable[[str], None]
    lease_s: float
    report_s: float
    nodes: list[tuple[str, str]] = field(default_factory=list)  # label, public address
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # uploaded descriptions
    run_s: dict[str, float] = field(default_factory=dict)  # true run time by job
    mistaken: set[str] = field(default_factory=set)  # jobs that fail on every machine
    progress: dict[str, float] = field(default_factory=dict)  # saved, by task
    results: set[str] = field(default_factory=set)  # tasks with a result
    runs: list[Run] = field(default_factory=list)
    luck: random.Random = field(default_factory=lambda: random.Random(7))
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def spawn(self, coroutine: Any) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class Worker:
    """The worker of one machine."""

    def __init__(self, world: World, name: str, kind: MachineType, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        # A direct command comes on a new connection each time.
        self.server = Server(self._serve, keep_alive=False)
        self.session, self.tick, self.token = 1, 0, 0
        self.pieces: dict[tuple[str, int], Piece] = {}
        self.images: set[str] = set()
        self.pulls: dict[str, asyncio.Task[None]] = {}
        self.renewed_at = time.monotonic()  # sending time of the last answered report
        self.recall_at: float | None = None
        self.node = 0
        self.alive = True
        self.report_due = 0.0  # when the next regular report is sent; 0 if another is in flight
        self._changed = asyncio.Event()
        # Troubles: both return False where a message is lost.
        self.direct_arrives: Callable[[], bool] = lambda: True
        self.reaches_node: Callable[[str], bool] = bool  # by the node's label
        self.before_direct: Callable[[Any], Awaitable[None]] | None = None
        self.before_answer: Callable[[Any], Awaitable[None]] | None = None
        self.on_answered: Callable[[], None] = lambda: None

    @property
    def address(self) -> str:
        """The address for direct commands."""
        return self.server.address

    async def start(self) -> None:
        """Boot: listen, report, watch the lease."""
        await self.server.start()
        self.renewed_at = time.monotonic()
        self._loops = [
            self.world.spawn(self._send_reports()),
            self.world.spawn(self._watch_lease()),
        ]

    def die(self) -> None:
        """The machine is gone, and everything on it."""
        self.alive = False
        self._lose_pieces("gone")
        self.server.close()
        for loop in self._loops:
            loop.cancel()

    # -- reports --------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the worker's report; its tick increases."""
        self.tick += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "spindle": self.name,
            "address": self.address,
            "build": self.kind.name,
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tick": self.tick,
            "baton": self.token,
            "recallS": recall,
            "pieces": [p.entry() for p in self.pieces.values()],
        }

    def change(self) -> None:
        """Something changed: report soon."""
        self._changed.set()

    async def _send_reports(self) -> None:
        while self.alive:
            self._changed.clear()
            sent_at, session = time.monotonic(), self.session
            status, answer = await self._send_report()
            if status == 200:
                self.on_answered()
                self._take_answer(answer or {}, sent_at, session)
                await asyncio.sleep(MIN_REPORT_GAP_S)
                await self._wait_for_change(sent_at)
            elif status == 421 and self._move_to((answer or {}).get("foreman")):
                await asyncio.sleep(self.world.luck.uniform(0.0, 0.5))
            else:
                self.node = (self.node + 1) % len(self.world.nodes)
                await asyncio.sleep(1.0)

    async def _send_report(self) -> tuple[int, Any]:
        label, address = self.world.nodes[self.node]
        body = self.report()
        began = time.monotonic()
        refused = False
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                if self.reaches_node(label):
                    answer = await call(address, "POST", "/v1/report", body, REPORT_TIMEOUT_S)
                    if orders := (answer[1] or {}).get("orders"):
                        names = [f"{o['verb']} {o['piece']} try {o['try']}" for o in orders]
                        self.world.record(
                            f"{self.name}: report {body['tick']}, answered by {label}: {names}"
                        )
                    if self.before_answer is not None:
                        await self.before_answer(answer[1])
                    if self.reaches_node(label):
                        return answer
        except NoAnswerError as exc:
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
        except TimeoutError:
            return 0, None
        if not refused:  # a silent host costs the whole time
            await asyncio.sleep(max(0.0, REPORT_TIMEOUT_S - (time.monotonic() - began)))
        return 0, None

    async def _wait_for_change(self, sent_at: float) -> None:
        self.report_due = sent_at + self.world.report_s * self.world.luck.uniform(0.75, 1.25)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self.report_due - time.monotonic())):
                await self._changed.wait()
        self.report_due = 0.0

    def _move_to(self, foreman: str | None) -> bool:
        labels = [label for label, _ in self.world.nodes]
        if foreman not in labels or labels.index(foreman) == self.node:
            return False
        self.node = labels.index(foreman)
        return True

    def _take_answer(self, answer: dict[str, Any], sent_at: float, session: int) -> None:
        token = answer.get("baton")
        if token is None or token < self.token or session != self.session:
            return
        if token > self.token:
            self.token = token
            self.change()
        self.renewed_at = sent_at
        self._execute(answer.get("orders", []))

    async def _watch_lease(self) -> None:
        while self.alive:
            await asyncio.sleep(LEASE_CHECK_S)
            if time.monotonic() - self.renewed_at > self.world.lease_s:
                self.world.record(f"{self.name}: lease of session {self.session} ran out")
                self._lose_pieces("lease")
                self.session += 1
                self.renewed_at = time.monotonic()
                self.change()

    # -- commands -------------------------------------------------------------------------

    async def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if not self.direct_arrives():
            return NO_ANSWER
        if self.before_direct is not None:
            await self.before_direct(body)
        if path == "/show":
            return 200, self.report()
        if path != "/orders" or "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.token or body["shift"] != self.session:
            return 409, self.report()
        if body["baton"] > self.token:
            self.token = body["baton"]
            self.change()
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            piece = self.pieces.get(key)
            self.world.record(f"{self.name}: {order['verb']} {key[0]} try {key[1]}")
            if order["verb"] == "start" and piece is None:
                self._start(*key)
            elif order["verb"] == "halt" and piece is not None and piece.stage != "ended":
                self._halt(piece, order["windDownS"])
            elif order["verb"] == "reap" and piece is not None and piece.stage == "ended":
                del self.pieces[key]

    def _start(self, task: str, attempt: int) -> None:
        job_id, _, index = task.partition("/")
        job = self.world.jobs.get(job_id)
        piece = Piece(task, attempt, job or {})
        live = [p for p in self.pieces.values() if p.stage != "ended"]
        if job is None or int(index) >= job["pieces"]:
            cause = "no_such"
        elif any(p.task == task for p in live):
            cause = "in_use"
        elif (
            sum(p.job["vcpus"] for p in live) + job["vcpus"] > self.kind.vcpus + 1e-9
            or sum(p.job["memoryGb"] for p in live) + job["memoryGb"] > self.kind.memory_gb + 1e-9
        ):
            cause = "no_room"
        else:
            cause = ""
        self.pieces[(task, attempt)] = piece
        if cause:
            piece.stage, piece.cause = "ended", cause
        else:
            piece.runner = self.world.spawn(self._run(piece))
        self.change()

    async def _pull(self, image: str, size_gb: float) -> None:
        await asyncio.sleep(size_gb / self.kind.pull_gb_per_s)
        self.images.add(image)

    async def _run(self, piece: Piece) -> None:
        job = piece.job
        image = job["bundle"]
        if image not in self.images:
            if image not in self.pulls:
                self.pulls[image] = self.world.spawn(self._pull(image, job["pullGb"]))
            await asyncio.shield(self.pulls[image])
        if piece.task in self.world.results:
            self._end(piece, "done")
            return
        piece.stage = "running"
        self.world.runs.append(
            Run(
                *(piece.task, piece.attempt, self.name, self.zone),
                *(job["vcpus"], job["crew"], time.monotonic()),
            )
        )
        self.world.record(f"{self.name}: {piece.task} try {piece.attempt} runs")
        self.change()
        if job["id"] in self.world.mistaken:
            await asyncio.sleep(MISTAKE_SHOWS_S)
            self._end(piece, "error")
            return
        every, began = job["markEveryS"], time.monotonic()
        saved = self.world.progress.get(piece.task, 0.0)
        total = self.world.run_s.get(job["id"], job["expectS"])
        while (done := saved + time.monotonic() - began) < total:
            step = min(total - done, every) if every > 0 else total - done
            await asyncio.sleep(max(step, 0.001))
            if every > 0:
                self.world.progress[piece.task] = saved + time.monotonic() - began
        self.world.results.add(piece.task)
        self._end(piece, "done")

    def _halt(self, piece: Piece, wind_down_s: float) -> None:
        if piece.runner is not None:
            piece.runner.cancel()
        saves = piece.job["markEveryS"] > 0 and wind_down_s >= piece.job["markCostS"]
        if piece.stage == "running" and saves:
            piece.stage = "flushing"
            piece.runner = self.world.spawn(self._flush(piece))
            self.change()
        else:
            self._end(piece, "halted")

    async def _flush(self, piece: Piece) -> None:
        run = self._run_of(piece)
        ran = time.monotonic() - run.began if run is not None else 0.0
        await asyncio.sleep(piece.job["markCostS"])
        before = self.world.progress.get(piece.task, 0.0)
        self.world.progress[piece.task] = max(before, ran)
        piece.stored = True
        self._end(piece, "halted")

    def _run_of(self, piece: Piece) -> Run | None:
        for run in reversed(self.world.runs):
            if (run.task, run.attempt, run.machine) == (piece.task, piece.attempt, self.name):
                return run
        return None

    def _end(self, piece: Piece, cause: str) -> None:
        run = self._run_of(piece)
        if run is not None and run.ended is None:
            run.ended, run.cause = time.monotonic(), cause
        piece.stage, piece.cause = "ended", cause
        self.world.record(f"{self.name}: {piece.task} try {piece.attempt} ended, {cause}")
        self._give_up_pulls()
        self.change()

    def _give_up_pulls(self) -> None:
        """Give up the fetches that no task waits for any more."""
        awaited = {p.job["bundle"] for p in self.pieces.values() if p.stage == "pulling"}
        for image in [i for i in self.pulls if i not in awaited]:
            self.pulls.pop(image).cancel()

    def _lose_pieces(self, cause: str) -> None:
        for piece in self.pieces.values():
            if piece.stage != "ended":
                if piece.runner is not None:
                    piece.runner.cancel()
                self._end(piece, cause)
        self.pieces.clear()


@dataclass
class Host:
    """A machine as the cloud knows it."""

    name: str
    kind: MachineType
    zone: str
    spot: bool
    hired_at: float
    stage: str = "starting"
    worker: Worker | None = None


class Cloud:
    """The cloud: catalog, rentals, deletions and a list that lags."""

    def __init__(self, world: World, kinds: tuple[MachineType, ...], list_lag_s: float) -> None:
        self.world = world
        self.kinds = {kind.name: kind for kind in kinds}
        self.list_lag_s = list_lag_s
        self.capacity: dict[tuple[str, str, bool], int] = {}  # left to rent
        self.boot_s: float | None = None  # instead of the type's usual boot time
        self.hosts: dict[str, Host] = {}
        self.hires: dict[str, list[str]] = {}
        self._count = 0
        self._history: list[tuple[float, list[dict[str, Any]]]] = []

    async def add(self, kind: str, zone: str, spot: bool, boot_s: float | None = 0.0) -> Host:
        """Add a machine; with `boot_s` 0 it is up at once."""
        self._count += 1
        host = Host(f"m-{self._count:06d}", self.kinds[kind], zone, spot, time.monotonic())
        self.hosts[host.name] = host
        if boot_s == 0.0:
            await self._boot(host, 0.0)
        else:
            self.world.spawn(self._boot(host, boot_s or host.kind.startup_s))
        return host

    async def _boot(self, host: Host, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if self.hosts.get(host.name) is host:
            host.stage = "running"
            host.worker = Worker(self.world, host.name, host.kind, host.zone, host.spot)
            await host.worker.start()
            self.world.record(f"cloud: {host.name} is up ({host.kind.name}, {host.zone})")

    def delete(self, name: str) -> None:
        """Delete a machine with everything on it."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self.world.record(f"cloud: {name} deleted")
            if host.worker is not None:
                host.worker.die()

    async def keep_history(self) -> None:
        """Keep what the lagging list will show."""
        while True:
            now = time.monotonic()
            listed = [
                {
                    "id": h.name,
                    "address": h.worker.address if h.worker is not None else "",
                    "build": h.kind.name,
                    "yard": h.zone,
                    "loaners": h.spot,
                    "stage": h.stage,
                    "ageS": now - h.hired_at,
                }
                for h in self.hosts.values()
            ]
            self._history.append((now, listed))
            self._history = [e for e in self._history if e[0] > now - 4 * self.list_lag_s - 1]
            await asyncio.sleep(0.2)

    async def serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request."""
        url = urlsplit(path)
        if url.path == "/catalog":
            return 200, {"builds": [kind.entry() for kind in self.kinds.values()]}
        if url.path == "/hosts/delete":
            for name in body["spindles"]:
                self.delete(name)
            return 200, {}
        if method == "POST":
            return await self._hire(body)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        as_of = time.monotonic() - self.list_lag_s
        # What was there at the beginning had been there for long.
        shown = next((e for at, e in reversed(self._history) if at <= as_of), self._history[0][1])
        since, page = query.get("since", ""), int(query.get("page", "500"))
        listed = [h for h in shown if h["id"] > since]
        return 200, {"spindles": listed[:page], "hasNext": len(listed) > page}

    async def _hire(self, body: Any) -> tuple[int, Any]:
        if body["hire"] not in self.hires:
            key = (body["build"], body["yard"], body["loaners"])
            count = min(body["count"], self.capacity.get(key, 0))
            if count < 1:
                return 503, {"error": "no capacity"}
            self.capacity[key] -= count
            names = [(await self.add(*key, boot_s=self.boot_s)).name for _ in range(count)]
            self.hires[body["hire"]] = names
        return 200, {"spindles": self.hires[body["hire"]]}
