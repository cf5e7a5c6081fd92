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
    """An attempt at a task. Its number is unique for the task (PROTOCOL, `try`)."""

    job: str
    task: int  # the task's index in the job
    number: int


class HeartbeatId(NamedTuple):
    """A heartbeat of a machine; a newer one compares greater (PROTOCOL, `shift` and `tick`)."""

    incarnation: int
    sequence: int


class ChunkId(NamedTuple):
    """A part of a job's stored progress: its job, and its index in the job from 0."""

    job: str
    index: int  # type: ignore[assignment]
