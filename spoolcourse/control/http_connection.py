"""One connection of an HTTP server: aiohttp's parser behind a protocol of our own.

Workers' heartbeats are by far the most frequent requests, and the leader answers them from
memory. aiohttp's server makes a task, a request and a response object and a payload writer
for each: on loopback 250 us of the process' time for a heartbeat in all, instead of 115 us.
Here a request whose answer needs no waiting is parsed, answered
and written in one go. aiohttp stays the library: its parser reads the requests.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from math import inf

import orjson

from spoolcourse.control.http_client import Request, Response, error_response, retry_later
from spoolcourse.wire.messages import BODY_LIMIT

# After `http_client`, which sees to it that aiohttp comes without `ssl`.
from aiohttp.base_protocol import BaseProtocol  # isort: skip
from aiohttp.http import HttpRequestParser, RawRequestMessage  # isort: skip
from aiohttp.http_exceptions import HttpProcessingError  # isort: skip
from aiohttp.streams import StreamReader  # isort: skip

log = logging.getLogger(__name__)

# A handler answers at once where it can; an awaitable response is awaited in a task.
Handler = Callable[[Request], Response | Awaitable[Response]]

PIPELINED_MAX = 8  # requests that wait on one connection, sent ahead of their responses

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_JSON = b"Content-Type: application/json\r\n"
_CLOSE = b"Connection: close\r\n"


def encode_response(response: Response, close: bool = False) -> bytes:
    """A response as it goes over the wire; `close`: no further request is read."""
    data = response.data
    body = data if isinstance(data, bytes) else orjson.dumps(data or {})
    head = _STATUS_LINES.get(response.status) or b"HTTP/1.1 %d Unknown\r\n" % response.status
    if "Content-Type" not in response.headers:
        head += _JSON
    for name, value in response.headers.items():
        head += f"{name}: {value}\r\n".encode()
    if close:
        head += _CLOSE
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Connection(BaseProtocol):
    """One client's connection: its requests are answered in turn."""

    def __init__(
        self, handler: Handler, open_connections: set[Connection], keep_alive_max: float = inf
    ) -> None:
        """Serve one client.

        `open_connections` is shared by all connections of the server. With more than
        `keep_alive_max` of them, this one ends with its next response.
        """
        loop = asyncio.get_running_loop()
        super().__init__(loop, HttpRequestParser(self, loop, BODY_LIMIT, auto_decompress=False))
        self._handler = handler
        self._open_connections = open_connections
        self._keep_alive_max = keep_alive_max
        self._queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._sent_continue = False
        self.active_at = loop.time()

    # -- of asyncio's protocol ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection."""
        super().connection_made(transport)
        self._open_connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection. A request under way is still carried out, unanswered."""
        super().connection_lost(exc)
        self._open_connections.discard(self)
        self._queue.clear()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Continue to read if reading was paused."""
        # The parser's streams call this with every body that is read, paused or not, and it
        # would come back here with the next request before this one is answered.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Read bytes, and answer the requests that they complete."""
        if self.transport is None or self.transport.is_closing():
            return
        self.active_at = self._loop.time()
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            self._refuse(exc.code, "not HTTP as it should be")
            return
        except Exception:
            log.debug("a request can't be read", exc_info=True)
            self._refuse(400, "not HTTP as it should be")
            return
        if upgraded:
            self._refuse(400, "no other protocol is spoken here")
            return
        self._queue.extend(messages)
        if len(self._queue) > PIPELINED_MAX:
            self.close()
            return
        self._answer_queued()

    # -- of the server --------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether no request is being answered."""
        return self._task is None

    def close(self) -> None:
        """Close the connection once what is written has been sent."""
        if self.transport is not None:
            self.transport.close()

    # -- requests, in turn ----------------------------------------------------------------

    def _answer_queued(self) -> None:
        """Answer the complete requests, until one of them has to wait."""
        while self._queue and self._task is None and self.transport is not None:
            message, payload = self._queue[0]
            if self._reading_paused or _is_too_long(message, payload):
                self._refuse(413, "body too large")
                return
            if not payload.is_eof():
                self._await_body(message, payload)
                return
            self._queue.popleft()
            self._sent_continue = False
            self._answer(
                Request(message.method, message.path, payload.read_nowait()), message.should_close
            )

    def _await_body(self, message: RawRequestMessage, payload: StreamReader) -> None:
        """The rest of the body is still to come; ask for it if the client waits for that."""
        if payload.exception() is not None:
            self._refuse(400, "the body can't be read")
        elif not self._sent_continue and "Expect" in message.headers:
            self._sent_continue = True
            assert self.transport is not None
            self.transport.write(_CONTINUE)

    def _answer(self, request: Request, close: bool) -> None:
        """Answer at once where the handler can: no task is made for that."""
        try:
            outcome = self._handler(request)
        except Exception:
            outcome = _internal_error(request)
        if isinstance(outcome, Response):
            self._write(outcome, close)
        else:
            self._task = self._loop.create_task(self._answer_later(request, outcome, close))

    async def _answer_later(
        self, request: Request, outcome: Awaitable[Response], close: bool
    ) -> None:
        try:
            response = await outcome
        except Exception:
            response = _internal_error(request)
        self._task = None
        self._write(response, close)
        self._answer_queued()

    # -- responses ------------------------------------------------------------------------

    def _refuse(self, status: int, reason: str) -> None:
        self._write(error_response(status, reason), close=True)

    def _write(self, response: Response, close: bool) -> None:
        if self.transport is None:
            return
        self.active_at = self._loop.time()
        # With a connection for each worker a fleet larger than the sockets would keep the
        # others out until their leases run out; so the connections of some are for one request.
        close = close or len(self._open_connections) > self._keep_alive_max
        try:
            raw = encode_response(response, close)
        except Exception:
            log.exception("a response can't be encoded")
            raw = encode_response(retry_later("internal"), close)
        self.transport.write(raw)
        if close:
            self._open_connections.discard(self)
            self._queue.clear()
            self.transport.close()


def _is_too_long(message: RawRequestMessage, payload: StreamReader) -> bool:
    if payload.total_bytes > BODY_LIMIT:
        return True
    length = message.headers.get("Content-Length", "")
    return length.isdigit() and int(length) > BODY_LIMIT


def _internal_error(request: Request) -> Response:
    """Any unforeseen failure becomes a 503 to retry; to be called while it is handled."""
    log.exception("request failed: method=%s path=%s", request.method, request.path)
    return retry_later("internal")
