"""Values stored by 317b652b, the production version, peers of that version, and `state.next`."""

from __future__ import annotations

from typing import Any

from spoolcourse.control.store.keys import TERM_KEY, job_key, progress_key
from tests.fakes.world import World, job

# Stored values as the production version writes them, as of its commit.
OLD_JOB: dict[str, Any] = {
    "sub": {
        "id": "job-000001",
        "lane": "batch",
        "crew": "red",
        "shape": "array",
        "rank": "standard",
        "pieces": 200,
        "vcpus": 1.0,
        "gpus": 0.0,
        "memoryGb": 1.0,
        "bundle": "img",
        "pullGb": 1.0,
        "oneZone": False,
        "scatter": False,
        "loaners": True,
        "expectS": 10.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
    },
    "at": 990.0,
    "chunk": 170,
}


OLD_PROGRESS = {"done": "6", "held": {"0": ["m-000000", 16777217], "5": ["m-000000", 16777218]}}


OLD_TERM = {"term": 1, "run": "run9", "hold": 7}


def assert_old_version_can_read(key: str, value: Any) -> None:
    """Check a stored value as the production version's reader would; raises where it fails."""
    if "/live/job/" in key:
        assert set(value) <= {"sub", "at", "chunk", "aborted"}
        assert set(OLD_JOB["sub"]) <= set(value["sub"])
        assert value["sub"]["shape"] == "array"
        assert isinstance(value["chunk"], int)
        assert value["chunk"] > 0
        assert isinstance(value["at"], float)
    elif "/live/prog/" in key:
        int(value["done"], 16)
        for piece, (machine, number) in value["held"].items():
            assert int(piece) >= 0
            assert isinstance(machine, str)
            assert isinstance(number, int)
    elif "/fin/" in key:
        assert value["stage"] in ("done", "aborted")
        assert isinstance(value["done"], int)
        assert isinstance(value["at"], float)
    elif key.endswith("/live/term"):
        assert isinstance(value["term"], int)
        assert isinstance(value["run"], str)
    elif key.endswith("/live/leader"):
        assert isinstance(value["label"], str)
        assert isinstance(value["run"], str)


def written_values(world: World) -> list[tuple[str, Any]]:
    """All keys and values that transactions have set."""
    return [
        (op["set"], op["v"])
        for body in world.store.transactions
        for op in body["apply"]
        if "set" in op
    ]


def make_peers_old(world: World, *labels: str) -> Any:
    """Make peers reply as the old version does, which has no `/level` endpoint."""

    def check(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        return "404" if dst[:-3] in labels and path.startswith("/level") else None

    world.network.filters.append(check)
    return check


def with_upcoming_limits(**limits: Any) -> dict[str, Any]:
    state = {"rps": 200.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 24}
    return {"state": state | {"next": limits}}


def store_large_job(world: World) -> None:
    """Store a job of the old version whose one chunk exceeds a lowered value limit."""
    held = {str(p): ["m-000000", 16777217 + p] for p in range(100)}
    world.store._apply(
        [
            {"set": TERM_KEY, "v": OLD_TERM},
            {"set": job_key("job-000001"), "v": OLD_JOB},
            {"set": progress_key("job-000001", 0), "v": {"done": "0", "held": held}},
        ]
    )
    world.accepted_jobs["job-000001"] = job(pieces=200, vcpus=1.0)
    world.cloud.add_machine()
