"""The state of a warm standby's shadow, as shown to operators and to the leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ShadowState(Enum):
    """Whether a failover can use the shadow. The values are shown in `/status` and to peers."""

    USABLE = "fit"
    STALE = "unfit"  # changes were missed; rebuilt after a reload of all keys
    LEADING = "leading"  # this controller leads and uses the job queue


@dataclass(slots=True)
class ShadowStatus:
    """The state of the shadow and its history in this process."""

    state: ShadowState = ShadowState.STALE
    stale_reason: str = "the state service has not been read yet"
    rebuilds: int = 0  # times that the shadow was built from all records
    # Failovers whose shadow differed from a restore; counted only if `verify` is on.
    mismatches: int = 0

    def record_mismatch(self) -> None:
        """Record a failover whose shadow differed from a restore from the records."""
        self.mismatches += 1
        self.stale_reason = "it differs from the records"
