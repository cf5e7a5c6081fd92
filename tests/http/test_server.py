"""The HTTP server on loopback: fragmented, oversized, malformed and concurrent requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from spoolcourse.control.http_client import AiohttpClient, Request, Response
from spoolcourse.control.http_server import listen
from spoolcourse.wire.messages import MAX_BODY_BYTES

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def respond_later(request: Request) -> Response:
    await asyncio.sleep(0)
    return Response(201, {"path": request.path})


async def never_respond(request: Request) -> Response:
    await asyncio.Event().wait()
    return Response(200)


def handler(request: Request) -> Response | Awaitable[Response]:
    if request.path == "/broken":
        raise RuntimeError("injected failure")
    if request.path == "/never":
        return never_respond(request)
    if request.path == "/later":
        return respond_later(request)
    return Response(200, {"len": len(request.body)}, {"Retry-After": "2"})


def serve(scenario: Any, **options: Any) -> None:
    async def main() -> None:
        server = await listen(("127.0.0.1", 0), handler, **options)
        try:
            async with asyncio.timeout(10):
                await scenario(await asyncio.open_connection(*server.sockets[0].getsockname()))
        finally:
            server.close()

    asyncio.run(main())


def post_request(path: str, body: bytes) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    status = int((await reader.readline()).split()[1])
    length = 0
    while (line := await reader.readline()).strip():
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return status, await reader.readexactly(length)


def test_fragmented_and_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(streams: Streams) -> None:
        reader, writer = streams
        for byte in post_request("/a", b"{}"):
            writer.write(bytes([byte]))  # one byte at a time
            await writer.drain()
        assert await read_response(reader) == (200, b'{"len":2}')
        # Pipelined requests: a delayed response is not overtaken by later ones.
        writer.write(
            post_request("/later", b"") + post_request("/a", b"xyz") + post_request("/broken", b"")
        )
        assert await read_response(reader) == (201, b'{"path":"/later"}')
        assert await read_response(reader) == (200, b'{"len":3}')
        assert (await read_response(reader))[0] == 503  # and the connection stays open

    serve(scenario)


def test_a_body_above_the_limit_is_rejected_before_it_is_read() -> None:
    async def with_content_length(streams: Streams) -> None:
        reader, writer = streams
        writer.write(post_request("/a", b"x" * MAX_BODY_BYTES))
        assert (await read_response(reader))[0] == 200
        head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n"
        writer.write(head.encode())
        assert (await read_response(reader))[0] == 413

    async def in_chunks(streams: Streams) -> None:
        reader, writer = streams
        writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"x" * 8192
        for _ in range(MAX_BODY_BYTES // len(chunk) + 1):
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        assert (await read_response(reader))[0] == 413

    serve(with_content_length)
    serve(in_chunks)


def test_malformed_http_is_answered_400_and_the_connection_closed() -> None:
    async def scenario(streams: Streams) -> None:
        reader, writer = streams
        writer.write(b"what is this?\r\n\r\n")
        assert (await read_response(reader))[0] == 400
        assert await reader.read() == b""

    serve(scenario)


def test_idle_connections_are_closed() -> None:
    # A client behind a network partition never closes its connection, and sockets are limited:
    # after the partition of a zone, hundreds of workers would hold one on each of two controllers.
    async def scenario(streams: Streams) -> None:
        reader, writer = streams
        writer.write(post_request("/a", b""))
        assert (await read_response(reader))[0] == 200
        assert await reader.read() == b""

    serve(scenario, idle_timeout_s=0.05, sweep_period_s=0.02)


def test_a_call_does_not_wait_for_hundreds_of_hanging_calls() -> None:
    # Calls to machines behind a network partition hang until they time out. With one connection
    # limit for all hosts, the renewal of the leader's lease queued behind them.
    async def main() -> None:
        server = await listen(("0.0.0.0", 0), handler)
        port = server.sockets[0].getsockname()[1]
        http_client = AiohttpClient()

        tasks = [
            asyncio.create_task(
                http_client.call(f"127.0.1.{number}:{port}", "GET", "/never", timeout_s=30)
            )
            for number in range(1, 13)
            for _ in range(20)
        ]
        await asyncio.sleep(0)
        response = await http_client.call(f"127.0.0.1:{port}", "GET", "/a", timeout_s=5.0)
        assert response.status == 200
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await http_client.close()
        server.close()

    asyncio.run(main())


def test_connections_beyond_the_keep_alive_share_close_after_their_responses() -> None:
    # A controller with fewer sockets than workers ran out of them by keeping a connection for
    # each worker: the other workers could not connect, and their leases expired.
    async def scenario(first: Streams) -> None:
        address = first[1].get_extra_info("peername")
        clients = [first, *[await asyncio.open_connection(*address) for _ in range(9)]]
        for _, writer in clients:
            writer.write(post_request("/report", b"{}"))
        assert [(await read_response(reader))[0] for reader, _ in clients] == [200] * 10
        closed = [await _is_closed(reader) for reader, _ in clients]
        assert closed.count(False) == 6, (
            "the connections kept alive leave sockets for other clients"
        )
        for _, writer in clients:
            writer.close()

    serve(scenario, max_sockets=10)


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(0.05):
            return await reader.read() == b""
    except TimeoutError:
        return False
