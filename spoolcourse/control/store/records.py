"""Records in the key-value store, and their stored forms: the JSON values of the keys.

Stored forms must not change: versions that run side by side read one another's records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import orjson

from spoolcourse.wire.messages import Catalog, JobStage, MachineType, Submission

INITIAL_MACHINES_OVERHEAD_BYTES = 40  # size of the stored form without the names
MAX_HELD_TASK_BYTES = 48  # the most that one held task (see `Progress`) takes in a value
MIN_TASKS_PER_CHUNK = 16

_new_tuple = tuple.__new__


@dataclass(slots=True)
class JobRecord:
    """A live job, from its acceptance to its final state.

    A cancelled job stays live until its tasks are gone. The progress of its tasks is stored apart,
    in chunks: each key covers `tasks_per_chunk` consecutive tasks.

    Stored as `{"sub": submission, "at": accepted_at, "chunk": tasks_per_chunk, "aborted":
    cancelled_at}`, where "aborted" is there only if the job was cancelled.

    Attributes:
        submission: What the user submitted.
        accepted_at: Seconds since the epoch; jobs are ordered by it.
        tasks_per_chunk: The number of tasks per chunk.
        cancelled_at: Seconds since the epoch; None if it was not cancelled.
        revision: The store revision of the record's last change.
    """

    submission: Submission
    accepted_at: float
    tasks_per_chunk: int
    cancelled_at: float | None
    revision: int

    @property
    def cancelled(self) -> bool:
        """Whether the job was cancelled."""
        return self.cancelled_at is not None

    @property
    def chunk_count(self) -> int:
        """The largest number of progress keys that the job can have."""
        return -(-self.submission.task_count // self.tasks_per_chunk)

    def value(self) -> dict[str, Any]:
        """The stored form."""
        value = {
            "sub": msgspec.to_builtins(self.submission),
            "at": self.accepted_at,
            "chunk": self.tasks_per_chunk,
        }
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


class Assignment(NamedTuple):
    """The machine that a task is assigned to, where it may be running."""

    machine: str  # ID of the machine
    attempt: int  # the attempt number


@dataclass(slots=True)
class Progress:
    """The progress of one chunk of a job's tasks.

    Stored as `{"done": hexadecimal bit set, "held": {task: [machine, attempt]}}`.

    Attributes:
        done: A bit set of the tasks that have a result; bit 0 is the chunk's first task.
        held: The held tasks, which are assigned to a machine, with their assignments. Tasks are
            numbered from the job's first one.
    """

    done: int = 0
    held: dict[int, Assignment] = field(default_factory=dict)

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return {
            "done": f"{self.done:x}",
            "held": {str(task): [a.machine, a.attempt] for task, a in self.held.items()},
        }

    @staticmethod
    def from_value(value: dict[str, Any]) -> Progress:
        """The progress of a stored form."""
        done = int(value["done"], 16)
        # Bypasses the constructor, which takes longer than the rest of the decoding: a standby
        # decodes every write of progress, and a failover decodes all progress.
        held = {
            int(task): _new_tuple(Assignment, (machine, attempt))
            for task, (machine, attempt) in value["held"].items()
        }
        return Progress(done, held)

    @staticmethod
    def counts_of(value: dict[str, Any]) -> tuple[int, int]:
        """The numbers of done and of held tasks in a stored form.

        Does not decode the value, as every controller sees every write of progress.
        """
        return int(value["done"], 16).bit_count(), len(value["held"])


def max_tasks_per_chunk(value_kb: float) -> int:
    """The most tasks in one chunk, so that its value has room for an assignment of each.

    Args:
        value_kb: The largest value that the store accepts, in KiB.
    """
    return max(MIN_TASKS_PER_CHUNK, int(value_kb * 1024) // MAX_HELD_TASK_BYTES)


@dataclass(frozen=True, slots=True)
class FinalState:
    """How a job ended. Final states are never deleted.

    Stored as `{"stage": stage, "done": done, "at": accepted_at}`.

    Attributes:
        stage: Done or cancelled.
        done: The number of tasks with a result.
        accepted_at: When the job was accepted, in seconds since the epoch.
    """

    stage: JobStage
    done: int
    accepted_at: float = 0.0

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return {"stage": self.stage.value, "done": self.done, "at": self.accepted_at}

    @staticmethod
    def from_value(value: dict[str, Any]) -> FinalState:
        """The final state of a stored form."""
        return FinalState(JobStage(value["stage"]), value.get("done", 0), value.get("at", 0.0))


@dataclass(frozen=True, slots=True)
class TermRecord:
    """A term, and the controller process that was elected for it.

    Stored as `{"term": number, "run": run_id, "hold": lease}`.

    Attributes:
        number: The term's number, which is its fencing token.
        run_id: Identifies the controller process; a restart gets another one.
        lease: The ID of the lease of the leader key. It tells apart two claims (writes that
            get a controller elected) of one process for the same term.
    """

    number: int
    run_id: str
    lease: int

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return {"term": self.number, "run": self.run_id, "hold": self.lease}

    @staticmethod
    def number_of(value: dict[str, Any] | None) -> int:
        """The term's number in a stored form; 0 before the first election."""
        return int(value["term"]) if value is not None else 0


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The current leader. Its key is attached to a lease and is deleted when the lease expires.

    Stored as the term's form with an additional `"label"`.

    Attributes:
        term: The leader's term.
        label: The name of the leader's controller in the settings.
    """

    term: TermRecord
    label: str

    def value(self) -> dict[str, Any]:
        """The stored form."""
        return self.term.value() | {"label": self.label}

    @staticmethod
    def label_of(value: dict[str, Any]) -> str:
        """The leader's label in a stored form."""
        return str(value["label"])

    @staticmethod
    def run_id_of(value: dict[str, Any]) -> str | None:
        """The `run_id` of the leader's process in a stored form; None if the form has none."""
        return value.get("run")


def initial_machines_value(names: list[str], further_parts: int = 0) -> dict[str, Any]:
    """The stored form of the initial machines, or of as many as fit into one value.

    Initial machines are those that existed when the service first ran. Names that don't fit are in
    `further_parts` more values of the same form.
    """
    return {"machines": names} | ({"parts": further_parts} if further_parts else {})


def further_parts_of(value: dict[str, Any]) -> int:
    """The number of further parts that follow the first part of the initial machines."""
    return int(value.get("parts", 0))


def initial_machines_values(names: list[str], value_bytes: float) -> list[dict[str, Any]]:
    """Stored forms that together hold all names of initial machines, each within `value_bytes`."""
    max_bytes = int(value_bytes) - INITIAL_MACHINES_OVERHEAD_BYTES
    parts: list[list[str]] = [[]]
    part_bytes = 0
    for name in names:
        name_bytes = len(orjson.dumps(name)) + 1  # the separator
        if part_bytes + name_bytes > max_bytes and parts[-1]:
            parts.append([])
            part_bytes = 0
        parts[-1].append(name)
        part_bytes += name_bytes
    first_part, *further_parts = parts
    return [
        initial_machines_value(first_part, len(further_parts)),
        *(initial_machines_value(part) for part in further_parts),
    ]


def initial_machines_of(value: dict[str, Any]) -> frozenset[str]:
    """The names in one part of the initial machines."""
    return frozenset(value["machines"])


def catalog_value(machine_types: list[MachineType]) -> dict[str, Any]:
    """The stored form of the machine types, which controllers need while the cloud is down."""
    value: dict[str, Any] = msgspec.to_builtins(Catalog(machine_types))
    return value


def feature_level_value(level: int) -> dict[str, Any]:
    """The stored form of a feature level: see `leadership.feature_level`."""
    return {"level": level}


def feature_level_of(value: dict[str, Any]) -> int:
    """The feature level in a stored form."""
    return int(value["level"])
