"""The users' interface, the same on every controller.

Nothing is answered from memory alone unless it can't change any more: a 201 and a
cancellation follow their conditional write, a 404 a consistent read, and any state
that is not final a sync. A controller that alone lost the key-value store asks a peer, one hop.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any
from urllib.parse import unquote, urlsplit

import msgspec

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.health import HealthCheck
from spoolcourse.control.http_client import (
    NoResponseError,
    Request,
    Response,
    error_response,
    retry_later,
)
from spoolcourse.control.jobs.job_records import JobRecords, RecordTooLargeError
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.feature_level import all_support_services
from spoolcourse.control.store.errors import RequestRefusedError, StoreUnavailableError
from spoolcourse.control.store.records import FinalState
from spoolcourse.control.user_api.checks import refusal, usable_machine_types
from spoolcourse.wire import paths
from spoolcourse.wire.messages import (
    JOB_ID,
    JobAnswer,
    JobStage,
    JobStatus,
    MachineType,
    MalformedError,
    Submission,
    decode,
    parse,
    parse_submission,
)

log = logging.getLogger(__name__)

# Users wait 5 s for an answer, and 2 s for one to a poll; this controller itself tries first.
OWN_TRY_S = 3.0
SYNC_S = 1.2  # a poll waits 2 s, and then a peer is asked
ASK_PEER_S = 1.0
ASK_PEERS_S = 1.5
ASK_PEERS_POLL_S = 0.6


NO_SUCH_JOB = error_response(404, "no such job")
WITHDRAW_TRIES = 4  # the leader may finish the job, or a peer withdraw it, in between


class CannotAnswerError(Exception):
    """This controller can't answer for sure just now."""


class UserApi:
    """Answers users' requests, by itself or with a peer's help."""

    def __init__(
        self, context: ControllerContext, leadership: Leadership, health: HealthCheck
    ) -> None:
        self._job_index = context.job_index
        self._job_records = JobRecords(context.client, context.watch_cache, context.job_index)
        self._watch_cache = context.watch_cache
        self._client = context.client
        self._net = context.net
        self._peers = context.peers
        self._params = context.params
        self._machine_types = context.machine_types
        self._wall_clock = context.wall_clock
        self._leadership = leadership
        self._health = health

    async def answer_user(self, request: Request) -> Response:
        """Answer a user's request, with a peer's help if need be."""
        return await self._answer_when_ready(request, from_peer=False)

    async def answer_peer(self, request: Request) -> Response:
        """Answer a user's request that a peer has passed on; it goes no further."""
        return await self._answer_when_ready(request, from_peer=True)

    async def _answer_when_ready(self, request: Request, from_peer: bool) -> Response:
        if not self._health.ready:
            return retry_later("starting")
        return await self.handle(request, from_peer)

    async def handle(self, request: Request, from_peer: bool = False) -> Response:
        """`from_peer`: the request comes from a peer and goes no further."""
        path = unquote(urlsplit(request.path).path)
        parts = path.split("/")[2:]
        after = 1.0
        if not from_peer and self._client.is_failing():
            # Waiting for the key-value store once more would only cost the user time.
            from_peer = True
            reply = await self._pass_on(request, after)
            if reply.status != 503:
                return reply
        try:
            async with asyncio.timeout(OWN_TRY_S):
                if not parts and request.method == "POST":
                    return await self._submit(request.body)
                if len(parts) == 1 and parts[0] and request.method == "GET":
                    return await self._poll(parts[0])
                if len(parts) == 2 and parts[1] == paths.CANCEL and request.method == "POST":
                    return await self._withdraw(parts[0])
        except (CannotAnswerError, StoreUnavailableError, TimeoutError) as exc:
            log.debug("%s %s: %s", request.method, path, exc)
            after = exc.retry_after_s if isinstance(exc, RequestRefusedError) else after
            return (
                retry_later("try again", after)
                if from_peer
                else await self._pass_on(request, after)
            )
        return error_response(404, "no such resource")

    async def _pass_on(self, request: Request, after: float) -> Response:
        """Ask the peers: perhaps only this controller lost the key-value store.

        Peers that hang, as behind a cut, must not use up the time that the user waits.
        """
        leader_label = self._leadership.leader_label
        clock = asyncio.get_running_loop().time
        until = clock() + (ASK_PEERS_POLL_S if request.method == "GET" else ASK_PEERS_S)
        for seed in sorted(self._peers, key=lambda s: s.label != leader_label):
            left = until - clock()
            if left <= 0:
                break
            try:
                reply = await self._net.call(
                    seed.endpoint,
                    request.method,
                    request.path,
                    request.body or None,
                    timeout=min(left, ASK_PEER_S),
                )
            except NoResponseError:
                continue
            if reply.status < 500 and reply.status != 429:
                if reply.status == 200:
                    self._remember_final(reply.data)
                return Response(reply.status, reply.data)
        return retry_later("try again", after)

    def _remember_final(self, answer: Any) -> None:
        """A final state that a peer has told never changes."""
        try:
            status = parse(answer, JobStatus)
        except MalformedError as exc:
            log.debug("a peer's answer is no job status: %s", exc)
            return
        if status.stage.is_final:
            self._job_index.remember_final(status.id, FinalState(status.stage, status.done))

    async def _sync(self) -> None:
        if not await self._watch_cache.read_barrier(SYNC_S):
            raise CannotAnswerError("no sync")

    async def _known(self, job: str) -> JobStatus | None:
        """The job's current state for certain; None if it was never accepted."""
        final = self._job_index.known_final_status(job)
        if final is not None:
            return final
        await self._sync()
        known = self._job_index.known_status(job)
        return known or await self._job_records.read_final_status(job)

    async def _submit(self, raw: bytes) -> Response:
        try:
            submission = parse_submission(raw)
        except MalformedError as exc:
            return await self._refuse(_id_of(raw), error_response(400, str(exc)))
        job = submission.id
        if job in self._job_index.live or self._job_index.known_final_status(job) is not None:
            known = await self._known(job)
            if known is not None:
                return _reply(200, known)
        machine_types = self._machine_types()
        if not machine_types:
            raise CannotAnswerError("the machine types are not known yet")
        why = refusal(submission, machine_types, self._params)
        if why is not None:
            return await self._refuse(job, error_response(422, why))
        if submission.is_service and not await self._takes_services():
            return retry_later("not all controllers know services yet")
        return await self._accept(self._narrowed(submission, machine_types))

    async def _takes_services(self) -> bool:
        """Whether every controller knows services.

        What this controller learns by a sync no peer knows better. Asking them nevertheless kept
        users waiting for a second or more where one of them was cut off.
        """
        if all_support_services(self._watch_cache):
            return True
        await self._sync()
        return all_support_services(self._watch_cache)

    async def _accept(self, submission: Submission) -> Response:
        try:
            accepted = await self._job_records.accept(submission, self._wall_clock())
        except RecordTooLargeError as exc:
            return await self._refuse(submission.id, error_response(422, str(exc)))
        if accepted:
            log.info(
                "%s accepted: %d tasks, %s, %s",
                submission.id,
                submission.task_count,
                submission.job_class,
                submission.team,
            )
            return _reply(201, JobAnswer(submission.id, JobStage.QUEUED))
        known = await self._known(submission.id)
        if known is None:
            raise CannotAnswerError("the record changed while it was read")
        return _reply(200, known)

    def _narrowed(
        self, submission: Submission, machine_types: dict[str, MachineType]
    ) -> Submission:
        """Only known types are kept, so that a record stays small."""
        if submission.machine_types is None:
            return submission
        usable = usable_machine_types(submission, machine_types, self._params.zones)
        return msgspec.structs.replace(submission, machine_types=usable)

    async def _refuse(self, job: str | None, reply: Response) -> Response:
        """A job that was accepted once is never refused, whatever the repeat looks like."""
        if job is not None:
            known = await self._known(job)
            if known is not None:
                return _reply(200, known)
        return reply

    async def _poll(self, job: str) -> Response:
        if not JOB_ID.fullmatch(job):
            return NO_SUCH_JOB
        known = await self._known(job)
        return NO_SUCH_JOB if known is None else _reply(200, known)

    async def _withdraw(self, job: str) -> Response:
        if not JOB_ID.fullmatch(job):
            return NO_SUCH_JOB
        for _ in range(WITHDRAW_TRIES):
            known = await self._known(job)
            if known is None:
                return NO_SUCH_JOB
            if known.stage.is_final:
                return _reply(200, JobAnswer(job, known.stage))
            if job in self._job_index.live and await self._job_records.cancel(
                job, self._wall_clock()
            ):
                log.info("%s cancelled", job)
                return _reply(200, JobAnswer(job, JobStage.CANCELLED))
        raise CannotAnswerError("the job kept changing")


def _reply(status: int, answer: JobStatus | JobAnswer) -> Response:
    return Response(status, msgspec.to_builtins(answer))


def _id_of(raw: bytes) -> str | None:
    try:
        data = decode(raw)
    except MalformedError:
        return None
    job = data.get("id") if isinstance(data, dict) else None
    return job if isinstance(job, str) and JOB_ID.fullmatch(job) else None
