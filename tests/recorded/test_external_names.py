"""Names visible outside the process keep their exact spelling.

Renaming one on the wire, in stored data, settings or metrics breaks controllers of other versions
in the same cluster, and operators' tools.
"""

from __future__ import annotations

from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

from tests.recorded.external_names import collect_names

# Each line holds a kind, a tab and a name.
EXTERNAL_NAMES_FILE = Path(__file__).parent / "external_names.txt"


@cache
def listed_names() -> dict[str, set[str]]:
    names: defaultdict[str, set[str]] = defaultdict(set)
    for line in EXTERNAL_NAMES_FILE.read_text(encoding="utf-8").splitlines():
        kind, name = line.split("\t")
        names[kind].add(name)
    return dict(names)


def test_the_list_has_every_kind() -> None:
    assert set(listed_names()) == set(collect_names())
    assert sum(len(names) for names in listed_names().values()) > 400


@pytest.mark.parametrize("kind", sorted(listed_names()))
def test_collected_names_equal_the_listed_ones(kind: str) -> None:
    assert sorted(collect_names()[kind]) == sorted(listed_names()[kind])
