"""Names that leave the process keep their spelling, letter for letter.

A rename in the code that reaches the wire, the stored data, the settings or the metrics breaks
other versions that run beside this one, and operators' tools.
"""

from __future__ import annotations

from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

from tests.recorded.external_names import collect_names

# One name a line, after its kind and a tab.
LIST = Path(__file__).parent / "external_names.txt"


@cache
def listed_names() -> dict[str, set[str]]:
    names: defaultdict[str, set[str]] = defaultdict(set)
    for line in LIST.read_text(encoding="utf-8").splitlines():
        kind, name = line.split("\t")
        names[kind].add(name)
    return dict(names)


def test_the_list_has_every_kind() -> None:
    assert set(listed_names()) == set(collect_names())
    assert sum(len(names) for names in listed_names().values()) > 400


@pytest.mark.parametrize("kind", sorted(listed_names()))
def test_listed_names_still_leave_the_process_and_no_others(kind: str) -> None:
    assert sorted(collect_names()[kind]) == sorted(listed_names()[kind])
