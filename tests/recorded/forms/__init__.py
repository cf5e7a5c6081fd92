"""Recorded forms: stored records, messages, paths, settings and interfaces as plain data.

`adapter` is the one place that names the product's classes and fields for records and messages;
`interfaces` plays the scenarios for what operators and users see. The JSON files beside them were
written by `python -m tests.recorded.forms.record`, which is only to be run on purpose when a form
is meant to change. Tests read the files and never write them.
"""

from __future__ import annotations

import json
from functools import cache
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent


@cache
def recorded(name: str) -> Any:
    return json.loads((FOLDER / f"{name}.json").read_text(encoding="utf-8"))


def as_text(value: Any) -> str:
    """With the order of keys, one value a line: what differs is easy to see."""
    return json.dumps(value, indent=1, ensure_ascii=False)
