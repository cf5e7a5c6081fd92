"""Keys in the key-value store.

The spelling is stored, and shared with versions that run side by side: it stays as it is. Keys
below `LIVE_PREFIX` are held by every controller's watch cache; final states are only read one by
one.
"""

from __future__ import annotations

from spoolcourse.wire.identities import ChunkId

PREFIX = "spoolcourse/"
LIVE_PREFIX = PREFIX + "live/"
LEADER_KEY = LIVE_PREFIX + "leader"
TERM_KEY = LIVE_PREFIX + "term"
INITIAL_MACHINES_KEY = LIVE_PREFIX + "base"
FEATURE_LEVEL_KEY = LIVE_PREFIX + "level"  # of the stored forms that every controller can read
CATALOG_KEY = LIVE_PREFIX + "catalog"
JOB_PREFIX = LIVE_PREFIX + "job/"
PROGRESS_PREFIX = LIVE_PREFIX + "prog/"
FINAL_PREFIX = PREFIX + "fin/"


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
    """The chunk that a progress key names; raises `ValueError` if its index is no number."""
    job, _, index = key[len(PROGRESS_PREFIX) :].partition("/")
    return ChunkId(job, int(index))
