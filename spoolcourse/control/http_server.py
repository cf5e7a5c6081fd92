"""The server side of HTTP: aiohttp's parser behind a connection of our own.

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
from typing import Any

import orjson

from spoolcourse.control.http_client import Request, Response, error_response, retry_later
from spoolcourse.wire.messages import BODY_LIMIT

# After `net`, which sees to it that aiohttp comes without `ssl`.
from aiohttp.base_protocol import BaseProtocol  # isort: skip
from aiohttp.http import HttpRequestParser, RawRequestMessage  # isort: skip
from aiohttp.http_exceptions import HttpProcessingError  # isort: skip
from aiohttp.streams import StreamReader  # isort: skip

log = logging.getLogger(__name__)

# A handler answers at once where it can; what has to wait is awaited in a task.
Handler = Callable[[Request], Response | Awaitable[Response]]

IDLE_S = 30.0  # users and workers ask every few seconds; peers let go after 20 s themselves
SWEEP_S = 5.0
KEPT_SHARE = 0.65  # of the process' sockets: beyond it connections end with their answers
QUEUE_MOST = 8  # requests sent ahead of their answers on one connection
_HEADS = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
_JSON = b"Content-Type: application/json\r\n"
_CLOSE = b"Connection: close\r\n"


def encode(reply: Response, close: bool = False) -> bytes:
    """A response as it goes over the wire."""
    data = reply.data
    body = data if isinstance(data, bytes) else orjson.dumps(data or {})
    head = _HEADS.get(reply.status) or b"HTTP/1.1 %d Unknown\r\n" % reply.status
    if "Content-Type" not in reply.headers:
        head += _JSON
    for name, value in reply.headers.items():
        head += f"{name}: {value}\r\n".encode()
    if close:
        head += _CLOSE
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Connection(BaseProtocol):
    """One client: its requests are answered in turn."""

    def __init__(
        self, handler: Handler, open_ones: set[Connection], kept_most: float = inf
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop, HttpRequestParser(self, loop, BODY_LIMIT, auto_decompress=False))
        self._handler = handler
        self._open = open_ones
        self._kept_most = kept_most
        self._queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._continued = False
        self.active_at = loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note a new connection."""
        super().connection_made(transport)
        self._open.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note its end."""
        # What was asked for is still carried out: only its answer has nowhere to go.
        super().connection_lost(exc)
        self._open.discard(self)
        self._queue.clear()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading, if reading was paused."""
        # The parser's streams call this with every body that is read, paused or not, and it
        # would come back here with the next request before this one is answered.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    @property
    def idle(self) -> bool:
        """Whether no request is being answered."""
        return self._task is None

    def shut(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and answer the requests that they complete."""
        if self.transport is None or self.transport.is_closing():
            return
        self.active_at = self._loop.time()
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            self._write(error_response(exc.code, "not HTTP as it should be"), close=True)
            return
        except Exception:
            log.debug("a request can't be read", exc_info=True)
            self._write(error_response(400, "not HTTP as it should be"), close=True)
            return
        if upgraded:
            self._write(error_response(400, "no other protocol is spoken here"), close=True)
            return
        self._queue.extend(messages)
        if len(self._queue) > QUEUE_MOST:
            self.shut()
            return
        self._serve()

    def _serve(self) -> None:
        """Answer what is complete, until something has to wait."""
        while self._queue and self._task is None and self.transport is not None:
            message, payload = self._queue[0]
            if self._reading_paused or self._too_long(message, payload):
                self._write(error_response(413, "body too large"), close=True)
                return
            if not payload.is_eof():
                if payload.exception() is not None:
                    self._write(error_response(400, "the body can't be read"), close=True)
                elif not self._continued and "Expect" in message.headers:
                    self._continued = True
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self._queue.popleft()
            self._continued = False
            request = Request(message.method, message.path, payload.read_nowait())
            try:
                found = self._handler(request)
            except Exception:
                found = _failed(request)
            if isinstance(found, Response):
                self._write(found, message.should_close)
            else:
                self._task = self._loop.create_task(
                    self._answer(request, found, message.should_close)
                )

    @staticmethod
    def _too_long(message: RawRequestMessage, payload: StreamReader) -> bool:
        if payload.total_bytes > BODY_LIMIT:
            return True
        length = message.headers.get("Content-Length", "")
        return length.isdigit() and int(length) > BODY_LIMIT

    async def _answer(self, request: Request, found: Awaitable[Response], close: bool) -> None:
        try:
            reply = await found
        except Exception:
            reply = _failed(request)
        self._task = None
        self._write(reply, close)
        self._serve()

    def _write(self, reply: Response, close: bool = False) -> None:
        if self.transport is None:
            return
        self.active_at = self._loop.time()
        # With a connection for each worker a fleet larger than the sockets would keep the
        # others out until their leases run out; so the connections of some are for one request.
        close = close or len(self._open) > self._kept_most
        try:
            raw = encode(reply, close)
        except Exception:
            log.exception("an answer can't be written")
            raw = encode(retry_later("internal"), close)
        self.transport.write(raw)
        if close:
            self._open.discard(self)
            self._queue.clear()
            self.transport.close()


def _failed(request: Request) -> Response:
    """Any failure inside becomes a 503 to retry."""
    log.exception("%s %s failed", request.method, request.path)
    return retry_later("internal")


class Server:
    """An address that is being served."""

    def __init__(self, server: asyncio.Server, sweeper: asyncio.Task[None]) -> None:
        self._server = server
        self._sweeper = sweeper

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The sockets that are listened on."""
        return self._server.sockets

    def close(self) -> None:
        """Take no more connections."""
        self._server.close()
        self._sweeper.cancel()


async def listen(
    addr: tuple[str, int],
    handler: Handler,
    idle_s: float = IDLE_S,
    sweep_s: float = SWEEP_S,
    sockets: int = 0,
) -> Server:
    """Serve `handler` on an address; `sockets` that the process may have, 0 if not known."""
    loop = asyncio.get_running_loop()
    open_ones: set[Connection] = set()
    kept_most = sockets * KEPT_SHARE if sockets else inf

    async def sweep() -> None:
        # Peers behind a cut never say that they are gone; their sockets count.
        while True:
            await asyncio.sleep(sweep_s)
            limit = loop.time() - idle_s
            for connection in [c for c in open_ones if c.idle and c.active_at < limit]:
                connection.shut()

    server = await loop.create_server(
        lambda: Connection(handler, open_ones, kept_most),
        addr[0],
        addr[1],
        reuse_address=True,
        backlog=512,
    )
    return Server(server, loop.create_task(sweep()))
