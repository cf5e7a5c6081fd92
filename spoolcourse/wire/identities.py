"""Identities of tasks, attempts and chunks.

They compare and hash as plain tuples, so they cost nothing extra as dictionary keys.
"""

from __future__ import annotations

from typing import NamedTuple


class TaskId(NamedTuple):
    """A task: its job, and its index in the job from 0."""

    job: str
    index: int  # type: ignore[assignment]  # shadows `tuple.index`, which is not used


class AttemptId(NamedTuple):
    """An attempt at a task. Its number is unique for the task (the field `try` in PROTOCOL)."""

    job: str
    task: int  # the task's index in the job
    number: int


class HeartbeatId(NamedTuple):
    """A heartbeat of a machine; a newer one compares greater (`shift` and `tick` in PROTOCOL)."""

    incarnation: int  # number of the worker's incarnation (`wire.commands`)
    sequence: int  # number of the heartbeat in its incarnation


class ChunkId(NamedTuple):
    """A chunk: a range of a job's tasks whose progress is stored under one key.

    Given by the job, and the index of the chunk in the job from 0.
    """

    job: str
    index: int  # type: ignore[assignment]
