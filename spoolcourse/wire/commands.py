"""Commands to workers, and the answers to their heartbeats."""

from __future__ import annotations

from typing import Any

import msgspec


class Start(msgspec.Struct, frozen=True, tag_field="verb", tag="start"):
    """Start an attempt at a task. Without effect if the worker knows the attempt."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


class Stop(msgspec.Struct, frozen=True, tag_field="verb", tag="halt"):
    """Stop an attempt; with enough of a grace period it saves its progress first."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="windDownS")


class Acknowledge(msgspec.Struct, frozen=True, tag_field="verb", tag="reap"):
    """Forget an attempt that has ended: its end is known."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


Command = Start | Stop | Acknowledge


class CommandRequest(msgspec.Struct, frozen=True):
    """Commands sent to a worker's address.

    A worker in another incarnation refuses them, and so does one that has seen a higher fencing
    token.
    """

    fencing_token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="shift")
    commands: list[Command] = msgspec.field(name="orders")


class HeartbeatResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a heartbeat. Without a fencing token it renews no lease.

    `hears_no_worker` is for a follower that passed the heartbeat on: whether the leader gets no
    reports itself, so that the worker should stay with the follower.
    """

    commands: list[Command] = msgspec.field(name="orders")
    fencing_token: int | None = msgspec.field(name="baton", default=None)
    hears_no_worker: bool | None = msgspec.field(name="deaf", default=None)


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True):
    """Sends a worker to the leader, or, without a name, to the next controller."""

    leader: str | None = msgspec.field(name="foreman", default=None)


def to_json_object(message: msgspec.Struct) -> dict[str, Any]:
    """A message as a JSON object in the protocol's spelling."""
    found: dict[str, Any] = msgspec.to_builtins(message)
    return found
