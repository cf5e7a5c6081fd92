"""The users' interface, the same on every controller (PROTOCOL, Rules).

Nothing is answered from memory alone unless it can't change any more: a 201 and a
cancellation follow their conditional write, a 404 a consistent read, and any state
that is not final a read barrier. A controller that alone lost the key-value store asks a peer, one
hop.
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
from spoolcourse.wire.messages import JOB_ID, JobAnswer, JobStage

log = logging.getLogger(__name__)

OWN_TRY_S = 3.0  # users wait 5 s for an answer; the peers are asked after that
CANCEL_TRIES = 4  # the leader may finish the job, or a peer cancel it, in between

NO_SUCH_JOB = error_response(404, "no such job")


class UserApi:
    """Answers users' requests, by itself or with a peer's help."""

    def __init__(
        self, context: ControllerContext, leadership: Leadership, health: HealthCheck
    ) -> None:
        self._client = context.client
        self._job_index = context.job_index
        self._wall_clock = context.wall_clock
        self._health = health
        self._job_records = JobRecords(context.client, context.watch_cache, context.job_index)
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

    async def answer_user(self, request: Request) -> Response:
        """Answer a user's request, with a peer's help if need be."""
        if not self._health.ready:
            return retry_later("starting")
        if self._client.is_failing():
            # Waiting for the key-value store once more would only cost the user time.
            response = await self._peer_fallback.answer(request, RETRY_AFTER_S)
            return response if response.status != 503 else await self._answer_alone(request)
        try:
            return await self._answer(request)
        except CannotAnswerError as exc:
            return await self._peer_fallback.answer(request, exc.retry_after_s)

    async def answer_peer(self, request: Request) -> Response:
        """Answer a user's request that a peer has passed on; it goes no further."""
        if not self._health.ready:
            return retry_later("starting")
        return await self._answer_alone(request)

    async def _answer_alone(self, request: Request) -> Response:
        try:
            return await self._answer(request)
        except CannotAnswerError as exc:
            return retry_later("try again", exc.retry_after_s)

    async def _answer(self, request: Request) -> Response:
        """Answer within `OWN_TRY_S`; raises `CannotAnswerError` where nothing is certain."""
        path = unquote(urlsplit(request.path).path)
        try:
            async with asyncio.timeout(OWN_TRY_S):
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
            return NO_SUCH_JOB
        status = await self._job_states.read(job)
        return NO_SUCH_JOB if status is None else job_response(200, status)

    async def _cancel_job(self, job: str) -> Response:
        """Cancel a job; one that is final stays as it is, and its state is the answer."""
        if not JOB_ID.fullmatch(job):
            return NO_SUCH_JOB
        for _ in range(CANCEL_TRIES):
            status = await self._job_states.read(job)
            if status is None:
                return NO_SUCH_JOB
            if status.stage.is_final:
                return job_response(200, JobAnswer(job, status.stage))
            if job in self._job_index.live and await self._job_records.cancel(
                job, self._wall_clock()
            ):
                log.info("job cancelled: job=%s", job)
                return job_response(200, JobAnswer(job, JobStage.CANCELLED))
        raise CannotAnswerError("the job kept changing")
