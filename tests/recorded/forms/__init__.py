"""Recorded formats: stored records, messages, paths, settings and interfaces as plain data.

`adapter` is the only module that uses the product's classes and fields of records and messages;
`interfaces` runs the scenarios that record what operators and users see. The JSON files here were
written by `python -m tests.recorded.forms.record`; run it only when a format is meant to change.
Tests read the files and never write them.
"""

from __future__ import annotations

import json
from functools import cache
from pathlib import Path
from typing import Any

DATA_DIRECTORY = Path(__file__).parent


@cache
def recorded(name: str) -> Any:
    return json.loads((DATA_DIRECTORY / f"{name}.json").read_text(encoding="utf-8"))


def as_text(value: Any) -> str:
    """JSON in the given key order, one value per line, for readable diffs."""
    return json.dumps(value, indent=1, ensure_ascii=False)
