"""Controllers as processes of their own, users, and the record of a case."""

import asyncio
import json
import os
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from machines import Cloud, Host, MachineType, World
from net import Handler, NoAnswerError, Server, address_of, call, free_port_socket
from state_service import StateService

ROOT = Path(__file__).resolve().parents[2]
LEADER_KEY = "spoolcourse/live/leader"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 117.0  # a script may take 120 s


@dataclass(frozen=True)
class Site:
    """A deployment of the pages: the settings' parameters, controllers and machine types."""

    name: str
    settings: dict[str, Any]
    zones: dict[str, str]  # of the controllers, by label
    kinds: tuple[MachineType, ...]


def _team(name: str, cpus: float, cpus_max: float) -> dict[str, Any]:
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


# kit/sites/zhanibek-almaty.toml and BRIEF
ZHANIBEK = Site(
    "zhanibek-almaty",
    {
        "count": 3,
        "zones": ["almaty", "astana"],
        "teams": [_team(f"dispetcher-{n}", 64.0, 192.0) for n in range(1, 7)],
        "objectives": [
            {"kind": "deadline", "class": "tungi-marshrut", "share": 0.85, "times": 1.0},
            {"kind": "deadline", "class": "tanerten-tuzetu", "share": 0.88, "times": 1.0},
            {"kind": "wait", "class": "tanerten-tuzetu", "within_s": 5.0, "share": 0.85},
            {"kind": "finished", "class": "mekenzhai-tazalau", "within_s": 100.0, "share": 0.9},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 2.0,
            "lease_s": 10.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 8.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 80.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 3.0, "list_lag_s": 5.0},
        "machine_limits": {"core_share": 0.288, "memory_mb": 186.0, "sockets": 1500},
        "skew_ms": 25.0,
    },
    {"spindle-0": "almaty", "spindle-1": "almaty", "spindle-2": "astana"},
    (
        MachineType("shagyn", 8.0, 64.0, 0.48, 0.16, 20.0, 0.4, 70.0, ("almaty", "astana")),
        MachineType("karagai", 64.0, 128.0, 2.99, 0.96, 25.0, 0.25, 40.0, ("almaty", "astana")),
    ),
)
# kit/fleet/zhanibek-almaty-fleet.toml; the cases run a few of its machines.
ZHANIBEK_FLEET = replace(
    ZHANIBEK,
    name="zhanibek-almaty-fleet",
    settings=ZHANIBEK.settings
    | {
        "teams": [_team(f"dispetcher-{n}", 900.0, 2500.0) for n in range(1, 7)],
        "workers": {
            "report_s": 2.5,
            "lease_s": 15.25,
            "gang_wait_s": 50.0,
            "gang_peer_s": 8.0,
            "cancel_s": 45.25,
        },
        "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 3.5, "list_lag_s": 5.0},
        "machine_limits": {"core_share": 0.36, "memory_mb": 226.0, "sockets": 1792},
    },
)
# kit/sites/kervella-lannion.toml, DEPLOY and BRIEF
KERVELLA = Site(
    "kervella-lannion",
    {
        "count": 3,
        "zones": ["lannion", "rennes"],
        "teams": [
            _team("terminologie", 160.0, 472.0),
            _team("sous-titres", 200.0, 472.0),
            _team("bureau-breton", 120.0, 336.0),
            _team("relecture", 120.0, 264.0),
            _team("portail-clients", 200.0, 800.0),
        ],
        "objectives": [
            {"kind": "deadline", "class": "lot-courant", "share": 0.88, "times": 1.0},
            {"kind": "deadline", "class": "lot-urgent", "share": 0.96, "times": 1.0},
            {"kind": "wait", "class": "lot-urgent", "within_s": 5.0, "share": 0.96},
            {"kind": "guarantee", "within_s": 15.0, "share": 0.8},
        ],
        "workers": {
            "report_s": 1.5,
            "lease_s": 10.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 4.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 120.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 5.0, "list_lag_s": 10.0},
        "machine_limits": {"core_share": 0.432, "memory_mb": 146.0, "sockets": 700},
        "skew_ms": 5.0,
    },
    {"spindle-0": "lannion", "spindle-1": "rennes", "spindle-2": "lannion"},
    (
        MachineType("menhir", 16.0, 32.0, 1.01, 0.22, 25.0, 0.5, 80.0, ("lannion", "rennes")),
        MachineType("dolmen", 32.0, 64.0, 1.97, 0.4, 50.0, 0.8, 70.0, ("lannion", "rennes")),
    ),
)


class CannotRunError(Exception):
    """The case could not run as planned."""


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission: Zhanibek's address cleanup, one task, unless `fields` differ."""
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
        "pullGb": 0.7,
        "builds": None,
        "yard": None,
        "oneZone": False,
        "scatter": False,
        "loaners": True,
        "expectS": 10.0,
        "markEveryS": 20.0,
        "markCostS": 2.0,
        "dueS": None,
    } | fields


@dataclass(frozen=True)
class Deletion:
    """A request to delete machines, as the cloud got it."""

    at: float
    sender: str
    leader: str | None  # in the leader key at that time
    machines: list[str]
    tasks: list[str]  # on these machines


class Controller:
    """One controller process."""

    def __init__(self, label: str, folder: Path) -> None:
        self.label = label
        self._public, self._peers = free_port_socket(), free_port_socket()
        self.public, self.peers = address_of(self._public), address_of(self._peers)
        self.settings_path = folder / f"{label}.json"
        self.log_path = folder / f"{label}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        command = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        arguments = shlex.split(command)
        if arguments[0] == "python3":
            arguments[0] = sys.executable
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*arguments, str(self.settings_path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )

    def signal(self, number: int) -> None:
        """Send a signal; after SIGKILL, wait for the end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    def release_ports(self) -> None:
        """Give the ports back."""
        self._public.close()
        self._peers.close()


class Cluster:
    """Three controllers, their platform and their users."""

    def __init__(self, folder: Path, site: Site) -> None:
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.lines: list[str] = []
        self._temporary = Path(tempfile.mkdtemp(prefix="spoolcourse-review-"))
        self._folder = folder
        self.site = site
        workers = site.settings["workers"]
        self.state = StateService()
        self.world = World(self.record, workers["lease_s"], workers["report_s"])
        self.cloud = Cloud(self.world, site.kinds, site.settings["cloud"]["list_lag_s"])
        self.controllers = {label: Controller(label, self._temporary) for label in site.zones}
        self.world.nodes = [(c.label, c.public) for c in self.controllers.values()]
        # Deletions that the cloud was asked for: by which controller, and what ran there.
        self.deletions: list[Deletion] = []

    # -- record ---------------------------------------------------------------------------

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        """Write a line into the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    # -- processes ------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the platform and the controllers, and wait until all are healthy."""
        state = Server(self.state.serve)
        await state.start()
        self.world.spawn(self.cloud.keep_history())
        await asyncio.sleep(0.05)
        for controller in self.controllers.values():
            cloud = Server(self._cloud_for(controller.label))
            await cloud.start()
            others = [c for c in self.controllers.values() if c is not controller]
            settings = {
                "label": controller.label,
                "site": self.site.zones[controller.label],
                "listen": controller.public,
                "cluster_listen": controller.peers,
                "seeds": [
                    {"label": c.label, "site": self.site.zones[c.label], "endpoint": c.peers}
                    for c in others
                ],
                "outside": {"cloud": cloud.address, "state": state.address},
                "settings": self.site.settings,
            }
            controller.settings_path.write_text(json.dumps(settings))
            controller.start()
        await self.until(self._all_healthy, 30.0, "the controllers are healthy")
        self.record(f"controllers healthy, leader {self.leader()}")

    def _cloud_for(self, label: str) -> Handler:
        """Return the cloud's handler at the address that one controller is given."""

        async def serve(method: str, path: str, body: Any) -> tuple[int, Any]:
            if path == "/hosts/delete":
                names = [name for name in body["spindles"] if name in self.cloud.hosts]
                tasks = [r.task for r in self.world.runs if r.machine in names and not r.ended]
                self.deletions.append(Deletion(self.now(), label, self.leader(), names, tasks))
                self.record(f"cloud: {label} deletes {names}, where {tasks} run")
            return await self.cloud.serve(method, path, body)

        return serve

    async def _all_healthy(self) -> bool:
        for controller in self.controllers.values():
            try:
                status, _ = await call(controller.public, "GET", "/healthz", timeout=1.0)
            except NoAnswerError:
                return False
            if status != 200:
                return False
        return self.leader() is not None

    def leader(self) -> str | None:
        """Return the label in the leader key."""
        value = self.state.value(LEADER_KEY)
        return value["label"] if value else None

    async def until(
        self, check: Callable[[], bool | Awaitable[bool]], limit_s: float, what: str
    ) -> None:
        """Wait until the check holds; the case can't run if it does not within the limit."""
        end = time.monotonic() + limit_s
        while True:
            held = check()
            if not isinstance(held, bool):
                held = await held
            if held:
                return
            if time.monotonic() > end:
                raise CannotRunError(f"not within {limit_s:.0f} s: {what}")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes and write the record."""
        for controller in self.controllers.values():
            controller.signal(signal.SIGCONT)
            controller.signal(signal.SIGKILL)
            controller.release_ports()
        (self._folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)

    # -- users ----------------------------------------------------------------------------

    async def ask(
        self, label: str, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Send one user request to a node; status 0 if there is no answer."""
        try:
            status, data = await call(self.controllers[label].public, method, path, body, timeout)
        except NoAnswerError:
            status, data = 0, None
        self.record(f"user: {method} {path} at {label}: {status} {json.dumps(data)}")
        return status, data

    async def submit(self, body: dict[str, Any], run_s: float, label: str | None = None) -> None:
        """Upload and submit a job, as a user does, until it is accepted."""
        self.world.jobs[body["id"]] = body
        self.world.run_s[body["id"]] = run_s
        labels = [label] if label else list(self.controllers)
        for attempt in range(60):
            status, _ = await self.ask(labels[attempt % len(labels)], "POST", "/submissions", body)
            if status in (200, 201):
                return
            if status in (400, 422):
                break
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{body['id']} not accepted")

    async def poll(self, job_id: str, label: str) -> str | None:
        """Poll a job once; return its stage, None if there was no answer."""
        status, data = await self.ask(label, "GET", f"/submissions/{job_id}", timeout=2.0)
        return data["stage"] if status == 200 else None

    async def add_machine(self, kind: str, zone: str, spot: bool = False) -> Host:
        """Add a machine that is up."""
        return await self.cloud.add(kind, zone, spot)


def run_case(
    folder: Path,
    site: Site,
    case: Callable[[Cluster], Awaitable[list[str]]],
) -> None:
    """Run a case, print its verdict and exit; the case returns what broke the rule."""

    async def run() -> int:
        cluster = Cluster(folder, site)
        try:
            async with asyncio.timeout(LIMIT_S):
                broken = await case(cluster)
        except (CannotRunError, TimeoutError) as exc:
            cluster.record(f"could not run: {exc}")
            print(f"could not run: {exc!r}")
            return NOT_RUN
        else:
            for line in broken:
                cluster.record(f"BROKEN: {line}")
                print(f"broken: {line}")
            verdict = "broken" if broken else "held"
            cluster.record(f"verdict: {verdict} (trouble: {'on' if cluster.trouble else 'off'})")
            print(f"verdict: {verdict}")
            return BROKEN if broken else HELD
        finally:
            cluster.close()

    sys.exit(asyncio.run(run()))
