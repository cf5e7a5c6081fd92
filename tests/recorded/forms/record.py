"""Writes the recorded forms again: `python -m tests.recorded.forms.record`.

Only to be run on purpose, when a form is meant to change: what differs afterwards is what
older versions and operators' tools no longer find.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.recorded.forms import FOLDER, as_text
from tests.recorded.forms.adapter import FORMS, PLAIN
from tests.recorded.forms.interfaces import INTERFACES


def main() -> None:
    made: dict[str, Callable[[], Any]] = dict(PLAIN)
    made |= INTERFACES
    data = {file: {n: f.written() for n, f in forms.items()} for file, forms in FORMS.items()}
    data |= {file: make() for file, make in made.items()}
    for file, content in data.items():
        (FOLDER / f"{file}.json").write_text(as_text(content) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
