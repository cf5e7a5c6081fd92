"""A server-side HTTP connection: aiohttp's request parser behind a custom asyncio protocol.

Workers' heartbeats are by far the most frequent requests, and the leader answers them from
memory. aiohttp's server creates a task, a request, a response and a payload writer for each:
250 us of processor time per heartbeat on loopback, instead of 115 us here, where a request whose
handler does not wait is parsed, handled and answered in one call.
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
from spoolcourse.wire.messages import MAX_BODY_BYTES

# After `http_client`, which imports aiohttp without `ssl`.
from aiohttp.base_protocol import BaseProtocol  # isort: skip
from aiohttp.http import HttpRequestParser, RawRequestMessage  # isort: skip
from aiohttp.http_exceptions import HttpProcessingError  # isort: skip
from aiohttp.streams import StreamReader  # isort: skip

log = logging.getLogger(__name__)

# Returns the response directly if it can; an awaitable is awaited in a task.
Handler = Callable[[Request], Response | Awaitable[Response]]

MAX_PIPELINED_REQUESTS = 8  # unanswered requests per connection; with more it is closed

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_JSON = b"Content-Type: application/json\r\n"
_CLOSE = b"Connection: close\r\n"


def encode_response(response: Response, close: bool = False) -> bytes:
    """Encode a response as HTTP; `close`: the connection is closed after it."""
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
    """A client's connection; its requests are answered in order."""

    def __init__(
        self,
        handler: Handler,
        open_connections: set[Connection],
        max_keep_alive_connections: float = inf,
    ) -> None:
        """Serve one client.

        `open_connections` is shared by all connections of the server. With more than
        `max_keep_alive_connections` of them, this one is closed after its next response.
        """
        loop = asyncio.get_running_loop()
        super().__init__(loop, HttpRequestParser(self, loop, MAX_BODY_BYTES, auto_decompress=False))
        self._handler = handler
        self._open_connections = open_connections
        self._max_keep_alive_connections = max_keep_alive_connections
        self._queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._sent_continue = False
        self.last_active_at = loop.time()

    # -- asyncio protocol -----------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._open_connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Unregister the connection. A request in progress still completes, unanswered."""
        super().connection_lost(exc)
        self._open_connections.discard(self)
        self._queue.clear()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused."""
        # The parser's streams call this after every body, paused or not. Passing that on would
        # re-enter `data_received` with the next request before this one is answered.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and answer the requests that they complete."""
        if self.transport is None or self.transport.is_closing():
            return
        self.last_active_at = self._loop.time()
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            self._reject(exc.code, "malformed HTTP request")
            return
        except Exception:
            log.debug("request parsing failed", exc_info=True)
            self._reject(400, "malformed HTTP request")
            return
        if upgraded:
            self._reject(400, "protocol upgrades are not supported")
            return
        self._queue.extend(messages)
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self.close()
            return
        self._answer_queued()

    # -- called by the server -------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether no handler is being awaited."""
        return self._task is None

    def close(self) -> None:
        """Close the connection after sending what is buffered."""
        if self.transport is not None:
            self.transport.close()

    # -- requests, in order ---------------------------------------------------------------

    def _answer_queued(self) -> None:
        """Answer the complete requests, until a handler has to be awaited."""
        while self._queue and self._task is None and self.transport is not None:
            message, payload = self._queue[0]
            if self._reading_paused or _is_body_too_large(message, payload):
                self._reject(413, "body too large")
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
        """Wait for the rest of the body; send 100 Continue if the client expects it."""
        if payload.exception() is not None:
            self._reject(400, "malformed body")
        elif not self._sent_continue and "Expect" in message.headers:
            self._sent_continue = True
            assert self.transport is not None
            self.transport.write(_CONTINUE)

    def _answer(self, request: Request, close: bool) -> None:
        """Answer a request; a task is created only if the handler returns an awaitable."""
        try:
            result = self._handler(request)
        except Exception:
            result = _internal_error(request)
        if isinstance(result, Response):
            self._write(result, close)
        else:
            self._task = self._loop.create_task(self._answer_awaitable(request, result, close))

    async def _answer_awaitable(
        self, request: Request, result: Awaitable[Response], close: bool
    ) -> None:
        try:
            response = await result
        except Exception:
            response = _internal_error(request)
        self._task = None
        self._write(response, close)
        self._answer_queued()

    # -- responses ------------------------------------------------------------------------

    def _reject(self, status: int, reason: str) -> None:
        self._write(error_response(status, reason), close=True)

    def _write(self, response: Response, close: bool) -> None:
        if self.transport is None:
            return
        self.last_active_at = self._loop.time()
        # If every worker kept a connection, a fleet larger than the socket limit would lock out
        # the other workers until their leases expire. Above the limit, connections serve one
        # request.
        close = close or len(self._open_connections) > self._max_keep_alive_connections
        try:
            encoded = encode_response(response, close)
        except Exception:
            log.exception("response encoding failed")
            encoded = encode_response(retry_later("internal error"), close)
        self.transport.write(encoded)
        if close:
            self._open_connections.discard(self)
            self._queue.clear()
            self.transport.close()


def _is_body_too_large(message: RawRequestMessage, payload: StreamReader) -> bool:
    if payload.total_bytes > MAX_BODY_BYTES:
        return True
    length = message.headers.get("Content-Length", "")
    return length.isdigit() and int(length) > MAX_BODY_BYTES


def _internal_error(request: Request) -> Response:
    """Log the current exception and return a retryable 503; call it from an `except` block."""
    log.exception("request failed: method=%s path=%s", request.method, request.path)
    return retry_later("internal error")
