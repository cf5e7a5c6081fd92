"""Converts the product's records, messages, paths and settings to plain data and back.

When the product renames a class or field, adapt this module, never the recorded data.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec
import orjson

from spoolcourse.control.failover.hint_query import HintQuery
from spoolcourse.control.leadership import feature_level
from spoolcourse.control.store import keys, records
from spoolcourse.errors import UserError
from spoolcourse.wire import cloud, commands, key_value_store, messages, paths, peers
from spoolcourse.wire.settings import parse_settings
from spoolcourse.wire.standby_settings import parse_standby

ATTEMPT_NUMBER = 50331649


@dataclass(frozen=True)
class CodecCase:
    """A sample object with the product's functions that encode it to JSON and decode it."""

    sample: Any
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]

    def encoded(self) -> str:
        return orjson.dumps(self.encode(self.sample)).decode()

    def decoded(self, text: str) -> Any:
        return self.decode(orjson.loads(text))

    def reencoded(self, text: str) -> str:
        return orjson.dumps(self.encode(self.decoded(text))).decode()


# -- samples ------------------------------------------------------------------------------

ARRAY = messages.Submission(
    id="job-000001",
    job_class="batch",
    team="red",
    shape="array",
    rank="standard",
    task_count=4,
    cpus=2.0,
    gpus=0.0,
    memory_gb=4.0,
    image="img",
    image_gb=1.5,
    one_zone=False,
    spread_over_zones=True,
    spot_allowed=True,
    expected_run_s=10.0,
    checkpoint_every_s=20.0,
    checkpoint_cost_s=0.5,
)
ARRAY_WITH_EVERY_FIELD = messages.Submission(
    id="job-000002",
    job_class="batch",
    team="red",
    shape="array",
    rank="best_effort",
    task_count=400,
    cpus=2.0,
    gpus=1.0,
    memory_gb=4.0,
    image="img",
    image_gb=1.5,
    one_zone=True,
    spread_over_zones=False,
    spot_allowed=False,
    expected_run_s=10.0,
    checkpoint_every_s=0.0,
    checkpoint_cost_s=0.0,
    machine_types=["c8", "c16"],
    zone="a",
    due_s=60.0,
)
SERVICE = messages.Submission(
    id="job-000003",
    job_class="web",
    team="blue",
    shape="standing",
    rank="prod",
    task_count=2,
    cpus=2.0,
    gpus=0.0,
    memory_gb=4.0,
    image="img",
    image_gb=1.0,
    one_zone=False,
    spread_over_zones=True,
    spot_allowed=False,
    expected_run_s=0.0,
    checkpoint_every_s=0.0,
    checkpoint_cost_s=0.0,
)
MACHINE_TYPES = [
    messages.MachineType(
        name="c8",
        cpus=8.0,
        gpus=0.0,
        memory_gb=32.0,
        disk_gb=50.0,
        fetch_gb_per_s=1.0,
        hourly_price=1.0,
        spot_price=0.3,
        boot_s=10.0,
        zones=["a", "b"],
    ),
    messages.MachineType(
        name="g4",
        cpus=4.0,
        gpus=1.0,
        memory_gb=16.0,
        disk_gb=20.0,
        fetch_gb_per_s=0.5,
        hourly_price=4.0,
        spot_price=1.25,
        boot_s=20.0,
        zones=[],
    ),
]
TERM = records.TermRecord(number=3, run_id="run9", lease=7)
START = commands.Start(task="job-000001/3", attempt=ATTEMPT_NUMBER + 3)
STOP = commands.Stop(task="job-000001/0", attempt=ATTEMPT_NUMBER, grace_s=2.5)
ACKNOWLEDGE = commands.Acknowledge(task="job-000001/1", attempt=ATTEMPT_NUMBER + 1)
COMMANDS: list[commands.Command] = [START, STOP, ACKNOWLEDGE]
TASK_STATUSES = [
    messages.TaskStatus(
        task=f"job-000001/{index}",
        attempt=ATTEMPT_NUMBER + index,
        stage=stage,
        cause=cause,
        stored=stored,
    )
    for index, (stage, cause, stored) in enumerate(
        [
            (messages.TaskStage.FETCHING, None, False),
            (messages.TaskStage.RUNNING, None, True),
            (messages.TaskStage.SAVING, None, False),
            *((messages.TaskStage.ENDED, cause.value, False) for cause in messages.EndCause),
            (messages.TaskStage.ENDED, "some_other_cause", True),
        ]
    )
]
HINTS = [
    peers.Hint(
        machine="m-000000", address="m-000000:9000", incarnation=2, images={"img": 1.5, "old": 0.5}
    ),
    peers.Hint(machine="m-000001", address="m-000001:9000", incarnation=1),
]


def _heartbeat(**fields: Any) -> messages.Heartbeat:
    values: dict[str, Any] = {
        "machine": "m-000000",
        "address": "m-000000:9000",
        "machine_type": "c8",
        "zone": "a",
        "spot": False,
        "incarnation": 1,
        "sequence": 9,
        "fencing_token": 3,
        "tasks": [],
    } | fields
    return messages.Heartbeat(**values)


# -- records and messages ------------------------------------------------------------------


def _message(sample: msgspec.Struct) -> CodecCase:
    struct_type = type(sample)
    return CodecCase(
        sample, commands.to_json_object, lambda data: messages.parse(data, struct_type)
    )


def _job_record(submission: messages.Submission, cancelled_at: float | None = None) -> CodecCase:
    return CodecCase(
        records.JobRecord(
            submission=submission,
            accepted_at=990.25,
            tasks_per_chunk=170,
            cancelled_at=cancelled_at,
            revision=12,
        ),
        lambda record: record.value(),
        lambda value: records.JobRecord.from_value(value, 12),
    )


def _progress(**fields: Any) -> CodecCase:
    return CodecCase(
        records.Progress(**fields), lambda record: record.value(), records.Progress.from_value
    )


def _final_state(stage: messages.JobStage) -> CodecCase:
    return CodecCase(
        records.FinalState(stage=stage, done=4, accepted_at=980.5),
        lambda record: record.value(),
        records.FinalState.from_value,
    )


def _read_term(value: dict[str, Any]) -> records.TermRecord:
    run_id = records.LeaderRecord.run_id_of(value)
    assert run_id is not None
    return records.TermRecord(
        number=records.TermRecord.number_of(value), run_id=run_id, lease=value["hold"]
    )


def _read_leader(value: dict[str, Any]) -> records.LeaderRecord:
    return records.LeaderRecord(term=_read_term(value), label=records.LeaderRecord.label_of(value))


def _initial_machines(names: list[str], further_parts: int) -> CodecCase:
    return CodecCase(
        (names, further_parts),
        lambda sample: records.initial_machines_value(sample[0], sample[1]),
        lambda value: (sorted(records.initial_machines_of(value)), records.further_parts_of(value)),
    )


STORED_RECORDS: dict[str, CodecCase] = {
    "job record, array": _job_record(ARRAY),
    "job record, every field": _job_record(ARRAY_WITH_EVERY_FIELD),
    "job record, service": _job_record(SERVICE),
    "job record, cancelled": _job_record(ARRAY, 1000.5),
    "job record, every field, cancelled": _job_record(ARRAY_WITH_EVERY_FIELD, 1000.5),
    "progress, empty": _progress(),
    "progress": _progress(
        done=0x6F0,
        held={
            0: records.Assignment("m-000000", ATTEMPT_NUMBER),
            11: records.Assignment("m-000001", ATTEMPT_NUMBER + 1),
        },
    ),
    "final state, done": _final_state(messages.JobStage.DONE),
    "final state, aborted": _final_state(messages.JobStage.CANCELLED),
    "term": CodecCase(TERM, lambda record: record.value(), _read_term),
    "leader": CodecCase(
        records.LeaderRecord(term=TERM, label="n1"), lambda record: record.value(), _read_leader
    ),
    "base, empty": _initial_machines([], 0),
    "base, one part": _initial_machines(["m-000000", "m-000001"], 0),
    "base, first of three parts": _initial_machines(["m-000000", "m-000001"], 2),
    "catalog": CodecCase(
        MACHINE_TYPES,
        records.catalog_value,
        lambda value: messages.parse(value, messages.Catalog).machine_types,
    ),
    "feature level": CodecCase(2, records.feature_level_value, records.feature_level_of),
}

MESSAGES: dict[str, CodecCase] = {
    # Between controllers. Relayed heartbeats and responses have the format for workers.
    "cancellation": _message(peers.Cancellation(job="job-000001", at=1000.5, revision=18)),
    "cancellation reply": _message(
        peers.CancellationsResponse(
            term=3,
            has_read_store=True,
            cancelled=[
                peers.Cancellation(job="job-000001", at=1000.5, revision=18),
                peers.Cancellation(job="job-000002", at=1001.0, revision=19),
            ],
        )
    ),
    "cancellation reply, none": _message(
        peers.CancellationsResponse(term=0, has_read_store=False, cancelled=[])
    ),
    "cancellation reply, some forgotten": _message(
        peers.CancellationsResponse(term=3, has_read_store=True, cancelled=None)
    ),
    "level reply": _message(peers.FeatureLevelResponse(level=2)),
    "level reply of this version": CodecCase(
        peers.FeatureLevelResponse(level=feature_level.SERVICES_LEVEL),
        lambda reply: (
            feature_level.level_response() if reply.level == feature_level.SERVICES_LEVEL else None
        ),
        lambda data: messages.parse(data, peers.FeatureLevelResponse),
    ),
    "hint": _message(HINTS[0]),
    "hint, no images": _message(HINTS[1]),
    "hint page": _message(
        peers.HintPage(term=3, leader="n1", revision=40, hints=HINTS, has_next=True)
    ),
    "hint page, last and empty": _message(
        peers.HintPage(term=3, leader="n1", revision=40, hints=[])
    ),
    "standby reply": _message(peers.StandbyResponse(caught_up=True, term=3, revision=40)),
    "standby reply, not caught up": _message(
        peers.StandbyResponse(caught_up=False, term=3, revision=40, reason="its shadow is unfit")
    ),
    "handover reply": _message(peers.LeadershipTransferResponse(term=3, successors=["n0", "n2"])),
    # Between controllers and workers.
    "report": _message(_heartbeat()),
    "report, spot, about to end": _message(_heartbeat(spot=True, terminates_in_s=12.5)),
    "report, tasks in every stage": _message(_heartbeat(tasks=TASK_STATUSES)),
    "report reply": _message(commands.HeartbeatResponse(commands=COMMANDS, fencing_token=3)),
    "report reply, no lease": _message(commands.HeartbeatResponse(commands=[])),
    "report reply, relayed": _message(
        commands.HeartbeatResponse(commands=COMMANDS, fencing_token=3, receives_no_heartbeats=True)
    ),
    "report reply, relayed, leader hears others": _message(
        commands.HeartbeatResponse(commands=[], fencing_token=3, receives_no_heartbeats=False)
    ),
    "redirect": _message(commands.Redirect(leader="n1")),
    "redirect, no leader": _message(commands.Redirect()),
    "command, start": _message(START),
    "command, stop": _message(STOP),
    "command, acknowledge": _message(ACKNOWLEDGE),
    "command request": _message(
        commands.CommandRequest(fencing_token=3, incarnation=1, commands=COMMANDS)
    ),
    "command request, empty": _message(
        commands.CommandRequest(fencing_token=3, incarnation=1, commands=[])
    ),
    # Between controllers and users.
    "submission, array": _message(ARRAY),
    "submission, every field": _message(ARRAY_WITH_EVERY_FIELD),
    "submission, service": _message(SERVICE),
    **{
        f"job answer, {stage.value}": _message(messages.JobResponse(id="job-000001", stage=stage))
        for stage in messages.JobStage
    },
    **{
        f"job status, {stage.value}": _message(
            messages.JobStatus(id="job-000001", stage=stage, done=2, running=1)
        )
        for stage in messages.JobStage
    },
    # Between controllers and the cloud.
    "catalog": _message(messages.Catalog(machine_types=MACHINE_TYPES)),
    "machine type": _message(MACHINE_TYPES[0]),
    **{
        f"host, {stage.value}": _message(
            messages.ListedMachine(
                id="m-000000",
                machine_type="c8",
                zone="a",
                spot=True,
                stage=stage,
                age_s=12.5,
                address="m-000000:9000",
            )
        )
        for stage in messages.ListedMachineStage
    },
    "host page": _message(
        messages.MachineListPage(
            machines=[
                messages.ListedMachine(
                    id="m-000000",
                    machine_type="c8",
                    zone="a",
                    spot=False,
                    stage=messages.ListedMachineStage.STARTING,
                    age_s=0.0,
                )
            ],
            has_next=True,
        )
    ),
    "host page, last": _message(messages.MachineListPage(machines=[])),
    "hired": _message(messages.ProvisionedMachines(machines=["m-000000", "m-000001"])),
}


def requests() -> dict[str, str]:
    """Return the request bodies that the product sends and never parses."""
    spot = cloud.MachineKind(machine_type="c8", zone="a", spot=True)
    put = key_value_store.Put(key="spoolcourse/live/term", value=TERM.value())
    put_with_lease = key_value_store.Put(
        key="spoolcourse/live/leader", value={"label": "n1"}, lease=7
    )
    bodies: dict[str, Any] = {
        "cloud: rental": cloud.provision_body("t3-1", spot, 2),
        "cloud: rental, above the most": cloud.provision_body("t3-2", spot, 1000),
        "cloud: deletion": cloud.delete_body(["m-000000", "m-000001"]),
        "store: lease": key_value_store.grant_body(2.5),
        "store: transaction": key_value_store.transaction_body(
            {"spoolcourse/live/term": 4, "spoolcourse/live/leader": 0},
            [put, put_with_lease, key_value_store.Delete(key="spoolcourse/live/job/job-000001")],
        ),
        "store: transaction without operations": key_value_store.transaction_body(
            {"spoolcourse/live/term": 4}, []
        ),
        "base in parts": records.initial_machines_values([f"m-{n:06d}" for n in range(8)], 80.0),
    }
    return {name: orjson.dumps(body).decode() for name, body in bodies.items()}


STORE_RESPONSES = {
    "entry": '{"k":"a","v":{"term":3},"stamp":5}',
    "page": '{"pairs":[{"k":"a","v":1,"stamp":5},{"k":"b","v":null,"stamp":6}],'
    '"hasNext":true,"ledger":9}',
    "page, empty": '{"pairs":[],"hasNext":true,"ledger":9}',
    "changes": '{"ledger":9,"log":[{"set":"a","v":[1],"stamp":8},{"delete":"b","stamp":9}]}',
    "lease": '{"hold":7}',
    "carried out": '{"ledger":9}',
    "conditions failed": '{"failed":["a","b"],"ledger":9}',
}


MESSAGES_WITH_FEWEST_FIELDS: list[tuple[type[msgspec.Struct], str]] = [
    (peers.Hint, '{"machine":"m","address":"m:1","session":1}'),
    (peers.HintPage, '{"term":1,"leader":"n1","revision":2,"hints":[]}'),
    (peers.StandbyResponse, '{"caught_up":true,"term":1,"revision":2}'),
    (messages.TaskStatus, '{"piece":"job-000001/0","try":1,"stage":"running"}'),
    (messages.JobStatus, '{"id":"job-000001","stage":"queued"}'),
    (messages.MachineListPage, '{"spindles":[]}'),
    (
        messages.ListedMachine,
        '{"id":"m","build":"c8","yard":"a","loaners":true,"stage":"failed","ageS":1}',
    ),
    (commands.HeartbeatResponse, '{"orders":[]}'),
    (commands.Redirect, "{}"),
]


def readings() -> dict[str, Any]:
    """Return what the product parses from recorded responses and values, as plain data."""
    data = {name: orjson.loads(text) for name, text in STORE_RESPONSES.items()}
    watch_result = key_value_store.parse_watch(data["changes"])
    outcomes = (
        key_value_store.parse_success(data["carried out"]),
        key_value_store.parse_conflict(data["conditions failed"]),
    )
    pages = [key_value_store.parse_page(data[name]) for name in ("page", "page, empty")]
    entry = key_value_store.parse_entry("a", data["entry"])
    progress = {"done": "6f0", "held": {"0": ["m", 1], "2": ["m", 2]}}
    return {
        "messages without their optional fields": [
            commands.to_json_object(messages.parse(orjson.loads(text), struct_type))
            for struct_type, text in MESSAGES_WITH_FEWEST_FIELDS
        ],
        "store entry": [entry.key, entry.value, entry.revision],
        "store pages": [
            [[[e.key, e.value, e.revision] for e in p.entries], p.has_next, p.store_revision]
            for p in pages
        ],
        "store changes": [
            watch_result.store_revision,
            [[c.key, c.value, c.revision] for c in watch_result.changes],
        ],
        "store lease": key_value_store.parse_lease(data["lease"]),
        "store outcomes": [
            [o.succeeded, o.store_revision, list(o.conflicting_keys)] for o in outcomes
        ],
        "store, no such lease": key_value_store.NO_SUCH_LEASE,
        "cloud, no capacity": cloud.NO_CAPACITY,
        "cloud limits": [
            cloud.LIST_PAGE_SIZE,
            cloud.MAX_MACHINES_PER_DELETION,
            cloud.MAX_MACHINES_PER_PROVISION_REQUEST,
        ],
        "body limit": messages.MAX_BODY_BYTES,
        "job id": messages.JOB_ID.pattern,
        "progress counts": list(records.Progress.counts_of(progress)),
        "progress chunk": [records.max_tasks_per_chunk(kb) for kb in (0.1, 8.0, 64.0)],
        "term before the first election": records.TermRecord.number_of(None),
        "leader of a version without runs": records.LeaderRecord.run_id_of({"label": "n1"}),
        "base of a version without parts": records.further_parts_of({"machines": []}),
        "final state of a peer's answer": orjson.loads(
            orjson.dumps(records.FinalState.from_value({"stage": "aborted"}).value())
        ),
        "task name": messages.task_name("job-000001", 12),
        "task of a name": list(messages.parse_task_name("job-000001/12")),
        "progress of a key": list(keys.parse_progress_key("spoolcourse/live/prog/job-000001/12")),
        "ranks": list(messages.RANKS),
        "end causes": [cause.value for cause in messages.EndCause],
        "report as it came": orjson.loads(
            orjson.dumps(
                commands.to_json_object(
                    messages.parse_heartbeat(orjson.dumps(MESSAGES["report"].encode(_heartbeat())))
                )
            )
        ),
    }


def paths_and_keys() -> dict[str, str]:
    """Return request paths and key-value store keys, both constant and computed ones."""
    computed = {
        "hints": HintQuery("m-00 0000/&", 200).path,
        "hints, from the first on": HintQuery("", 200).path,
        "machine list": cloud.list_path(""),
        "machine list, further": cloud.list_path("m-000499"),
        "store entry": key_value_store.entry_path("spoolcourse/live/term"),
        "store page": key_value_store.page_path("spoolcourse/", 200, ""),
        "store page, further": key_value_store.page_path("spoolcourse/", 200, "spoolcourse/a b&c"),
        "store watch": key_value_store.watch_path("spoolcourse/", 17, 2.5),
        "store lease renewal": key_value_store.renew_path(7),
        "store lease end": key_value_store.revoke_path(7),
        "key of a base part": keys.initial_machines_part_key(2),
        "key of a job": keys.job_key("job-000001"),
        "key of a final state": keys.final_key("job-000001"),
        "key of progress": keys.progress_key("job-000001", 3),
    }
    constant = {
        "report": paths.HEARTBEAT,
        "submissions": paths.SUBMISSIONS,
        "withdraw": paths.CANCEL,
        "health": paths.HEALTH,
        "cancellations": paths.CANCELLATIONS,
        "level": paths.FEATURE_LEVEL,
        "hints path": paths.HINTS,
        "standby": paths.STANDBY,
        "handover": paths.HANDOVER,
        "status": paths.STATUS,
        "metrics": paths.METRICS,
        "commands": paths.COMMANDS,
        "show": paths.WORKER_STATE,
        "catalog": paths.CATALOG,
        "hosts": paths.HOSTS,
        "deletion of hosts": paths.HOSTS_DELETE,
        "transaction": paths.TRANSACTION,
        "leases": paths.LEASES,
        "key prefix": keys.PREFIX,
        "key prefix of what lives": keys.LIVE_PREFIX,
        "key of the leader": keys.LEADER_KEY,
        "key of the term": keys.TERM_KEY,
        "key of the base": keys.INITIAL_MACHINES_KEY,
        "key of the level": keys.FEATURE_LEVEL_KEY,
        "key of the catalog": keys.CATALOG_KEY,
        "key prefix of jobs": keys.JOB_PREFIX,
        "key prefix of progress": keys.PROGRESS_PREFIX,
        "key prefix of final states": keys.FINAL_PREFIX,
    }
    return computed | constant


# -- settings -------------------------------------------------------------------------------

SETTINGS: dict[str, Any] = {
    "label": "n0",
    "site": "a",
    "listen": "n0:80",
    "cluster_listen": "n0:81",
    "seeds": [
        {"label": "n1", "endpoint": "n1:81", "site": "b"},
        {"label": "n2", "endpoint": "n2:81"},
    ],
    "outside": {"cloud": "cloud:1", "state": "state:1"},
    "settings": {
        "zones": ["a", "b"],
        "teams": [
            {"name": "red", "cpus": 16.0, "cpus_max": 64.0, "gpus": 1.0, "gpus_max": 2.0},
            {"name": "blue"},
        ],
        "workers": {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 40.0},
        "state": {
            "rps": 200.0,
            "write_rps": 100.0,
            "value_kb": 8.0,
            "txn_ops": 24,
            "next": {"rps": 150.0, "write_rps": 120.0, "value_kb": 4.0, "txn_ops": 12},
        },
        "cloud": {"rps": 10.0, "list_lag_s": 5.0},
        "objectives": [
            {"kind": "wait", "class": "batch", "share": 0.9, "within_s": 30.0, "times": 2.0}
        ],
        "machine_limits": {"sockets": 1024},
        "skew_ms": 12.0,
    },
}
STANDBY_KEYS = {
    "enabled": "true",
    "defer_s": "0.25",
    "behind_s": "4.0",
    "verify": "true",
    "hint_period_s": "2.0",
    "hint_machines": "100",
    "trace": "true",
}


def parsed_settings() -> dict[str, Any]:
    """Return every field of the parsed sample settings, and the values derived from them."""
    parsed = parse_settings(orjson.dumps(SETTINGS), "sample")
    required = {k: v for k, v in SETTINGS["settings"].items() if k in ("zones", "workers", "cloud")}
    state = {k: v for k, v in SETTINGS["settings"]["state"].items() if k != "next"}
    fewest_fields = {k: v for k, v in SETTINGS.items() if k != "site"} | {
        "seeds": [],
        "settings": required | {"teams": [], "state": state},
    }
    params = parsed.settings
    return {
        "every field": msgspec.to_builtins(parsed),
        "fewest fields": msgspec.to_builtins(parse_settings(orjson.dumps(fewest_fields), "sample")),
        "team limits": [[str(t.cpu_limit), str(t.gpu_limit)] for t in params.teams],
        "report gap": params.workers.max_heartbeat_interval_s,
        "quiet": params.workers.suspect_after_s,
        "least limits": msgspec.to_builtins(params.state.lower_limits),
        "standby, defaults": msgspec.to_builtins(parse_standby("[standby]", "sample")),
        "standby": msgspec.to_builtins(parse_standby(_standby_text(STANDBY_KEYS), "sample")),
    }


def _standby_text(values: dict[str, str]) -> str:
    return "[standby]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())


def _settings_error(parse: Callable[[], Any]) -> str:
    try:
        parse()
    except UserError as exc:
        return str(exc)
    return "accepted"


def _changed_settings(path: tuple[Any, ...], change: Callable[[Any, Any], None]) -> bytes:
    data = orjson.loads(orjson.dumps(SETTINGS))
    inner = data
    for step in path[:-1]:
        inner = inner[step]
    change(inner, path[-1])
    return orjson.dumps(data)


def _field_paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    steps: list[Any] = []
    if isinstance(value, dict):
        steps = list(value)
    elif isinstance(value, list):
        steps = list(range(len(value)))
    return [p for s in steps for p in [(*prefix, s), *_field_paths(value[s], (*prefix, s))]]


def settings_errors() -> dict[str, str]:
    """Return the error text for each invalid variant of the settings, by a name of the variant.

    Variants: each field missing, of another type, negative or empty; other invalid values, such as
    a seed with the controller's own label; malformed documents; and invalid standby settings.
    """
    errors: dict[str, str] = {}

    def assign(value: Any, inner: Any, step: Any) -> None:
        inner[step] = value

    def record_error(name: str, raw: bytes) -> None:
        errors[name] = _settings_error(lambda: parse_settings(raw, "sample"))

    for path in _field_paths(SETTINGS):
        name = ".".join(map(str, path))
        if isinstance(path[-1], str):
            record_error(
                f"{name}: missing", _changed_settings(path, lambda inner, step: inner.pop(step))
            )
        changes: list[tuple[str, Any]] = [
            ("of another type", True),
            ("negative", -1),
            ("empty", ""),
        ]
        for change, value in changes:
            record_error(f"{name}: {change}", _changed_settings(path, partial(assign, value)))
    cross_field_cases: list[tuple[str, tuple[Any, ...], Any]] = [
        ("two seeds of one label", ("seeds", 0, "label"), "n2"),
        ("a seed of the own label", ("seeds", 0, "label"), "n0"),
        ("no zones", ("settings", "zones"), []),
        ("two teams of one name", ("settings", "teams", 0, "name"), "blue"),
        ("a port too high", ("listen",), "n0:65536"),
        ("no port", ("outside", "cloud"), "cloud"),
        ("an unknown field", ("novelty",), 1),
    ]
    for name, path, value in cross_field_cases:
        record_error(name, _changed_settings(path, partial(assign, value)))
    record_error("not JSON", b"{")
    record_error("not an object", b"[]")
    for key in STANDBY_KEYS:
        for value in ("-1", '"x"', "1000"):
            text = _standby_text({key: value})
            errors[f"standby: {key} = {value}"] = _settings_error(
                partial(parse_standby, text, "sample")
            )
    for text in ("", "[standby", "[standby]\nnovelty = 1", "[other]", "standby = 1"):
        errors[f"standby: {text!r}"] = _settings_error(partial(parse_standby, text, "sample"))
    return errors


def _field_errors(message: str, sample: Any, parse: Callable[[bytes], Any]) -> dict[str, str]:
    errors: dict[str, str] = {}
    for field in sample:
        for change, changed in (
            ("missing", {k: v for k, v in sample.items() if k != field}),
            ("of another type", sample | {field: {}}),
            ("null", sample | {field: None}),
            ("negative", sample | {field: -1}),
        ):
            errors[f"{message}: {field}: {change}"] = _malformed_error(parse, orjson.dumps(changed))
    return errors


def _malformed_error(parse: Callable[[bytes], Any], raw: bytes) -> str:
    try:
        parse(raw)
    except messages.MalformedError as exc:
        return str(exc)
    return "accepted"


def message_errors() -> dict[str, str]:
    """Return the error texts for messages that violate the protocol."""
    submission = commands.to_json_object(ARRAY_WITH_EVERY_FIELD)
    heartbeat = commands.to_json_object(_heartbeat(terminates_in_s=1.0))
    task = commands.to_json_object(TASK_STATUSES[0])
    return (
        _field_errors("submission", submission, messages.parse_submission)
        | _field_errors("report", heartbeat, messages.parse_heartbeat)
        | _field_errors(
            "task report",
            task,
            lambda raw: messages.parse_heartbeat(
                orjson.dumps(heartbeat | {"pieces": [orjson.loads(raw)]})
            ),
        )
        | {
            f"submission: {text}": _malformed_error(messages.parse_submission, text.encode())
            for text in ("", "{", "[]", "null", '"x"', "{}")
        }
        | {
            f"task name: {name}": _malformed_error(
                lambda raw: messages.parse_task_name(raw.decode()), name.encode()
            )
            for name in ("", "job-000001", "job-1/0", "job-000001/x", "job-000001/", "/0")
        }
        | {
            "report: ended without a cause": _malformed_error(
                messages.parse_heartbeat,
                orjson.dumps(heartbeat | {"pieces": [task | {"stage": "ended", "cause": None}]}),
            )
        }
    )


VALUE_RECORDERS: dict[str, Callable[[], dict[str, Any]]] = {
    "requests": requests,
    "readings": readings,
    "paths": paths_and_keys,
    "settings": parsed_settings,
    "settings_errors": settings_errors,
    "message_errors": message_errors,
}
CODEC_CASES: dict[str, dict[str, CodecCase]] = {
    "stored_records": STORED_RECORDS,
    "messages": MESSAGES,
}
