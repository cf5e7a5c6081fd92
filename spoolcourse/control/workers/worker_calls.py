"""Calls to workers' own addresses. Every answer is the worker's report."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.http_client import Net, NetError
from spoolcourse.control.leadership.failover_proof import TakeoverProof
from spoolcourse.wire import paths
from spoolcourse.wire.commands import Command, CommandRequest, to_json_object
from spoolcourse.wire.messages import Report, parse

TIMEOUT_S = 1.0
EXECUTED = 200
REFUSED = 409  # for its fencing token or its session; nothing was executed


async def fetch_report(net: Net, address: str) -> Report:
    """What the worker reports now; raises `NetError` or `MalformedError`."""
    reply = await net.call(address, "GET", paths.SHOW, timeout=TIMEOUT_S, keep=False)
    return parse(reply.data, Report)


@dataclass(frozen=True, slots=True)
class WorkerSession:
    """A worker in one of its sessions, at its address."""

    address: str
    number: int


async def raise_token(net: Net, proof: TakeoverProof, address: str) -> Report:
    """Tell a worker of the term, without commands; the worker's report."""
    found = await fetch_report(net, address)
    return await send_commands(net, proof, WorkerSession(address, found.session), [])


async def send_commands(
    net: Net,
    proof: TakeoverProof,
    session: WorkerSession,
    commands: list[Command],
    keep: bool = False,
) -> Report:
    """The worker's report after the commands, executed or refused.

    Raises `NetError` or `MalformedError`; the commands may then be executed late. `keep`: the
    connection may stay open.
    """
    request = CommandRequest(proof.fencing_token, session.number, commands)
    body = to_json_object(request)
    reply = await net.call(
        session.address, "POST", paths.COMMANDS, body, timeout=TIMEOUT_S, keep=keep
    )
    report = parse(reply.data, Report)
    if reply.status not in (EXECUTED, REFUSED):
        raise NetError(f"{paths.COMMANDS}: status {reply.status}")
    return report
