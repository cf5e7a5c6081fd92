"""Why a machine is deleted. The values are log texts that operators search for."""

from __future__ import annotations

from enum import StrEnum


class DeletionReason(StrEnum):
    """The reasons, in the order in which they are checked."""

    REQUESTED_BEFORE = "requested before, not confirmed"
    FAILED = "failed in the cloud's list"
    CANCELLED_WORK = "cancelled work may be on it, and it can't be reached"
    BOOT_OVERDUE = "boot overdue"
    SILENT = "silent"  # no heartbeat for too long
    UNRESPONSIVE = "unresponsive, answers have no effect"
    FENCING_TOKEN_NOT_SEEN = "our fencing token does not reach it"
    FAULTY = "faulty, tasks of several jobs fail on it"
    REPLICAS_NOT_PROVEN_ENDED = "silent, and replicas wait for a proof that they are gone"
    IDLE = "idle"
