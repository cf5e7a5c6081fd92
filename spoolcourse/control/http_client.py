"""Calls to other hosts: a thin layer over aiohttp. The server side is in `http_server`.

The rest of the package sees only `HttpClient`, `Request` and `Response`, so tests put an
in-memory network in place.
"""

from __future__ import annotations

import asyncio
import math
import sys
import urllib.request  # noqa: F401  with `ssl`: what comes below must not leave it without
from asyncio import selector_events
from dataclasses import dataclass, field
from typing import Any, Protocol

import orjson

# All interfaces speak plain HTTP. With `ssl`, aiohttp reads the system's certificates when
# it is imported: a fifth of a controller's start, in which workers' leases may run out.
_ssl = sys.modules.get("ssl")
sys.modules["ssl"] = None  # type: ignore[assignment]
try:
    import aiohttp
finally:
    if _ssl is None:
        del sys.modules["ssl"]
    else:
        sys.modules["ssl"] = _ssl

# asyncio asks for 256 KiB with each read. Memory of that size is mapped, shrunk and unmapped
# again by the kernel: three calls for every heartbeat, and messages are of a few hundred bytes.
selector_events._SelectorTransport.max_size = 32 * 1024  # type: ignore[attr-defined]  # noqa: SLF001


CONNECTIONS_PER_HOST = 24
KEEPALIVE_S = 20.0
DEFAULT_TIMEOUT_S = 1.0
RETRY_AFTER_MAX_S = 30  # users wait no longer than that


class NoResponseError(Exception):
    """No response. The request may have been carried out, or may still be.

    The message names the request and the reason.
    """


@dataclass(frozen=True, slots=True)
class Response:
    """A response; `data` is decoded JSON or, on the server side, what is to be encoded."""

    status: int
    data: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it came, with its body undecoded."""

    method: str
    path: str  # with the query
    body: bytes = b""


def error_response(status: int, reason: str) -> Response:
    """A response that says why a request is not carried out."""
    return Response(status, {"error": reason})


def retry_later(reason: str, retry_after_s: float = 1.0) -> Response:
    """A 503 response that says when to try again, after 1 to 30 s."""
    seconds = max(1, min(RETRY_AFTER_MAX_S, math.ceil(retry_after_s)))
    return Response(503, {"error": reason}, {"Retry-After": str(seconds)})


class HttpClient(Protocol):
    """Calls to other hosts."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        keep_alive: bool = True,
    ) -> Response:
        """Call a host, and wait at most `timeout_s` seconds for its response.

        `keep_alive`: the connection may stay open for the next call to this address.

        Raises:
            NoResponseError: There is no response in time, or the connection failed.
        """
        ...


# By whether there is a body, and whether the connection may stay open.
_HEADERS = {
    (has_body, keep): ({"Content-Type": "application/json"} if has_body else {})
    | ({} if keep else {"Connection": "close"})
    for has_body in (False, True)
    for keep in (False, True)
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


def _decode(text: bytes) -> Any:
    """The JSON value; None for an empty body or one that is not JSON."""
    try:
        return orjson.loads(text) if text else None
    except orjson.JSONDecodeError:
        return None


class AiohttpClient:
    """An `HttpClient` with one pooled aiohttp session, opened at the first call."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # No limit for all hosts together: calls to machines behind a cut hang until they
            # time out, and a renewal of the leader's lease must never queue behind them. Callers
            # with many hosts limit that themselves (`command_dispatcher`, `machine_list`).
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=CONNECTIONS_PER_HOST,
                keepalive_timeout=KEEPALIVE_S,
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
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
        raw = _encode(body)
        try:
            async with asyncio.timeout(timeout_s):
                async with self._open_session().request(
                    method,
                    f"http://{address}{path}",
                    data=raw,
                    allow_redirects=False,
                    headers=_HEADERS[raw is not None, keep_alive],
                ) as response:
                    text = await response.read()
                    return Response(response.status, _decode(text), dict(response.headers))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            reason = _failure_reason(exc, timeout_s)
            raise NoResponseError(f"{method} {address}{path}: {reason}") from exc

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
