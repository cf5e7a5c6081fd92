"""The HTTP API for users, the same on every controller (PROTOCOL, Rules).

Only final states are answered from memory: a 201 and a cancellation follow their compare-and-swap,
a 404 follows a consistent read, and a state that is not final follows a read barrier. A controller
that alone lost the key-value store forwards the request to a peer, one hop.
"""

from __future__ import annotations

import asyncio
import logging
from urllib.parse import unquote, urlsplit

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.health import HealthCheck
from spoolcourse.control.http_client import Request, Response, error_response, retry_later
from spoolcourse.control.jobs.job_records import JobRecords
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.errors import RequestRefusedError, StoreUnavailableError
from spoolcourse.control.user_api.job_states import (
    RETRY_AFTER_S,
    CannotAnswerError,
    JobStates,
)
from spoolcourse.control.user_api.peer_fallback import PeerFallback
from spoolcourse.control.user_api.submissions import Submissions, job_response
from spoolcourse.wire import paths
from spoolcourse.wire.messages import JOB_ID, JobResponse, JobStage

log = logging.getLogger(__name__)

LOCAL_ANSWER_TIMEOUT_S = 3.0  # then peers are asked; users time out after 5 s
# The record may change during a try: the leader may finish the job, or a peer cancel it.
MAX_CANCEL_TRIES = 4

JOB_NOT_FOUND = error_response(404, "no such job")


class UserApi:
    """Answers users' requests locally or through a peer."""

    def __init__(
        self, context: ControllerContext, leadership: Leadership, health: HealthCheck
    ) -> None:
        self._client = context.store_client
        self._job_index = context.job_index
        self._wall_clock = context.wall_clock
        self._health = health
        self._job_records = JobRecords(context.store_client, context.watch_cache, context.job_index)
        self._job_states = JobStates(context.job_index, self._job_records, context.watch_cache)
        self._submissions = Submissions(
            self._job_records,
            self._job_states,
            context.watch_cache,
            context.params,
            context.machine_types,
            context.wall_clock,
        )
        self._peer_fallback = PeerFallback(
            context.http_client, context.peers, leadership, context.job_index
        )

    async def handle_user_request(self, request: Request) -> Response:
        """Answer a user's request, through a peer if this controller can't."""
        if not self._health.ready:
            return retry_later("starting")
        if self._client.is_failing():
            # Waiting for the key-value store again would only delay the user.
            response = await self._peer_fallback.answer(request, RETRY_AFTER_S)
            return response if response.status != 503 else await self._answer_locally(request)
        try:
            return await self._answer(request)
        except CannotAnswerError as exc:
            return await self._peer_fallback.answer(request, exc.retry_after_s)

    async def handle_forwarded_request(self, request: Request) -> Response:
        """Answer a user's request forwarded by a peer; it is not forwarded again."""
        if not self._health.ready:
            return retry_later("starting")
        return await self._answer_locally(request)

    async def _answer_locally(self, request: Request) -> Response:
        try:
            return await self._answer(request)
        except CannotAnswerError as exc:
            return retry_later("try again", exc.retry_after_s)

    async def _answer(self, request: Request) -> Response:
        """Answer within the time limit; raises `CannotAnswerError` if the state is uncertain."""
        path = unquote(urlsplit(request.path).path)
        try:
            async with asyncio.timeout(LOCAL_ANSWER_TIMEOUT_S):
                return await self._dispatch(request, path)
        except (CannotAnswerError, StoreUnavailableError, TimeoutError) as exc:
            log.debug("no certain answer: method=%s path=%s reason=%s", request.method, path, exc)
            retry_after_s = (
                exc.retry_after_s if isinstance(exc, RequestRefusedError) else RETRY_AFTER_S
            )
            raise CannotAnswerError(str(exc), retry_after_s) from exc

    async def _dispatch(self, request: Request, path: str) -> Response:
        match request.method, path.split("/")[2:]:
            case "POST", []:
                return await self._submissions.submit(request.body)
            case "GET", [job] if job:
                return await self._get_job(job)
            case "POST", [job, paths.CANCEL]:
                return await self._cancel_job(job)
        return error_response(404, "no such resource")

    async def _get_job(self, job: str) -> Response:
        if not JOB_ID.fullmatch(job):
            return JOB_NOT_FOUND
        status = await self._job_states.read(job)
        return JOB_NOT_FOUND if status is None else job_response(200, status)

    async def _cancel_job(self, job: str) -> Response:
        """Cancel a job; a final job stays unchanged, and its state is returned."""
        if not JOB_ID.fullmatch(job):
            return JOB_NOT_FOUND
        for _ in range(MAX_CANCEL_TRIES):
            status = await self._job_states.read(job)
            if status is None:
                return JOB_NOT_FOUND
            if status.stage.is_final:
                return job_response(200, JobResponse(job, status.stage))
            if job in self._job_index.live and await self._job_records.cancel(
                job, self._wall_clock()
            ):
                log.info("job cancelled: job=%s", job)
                return job_response(200, JobResponse(job, JobStage.CANCELLED))
        raise CannotAnswerError("the job kept changing")
