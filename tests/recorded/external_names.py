"""Collects the names that are visible outside the process from the code that defines them.

Other versions, workers, users, the cloud, the key-value store and operators' tools read these
names. `external_names.txt` lists them; `test_external_names.py` compares the two.
"""

from __future__ import annotations

import argparse
import ast
import re
import tomllib
from collections.abc import Iterator
from enum import Enum
from functools import cache
from typing import Any

import msgspec

from spoolcourse import cli
from spoolcourse.control import metrics, status
from spoolcourse.control.autoscaling.deletion_reason import DeletionReason
from spoolcourse.control.failover import hint_cache, leadership_transfer, shadow_status
from spoolcourse.control.leadership import failover_proof, failover_timeline
from spoolcourse.control.store import keys
from spoolcourse.control.store.watch_cache import WatchGap
from spoolcourse.policy import keys as policy_keys
from spoolcourse.wire import commands, messages, paths, peers, settings, standby_settings
from tests.recorded.forms.adapter import STORED_RECORDS, requests
from tests.test_documented_names import ROOT, documented_log_lines, is_logged

SOURCE_DIRECTORY = ROOT / "spoolcourse"
# Modules that build or read JSON objects by key.
MESSAGE_KEY_MODULES = ("wire/key_value_store.py", "wire/cloud.py", "control/store/records.py")
# Modules whose constants are written into `/status`, log lines or error replies.
SHOWN_TEXT_MODULES = (
    "control/scheduling/waiting_jobs.py",
    "control/status.py",
    "wire/cloud.py",
    "wire/key_value_store.py",
)
ENUMS_BY_KIND: dict[str, tuple[type[Enum], ...]] = {
    "message value": (
        messages.TaskStage,
        messages.EndCause,
        messages.ListedMachineStage,
        messages.JobStage,
    ),
    "status value": (
        shadow_status.ShadowState,
        hint_cache.HintRejection,
        failover_proof.ProofSource,
        failover_timeline.FailoverPhase,
        WatchGap,
    ),
    "error text": (leadership_transfer.PeerIneligibility, leadership_transfer.TransferRefusal),
    "deletion reason": (DeletionReason,),
}


@cache  # one test for each kind reads the result
def collect_names() -> dict[str, set[str]]:
    """All external names, grouped by kind."""
    names_by_kind = {
        "message field": set(_struct_fields(messages, commands, peers)),
        "settings key": set(_struct_fields(settings)),
        "standby settings key": set(_struct_fields(standby_settings)),
        "status key": {*_struct_fields(status), *_literal_keys("control/status.py")},
        "message key": {key for module in MESSAGE_KEY_MODULES for key in _literal_keys(module)},
        "stored key": {value for value in vars(keys).values() if _is_key(value)},
        "stored field": {
            key
            for case in STORED_RECORDS.values()
            for key in _object_keys(case.encode(case.sample))
        },
        "request field": set(_request_fields()),
        "path": {value for name, value in vars(paths).items() if name.isupper()},
        "query parameter": set(_query_parameters()),
        "policy key": set(policy_keys.KEYS),
        "policy input": set(policy_keys.INPUTS),
        "deploy key": set(_deploy_keys()),
        "command line": set(_command_line()),
        "environment variable": set(_environment_variables()),
        "metric": set(_metric_names()),
        "trace name": set(_strings("control/failover/tracing.py")),
        "shown text": {text for module in SHOWN_TEXT_MODULES for text in _constant_texts(module)},
        "wait reason": set(_strings("control/placement/backfill.py")),
        "log line": {line for line in documented_log_lines() if is_logged(line)},
    }
    for kind, enums in ENUMS_BY_KIND.items():
        names_by_kind.setdefault(kind, set()).update(
            member.value for enum in enums for member in enum
        )
    names_by_kind["status value"].update(_status_values())
    names_by_kind["message value"] |= {
        *messages.RANKS,
        *_struct_tags(commands),
        *_literal_values(messages),
    }
    return names_by_kind


def _structs(module: Any) -> list[type[msgspec.Struct]]:
    return [
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__module__ == module.__name__
    ]


def _struct_fields(*modules: Any) -> Iterator[str]:
    for module in modules:
        for struct in _structs(module):
            yield from struct.__struct_encode_fields__
            if struct.__struct_config__.tag_field:
                yield struct.__struct_config__.tag_field


def _struct_tags(module: Any) -> Iterator[str]:
    for struct in _structs(module):
        if isinstance(struct.__struct_config__.tag, str):
            yield struct.__struct_config__.tag


def _literal_values(module: Any) -> Iterator[str]:
    """The values of fields that are a `Literal`."""
    for struct in _structs(module):
        for field in msgspec.inspect.type_info(struct).fields:  # type: ignore[attr-defined]
            if isinstance(field.type, msgspec.inspect.LiteralType):
                yield from (value for value in field.type.values if isinstance(value, str))


def _tree(module: str) -> ast.Module:
    return ast.parse((SOURCE_DIRECTORY / module).read_text())


def _literal_keys(module: str) -> Iterator[str]:
    """Keys of dictionary literals, and strings in subscripts, `in` tests and calls of `get`."""
    for node in ast.walk(_tree(module)):
        key_nodes: list[ast.expr | None] = []
        match node:
            case ast.Dict(keys=dict_keys):
                key_nodes = dict_keys
            case ast.Subscript(slice=key):
                key_nodes = [key]
            case ast.Compare(left=left, ops=[ast.In()]):
                key_nodes = [left]
            case ast.Call(func=ast.Attribute(attr="get"), args=[key, *_]):
                key_nodes = [key]
        for key_node in key_nodes:
            if isinstance(key_node, ast.Constant) and isinstance(key_node.value, str):
                yield key_node.value


def _constant_texts(module: str) -> Iterator[str]:
    """The values of the module's constants that are strings."""
    for node in _tree(module).body:
        match node:
            case ast.Assign(value=ast.Constant(value=str(text))):
                yield text


def _status_values() -> Iterator[str]:
    """String branches of conditional expressions, such as the role and the lease state."""
    for node in ast.walk(_tree("control/status.py")):
        match node:
            case ast.IfExp(
                body=ast.Constant(value=str(true_value)),
                orelse=ast.Constant(value=str(false_value)),
            ):
                yield from (true_value, false_value)


def _is_key(value: object) -> bool:
    return isinstance(value, str) and value.startswith(keys.PREFIX)


def _object_keys(value: Any) -> Iterator[str]:
    """The keys of nested objects, except machine, machine type and task names."""
    if isinstance(value, dict):
        for key, inner in value.items():
            if re.fullmatch(r"[A-Za-z_]+", key):
                yield key
            yield from _object_keys(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _object_keys(inner)


def _request_fields() -> Iterator[str]:
    for body in requests().values():
        yield from _object_keys(msgspec.json.decode(body))


def _query_parameters() -> Iterator[str]:
    for path in SOURCE_DIRECTORY.rglob("*.py"):
        yield from re.findall(r"[?&](\w+)=", path.read_text())
    yield peers.SINCE_REVISION_PARAMETER


def _deploy_keys() -> Iterator[str]:
    for path in (ROOT / "deploy").glob("*.toml"):
        for key, value in tomllib.loads(path.read_text()).items():
            yield f"{path.name}: {key}"
            if isinstance(value, dict):
                yield from (f"{path.name}: {key}.{inner}" for inner in value)


def _command_line() -> Iterator[str]:
    for action in cli._parser()._actions:
        yield from action.option_strings
        if isinstance(action, argparse._SubParsersAction):
            for name, command in action.choices.items():
                yield name
                for argument in command._actions:
                    yield from argument.option_strings or [f"{name} {argument.metavar}"]


def _environment_variables() -> Iterator[str]:
    for path in [*SOURCE_DIRECTORY.rglob("*.py"), *(ROOT / "tests").rglob("*.py")]:
        yield from re.findall(r"os\.environ\.get\(\"(\w+)\"", path.read_text())


def _metric_names() -> Iterator[str]:
    for definitions in (
        metrics.CONTROLLER_METRICS,
        metrics.LEADER_METRICS,
        metrics.STANDBY_METRICS,
    ):
        yield from (metrics.METRIC_PREFIX + definition.name for definition in definitions)
    for node in ast.walk(_tree("control/metrics.py")):
        match node:
            case ast.Call(
                func=ast.Name(id="GaugeMetricFamily"),
                args=[ast.BinOp(right=ast.Constant(value=str(name))), *_],
                keywords=[ast.keyword(arg="labels", value=ast.List(elts=labels))],
            ):
                yield metrics.METRIC_PREFIX + name
                for label in labels:
                    assert isinstance(label, ast.Constant)
                    assert isinstance(label.value, str)
                    yield f"{metrics.METRIC_PREFIX}{name} {label.value}"


def _strings(module: str) -> Iterator[str]:
    """All strings of a module except docstrings."""
    tree = _tree(module)
    docstrings = {ast.get_docstring(tree, clean=False)} | {
        ast.get_docstring(node, clean=False)
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            text = node.value.strip()
            if text and node.value not in docstrings:
                yield text
