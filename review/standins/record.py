"""The record of a run: what was sent, answered and run, with seconds since the start."""

import json
import time
from pathlib import Path


class Record:
    """Writes one line for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._began

    def write(self, kind: str, **fields: object) -> None:
        """Add an event."""
        text = " ".join(f"{name}={_text(value)}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {text}\n")
        self._file.flush()


def _text(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)
