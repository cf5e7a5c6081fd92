"""Tracks scarce machine types: those that some recent job can use, but not all types.

Other jobs avoid scarce types, so that such a job finds room.
"""

from __future__ import annotations

from collections.abc import Iterable

from spoolcourse.control.jobs.model import JobState
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import MachineType, task_fits


class ScarceMachineTypes:
    """Remembers which machine types are scarce.

    A type stays scarce for `rare_s` seconds (a policy key) after the last such job was live.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._scarce_until: dict[str, float] = {}

    def update(
        self, jobs: Iterable[JobState], machine_types: dict[str, MachineType], now: float
    ) -> None:
        """Mark types as scarce for the live jobs.

        If a job can use only some of the types, these are marked.
        """
        for job_state in jobs:
            usable_types = [
                machine_type.name
                for machine_type in machine_types.values()
                if task_fits(job_state.record.submission, machine_type)
            ]
            if len(usable_types) < len(machine_types):
                for name in usable_types:
                    self._scarce_until[name] = now + self._policy.rare_s

    def is_scarce_type(self, machine_type: str, now: float) -> bool:
        """Whether some recent job could use this type, but not all types."""
        return self._scarce_until.get(machine_type, 0.0) > now
