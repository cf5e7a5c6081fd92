"""Job submissions, idempotent by job id (PROTOCOL, Rules).

A 201 follows the compare-and-swap that created the job. An accepted job is never rejected later,
whatever a repeated submission contains: a repeat is answered with the job's state, and a 400 or
422 only after a consistent read shows that the job does not exist.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from spoolcourse.control.http_client import Response, error_response, retry_later
from spoolcourse.control.jobs.job_records import JobRecords, RecordTooLargeError
from spoolcourse.control.leadership.feature_level import all_controllers_support_services
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.control.user_api.checks import rejection_reason, usable_machine_types
from spoolcourse.control.user_api.job_states import CannotAnswerError, JobStates
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import (
    JOB_ID,
    JobResponse,
    JobStage,
    JobStatus,
    MachineType,
    MalformedError,
    Submission,
    decode,
    parse_submission,
)
from spoolcourse.wire.settings import DeploymentSettings

log = logging.getLogger(__name__)


class Submissions:
    """Validates submissions, and writes the records of accepted jobs."""

    def __init__(
        self,
        job_records: JobRecords,
        job_states: JobStates,
        watch_cache: WatchCache,
        params: DeploymentSettings,
        machine_types: Callable[[], dict[str, MachineType]],
        wall_clock: Callable[[], float],
    ) -> None:
        self._job_records = job_records
        self._job_states = job_states
        self._watch_cache = watch_cache
        self._params = params
        self._machine_types = machine_types
        self._wall_clock = wall_clock

    async def submit(self, body: bytes) -> Response:
        """Accept a job: 201; 200 if it exists already, 400 or 422 if it is rejected.

        Raises:
            CannotAnswerError: The job's state is uncertain at present.
            StoreUnavailableError: The key-value store does not respond.
        """
        try:
            submission = parse_submission(body)
        except MalformedError as exc:
            return await self._reject_unless_accepted(
                _parse_job_id(body), error_response(400, str(exc))
            )
        job = submission.id
        if self._job_states.is_known(job):
            status = await self._job_states.read(job)
            if status is not None:
                return job_response(200, status)
        machine_types = self._machine_types()
        if not machine_types:
            raise CannotAnswerError("the machine types are not known yet")
        reason = rejection_reason(submission, machine_types, self._params)
        if reason is not None:
            return await self._reject_unless_accepted(job, error_response(422, reason))
        if submission.is_service and not await self._all_support_services():
            return retry_later("not all controllers support services yet")
        return await self._accept(self._with_usable_types(submission, machine_types))

    async def _all_support_services(self) -> bool:
        """Whether every controller supports services.

        Peers are not asked: they know no more than this controller does after a read barrier, and
        asking them delayed users by a second or more when one was partitioned.
        """
        if all_controllers_support_services(self._watch_cache):
            return True
        await self._job_states.pass_read_barrier()
        return all_controllers_support_services(self._watch_cache)

    async def _accept(self, submission: Submission) -> Response:
        job = submission.id
        try:
            accepted = await self._job_records.accept(submission, self._wall_clock())
        except RecordTooLargeError as exc:
            return await self._reject_unless_accepted(job, error_response(422, str(exc)))
        if accepted:
            log.info(
                "job accepted: job=%s tasks=%d class=%s team=%s",
                job,
                submission.task_count,
                submission.job_class,
                submission.team,
            )
            return job_response(201, JobResponse(job, JobStage.QUEUED))
        status = await self._job_states.read(job)
        if status is None:
            raise CannotAnswerError("the record changed while it was read")
        return job_response(200, status)

    def _with_usable_types(
        self, submission: Submission, machine_types: dict[str, MachineType]
    ) -> Submission:
        """Keep only the machine types that the job can use, so that its record stays small."""
        if submission.machine_types is None:
            return submission
        usable = usable_machine_types(submission, machine_types, self._params.zones)
        return msgspec.structs.replace(submission, machine_types=usable)

    async def _reject_unless_accepted(self, job: str | None, rejection: Response) -> Response:
        """Return the rejection, or the job's state if the job was accepted before."""
        status = await self._job_states.read(job) if job is not None else None
        return rejection if status is None else job_response(200, status)


def job_response(status: int, body: JobStatus | JobResponse) -> Response:
    """A response with a job's state as its body."""
    return Response(status, to_json_object(body))


def _parse_job_id(body: bytes) -> str | None:
    """The job id in a malformed submission; None if there is no valid one."""
    try:
        data = decode(body)
    except MalformedError:
        return None
    job = data.get("id") if isinstance(data, dict) else None
    return job if isinstance(job, str) and JOB_ID.fullmatch(job) else None
