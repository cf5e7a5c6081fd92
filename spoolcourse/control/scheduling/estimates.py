"""Run time estimates of tasks."""

from __future__ import annotations

from math import inf

from spoolcourse.control.jobs.model import JobState
from spoolcourse.policy.keys import Policy


def run_estimate_s(job_state: JobState, policy: Policy) -> float:
    """Return the expected run time of a task of the job; infinite for a service.

    `default_estimate_s` (a policy key) is used for jobs submitted without an estimate.
    """
    submission = job_state.record.submission
    if submission.is_service:
        return inf
    return submission.expected_run_s or policy.default_estimate_s
