"""A worker registry with one machine and one job, and the leader interface it depends on."""

from __future__ import annotations

from typing import Any

from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import Attempt, JobState
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.control.store.records import JobRecord
from spoolcourse.control.workers.worker_registry import AcceptedHeartbeat, WorkerRegistry
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import Heartbeat, Submission, parse
from spoolcourse.wire.settings import WorkerSettings
from tests.fakes.proof import proof_of_term
from tests.fakes.world import job

TERM = 7


class RegistryHarness:
    """A worker registry with one machine and one job."""

    def __init__(self, **fields: Any) -> None:
        self.now = 100.0
        self.lease_valid = True
        self.job_queue = JobQueue()
        self.registry = WorkerRegistry(
            self.job_queue,
            proof_of_term(TERM),
            WorkerSettings(heartbeat_interval_s=1.5, lease_s=10.0, cancel_s=40.0),
            lambda: self.now,
            self,
        )
        submission = parse(job(**fields), Submission)
        self.job_state: JobState = self.job_queue.add(
            JobRecord(submission, 1.0, 170, None, 5), self.now
        )
        self.sequence = 0

    def holds_lease(self) -> bool:
        return self.lease_valid

    def is_job_over(self, job: str) -> bool:
        return job not in self.job_queue.jobs

    def disk_gb(self, machine_type: str) -> float:
        return 0.0

    def on_capacity_change(self) -> None:
        pass

    def record_failover_phase(self, phase: FailoverPhase) -> None:
        pass

    def heartbeat(self, *pieces: dict[str, Any], **fields: Any) -> list[dict[str, Any]] | None:
        outcome = self.registry.process_heartbeat(self._heartbeat_of(pieces, fields))
        if not isinstance(outcome, AcceptedHeartbeat):
            return None
        return [to_json_object(command) for command in outcome.commands]

    def observe(self, *pieces: dict[str, Any], **fields: Any) -> Heartbeat:
        """Process a heartbeat that is the response to a direct call."""
        heartbeat = self._heartbeat_of(pieces, fields)
        self.registry.observe_heartbeat(heartbeat)
        return heartbeat

    def refuse(self, *pieces: dict[str, Any], **fields: Any) -> None:
        """Process the machine's own heartbeat without renewing its lease."""
        self.registry.observe_unanswered_heartbeat(self._heartbeat_of(pieces, fields))

    def _heartbeat_of(
        self, pieces: tuple[dict[str, Any], ...], fields: dict[str, Any]
    ) -> Heartbeat:
        self.sequence += 1
        data = {
            "spindle": "m-1",
            "address": "m-1:9",
            "build": "c8",
            "yard": "a",
            "loaners": False,
            "shift": 1,
            "tick": self.sequence,
            "baton": TERM,
            "pieces": list(pieces),
        } | fields
        return parse(data, Heartbeat)

    def assign(self, task: int = 0, number: int = 1, persisted: bool = True) -> Attempt:
        attempt = self.job_queue.assign(self.job_state, task, "m-1", number, self.now)
        self.registry.track_attempt(attempt)
        if persisted:
            self.mark_persisted()
        return attempt

    def mark_persisted(self) -> None:
        for chunk in self.job_state.chunks.values():
            chunk.persisted_version = chunk.version


def task_entry(
    task: int = 0, attempt: int = 1, stage: str = "running", **fields: Any
) -> dict[str, Any]:
    return {"piece": f"job-000001/{task}", "try": attempt, "stage": stage} | fields
