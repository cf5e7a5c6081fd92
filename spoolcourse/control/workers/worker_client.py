"""Calls to workers' own addresses (PROTOCOL, Controller nodes -> workers).

Every response is the worker's heartbeat. It renews no lease.
"""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.wire import paths
from spoolcourse.wire.commands import Command, CommandRequest, to_json_object
from spoolcourse.wire.messages import Heartbeat, parse

TIMEOUT_S = 1.0
EXECUTED = 200
REFUSED = 409  # for its fencing token or its incarnation; nothing was executed


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """A worker in one of its incarnations, at its address."""

    address: str
    number: int


async def fetch_heartbeat(http_client: HttpClient, address: str) -> Heartbeat:
    """The worker's current heartbeat.

    Raises:
        NoResponseError: the worker did not answer.
        MalformedError: its answer is no heartbeat.
    """
    response = await http_client.call(
        address, "GET", paths.SHOW, timeout_s=TIMEOUT_S, keep_alive=False
    )
    return parse(response.data, Heartbeat)


async def raise_fencing_token(
    http_client: HttpClient, proof: FailoverProof, address: str
) -> Heartbeat:
    """Make the term's fencing token known to a worker, without commands; its heartbeat.

    Raises `NoResponseError` or `MalformedError`; the token may then be raised late.
    """
    heartbeat = await fetch_heartbeat(http_client, address)
    return await send_commands(
        http_client, proof, WorkerIncarnation(address, heartbeat.incarnation), []
    )


async def send_commands(
    http_client: HttpClient,
    proof: FailoverProof,
    incarnation: WorkerIncarnation,
    commands: list[Command],
    keep: bool = False,
) -> Heartbeat:
    """The worker's heartbeat after the commands, whether they were executed or refused.

    `keep`: the connection may stay open. Raises `NoResponseError` or `MalformedError`; the commands
    may then be executed late (PROTOCOL, Delayed messages).
    """
    request = CommandRequest(proof.fencing_token, incarnation.number, commands)
    body = to_json_object(request)
    response = await http_client.call(
        incarnation.address, "POST", paths.COMMANDS, body, timeout_s=TIMEOUT_S, keep_alive=keep
    )
    heartbeat = parse(response.data, Heartbeat)
    if response.status not in (EXECUTED, REFUSED):
        raise NoResponseError(f"POST {paths.COMMANDS}: status {response.status}")
    return heartbeat
