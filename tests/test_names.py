"""The protocol's spelling stays in `wire/` and in the codec of stored records."""

from __future__ import annotations

import io
import tokenize
from pathlib import Path

ROOT = Path(__file__).parent.parent / "spoolcourse"
SPELLINGS = frozenset(
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
SPELLED_HERE = ("wire/", "control/store/records.py")
# Operators' tools know the fields of a waiting job's row.
OPERATORS_ROWS = {"control/status.py": {"lane", "crew", "pieces"}}


def names_and_words(source: str) -> set[str]:
    """Names, and strings that are a single word: keys of messages would be such strings."""
    found = set()
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.NAME:
            found.add(token.string.strip("_"))
        elif token.type == tokenize.STRING:
            found.add(token.string.strip("\"'"))
    return found


def test_no_protocol_spelling_outside_the_messages_and_the_record_codec() -> None:
    assert {"baton", "piece"} <= names_and_words('{"baton": 1, **{"piece": x}}')
    checked = 0
    for path in ROOT.rglob("*.py"):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith(SPELLED_HERE):
            continue
        spelled = names_and_words(path.read_text()) & SPELLINGS
        assert spelled <= OPERATORS_ROWS.get(name, set()), name
        checked += 1
    assert checked > 40
