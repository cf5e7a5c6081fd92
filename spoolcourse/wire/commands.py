"""Commands to workers, and the responses to their heartbeats.

The fencing token is the number of the leader's term; a worker rejects tokens lower than the highest
one it has seen. An incarnation is the numbered period in which a worker keeps its tasks: when its
lease expires, it ends all of them and begins the next incarnation.

Only the names and tags given to msgspec are in the protocol's spelling. A worker executes commands
in order. Commands are idempotent, except that a start after an acknowledgement starts the attempt
again (PROTOCOL, POST /v1/report).
"""

from __future__ import annotations

from typing import Any

import msgspec

MAX_COMMANDS_PER_MESSAGE = 300  # keeps a message well below 64 KiB


class Start(msgspec.Struct, frozen=True, tag_field="verb", tag="start"):
    """Start an attempt at a task. Has no effect while the worker knows the attempt."""

    task: str = msgspec.field(name="piece")  # "JOB/INDEX"; also in the next two
    attempt: int = msgspec.field(name="try")  # the attempt's number


class Stop(msgspec.Struct, frozen=True, tag_field="verb", tag="halt"):
    """Stop an attempt.

    With a grace period of at least the job's checkpoint cost, a running task with checkpoints saves
    its progress first. A grace period of 0 also ends a task that is saving.
    """

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="windDownS")


class Acknowledge(msgspec.Struct, frozen=True, tag_field="verb", tag="reap"):
    """Let the worker forget an ended attempt, so that its heartbeats no longer list it."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


Command = Start | Stop | Acknowledge


class CommandRequest(msgspec.Struct, frozen=True):
    """Commands sent to a worker's address (PROTOCOL, POST /orders).

    A worker of another incarnation rejects them, and so does one that has seen a higher fencing
    token. They do not renew the worker's lease.
    """

    fencing_token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="shift")
    commands: list[Command] = msgspec.field(name="orders")


class HeartbeatResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to a heartbeat. With a fencing token it renews the lease (PROTOCOL, Tokens).

    `receives_no_heartbeats` is set only for a follower that forwarded the heartbeat: whether the
    leader receives no heartbeats directly, so that the worker should keep sending to the follower.
    """

    commands: list[Command] = msgspec.field(name="orders")
    fencing_token: int | None = msgspec.field(name="baton", default=None)
    receives_no_heartbeats: bool | None = msgspec.field(name="deaf", default=None)


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True):
    """Redirects a worker to the leader or, without a label, to the next controller (status 421)."""

    leader: str | None = msgspec.field(name="foreman", default=None)  # the controller's label


def to_json_object(message: msgspec.Struct) -> dict[str, Any]:
    """A message as a JSON object in the protocol's spelling."""
    json_object: dict[str, Any] = msgspec.to_builtins(message)
    return json_object
