"""Changes of job records during a term: jobs accepted or cancelled by any controller."""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.jobs.job_queue import JobQueue
from spoolcourse.control.jobs.model import JobState
from spoolcourse.control.scheduling.scheduling_loop import SchedulingLoop
from spoolcourse.control.store.keys import JOB_PREFIX
from spoolcourse.control.store.records import JobRecord
from spoolcourse.control.workers.command_dispatcher import CommandDispatcher
from spoolcourse.control.workers.worker_registry import WorkerRegistry


class JobChanges:
    """Applies changed job records to the job queue, and stops attempts of cancelled jobs."""

    def __init__(
        self,
        job_index: JobIndex,
        job_queue: JobQueue,
        registry: WorkerRegistry,
        scheduling: SchedulingLoop,
        command_dispatcher: CommandDispatcher,
        clock: Callable[[], float],
    ) -> None:
        self._job_index = job_index
        self._job_queue = job_queue
        self._registry = registry
        self._scheduling = scheduling
        self._command_dispatcher = command_dispatcher
        self._clock = clock

    def on_change(self, key: str) -> None:
        """Process the change of a key in the key-value store; only job records have an effect."""
        if not key.startswith(JOB_PREFIX):
            return
        job = key[len(JOB_PREFIX) :]
        record = self._job_index.live.get(job)
        if record is None:
            return
        job_state = self._job_queue.jobs.get(job)
        if job_state is None:
            self._job_queue.add(record, self._clock())
        else:
            self._update_record(job_state, record)
        self._scheduling.wake.set()

    def _update_record(self, job_state: JobState, record: JobRecord) -> None:
        was_cancelled = job_state.record.cancelled
        job_state.record = record
        if not record.cancelled or was_cancelled:
            return
        job_state.cancelled_known_at = self._clock()
        for attempt in list(job_state.attempts.values()):
            self._registry.end_attempt(attempt)
        self._command_dispatcher.wake.set()
        self._job_queue.queue_final_state_if_finished(job_state)
