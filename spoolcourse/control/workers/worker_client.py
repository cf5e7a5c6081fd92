"""Calls to workers' own addresses. Every answer is the worker's heartbeat."""

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


async def fetch_heartbeat(net: HttpClient, address: str) -> Heartbeat:
    """What the worker heartbeats now; raises `NetError` or `MalformedError`."""
    reply = await net.call(address, "GET", paths.SHOW, timeout=TIMEOUT_S, keep=False)
    return parse(reply.data, Heartbeat)


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """A worker in one of its incarnations, at its address."""

    address: str
    number: int


async def raise_fencing_token(net: HttpClient, proof: FailoverProof, address: str) -> Heartbeat:
    """Tell a worker of the term, without commands; the worker's heartbeat."""
    found = await fetch_heartbeat(net, address)
    return await send_commands(net, proof, WorkerIncarnation(address, found.incarnation), [])


async def send_commands(
    net: HttpClient,
    proof: FailoverProof,
    incarnation: WorkerIncarnation,
    commands: list[Command],
    keep: bool = False,
) -> Heartbeat:
    """The worker's heartbeat after the commands, executed or refused.

    Raises `NetError` or `MalformedError`; the commands may then be executed late. `keep`: the
    connection may stay open.
    """
    request = CommandRequest(proof.fencing_token, incarnation.number, commands)
    body = to_json_object(request)
    reply = await net.call(
        incarnation.address, "POST", paths.COMMANDS, body, timeout=TIMEOUT_S, keep=keep
    )
    heartbeat = parse(reply.data, Heartbeat)
    if reply.status not in (EXECUTED, REFUSED):
        raise NoResponseError(f"{paths.COMMANDS}: status {reply.status}")
    return heartbeat
