"""An HTTP server: it listens on an address, and closes connections that are idle for long.

How requests are read and answered is in `http_connection`.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any

from spoolcourse.control.http_connection import Connection, Handler

IDLE_S = 30.0  # users and workers ask every few seconds; peers let go after 20 s themselves
SWEEP_S = 5.0
BACKLOG = 512
KEEP_ALIVE_SHARE = 0.65  # of the process' sockets: beyond it connections end with their answers


class HttpServer:
    """An address that is being served."""

    def __init__(self, server: asyncio.Server, sweeper: asyncio.Task[None]) -> None:
        self._server = server
        self._sweeper = sweeper

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The sockets that are listened on."""
        return self._server.sockets

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()
        self._sweeper.cancel()


async def _close_idle(connections: set[Connection], idle_s: float, sweep_s: float) -> None:
    """Close connections without a request for `idle_s`, every `sweep_s`, until cancelled.

    Peers behind a cut never say that they are gone; their sockets count.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(sweep_s)
        idle_since = loop.time() - idle_s
        for connection in [c for c in connections if c.idle and c.active_at < idle_since]:
            connection.close()


async def listen(
    address: tuple[str, int],
    handler: Handler,
    idle_s: float = IDLE_S,
    sweep_s: float = SWEEP_S,
    sockets: int = 0,
) -> HttpServer:
    """Serve `handler` on an address.

    `sockets`: how many the process may have; 0 if that is not known.

    Raises:
        OSError: The address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    connections: set[Connection] = set()
    keep_alive_max = sockets * KEEP_ALIVE_SHARE if sockets else inf
    server = await loop.create_server(
        lambda: Connection(handler, connections, keep_alive_max),
        *address,
        reuse_address=True,
        backlog=BACKLOG,
    )
    sweeper = loop.create_task(_close_idle(connections, idle_s, sweep_s))
    return HttpServer(server, sweeper)
