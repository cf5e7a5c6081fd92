"""HTTP/1.1 on loopback for the stand-ins: a small server, a small client, and free ports."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

# Returns status and body. `NO_ANSWER`: the connection stays silent until the caller gives up.
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any]]]
NO_ANSWER = (0, None)
SILENCE_S = 60.0


class NoAnswerError(Exception):
    """A request got no answer."""


def free_port_socket() -> socket.socket:
    """Bind a socket to a free port of 127.0.0.1, without listening."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_of(bound: socket.socket) -> str:
    """Return HOST:PORT of a socket."""
    return f"127.0.0.1:{bound.getsockname()[1]}"


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves one handler on one address; requests of a connection are answered in order."""

    def __init__(self, handler: Handler, keep_alive: bool = True) -> None:
        self.socket = free_port_socket()
        self.address = address_of(self.socket)
        self._handler = handler
        self._keep_alive = keep_alive
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, sock=self.socket, limit=2**20)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, data = await self._handler(method, path, json.loads(body) if body else None)
                if (status, data) == NO_ANSWER:
                    await asyncio.wait_for(reader.read(1), SILENCE_S)
                    return
                close = not self._keep_alive or headers.get("connection", "").lower() == "close"
                raw = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"{'Connection: close' if close else 'Connection: keep-alive'}\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
                if close:
                    return
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            return  # the case is over
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()


async def call(
    address: str, method: str, path: str, body: Any = None, timeout: float = 5.0
) -> tuple[int, Any]:
    """Send one request on a new connection and return status and decoded body."""
    host, _, port = address.rpartition(":")
    raw = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
                + raw
            )
            first, _, answer = await _read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
    except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError) as exc:
        raise NoAnswerError(f"{method} {path}: {exc!r}") from exc
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
