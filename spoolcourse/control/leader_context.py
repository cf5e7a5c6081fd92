"""What the parts of a leader share; there is none without a proof of the failover."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderContext:
    """Made once the failover is proven, for the rest of the term."""

    controller: ControllerContext
    proof: FailoverProof
    policy: Policy
    job_queue: JobQueue
    registry: WorkerRegistry
