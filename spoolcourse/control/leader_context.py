"""State shared by the components of a leader, from the proof of its failover on.

The proof shows that this controller has seen every placement of earlier leaders
(`leadership.failover_proof`).
"""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.policy.keys import Policy


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderContext:
    """What a leader's components share from the failover proof to the end of the term."""

    controller: ControllerContext
    proof: FailoverProof
    policy: Policy  # the current values, updated after each placement pass
    job_queue: JobQueue
    registry: WorkerRegistry
