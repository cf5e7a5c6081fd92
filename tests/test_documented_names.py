"""Paths, classes, tests, other names and log lines that the documents mention exist."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

# The nearest parent with pyproject.toml, so that this file can move within `tests`.
ROOT = next(path for path in Path(__file__).parents if (path / "pyproject.toml").is_file())
DOCUMENTS = (
    "CONTRIBUTING.md",
    "README.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/glossary.md",
    "docs/machine-states.md",
    "docs/operating.md",
    "docs/standby.md",
    "docs/standby-operating.md",
)
FAILURES_TABLE_DOCUMENT = "docs/operating.md"

# Documented names that are not defined in this repository.
STORED_KEY_PATTERN = re.compile(r"(live|fin)/[\w/]+")  # as spelled in `store/keys.py`
BUILD_OUTPUT = {"target/deps", "target/app"}
BENCHMARK_RULES = {"nothing_ran", "wrong_place", "went_back", "quota"}
SITE_MACHINE_TYPES = {"goemon", "chaloupe", "thonier"}
EXTERNAL_TOOLS = {"mypy", "strace"}
PROPOSED_PATHS = {"spoolcourse/agent"}  # design.md, "Room for agents"
EXEMPT_NAMES = BENCHMARK_RULES | SITE_MACHINE_TYPES | EXTERNAL_TOOLS
NOT_LOGGED = {"status 503"}  # part of the reason in a log line
PYTHON_VALUES = {"None", "True", "False"}

BACKTICKED_PATTERN = re.compile(r"`([^`\n]+)`")
PATH_PATTERN = re.compile(r"[\w.-]+(/[\w.-]+)+/?|[\w-]+\.(py|md|toml)|journal/")
NAME_PATTERN = re.compile(r"(?:not )?(_?[A-Za-z]\w*)(?:\.(\w+))?(?:\(.*\))?")
CLASS_PATTERN = re.compile(r"_?[A-Z]\w*[a-z]\w*")
LOG_LINE_PATTERN = re.compile(r"log\s+says\s+`([^`\n]+)`(?:, then `([^`\n]+)`)?")


# -- the documents ----------------------------------------------------------------------------


def documented(document: str) -> list[str]:
    """All text in backticks."""
    return BACKTICKED_PATTERN.findall((ROOT / document).read_text())


def documented_paths(document: str) -> list[str]:
    """The paths in backticks, except stored keys and build output."""
    return [
        name
        for name in documented(document)
        if PATH_PATTERN.fullmatch(name)
        and not STORED_KEY_PATTERN.fullmatch(name)
        and name not in BUILD_OUTPUT
    ]


def documented_names(document: str) -> list[tuple[str, str]]:
    """The names in backticks, each with its attribute or an empty string."""
    matches = (
        NAME_PATTERN.fullmatch(name)
        for name in documented(document)
        if not PATH_PATTERN.fullmatch(name)
    )
    return [(match[1], match[2] or "") for match in matches if match]


def documented_log_lines() -> list[str]:
    """The log lines that the documents tell operators to look for."""
    lines = []
    for document in DOCUMENTS:
        for groups in LOG_LINE_PATTERN.findall((ROOT / document).read_text()):
            lines += [line for line in groups if line]
    text = (ROOT / FAILURES_TABLE_DOCUMENT).read_text().partition("## What failures look like")[2]
    for row in re.findall(r"^\| .* \| (.*) \| .* \|$", text, re.MULTILINE):
        lines += [
            line for line in BACKTICKED_PATTERN.findall(row) if " " in line or line.endswith(":")
        ]
    return [line for line in lines if line not in NOT_LOGGED]


# -- the repository ---------------------------------------------------------------------------


@cache
def sources() -> tuple[ast.Module, ...]:
    paths = [*(ROOT / "spoolcourse").rglob("*.py"), *(ROOT / "tests").rglob("*.py")]
    return tuple(ast.parse(path.read_text()) for path in paths if path != Path(__file__))


@cache
def repository_paths() -> tuple[Path, ...]:
    """Files and directories that documents may mention, relative to the root."""
    paths = [*ROOT.glob("*"), *(ROOT / "docs").rglob("*"), *(ROOT / "deploy").rglob("*")]
    paths += [*(ROOT / "spoolcourse").rglob("*"), *(ROOT / "tests").rglob("*"), ROOT / ".ci/run"]
    return tuple(path.relative_to(ROOT) for path in paths)


def exists(name: str) -> bool:
    """Whether the path of some file or directory equals `name` or ends with it."""
    parts = Path(name).parts
    return any(path.parts[-len(parts) :] == parts for path in repository_paths())


@cache
def words() -> frozenset[str]:
    """All words of the sources, settings and recorded interfaces, except this file."""
    source_words: set[str] = set()
    for pattern in ("spoolcourse/**/*.py", "tests/**/*.py", "tests/**/*.json", "*.toml", "*.py"):
        for path in ROOT.glob(pattern):
            if path != Path(__file__):
                source_words.update(re.findall(r"\w+", path.read_text()))
    return frozenset(source_words | {path.stem for path in repository_paths()})


@cache
def functions() -> frozenset[str]:
    """The names of all functions."""
    function_types = (ast.FunctionDef, ast.AsyncFunctionDef)
    return frozenset(
        node.name
        for tree in sources()
        for node in ast.walk(tree)
        if isinstance(node, function_types)
    )


@cache
def classes() -> dict[str, set[str]]:
    """The members of each class, including those of its direct bases."""
    own: defaultdict[str, set[str]] = defaultdict(set)
    bases: defaultdict[str, set[str]] = defaultdict(set)
    for tree in sources():
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                own[node.name] |= members(node)
                bases[node.name] |= {base.id for base in node.bases if isinstance(base, ast.Name)}
    return {name: own[name].union(*(own.get(b, set()) for b in bases[name])) for name in list(own)}


def members(node: ast.ClassDef) -> set[str]:
    """Methods, fields, and attributes that methods set."""
    names: set[str] = set()
    for inner in ast.walk(node):
        match inner:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                names.add(name)
            case ast.AnnAssign(target=ast.Name(id=name)):
                names.add(name)
            case ast.Name(id=name, ctx=ast.Store()):
                names.add(name)
            case ast.Attribute(value=ast.Name(id="self"), attr=name, ctx=ast.Store()):
                names.add(name)
    return names


@cache
def log_formats() -> frozenset[str]:
    """The format strings of all log calls, with each placeholder as `%`."""
    levels = ("debug", "info", "warning", "error", "exception")
    formats = set()
    for tree in sources():
        for node in ast.walk(tree):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=ast.Name(id="log"), attr=level),
                    args=[ast.Constant(value=str(text)), *_],
                ) if level in levels:
                    formats.add(re.sub(r"%[.\d]*[a-z]", "%", text))
    return frozenset(formats)


@cache
def deletion_reasons() -> frozenset[str]:
    """The values of `DeletionReason`, as logged."""
    nodes = [node for tree in sources() for node in ast.walk(tree)]
    [reason_enum] = [n for n in nodes if isinstance(n, ast.ClassDef) and n.name == "DeletionReason"]
    return frozenset(
        n.value
        for n in ast.walk(reason_enum)
        if isinstance(n, ast.Constant) and isinstance(n.value, str)
    )


def is_logged(line: str) -> bool:
    """Whether a log line starts with `line`, where `=N` or a final `...` replaces a value."""
    if line.startswith("reason="):
        return line.removeprefix("reason=") in deletion_reasons()
    prefix = re.sub(r"=\w+", "=%", line.removesuffix(" ..."))
    return any(text.startswith(prefix) for text in log_formats())


# -- the checks -------------------------------------------------------------------------------


def unknown_names(names: list[tuple[str, str]]) -> list[str]:
    """The tests, classes, members and other names that do not exist."""
    unknown = []
    for name, attribute in names:
        if name.startswith("test_"):
            is_known = name in functions()
        elif CLASS_PATTERN.fullmatch(name) and name not in PYTHON_VALUES:
            is_known = name in classes() and (not attribute or attribute in classes()[name])
        else:
            is_known = {name, attribute or name} <= words() | EXEMPT_NAMES | PYTHON_VALUES
        if not is_known:
            unknown.append(f"{name}.{attribute}" if attribute else name)
    return unknown


@pytest.mark.parametrize("document", DOCUMENTS)
def test_documented_paths_exist(document: str) -> None:
    missing = [path for path in documented_paths(document) if not exists(path)]
    assert set(missing) <= PROPOSED_PATHS


@pytest.mark.parametrize("document", DOCUMENTS)
def test_documented_classes_tests_and_names_exist(document: str) -> None:
    assert unknown_names(documented_names(document)) == []


def test_documented_log_lines_are_logged() -> None:
    lines = documented_log_lines()
    assert len(lines) > 15
    assert [line for line in lines if not is_logged(line)] == []


def test_every_exempt_name_is_documented() -> None:
    named = {name for document in DOCUMENTS for name in documented(document)}
    exempt = BUILD_OUTPUT | EXEMPT_NAMES | PROPOSED_PATHS | NOT_LOGGED
    assert exempt <= named
    assert not any(exists(path) for path in BUILD_OUTPUT | PROPOSED_PATHS)


def test_checks_report_names_that_do_not_exist() -> None:
    assert not exists("jobs/no_such_module.py")
    assert not exists("store/job_queue.py")  # the module is in another package
    unknown = [
        ("test_no_such_" + "test", ""),
        ("NoSuch" + "Class", ""),
        ("JobQueue", "no_such_member"),
        ("no_such_" + "name", ""),
    ]
    assert len(unknown_names(unknown)) == len(unknown)
    assert not is_logged("returned: it is silent")
    assert not is_logged("reason=it is silent")
    assert len(documented_paths("docs/architecture.md")) > 15
    assert len(documented_names("docs/architecture.md")) > 40
