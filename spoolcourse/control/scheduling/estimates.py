"""How long tasks are expected to run."""

from __future__ import annotations

from math import inf

from spoolcourse.control.jobs.model import JobState
from spoolcourse.policy.keys import Policy


def run_estimate_s(job_state: JobState, policy: Policy) -> float:
    """How long a task of the job is expected to run; a service has no end."""
    submission = job_state.record.submission
    if submission.is_service:
        return inf
    return submission.expected_run_s or policy.default_estimate_s
