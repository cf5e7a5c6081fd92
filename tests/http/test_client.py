"""The HTTP client on loopback: which failures prove that a request was not sent."""

from __future__ import annotations

import asyncio
import socket

import pytest

from spoolcourse.control.http_client import AiohttpClient, NoResponseError, NotConnectedError

TIMEOUT_S = 0.3


def bound_socket() -> socket.socket:
    """A socket on a free port that does not listen."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def address_of(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


async def failure_of_call(client: AiohttpClient, address: str) -> NoResponseError:
    with pytest.raises(NoResponseError) as failure:
        await client.call(address, "POST", "/orders", {}, timeout_s=TIMEOUT_S)
    return failure.value


def test_a_refused_connection_proves_that_the_request_was_not_sent() -> None:
    async def scenario() -> None:
        client = AiohttpClient()
        with bound_socket() as bound:
            assert isinstance(await failure_of_call(client, address_of(bound)), NotConnectedError)
        await client.close()

    asyncio.run(scenario())


def test_a_connection_attempt_that_hangs_proves_that_the_request_was_not_sent() -> None:
    async def scenario() -> None:
        client = AiohttpClient()
        with bound_socket() as bound:
            bound.listen(0)
            address = address_of(bound)
            waiting = [socket.create_connection(bound.getsockname())]  # fills the accept queue
            assert isinstance(await failure_of_call(client, address), NotConnectedError)
            for connection in waiting:
                connection.close()
        await client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("closes", [True, False])
def test_a_failure_after_the_connection_was_made_proves_nothing(closes: bool) -> None:
    async def scenario() -> None:
        connected = asyncio.Event()

        async def read_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connected.set()
            await reader.read(1)
            if closes:
                writer.transport.abort()
            else:
                await asyncio.sleep(2 * TIMEOUT_S)
                writer.close()

        server = await asyncio.start_server(read_only, "127.0.0.1", 0)
        client = AiohttpClient()
        error = await failure_of_call(client, address_of(server.sockets[0]))
        assert connected.is_set()
        assert not isinstance(error, NotConnectedError)
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_a_failure_on_a_reused_connection_proves_nothing() -> None:
    async def scenario() -> None:
        async def answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"{}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await reader.read(1)  # the second request, which gets no answer
            writer.transport.abort()

        server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        address = address_of(server.sockets[0])
        client = AiohttpClient()
        response = await client.call(address, "POST", "/orders", {}, timeout_s=TIMEOUT_S)
        assert response.status == 200
        assert not isinstance(await failure_of_call(client, address), NotConnectedError)
        await client.close()
        server.close()

    asyncio.run(scenario())
