"""HTTP client: a thin layer over aiohttp. The server is in `http_server`.

The rest of the package uses only `HttpClient`, `Request` and `Response`, so tests can substitute
an in-memory network.
"""

from __future__ import annotations

import asyncio
import math
import sys
import urllib.request  # noqa: F401  loads `ssl` before the block below hides it
from asyncio import selector_events
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, Protocol

import orjson

# All interfaces use plain HTTP. With `ssl`, importing aiohttp loads the system's certificates:
# a fifth of a controller's start-up time, during which workers' leases can expire.
_ssl = sys.modules.get("ssl")
sys.modules["ssl"] = None  # type: ignore[assignment]
try:
    import aiohttp
finally:
    if _ssl is None:
        del sys.modules["ssl"]
    else:
        sys.modules["ssl"] = _ssl

# asyncio allocates 256 KiB for each read, which takes three system calls (map, shrink, unmap)
# for every heartbeat. Messages are a few hundred bytes.
selector_events._SelectorTransport.max_size = 32 * 1024  # type: ignore[attr-defined]  # noqa: SLF001


MAX_CONNECTIONS_PER_HOST = 24
KEEP_ALIVE_TIMEOUT_S = 20.0
DEFAULT_TIMEOUT_S = 1.0
RETRY_AFTER_MAX_S = 30  # users wait no longer before they retry


class NoResponseError(Exception):
    """No response was received; the request may have been executed, or be executed later.

    The message contains the request and the reason.
    """


class NotConnectedError(NoResponseError):
    """No connection was made, so the request was not sent and is never executed.

    A connection attempt that was given up does not complete later (PROTOCOL, Delayed messages).
    """


@dataclass(frozen=True, slots=True)
class Response:
    """A response; `data` is its decoded JSON body or, on the server side, the value to encode."""

    status: int
    data: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its undecoded body."""

    method: str
    path: str  # with the query string
    body: bytes = b""


def error_response(status: int, reason: str) -> Response:
    """A response with the reason why a request failed."""
    return Response(status, {"error": reason})


def retry_later(reason: str, retry_after_s: float = 1.0) -> Response:
    """A 503 response with a `Retry-After` of 1 to 30 s."""
    seconds = max(1, min(RETRY_AFTER_MAX_S, math.ceil(retry_after_s)))
    return Response(503, {"error": reason}, {"Retry-After": str(seconds)})


class HttpClient(Protocol):
    """An HTTP client."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        keep_alive: bool = True,
    ) -> Response:
        """Send a request, and wait at most `timeout_s` seconds for the response.

        `keep_alive`: the connection may stay open for the next call to this address.

        Raises:
            NotConnectedError: There was no connection, so the request was not sent.
            NoResponseError: The request timed out, or the connection failed.
        """
        ...


# Request headers, by (request has a body, connection may stay open).
_HEADERS = {
    (has_body, keep_open): ({"Content-Type": "application/json"} if has_body else {})
    | ({} if keep_open else {"Connection": "close"})
    for has_body in (False, True)
    for keep_open in (False, True)
}


def _failure_reason(exc: Exception, timeout_s: float) -> str:
    if isinstance(exc, aiohttp.ClientConnectorError):
        return f"cannot connect: {exc.os_error.strerror}"
    if isinstance(exc, TimeoutError):
        return f"no answer within {timeout_s:g} s"
    return f"{type(exc).__name__}: {exc}"


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return orjson.dumps(body)


def _decode(response_body: bytes) -> Any:
    """The JSON value; None for an empty or non-JSON body."""
    try:
        return orjson.loads(response_body) if response_body else None
    except orjson.JSONDecodeError:
        return None


@dataclass(slots=True)
class _CallProgress:
    """How far a call has come; aiohttp's tracing reports it."""

    connected: bool = False  # a connection was opened or reused, so the request may be sent


def _connection_tracing() -> aiohttp.TraceConfig:
    """Return a tracing that records in a call's `_CallProgress` that it has a connection."""

    async def on_connected(
        _session: aiohttp.ClientSession, context: SimpleNamespace, _params: object
    ) -> None:
        context.trace_request_ctx.connected = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(on_connected)
    tracing.on_connection_reuseconn.append(on_connected)
    return tracing


class AiohttpClient:
    """An `HttpClient` with one pooled aiohttp session, opened on the first call."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # No limit over all hosts: calls to partitioned machines hang until they time out,
            # and a renewal of the leader's lease must never queue behind them. Callers with many
            # hosts limit their own concurrency (`call_limit`, `replica_probe`).
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=MAX_CONNECTIONS_PER_HOST,
                keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                trace_configs=[_connection_tracing()],
            )
        return self._session

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        keep_alive: bool = True,
    ) -> Response:
        """See `HttpClient.call`."""
        encoded_body = _encode(body)
        progress = _CallProgress()
        try:
            async with asyncio.timeout(timeout_s):
                async with self._open_session().request(
                    method,
                    f"http://{address}{path}",
                    data=encoded_body,
                    allow_redirects=False,
                    headers=_HEADERS[encoded_body is not None, keep_alive],
                    trace_request_ctx=progress,
                ) as response:
                    response_body = await response.read()
                    return Response(response.status, _decode(response_body), dict(response.headers))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            reason = _failure_reason(exc, timeout_s)
            error = NoResponseError if progress.connected else NotConnectedError
            raise error(f"{method} {address}{path}: {reason}") from exc

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
