"""Keys in the key-value store.

Key names must not change: they are stored, and versions that run side by side share them. Every
controller's watch cache holds the keys below `LIVE_PREFIX`; final states are only read one by one.
"""

from __future__ import annotations

from spoolcourse.wire.identities import ChunkId

PREFIX = "spoolcourse/"
LIVE_PREFIX = PREFIX + "live/"
LEADER_KEY = LIVE_PREFIX + "leader"  # names the leader; attached to its lease
TERM_KEY = LIVE_PREFIX + "term"  # the latest term
INITIAL_MACHINES_KEY = LIVE_PREFIX + "base"  # machines that existed when the service first ran
FEATURE_LEVEL_KEY = LIVE_PREFIX + "level"  # up to which every controller can read stored forms
CATALOG_KEY = LIVE_PREFIX + "catalog"  # the machine types
JOB_PREFIX = LIVE_PREFIX + "job/"  # the records of live jobs
PROGRESS_PREFIX = LIVE_PREFIX + "prog/"  # the progress of live jobs, in chunks of tasks
FINAL_PREFIX = PREFIX + "fin/"  # the final states of jobs


def initial_machines_part_key(part: int) -> str:
    """The key of a further part (from 1 on) of the initial machines.

    The first part is `INITIAL_MACHINES_KEY`.
    """
    return f"{INITIAL_MACHINES_KEY}/{part}"


def job_key(job: str) -> str:
    """The key of a live job's record."""
    return JOB_PREFIX + job


def final_key(job: str) -> str:
    """The key of a job's final state."""
    return FINAL_PREFIX + job


def progress_key(job: str, index: int) -> str:
    """The key of one chunk of a job's progress."""
    return f"{PROGRESS_PREFIX}{job}/{index}"


def parse_progress_key(key: str) -> ChunkId:
    """The chunk that a progress key names; raises `ValueError` if its index is not a number."""
    job, _, index = key[len(PROGRESS_PREFIX) :].partition("/")
    return ChunkId(job, int(index))
