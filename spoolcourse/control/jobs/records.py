"""What is durable of a job, in the form kept in the state service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from spoolcourse.wire.messages import Submission


@dataclass(slots=True)
class JobRecord:
    """A live job: accepted, not final yet; an aborted one stays until its tasks are gone."""

    sub: Submission
    at: float  # time of day of the acceptance: the order of arrival
    chunk: int  # tasks per progress key
    aborted_at: float | None  # time of day of the withdrawal
    revision: int

    @property
    def aborted(self) -> bool:
        return self.aborted_at is not None

    @property
    def chunks(self) -> int:
        return -(-self.sub.task_count // self.chunk)

    def value(self) -> dict[str, Any]:
        value = {"sub": msgspec.to_builtins(self.sub), "at": self.at, "chunk": self.chunk}
        if self.aborted_at is not None:
            value["aborted"] = self.aborted_at
        return value

    @staticmethod
    def from_value(value: dict[str, Any], revision: int) -> JobRecord:
        return JobRecord(
            msgspec.convert(value["sub"], Submission),
            value["at"],
            value["chunk"],
            value.get("aborted"),
            revision,
        )


@dataclass(slots=True)
class Progress:
    """One progress key: done tasks as a bit set, and who holds which task.

    `held` maps a task to (machine, attempt): the attempt may be on that machine.
    """

    done: int = 0
    held: dict[int, tuple[str, int]] = field(default_factory=dict)

    def value(self) -> dict[str, Any]:
        return {
            "done": f"{self.done:x}",
            "held": {str(p): [m, t] for p, (m, t) in self.held.items()},
        }

    @staticmethod
    def from_value(value: dict[str, Any]) -> Progress:
        return Progress(
            int(value["done"], 16), {int(p): (m, t) for p, (m, t) in value["held"].items()}
        )


def chunk_tasks(value_kb: float) -> int:
    """Tasks per key so that every task held at once still fits into one value."""
    return max(16, int(value_kb * 1024) // 48)
