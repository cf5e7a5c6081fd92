"""What the parts of a leader share; there is none without a proof of the take-over."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.leadership.failover_proof import TakeoverProof
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """Made once the take-over is proven, for the rest of the term."""

    controller: ControllerContext
    proof: TakeoverProof
    policy: Policy
    job_queue: JobQueue
    registry: WorkerRegistry
