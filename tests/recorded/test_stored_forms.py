"""Stored records and requests between controllers keep their formats.

Operators may run any other version beside this one, so the formats are kept here as plain data:
those of the production version (317b652b) and those of b0e3a7b, the last version before this file.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from spoolcourse.control.http_client import Request, Response
from spoolcourse.control.jobs.cancellations import Cancellations
from spoolcourse.control.store.keys import CATALOG_KEY
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.wire.peers import Cancellation
from tests.fakes.isolated_leader import IsolatedLeader
from tests.fakes.services import service
from tests.fakes.world import World, job

ARRAY = {
    "id": "job-000001",
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
    "oneZone": False,
    "scatter": False,
    "loaners": True,
    "expectS": 10.0,
    "markEveryS": 0.0,
    "markCostS": 0.0,
}
# Fields that a record has only if the user gave them or a cancellation added them.
OPTIONAL_FIELDS = {"builds": ["c8"], "yard": "a", "dueS": 60.0, "aborted": 1000.5}
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

STORED_317B652B: dict[str, Any] = {
    "spoolcourse/live/leader": {"term": 3, "run": "run9", "hold": 7, "label": "n1"},
    "spoolcourse/live/term": {"term": 3, "run": "run9", "hold": 7},
    "spoolcourse/live/base": {"machines": ["m-000000"]},
    "spoolcourse/live/catalog": {"builds": [MACHINE_TYPE]},
    "spoolcourse/live/job/job-000001": {"sub": ARRAY, "at": 990.0, "chunk": 170},
    "spoolcourse/live/prog/job-000001/0": {
        "done": "6",
        "held": {"0": ["m-000000", 50331649]},
    },
    "spoolcourse/fin/job-000002": {"stage": "done", "done": 4, "at": 980.0},
}
STORED_B0E3A7B: dict[str, Any] = STORED_317B652B | {
    "spoolcourse/live/level": {"level": 2},
    "spoolcourse/live/job/job-000003": {
        "sub": ARRAY
        | {
            "id": "job-000003",
            "shape": "standing",
            "rank": "prod",
            "pieces": 2,
            "expectS": 0.0,
            "loaners": False,
        },
        "at": 991.0,
        "chunk": 170,
    },
    "spoolcourse/live/prog/job-000003/0": {
        "done": "0",
        "held": {"0": ["m-000000", 50331650], "1": ["m-000000", 50331651]},
    },
}

# Requests to the peers' address: method and path, then the body (or None) and the answer.
HEARTBEAT = {
    "spindle": "m-000000",
    "address": "m-000000:9000",
    "build": "c8",
    "yard": "a",
    "loaners": False,
    "shift": 1,
    "tick": 9,
    "baton": 3,
    "recallS": None,
    "pieces": [{"piece": "job-000001/0", "try": 50331649, "stage": "running"}],
}
PEER_REQUESTS_317B652B: dict[tuple[str, str], tuple[Any, Any]] = {
    ("GET", "/healthz"): (None, {}),
    ("POST", "/v1/report"): (
        HEARTBEAT,
        {
            "baton": 3,
            "orders": [
                {"verb": "start", "piece": "job-000001/3", "try": 50331652},
                {"verb": "halt", "piece": "job-000001/0", "try": 50331649, "windDownS": 0.0},
                {"verb": "reap", "piece": "job-000001/1", "try": 50331650},
            ],
            "deaf": True,
        },
    ),
    ("GET", "/cancellations?beyond=17"): (
        None,
        {
            "term": 3,
            "informed": True,
            "cancelled": [{"job": "job-000001", "at": 1000.5, "stamp": 18}],
        },
    ),
    ("POST", "/submissions"): (ARRAY, {"id": "job-000001", "stage": "queued"}),
    ("GET", "/submissions/job-000001"): (
        None,
        {"id": "job-000001", "stage": "running", "done": 2, "running": 1},
    ),
    ("POST", "/submissions/job-000001/withdraw"): (
        None,
        {"id": "job-000001", "stage": "aborted"},
    ),
}
PEER_REQUESTS_B0E3A7B = PEER_REQUESTS_317B652B | {("GET", "/level"): (None, {"level": 2})}


def assert_format(value: Any, sample: Any, location: str) -> None:
    """Assert that `value` has the fields and types of `sample`; only optional ones may differ."""
    if isinstance(sample, dict):
        assert isinstance(value, dict), location
        assert set(value) - set(OPTIONAL_FIELDS) == set(sample) - set(OPTIONAL_FIELDS), location
        for field, content in value.items():
            assert_format(
                content, sample.get(field, OPTIONAL_FIELDS.get(field)), f"{location}.{field}"
            )
    elif isinstance(sample, list):
        assert isinstance(value, list), location
        for item in value:
            assert_format(item, sample[0], f"{location}[]")
    else:
        assert type(value) is type(sample), f"{location}: {value!r}"


def assert_progress_format(value: dict[str, Any]) -> None:
    int(value["done"], 16)
    for task, assignment in value["held"].items():
        assert int(task) >= 0
        assert [type(part) for part in assignment] == [str, int], assignment


def assert_stored_format(key: str, value: Any) -> None:
    """The format is that of b0e3a7b, with shapes spelled as 317b652b reads them."""
    if "/live/prog/" in key:
        assert set(value) == {"done", "held"}
        assert_progress_format(value)
        return
    prefix = next(p for p in STORED_B0E3A7B if key.startswith(p.rpartition("job-")[0] or p))
    sample = STORED_B0E3A7B[prefix]
    assert_format(value, sample, key)
    if "/live/job/" in key:
        assert value["sub"]["shape"] in ("array", "standing")


def store_records(world: World, records: dict[str, Any]) -> None:
    world.store._apply(
        [{"set": key, "v": v} for key, v in records.items() if not key.endswith("/leader")]
    )


def test_records_are_unchanged_after_decoding_and_encoding() -> None:
    for stored in (STORED_317B652B, STORED_B0E3A7B):
        for key, value in stored.items():
            if "/live/job/" in key:
                cancelled = value | {"aborted": 1000.5}
                assert JobRecord.from_value(value, 1).value() == value
                assert JobRecord.from_value(cancelled, 1).value() == cancelled
            if "/live/prog/" in key:
                assert Progress.from_value(value).value() == value


async def test_a_leader_continues_from_records_of_317b652b() -> None:
    world = World()
    world.cloud.run_s = lambda task: 5.0
    store_records(world, STORED_317B652B)
    world.accepted_jobs["job-000001"] = job()
    world.accepted_jobs["job-000002"] = job(2)
    world.cloud.add_machine()
    await world.start_controllers()
    assert world.store.value("spoolcourse/live/term")["term"] == 4
    await world.wait_until_done(1, 60)
    assert len(world.cloud.starts) == 2, (
        "starts are not those of the two of four tasks that were left"
    )
    reply = await world.poll(2, "n1")
    assert (reply.data["stage"], reply.data["done"]) == ("done", 4)
    assert world.active().initial_machine_names() == {"m-000000"}
    assert world.cloud.violations == []


async def test_a_leader_continues_running_services_from_records_of_b0e3a7b() -> None:
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    store_records(world, STORED_B0E3A7B)
    world.accepted_jobs["job-000003"] = service(3)
    world.cloud.add_machine()
    # The cloud refuses catalog requests, so the catalog is read from the key-value store.
    world.network.filters.append(
        lambda src, dst, method, path, body: "503" if path == "/catalog" else None
    )
    await world.start_controllers()
    await world.until(lambda: len(world.cloud.running_tasks("job-000003")) == 2, 60)
    reply = await world.submit(service(4), "n2")
    assert reply.status == 201, "the stored feature level no longer permits services"
    assert (await world.cancel(3)).data["stage"] == "aborted"
    await world.until(lambda: not world.cloud.running_tasks("job-000003"), 40)
    assert world.cloud.violations == []


async def test_stored_records_and_peer_requests_have_formats_that_older_versions_know() -> None:
    """The leader loses its workers, the key-value store refuses a peer, and an outage follows."""

    isolated = await IsolatedLeader.with_running_jobs()
    world, seen = isolated.world, dict[tuple[str, str], tuple[Any, Response]]()
    call = world.network.call

    async def record(
        src: str, dst: str, method: str, path: str, body: Any, timeout: float
    ) -> Response:
        reply = await call(src, dst, method, path, body, timeout)
        if dst.endswith(":81"):
            pattern = path.partition("?")[0].replace("job-000002", "job-000001")
            if reply.status in (200, 201) or (method, pattern) not in seen:
                seen[method, pattern] = (body, reply)
        return reply

    world.network.call = record  # type: ignore[method-assign]
    assert (await world.submit(service(3))).status == 201
    partition = isolated.partition(isolated.leader, "m-")
    await asyncio.sleep(8)
    refusal = isolated.refuse_store_requests_of(isolated.others[0])
    await asyncio.sleep(2)
    for request in (world.poll(2, isolated.others[0]), world.cancel(2, isolated.others[0])):
        assert (await request).status == 200
    assert (await world.submit(job(4), isolated.others[0])).status == 201
    world.network.filters.remove(refusal)
    world.network.filters.remove(partition)
    world.store.in_outage = True
    await asyncio.sleep(6)
    world.store.end_outage()
    world.kill(str(world.leader))
    await world.until(lambda: world.leader, 20)
    await world.until(lambda: world.store.value(CATALOG_KEY), 90)

    written = [
        (op["set"], op["v"])
        for body in world.store.transactions
        for op in body["apply"]
        if "set" in op
    ]
    key_prefixes = {key.rpartition("job-")[0] or key for key, _ in written}
    assert key_prefixes == {key.rpartition("job-")[0] or key for key in STORED_B0E3A7B}
    for key, value in written:
        assert_stored_format(key, value)

    samples = {(m, p.partition("?")[0]): sample for (m, p), sample in PEER_REQUESTS_B0E3A7B.items()}
    # The warm standby sends one more request; older versions answer it with 404.
    hints = seen.pop(("GET", "/hints"), None)
    assert (hints is not None) == world.standby.enabled
    if hints is not None and hints[1].status == 200:
        assert set(hints[1].data) == {"term", "leader", "revision", "hints", "has_next"}
    # `/level` was requested before the recording began; the test below checks its answer.
    assert set(seen) == set(samples) - {("GET", "/level")}
    for request_line, (body, reply) in seen.items():
        sample_body, sample_reply = samples[request_line]
        assert reply.status in (200, 201), request_line
        if request_line == ("POST", "/v1/report"):
            assert set(body) == set(HEARTBEAT)
            assert set(reply.data) == set(sample_reply)
            continue
        # A user's request is forwarded unchanged: fields may be null.
        sent_fields = {field: v for field, v in (body or {}).items() if v is not None}
        assert_format(sent_fields, sample_body or {}, str(request_line))
        assert_format(reply.data, sample_reply, str(request_line))


async def test_requests_of_older_versions_are_answered_in_their_formats() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    world = isolated.world
    await world.cancel(1)
    await asyncio.sleep(1)
    follower = world.controllers[isolated.others[0]]
    leader = world.controllers[isolated.leader]

    async def ask(method: str, path: str, body: Any) -> Response:
        if path == "/v1/report":
            body = body | {"baton": world.store.value("spoolcourse/live/term")["term"]}
        raw = b"" if body is None else orjson.dumps(body)
        controller = leader if path == "/v1/report" else follower
        reply = controller.cluster_handler(Request(method, path, raw))
        return reply if isinstance(reply, Response) else await reply

    for (method, recorded_path), (body, answer) in PEER_REQUESTS_B0E3A7B.items():
        asks_for_cancellations = recorded_path.startswith("/cancellations")
        path = "/cancellations?beyond=0" if asks_for_cancellations else recorded_path
        reply = await ask(method, path, body)
        assert reply.status == 200, path
        if path == "/v1/report":
            assert {"baton", "orders", "deaf"} >= set(reply.data) >= {"orders", "deaf"}
            continue
        data = orjson.loads(orjson.dumps(reply.data))
        checked = {k: data[k] for k in answer} if path.startswith("/submissions") else data
        assert_format(checked, answer, path)
    assert (await ask("GET", "/cancellations?beyond=x", None)).status == 400
    # A controller that may have forgotten cancellations answers null and confirms nothing.
    follower.job_index.cancellations = Cancellations(0)
    follower.job_index.cancellations.add(Cancellation("job-000001", 1000.5, 18))
    reply = await ask("GET", "/cancellations?beyond=0", None)
    assert reply.data["cancelled"] is None
