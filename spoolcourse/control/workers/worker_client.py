"""Calls to workers' addresses (PROTOCOL, Controller nodes -> workers).

A worker responds to every call with its heartbeat. Unlike the response to a heartbeat, a call does
not renew the worker's lease.
"""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.wire import paths
from spoolcourse.wire.commands import Command, CommandRequest, to_json_object
from spoolcourse.wire.messages import Heartbeat, parse

CALL_TIMEOUT_S = 1.0
STATUS_EXECUTED = 200
STATUS_REFUSED = 409  # wrong fencing token or incarnation; nothing was executed


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """An incarnation of a worker, by its number, and the worker's address."""

    address: str
    number: int


async def fetch_heartbeat(http_client: HttpClient, address: str) -> Heartbeat:
    """Return the worker's current heartbeat.

    Raises:
        NoResponseError: The worker did not respond.
        MalformedError: The response is not a heartbeat.
    """
    response = await http_client.call(
        address, "GET", paths.WORKER_STATE, timeout_s=CALL_TIMEOUT_S, keep_alive=False
    )
    return parse(response.data, Heartbeat)


async def raise_fencing_token(
    http_client: HttpClient, proof: FailoverProof, address: str
) -> Heartbeat:
    """Announce the term's fencing token by a request without commands; return the heartbeat.

    Raises:
        NoResponseError: No valid response; the token may still be raised later.
        MalformedError: Likewise.
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
    keep_alive: bool = False,
) -> Heartbeat:
    """Send commands and return the worker's heartbeat, whether they were executed or refused.

    Raises:
        NotConnectedError: The commands were not sent, and are never executed.
        NoResponseError: No valid response; the commands may be executed later (PROTOCOL, Delayed
            messages).
        MalformedError: Likewise.
    """
    request = CommandRequest(proof.fencing_token, incarnation.number, commands)
    body = to_json_object(request)
    response = await http_client.call(
        incarnation.address,
        "POST",
        paths.COMMANDS,
        body,
        timeout_s=CALL_TIMEOUT_S,
        keep_alive=keep_alive,
    )
    heartbeat = parse(response.data, Heartbeat)
    if response.status not in (STATUS_EXECUTED, STATUS_REFUSED):
        raise NoResponseError(f"POST {paths.COMMANDS}: status {response.status}")
    return heartbeat
