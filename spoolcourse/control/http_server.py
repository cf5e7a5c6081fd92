"""HTTP server: listens on an address and closes idle connections.

Requests are parsed and answered in `http_connection`.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any

from spoolcourse.control.http_connection import Connection, Handler

IDLE_TIMEOUT_S = 30.0  # users and workers send every few seconds; peers close after 20 s
IDLE_SWEEP_PERIOD_S = 5.0
BACKLOG = 512  # connections that wait to be accepted
# Share of the process' sockets; with more open connections, each serves one request only.
KEEP_ALIVE_SOCKET_SHARE = 0.65


class HttpServer:
    """A listening server, with the task that closes its idle connections."""

    def __init__(self, server: asyncio.Server, idle_sweep_task: asyncio.Task[None]) -> None:
        self._server = server
        self._idle_sweep_task = idle_sweep_task

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The listening sockets."""
        return self._server.sockets

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()
        self._idle_sweep_task.cancel()


async def _close_idle_connections(
    connections: set[Connection], idle_timeout_s: float, sweep_period_s: float
) -> None:
    """Close connections idle for `idle_timeout_s`, every `sweep_period_s`, until cancelled.

    Partitioned clients never close their connections, which still use up sockets.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(sweep_period_s)
        idle_cutoff = loop.time() - idle_timeout_s
        for connection in [c for c in connections if c.idle and c.last_active_at < idle_cutoff]:
            connection.close()


async def listen(
    address: tuple[str, int],
    handler: Handler,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    sweep_period_s: float = IDLE_SWEEP_PERIOD_S,
    max_sockets: int = 0,
) -> HttpServer:
    """Serve `handler` on an address.

    `max_sockets`: the process' socket limit; 0 if it is unknown.

    Raises:
        OSError: Listening on the address failed.
    """
    loop = asyncio.get_running_loop()
    connections: set[Connection] = set()
    max_keep_alive_connections = max_sockets * KEEP_ALIVE_SOCKET_SHARE if max_sockets else inf
    server = await loop.create_server(
        lambda: Connection(handler, connections, max_keep_alive_connections),
        *address,
        reuse_address=True,
        backlog=BACKLOG,
    )
    idle_sweep_task = loop.create_task(
        _close_idle_connections(connections, idle_timeout_s, sweep_period_s)
    )
    return HttpServer(server, idle_sweep_task)
