"""HTTP for the stand-ins: servers with one handler for all paths, and a JSON client."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

Reply = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Reply]]


class ReservedAddress:
    """A free loopback address for another process; nobody else gets its port meanwhile.

    The port is bound but not listened on, so the other process can still listen on it.
    """

    def __init__(self) -> None:
        self._bound = socket.socket()
        self._bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bound.bind(("127.0.0.1", 0))

    def __str__(self) -> str:
        """The address."""
        return f"127.0.0.1:{self._bound.getsockname()[1]}"

    def release(self) -> None:
        """Free the port."""
        self._bound.close()


async def serve(handler: Handler) -> str:
    """Serve a handler of (method, path, query, body) on a free port; return the address."""

    async def handle(request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        body = json.loads(raw) if raw else None
        status, data = await handler(request.method, request.path, dict(request.query), body)
        return web.json_response(data, status=status)

    # What was received is carried out even if the client gives up meanwhile.
    runner = web.ServerRunner(web.Server(handle, access_log=None), handler_cancellation=False)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def compact_json(data: Any) -> str:
    """JSON without spaces."""
    return json.dumps(data, separators=(",", ":"))


class Client:
    """Sends requests; a request without a response has status 0."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(json_serialize=compact_json)

    async def call(
        self, address: str, method: str, path: str, body: Any = None, timeout_s: float = 2.0
    ) -> Reply:
        """Send a request and return status and body."""
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, f"http://{address}{path}", json=body) as response,
            ):
                return response.status, await response.json(content_type=None)
        except (TimeoutError, OSError, aiohttp.ClientError, ValueError):
            return 0, None

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
