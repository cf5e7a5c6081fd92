"""Calls to other hosts: a thin layer over aiohttp. The server side is in `server`.

The slices see only `Net`, `Request` and `Reply`, so tests put in-memory fakes in place.
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
selector_events._SelectorTransport.max_size = 32 * 1024  # type: ignore[attr-defined]


CONNECTIONS_PER_HOST = 24
KEEPALIVE_S = 20.0
RETRY_AFTER_MAX_S = 30  # users wait no longer than that


class NoResponseError(Exception):
    """No answer. The request may have been carried out, or may still be."""


@dataclass(frozen=True, slots=True)
class Response:
    """An answer; `data` is decoded JSON or, on the server side, what is to be encoded."""

    status: int
    data: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it came, with its body undecoded."""

    method: str
    path: str
    body: bytes = b""


def error_response(status: int, why: str) -> Response:
    """An answer that says why a request is not carried out."""
    return Response(status, {"error": why})


def retry_later(why: str, after: float = 1.0) -> Response:
    """An answer that says when to come back.

    30 s is the longest that counts.
    """
    seconds = max(1, min(RETRY_AFTER_MAX_S, math.ceil(after)))
    return Response(503, {"error": why}, {"Retry-After": str(seconds)})


class HttpClient(Protocol):
    """Calls to other hosts."""

    async def call(
        self,
        addr: str,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 1.0,
        keep: bool = True,
    ) -> Response:
        """`keep`: the connection may stay open for the next call to this address."""
        ...


_HEADERS = {
    (body, keep): ({"Content-Type": "application/json"} if body else {})
    | ({} if keep else {"Connection": "close"})
    for body in (False, True)
    for keep in (False, True)
}


def _reason(exc: Exception, timeout: float) -> str:
    if isinstance(exc, aiohttp.ClientConnectorError):
        return f"cannot connect: {exc.os_error.strerror}"
    if isinstance(exc, TimeoutError):
        return f"no answer within {timeout:g} s"
    return f"{type(exc).__name__}: {exc}"


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return orjson.dumps(body)


class AiohttpClient:
    """The network as it is: one pooled client session."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            # No limit for all hosts together: calls to machines behind a cut hang until they
            # time out, and a renewal of the leader's lease must never queue behind them. Who
            # calls many hosts at once bounds that itself (`command_dispatcher`, `machine_list`).
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
        addr: str,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 1.0,
        keep: bool = True,
    ) -> Response:
        """Call a host; raises `NetError` if it does not answer in time."""
        raw = _encode(body)
        try:
            async with asyncio.timeout(timeout):
                async with self._client().request(
                    method,
                    f"http://{addr}{path}",
                    data=raw,
                    allow_redirects=False,
                    headers=_HEADERS[raw is not None, keep],
                ) as resp:
                    text = await resp.read()
                    try:
                        data = orjson.loads(text) if text else None
                    except orjson.JSONDecodeError:
                        data = None
                    return Response(resp.status, data, dict(resp.headers))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            raise NoResponseError(f"{method} {addr}{path}: {_reason(exc, timeout)}") from exc

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
