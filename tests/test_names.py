"""Protocol spellings occur only in `wire/` and in the codec of stored records."""

from __future__ import annotations

import io
import tokenize
from pathlib import Path

SOURCE_DIRECTORY = Path(__file__).parent.parent / "spoolcourse"
PROTOCOL_SPELLINGS = frozenset(
    [
        "lane",
        "crew",
        "pieces",
        "piece",
        "bundle",
        "pullGb",
        "builds",
        "build",
        "yard",
        "yards",
        "oneZone",
        "scatter",
        "loaners",
        "loaner",
        "expectS",
        "markEveryS",
        "markCostS",
        "dueS",
        "vcpus",
        "memoryGb",
        "spindle",
        "spindles",
        "shift",
        "tick",
        "baton",
        "batons",
        "recallS",
        "windDownS",
        "reap",
        "halt",
        "verb",
        "foreman",
        "pullGbPerS",
        "marketPrice",
        "startupS",
        "localGb",
        "hold",
        "holds",
        "stamp",
        "stamps",
        "ledger",
        "standing",
    ]
)
PROTOCOL_MODULES = ("wire/", "control/store/records.py")
# Operators' tools read these fields of a pending job's row in `/status`.
STATUS_ROW_FIELDS = {"control/status.py": {"lane", "crew", "pieces"}}


def names_and_strings(source: str) -> set[str]:
    """Names and whole string literals; a message key would occur as such a literal."""
    names = set()
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.NAME:
            names.add(token.string.strip("_"))
        elif token.type == tokenize.STRING:
            names.add(token.string.strip("\"'"))
    return names


def test_protocol_spellings_occur_only_in_wire_and_the_record_codec() -> None:
    assert {"baton", "piece"} <= names_and_strings('{"baton": 1, **{"piece": x}}')
    checked = 0
    for path in SOURCE_DIRECTORY.rglob("*.py"):
        name = path.relative_to(SOURCE_DIRECTORY).as_posix()
        if name.startswith(PROTOCOL_MODULES):
            continue
        forbidden = names_and_strings(path.read_text()) & PROTOCOL_SPELLINGS
        assert forbidden <= STATUS_ROW_FIELDS.get(name, set()), name
        checked += 1
    assert checked > 40
