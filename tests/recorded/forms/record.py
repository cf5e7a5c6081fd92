"""Rewrites the recorded formats: `python -m tests.recorded.forms.record`.

Run it only when a format is meant to change: each difference in the JSON files is something that
older versions and operators' tools no longer find.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.recorded.forms import DATA_DIRECTORY, as_text
from tests.recorded.forms.adapter import CODEC_CASES, VALUE_RECORDERS
from tests.recorded.forms.interfaces import INTERFACES


def main() -> None:
    recorders: dict[str, Callable[[], Any]] = dict(VALUE_RECORDERS)
    recorders |= INTERFACES
    data = {
        file: {name: case.encoded() for name, case in cases.items()}
        for file, cases in CODEC_CASES.items()
    }
    data |= {file: recorder() for file, recorder in recorders.items()}
    for file, content in data.items():
        (DATA_DIRECTORY / f"{file}.json").write_text(as_text(content) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
