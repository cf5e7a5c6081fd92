"""Scenarios that record what operators and users see, with the standby off and on.

They run in simulated time.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import random
import re
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import orjson
from prometheus_client.parser import text_string_to_metric_families

from spoolcourse import cli
from spoolcourse.control.http_client import Request, Response
from spoolcourse.control.http_connection import Connection, encode_response
from spoolcourse.errors import UserError
from spoolcourse.policy import keys as policy_keys
from spoolcourse.wire.messages import MAX_BODY_BYTES
from spoolcourse.wire.standby_settings import STANDBY_OFF, StandbySettings
from tests.fakes.clock import run_in_simulated_time
from tests.fakes.isolated_leader import IsolatedLeader
from tests.fakes.services import service
from tests.fakes.world import LABELS, World, job
from tests.recorded.forms.adapter import SETTINGS

# The same as `tests.fakes.world.STANDBY` without and with WARM_STANDBY; both are always run.
VARIANTS = {"standby off": STANDBY_OFF, "standby on": StandbySettings(enabled=True, verify=True)}


def normalised(text: str) -> str:
    """Replace what differs from run to run in an answer; no other function does so.

    These are revisions of the store, times of day, ages, the length of such bodies, and which of
    the three controllers leads.
    """
    text = re.sub(r'"(revision|stamp|at)":[0-9.]+', r'"\1":"N"', text)
    text = re.sub(r"for [0-9.]+ s\b", "for N s", text)
    text = re.sub(r"Content-Length: \d+", "Content-Length: N", text)
    return re.sub(r"\bn[0-2]\b", "NODE", text)


def shape(value: Any) -> Any:
    """Keys in order with the types of their values; a list has the merged shape of its items."""
    if isinstance(value, dict):
        # A heartbeat may arrive before or after the first pass: the order of phases varies.
        order = sorted if "first_pass" in value else list
        return {key: shape(value[key]) for key in order(value)}
    if isinstance(value, list):
        item_shape: Any = "nothing"
        for item in value:
            item_shape = merged_shape(item_shape, shape(item))
        return [item_shape]
    return type(value).__name__


def merged_shape(one: Any, other: Any) -> Any:
    if one in ("nothing", other):
        return other
    if other == "nothing":
        return one
    if isinstance(one, dict) and isinstance(other, dict):
        keys = sorted({*one, *other})
        return {k: merged_shape(one.get(k, "nothing"), other.get(k, "nothing")) for k in keys}
    if isinstance(one, list) and isinstance(other, list):
        return [merged_shape(one[0], other[0])]
    types = {name for part in (one, other) for name in str(part).split(" or ")}
    return " or ".join(sorted(types))


def _run_scenario(scenario: Callable[[], Any]) -> Any:
    state = random.getstate()
    random.seed(7)  # delays between retries are random
    try:
        return run_in_simulated_time(scenario())
    finally:
        random.setstate(state)


def _world(variant: str) -> World:
    # By default the minimum interval between passes is computed from real processor time.
    return World(policy={"pass_gap_s": 0.1}, standby=VARIANTS[variant])


async def _answer_of(handler: Any, method: str, path: str, raw: bytes = b"") -> Response:
    pending = handler(Request(method, path, raw))
    reply: Response = pending if isinstance(pending, Response) else await pending
    return reply


async def _start_busy_world(variant: str) -> World:
    """A world after a failover, with a service and with running, waiting and cancelled jobs."""
    world = _world(variant)
    world.cloud.run_s = lambda task: 10_000.0
    world.cloud.capacity = 3
    await world.start_with_machine()
    assert (await world.submit(service(1))).status == 201
    for number in (2, 3, 4, 5):
        assert (await world.submit(job(number, pieces=6))).status == 201
    await world.until(lambda: len(world.cloud.starts) >= 8, 60)
    await asyncio.sleep(10)
    world.kill(str(world.leader))
    await world.until(lambda: world.leader, 30)
    assert (await world.cancel(2, str(world.leader))).status == 200
    await world.until(lambda: len(world.cloud.starts) >= 14, 60)
    await asyncio.sleep(10)
    return world


def _labels_by_role(world: World) -> dict[str, str]:
    leader = str(world.leader)
    return {"leader": leader, "follower": next(n for n in world.controllers if n != leader)}


def _read_in_both_roles(read: Callable[[Response], Any], path: str) -> dict[str, Any]:
    by_role: dict[str, Any] = {}
    for variant in VARIANTS:

        async def scenario(variant: str = variant) -> dict[str, Any]:
            world = await _start_busy_world(variant)
            return {
                f"{role}, {variant}": read(
                    await _answer_of(world.controllers[label].cluster_handler, "GET", path)
                )
                for role, label in _labels_by_role(world).items()
            }

        by_role |= _run_scenario(scenario)
    return by_role


def status() -> dict[str, Any]:
    """Keys and types of `/status`."""
    return _read_in_both_roles(
        lambda reply: shape(orjson.loads(orjson.dumps(reply.data))), "/status"
    )


def _metric_families(reply: Response) -> Any:
    return [
        [
            f"{family.type} {family.name}: {family.documentation}",
            *sorted(
                {f"{sample.name} {sorted(sample.labels.items())}" for sample in family.samples}
            ),
        ]
        for family in text_string_to_metric_families(reply.data.decode())
    ] + [sorted(reply.headers.items())]


def metrics() -> dict[str, Any]:
    """Names, types, descriptions and labels of the metrics in `/metrics`."""
    return _read_in_both_roles(_metric_families, "/metrics")


# -- the command line and the policy -----------------------------------------------------


def _converted(convert: Any, text: str) -> str:
    try:
        return repr(text if convert is None else convert(text))
    except (argparse.ArgumentTypeError, ValueError) as exc:
        return f"refused: {exc}"


def _option_fields(action: argparse.Action) -> dict[str, Any]:
    return {
        "options": list(action.option_strings),
        "destination": action.dest,
        "metavar": action.metavar,
        "required": action.required,
        "default": action.default if action.default != argparse.SUPPRESS else None,
        "values": [_converted(action.type, text) for text in ("0", "1.5", "3600", "3601", "x")],
        "arguments": action.nargs,
        "help": action.help,
    }


def _run_command(*arguments: str) -> dict[str, Any]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code: Any = cli.main(list(arguments))
        except SystemExit as exc:
            code = exc.code
    return {"code": code, "out": out.getvalue(), "error": err.getvalue().splitlines()}


def command_line() -> dict[str, Any]:
    """Commands with their options, and the output of some calls."""
    parser = cli._parser()
    cases: dict[str, Any] = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, command in action.choices.items():
                cases[f"command {name}"] = [_option_fields(option) for option in command._actions]
            cases["commands"] = [[a.dest, a.help] for a in action._choices_actions]
        else:
            cases[f"option {action.dest}"] = _option_fields(action)
    cases["program"] = [parser.prog, parser.description]
    node_option = ("--node", "127.0.0.1:1")
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
        Path("good.json").write_bytes(orjson.dumps(SETTINGS))
        Path("bad.json").write_text("{}")
        Path("bad.toml").write_text("[policy]\nnovelty = 1\nheadroom = 99\n")
        for call in (
            ("check", "--config", "good.json"),
            ("check", "--config", "bad.json"),
            ("check", "--config", "none.json"),
            ("check", "--config", "good.json", "--policy", "bad.toml"),
            ("check", "--config", "good.json", "--policy", "none.toml"),
            ("check", "--config", "good.json", "--standby", "bad.toml"),
            ("serve", "--config", "bad.json"),
            ("submit", "none.json", *node_option),
            ("status", "job-1", *node_option),
            ("cancel", "job-1", *node_option),
            ("view", "--node", "nowhere"),
        ):
            cases["call: " + " ".join(call)] = _run_command(*call)
    return cases


def policy() -> dict[str, Any]:
    """Keys with defaults and ranges, their values, and the error messages for invalid ones."""
    source = policy_keys.compile_policy({}, "sample")
    values = source.initial()
    initial_values = {name: getattr(values, name) for name in policy_keys.KEYS}
    source.refresh(
        values, {name: min(r.high, 2 * r.low + 50.0) for name, r in policy_keys.INPUTS.items()}
    )

    def error(policy_values: dict[str, object]) -> str:
        try:
            policy_keys.compile_policy(policy_values, "sample")
        except UserError as exc:
            return str(exc)
        return "accepted"

    return {
        "keys": {n: [k.default, k.low, k.high, k.unit, k.description] for n, k in _policy_items()},
        "inputs": {name: [r.low, r.high] for name, r in policy_keys.INPUTS.items()},
        "whole": list(policy_keys.INTEGER_KEYS),
        "values at first": initial_values,
        "values": {name: getattr(values, name) for name in policy_keys.KEYS},
        "errors": {
            f"{key} = {value!r}": error({key: value})
            for key, value in (
                ("novelty", 1),
                ("headroom", True),
                ("headroom", 11),
                ("keep_s", "machines"),
                ("keep_s", "1 / load"),
                ("keep_s", "unknown + 1"),
                ("keep_s", "1 +"),
                ("keep_s", "abs(1)"),
            )
        },
    }


def _policy_items() -> Any:
    return policy_keys.KEYS.items()


# -- answers -------------------------------------------------------------------------------


def _submission_bodies() -> dict[str, bytes]:
    """Each field missing, null, of another type or out of range, and jobs that can't run."""
    bodies: dict[str, bytes] = {}
    for field in job():
        bodies[f"{field} missing"] = orjson.dumps({k: v for k, v in job().items() if k != field})
        for fault, value in (("null", None), ("of another type", {}), ("negative", -1)):
            bodies[f"{field} {fault}"] = orjson.dumps(job() | {field: value})
    invalid_fields: dict[str, dict[str, Any]] = {
        "no tasks": {"pieces": 0},
        "too many tasks": {"pieces": 100_001},
        "empty name": {"lane": ""},
        "long name": {"bundle": "x" * 201},
        "unknown shape": {"shape": "ring"},
        "unknown rank": {"rank": "urgent"},
        "bad id": {"id": "job 1"},
        "unknown team": {"crew": "green"},
        "too many processors": {"vcpus": 9.0},
        "above the team's limit": {"crew": "blue", "vcpus": 33.0},
        "unknown machine type": {"builds": ["c9"]},
        "unknown zone": {"yard": "c"},
        "replicas above the limit": {"shape": "standing", "pieces": 100, "vcpus": 8.0},
        "replicas in one zone": {"shape": "standing", "scatter": True, "oneZone": True},
    }
    for name, fields in invalid_fields.items():
        bodies[name] = orjson.dumps(job() | fields)
    for text in ("", "{", "[]", "null", '"x"', '{"pieces":NaN}', '{"vcpus":1e999}'):
        bodies[f"body {text!r}"] = text.encode()
    return bodies


def _heartbeat_bodies(fencing_token: int) -> dict[str, bytes]:
    heartbeat: dict[str, Any] = {
        "spindle": "m-000099",
        "address": "m-000099:9000",
        "build": "c8",
        "yard": "a",
        "loaners": False,
        "shift": 1,
        "tick": 1,
        "baton": fencing_token,
        "recallS": None,
        "pieces": [],
    }
    ended = {"piece": "job-000009/0", "try": 1, "stage": "ended"}
    missing_fields = {
        f"{field} missing": orjson.dumps({k: v for k, v in heartbeat.items() if k != field})
        for field in heartbeat
        if field != "recallS"
    }
    return missing_fields | {
        "not JSON": b"{",
        "ended without a cause": orjson.dumps(heartbeat | {"pieces": [ended]}),
        "not a task": orjson.dumps(
            heartbeat | {"pieces": [ended | {"piece": "x", "cause": "done"}]}
        ),
        "unknown stage": orjson.dumps(heartbeat | {"pieces": [ended | {"stage": "resting"}]}),
        "good": orjson.dumps(heartbeat),
    }


class _AnswerRecorder:
    """Sends requests to the controllers of a world and records the answers as HTTP text."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.answers: dict[str, Any] = {}

    async def record(
        self, name: str, role: str, method: str, path: str, raw: bytes = b"", peers: bool = False
    ) -> None:
        controller = self.world.controllers[_labels_by_role(self.world)[role]]
        reply = await _answer_of(
            controller.cluster_handler if peers else controller.public_handler, method, path, raw
        )
        assert name not in self.answers, name
        self.answers[name] = normalised(encode_response(reply).decode())


async def _record_answers_without_faults(recorder: _AnswerRecorder) -> None:
    world = recorder.world
    for role in ("leader", "follower"):
        for name, raw in _submission_bodies().items():
            if role == "leader" or name in ("body '{'", "unknown team", "pieces missing"):
                await recorder.record(f"{role}: submit, {name}", role, "POST", "/submissions", raw)
    # Cancel the job that was accepted above: for some fields null is the same as missing.
    await world.cancel(1, str(world.leader))
    await asyncio.sleep(5)
    number = 10
    for role in ("leader", "follower"):
        number += 1
        job_path = f"/submissions/job-{number:06d}"
        good, other = orjson.dumps(job(number)), orjson.dumps(job(number, pieces=9, lane="x"))
        malformed = orjson.dumps(job(number, pieces=-1))
        await recorder.record(f"{role}: submit", role, "POST", "/submissions", good)
        await recorder.record(f"{role}: submit again", role, "POST", "/submissions", good)
        await recorder.record(f"{role}: submit, other content", role, "POST", "/submissions", other)
        await recorder.record(
            f"{role}: submit, malformed again", role, "POST", "/submissions", malformed
        )
        await recorder.record(f"{role}: poll, queued", role, "GET", job_path)
        for name, method, path in (
            ("poll, unknown job", "GET", "/submissions/job-000099"),
            ("poll, not a job", "GET", "/submissions/job"),
            ("poll, empty name", "GET", "/submissions/"),
            ("withdraw, unknown job", "POST", "/submissions/job-000099/withdraw"),
            ("withdraw, not a job", "POST", "/submissions/job/withdraw"),
            ("list", "GET", "/submissions"),
            ("wrong method, submit", "PUT", "/submissions"),
            ("wrong method, poll", "DELETE", job_path),
            ("wrong method, withdraw", "GET", f"{job_path}/withdraw"),
            ("wrong path, below a job", "POST", f"{job_path}/stop"),
            ("wrong path, further below", "POST", f"{job_path}/withdraw/x"),
            ("wrong path", "GET", "/jobs"),
            ("wrong method, report", "GET", "/v1/report"),
            ("health", "GET", "/healthz"),
            ("status on the users' address", "GET", "/status"),
            ("metrics on the users' address", "GET", "/metrics"),
            ("handover on the users' address", "POST", "/handover"),
        ):
            await recorder.record(f"{role}: {name}", role, method, path)
        await recorder.record(f"{role}: withdraw", role, "POST", f"{job_path}/withdraw")
        await recorder.record(f"{role}: withdraw again", role, "POST", f"{job_path}/withdraw")
        await recorder.record(f"{role}: poll, withdrawn", role, "GET", job_path)
        await recorder.record(
            f"{role}: submit, withdrawn before", role, "POST", "/submissions", good
        )
    assert (await world.submit(service(20))).status == 201


async def _record_answers_about_started_jobs(recorder: _AnswerRecorder) -> None:
    world = recorder.world
    world.cloud.run_s = lambda task: 5.0 if "000031" in task else 10_000.0
    world.cloud.capacity = 6
    for number in (30, 31):
        assert (await world.submit(job(number))).status == 201
    await world.wait_until_done(31, 120)
    await world.until(lambda: len(world.cloud.running_tasks("job-000030")) == 4, 120)
    await asyncio.sleep(8)
    for role in ("leader", "follower"):
        for number, stage in ((30, "running"), (31, "finished")):
            job_path = f"/submissions/job-{number:06d}"
            raw = orjson.dumps(job(number))
            await recorder.record(f"{role}: poll, {stage}", role, "GET", job_path)
            await recorder.record(f"{role}: submit, {stage}", role, "POST", "/submissions", raw)
        finished = "/submissions/job-000031/withdraw"
        await recorder.record(f"{role}: withdraw, finished", role, "POST", finished)


async def _record_answers_to_workers_and_peers(recorder: _AnswerRecorder) -> None:
    fencing_token = recorder.world.store.value("spoolcourse/live/term")["term"]
    for role in ("leader", "follower"):
        for peers in (False, True):
            prefix = f"{role}, peers' address" if peers else role
            for name, raw in _heartbeat_bodies(fencing_token).items():
                await recorder.record(
                    f"{prefix}: report, {name}", role, "POST", "/v1/report", raw, peers
                )
        for method, path in (
            ("GET", "/healthz"),
            ("GET", "/level"),
            ("GET", "/cancellations?beyond=0"),
            ("GET", "/cancellations?beyond=x"),
            ("GET", "/cancellations"),
            ("GET", "/standby"),
            ("GET", "/hints?after=&most=1"),
            ("GET", "/hints?after=m-000000&most=0"),
            ("GET", "/hints"),
            ("POST", "/level"),
            ("POST", "/status"),
            ("GET", "/handover"),
            ("GET", "/unknown"),
            ("GET", "/submissions/job-000031"),
            ("GET", "/submissions/job-000099"),
        ):
            await recorder.record(
                f"{role}, peers' address: {method} {path}", role, method, path, peers=True
            )


async def _record_answers_during_a_store_outage(recorder: _AnswerRecorder) -> None:
    world = recorder.world
    world.store.in_outage = True
    await asyncio.sleep(6)
    for role in ("leader", "follower"):
        for name, method, path, raw in (
            ("submit", "POST", "/submissions", orjson.dumps(job(40))),
            ("submit, malformed", "POST", "/submissions", b"[]"),
            ("submit, running", "POST", "/submissions", orjson.dumps(job(30))),
            ("poll, running", "GET", "/submissions/job-000030", b""),
            ("poll, finished", "GET", "/submissions/job-000031", b""),
            ("poll, unknown job", "GET", "/submissions/job-000099", b""),
            ("withdraw", "POST", "/submissions/job-000030/withdraw", b""),
            ("withdraw, finished", "POST", "/submissions/job-000031/withdraw", b""),
            ("health", "GET", "/healthz", b""),
        ):
            await recorder.record(f"{role}, store out: {name}", role, method, path, raw)
        await recorder.record(
            f"{role}, store out: poll of a peer",
            role,
            "GET",
            "/submissions/job-000030",
            peers=True,
        )
    world.store.end_outage()
    await asyncio.sleep(8)


def answers() -> dict[str, Any]:
    """Answers to users, workers and peers, and to invalid HTTP requests."""
    by_group: dict[str, Any] = {"broken requests": _run_scenario(_answers_to_raw_requests)}
    for variant in VARIANTS:

        async def scenario(variant: str = variant) -> dict[str, Any]:
            world = _world(variant)
            world.start()
            starting = _AnswerRecorder(world)
            raw = orjson.dumps(job())
            for method, path in (("POST", "/submissions"), ("GET", "/healthz")):
                reply = await _answer_of(world.controllers["n0"].public_handler, method, path, raw)
                starting.answers[f"starting: {method} {path}"] = normalised(
                    encode_response(reply).decode()
                )
            for label in LABELS:
                world.kill(label)
            await world.start_controllers()
            world.cloud.capacity = 0  # jobs wait in the queue
            recorder = _AnswerRecorder(world)
            recorder.answers |= starting.answers
            await _record_answers_without_faults(recorder)
            await _record_answers_about_started_jobs(recorder)
            await _record_answers_to_workers_and_peers(recorder)
            await _record_answers_during_a_store_outage(recorder)
            await recorder.record("follower: handover", "follower", "POST", "/handover", peers=True)
            await recorder.record("leader: handover", "leader", "POST", "/handover", peers=True)
            return recorder.answers

        by_group[variant] = _run_scenario(scenario)
    return by_group


class _RecordingTransport(asyncio.Transport):
    """Records the bytes that are written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


def _serve(request: Request) -> Response:
    if request.path == "/broken":
        raise RuntimeError("raised for the test")
    return Response(200, {"length": len(request.body)})


async def _answers_to_raw_requests() -> dict[str, Any]:
    limit = str(MAX_BODY_BYTES).encode()
    above_limit = str(MAX_BODY_BYTES + 1).encode()
    post, host = b"POST /a HTTP/1.1\r\nHost: x\r\n", b"Host: x\r\n"
    answers_and_states = {}
    for name, raw in {
        "good": post + b"Content-Length: 2\r\n\r\n{}",
        "as large as may be": post
        + b"Content-Length: "
        + limit
        + b"\r\n\r\n"
        + b"x" * MAX_BODY_BYTES,
        "too large": post + b"Content-Length: " + above_limit + b"\r\n\r\n",
        "expects to continue": post + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
        "not HTTP": b"what is this?\r\n\r\n",
        "another protocol": b"GET /a HTTP/1.1\r\n"
        + host
        + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        "a failure inside": b"GET /broken HTTP/1.1\r\n" + host + b"\r\n",
        "the last request": b"GET /a HTTP/1.1\r\n" + host + b"Connection: close\r\n\r\n",
    }.items():
        transport, connection = _RecordingTransport(), Connection(_serve, set())
        connection.connection_made(transport)
        connection.data_received(raw)
        answers_and_states[name] = [
            transport.written.decode(),
            "closed" if transport.closed else "open",
        ]
    return answers_and_states


# -- traffic -------------------------------------------------------------------------------


def _path_pattern(path: str) -> str:
    path = re.sub(r"job-\d+", "JOB", path)
    path = re.sub(r"(since=|after=)[^&]+", r"\1NAME", path)
    return re.sub(r"\d+", "N", path)


def _transaction_shapes(body: dict[str, Any]) -> dict[str, Any]:
    """Shapes of the values that a transaction stores, by key pattern."""
    shapes = {"if": shape(body["if"])}
    for operation in body.get("apply", []):
        verb = "set" if "set" in operation else "delete"
        content = shape(operation)
        if "/prog/" in operation[verb] and verb == "set":
            content["v"]["held"] = shape([*operation["v"]["held"].values()])
        shapes[f"{verb} {_path_pattern(operation[verb])}"] = content
    return shapes


async def _traffic(variant: str) -> dict[str, Any]:  # noqa: PLR0915 - one scenario, step by step
    """Requests while a leader loses workers, the store refuses a peer and fails, others lead."""
    seen: dict[str, Any] = {}
    world = _world(variant)
    world.cloud.run_s = lambda task: 300.0
    world.cloud.capacity = 4
    call = world.network.call

    async def recorded_call(
        src: str, dst: str, method: str, path: str, body: Any, timeout: float
    ) -> Response:
        reply = await call(src, dst, method, path, body, timeout)
        answered = reply.status in (200, 201, 421) or path.startswith("/kv/")
        if src == "user" or not answered:
            return reply
        destination = re.sub(r"n\d:81", "controller", re.sub(r"m-\d+:9000", "worker", dst))
        destination = re.sub(r"n\d:80", "controller for workers", destination)
        content = _transaction_shapes(body) if path == "/multi" else shape(body)
        if path.startswith(("/kv", "/watch")) and isinstance(reply.data, dict):
            answer: Any = sorted(reply.data)
        elif path.startswith("/hints"):
            answer = sorted(reply.data)
        else:
            answer = shape(reply.data)
        name = f"{method} {destination} {_path_pattern(path)}"
        exchange = {"body": content, f"answer {reply.status}": answer}
        seen[name] = merged_shape(seen.get(name, "nothing"), exchange)
        return reply

    world.network.call = recorded_call  # type: ignore[method-assign]
    await world.start_with_machine()
    for number in (1, 2):
        await world.submit(job(number))
    await world.until(lambda: len(world.cloud.starts) == 8, 60)
    await asyncio.sleep(3)
    isolated = IsolatedLeader(world)
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
    await world.until(lambda: world.leader, 20)
    await asyncio.sleep(8)
    assert (await world.poll(99, str(world.leader))).status == 404
    await world.network.call("op", f"{world.leader}:81", "POST", "/handover", None, 5.0)
    await world.until(lambda: world.leader, 20)
    await asyncio.sleep(8)
    world.kill(str(world.leader))
    world.cloud.run_s = lambda task: 5.0
    await world.until(lambda: world.leader, 20)
    await world.submit(job(5), str(world.leader))
    await world.wait_until_done(5, 200)
    await asyncio.sleep(200)
    # Which of several shapes came first varies; `messages` records the order of fields.
    sorted_by_key: dict[str, Any] = orjson.loads(orjson.dumps(seen, option=orjson.OPT_SORT_KEYS))
    return sorted_by_key


def traffic() -> dict[str, Any]:
    """All requests of controllers, workers and peers, with keys and types of what they carry."""
    return {variant: _run_scenario(partial(_traffic, variant)) for variant in VARIANTS}


INTERFACES: dict[str, Callable[[], dict[str, Any]]] = {
    "status": status,
    "metrics": metrics,
    "command_line": command_line,
    "policy": policy,
    "answers": answers,
    "traffic": traffic,
}
