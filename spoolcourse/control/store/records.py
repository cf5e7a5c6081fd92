"""Everything that is kept in the key-value store, and its form there.

The forms stay as they are: versions that run side by side read one another's records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson

from spoolcourse.wire.messages import Catalog, JobStage, MachineType, Submission


@dataclass(slots=True)
class JobRecord:
    """A live job: accepted, not final yet; an aborted one stays until its tasks are gone."""

    submission: Submission
    at: float  # time of day of the acceptance: the order of arrival
    chunk: int  # tasks per progress key
    cancelled_at: float | None  # time of day of the cancellation
    revision: int

    @property
    def cancelled(self) -> bool:
        """Whether the job was cancelled."""
        return self.cancelled_at is not None

    @property
    def chunks(self) -> int:
        """How many progress keys the job has at most."""
        return -(-self.submission.task_count // self.chunk)

    def value(self) -> dict[str, Any]:
        """The stored form."""
        value = {"sub": msgspec.to_builtins(self.submission), "at": self.at, "chunk": self.chunk}
        if self.cancelled_at is not None:
            value["aborted"] = self.cancelled_at
        return value

    @staticmethod
    def from_value(value: dict[str, Any], revision: int) -> JobRecord:
        """The record of a stored form."""
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
        """The stored form."""
        return {
            "done": f"{self.done:x}",
            "held": {str(p): [m, t] for p, (m, t) in self.held.items()},
        }

    @staticmethod
    def from_value(value: dict[str, Any]) -> Progress:
        """The progress of a stored form."""
        return Progress(
            int(value["done"], 16), {int(p): (m, t) for p, (m, t) in value["held"].items()}
        )

    @staticmethod
    def counts_of(value: dict[str, Any]) -> tuple[int, int]:
        """How many tasks are done and how many are held.

        The value is not unpacked: every controller sees every write of progress.
        """
        return int(value["done"], 16).bit_count(), len(value["held"])


BASE_FORM_BYTES = 40  # of the machines found at the first start: the form around the names
HELD_BYTES = 48  # of a held task in a progress value, at the most
CHUNK_LEAST = 16  # tasks


def chunk_tasks(value_kb: float) -> int:
    """Tasks per key so that every task held at once still fits into one value."""
    return max(CHUNK_LEAST, int(value_kb * 1024) // HELD_BYTES)


@dataclass(frozen=True, slots=True)
class FinalState:
    """How a job ended; kept for good."""

    stage: JobStage
    done: int  # tasks with a result
    accepted_at: float = 0.0  # time of day

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return {"stage": self.stage.value, "done": self.done, "at": self.accepted_at}

    @staticmethod
    def from_value(value: dict[str, Any]) -> FinalState:
        """The final state of a stored form, or of a peer's answer."""
        return FinalState(JobStage(value["stage"]), value.get("done", 0), value.get("at", 0.0))


@dataclass(frozen=True, slots=True)
class TermRecord:
    """The term, and which run of which process was elected for it.

    The store lease is part of it: two claims of one run for one term differ by their leases.
    """

    number: int
    run: str
    lease: int

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return {"term": self.number, "run": self.run, "hold": self.lease}

    @staticmethod
    def number_of(value: dict[str, Any] | None) -> int:
        """The term's number; 0 before the first election."""
        return int(value["term"]) if value is not None else 0


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Who leads; the key hangs on a store lease and goes with it."""

    term: TermRecord
    label: str

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return self.term.value() | {"label": self.label}

    @staticmethod
    def label_of(value: dict[str, Any]) -> str:
        """The leader's label."""
        return str(value["label"])

    @staticmethod
    def run_of(value: dict[str, Any]) -> str | None:
        """The leader's run."""
        return value.get("run")


def base_value(machines: list[str], parts: int = 0) -> dict[str, Any]:
    """The machines that were found when the service first ran, or as many as a value holds.

    The others are in so many further parts, each a value of the same form.
    """
    return {"machines": machines} | ({"parts": parts} if parts else {})


def base_parts(value: dict[str, Any]) -> int:
    """How many further parts belong to a stored form."""
    return int(value.get("parts", 0))


def base_values(machines: list[str], value_bytes: float) -> list[dict[str, Any]]:
    """Stored forms that hold all the names, none larger than a value may be."""
    room = int(value_bytes) - BASE_FORM_BYTES
    chunks: list[list[str]] = [[]]
    used = 0
    for name in machines:
        size = len(orjson.dumps(name)) + 1  # its separator
        if used + size > room and chunks[-1]:
            chunks.append([])
            used = 0
        chunks[-1].append(name)
        used += size
    first, *others = chunks
    return [base_value(first, len(others)), *(base_value(chunk) for chunk in others)]


def initial_machines(value: dict[str, Any]) -> frozenset[str]:
    """Their names."""
    return frozenset(value["machines"])


def catalog_value(machine_types: list[MachineType]) -> dict[str, Any]:
    """The machine types, kept so that a controller knows them while the cloud is out."""
    found: dict[str, Any] = msgspec.to_builtins(Catalog(machine_types))
    return found


def level_value(level: int) -> dict[str, Any]:
    """The feature level that every controller has reached."""
    return {"level": level}


def level_of(value: dict[str, Any]) -> int:
    """The level that was noted."""
    return int(value["level"])
