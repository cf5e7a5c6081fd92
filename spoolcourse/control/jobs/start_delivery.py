"""Whether a start command of an attempt may still take effect: the evidence, in one place.

A start reaches a worker in two ways, and for each something else proves that it can no longer take
effect. The table of all cases is in docs/design.md, "Evidence on starts".

- In the response to one of the worker's own heartbeats. A worker has one own heartbeat in flight,
  and discards a response after its timeout or from an earlier incarnation (PROTOCOL, Workers ->
  controller nodes, Delayed messages). So the next own heartbeat is the evidence, or any heartbeat
  of a later incarnation.
- In a call to the worker's address. A call without an answer may be executed until the incarnation
  or the term ends, and a call that was executed may be delivered once more (PROTOCOL, Delayed
  messages). A worker ignores the copy as long as it lists the attempt.

What ends every start is not tracked here: an expired lease, a confirmed deletion of the machine, a
heartbeat under the next term's fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from spoolcourse.wire.identities import HeartbeatId


class HeartbeatKind(Enum):
    """How a heartbeat reached the leader."""

    OWN = "own"  # sent by the worker itself, possibly relayed: it had no other one in flight
    RETURNED_BY_CALL = "returned by call"  # a response to its own heartbeat may be under way


class CallState(Enum):
    """The state of the call that carries a start to a worker's address."""

    NOT_SENT = "not sent"  # no call yet, or none that got a connection
    IN_PROGRESS = "in progress"
    UNANSWERED = "unanswered"  # it may be executed at any later time
    ANSWERED = "answered"  # executed, or refused permanently


@dataclass(slots=True)
class StartDelivery:
    """The start commands that were sent for an attempt, and what is proven about them."""

    # The heartbeat whose response carried the start; None if there is none, or if that response is
    # proven to have no effect any more.
    response_to: HeartbeatId | None = None
    call_state: CallState = CallState.NOT_SENT
    call_incarnation: int = 0  # of the worker that was called

    @property
    def may_take_effect(self) -> bool:
        """Whether a start of which no effect was seen may still take effect."""
        return self.response_to is not None or self.call_may_take_effect

    @property
    def call_may_take_effect(self) -> bool:
        """Whether a call to the worker's address is in progress, or got no answer."""
        return self.call_state in (CallState.IN_PROGRESS, CallState.UNANSWERED)

    @property
    def is_lost(self) -> bool:
        """Whether a call got no answer, and no response that may arrive carries the start."""
        return self.call_state is CallState.UNANSWERED and self.response_to is None

    @property
    def may_be_repeated(self) -> bool:
        """Whether a copy of a call may start the attempt if the worker has forgotten it."""
        return self.call_state is not CallState.NOT_SENT

    def sent_in_response(self, heartbeat_id: HeartbeatId) -> None:
        """Record that the response to this heartbeat carries the start."""
        self.response_to = heartbeat_id

    def call_begins(self, incarnation: int) -> None:
        """Record that the start is sent to the address of a worker in this incarnation."""
        self.call_state = CallState.IN_PROGRESS
        self.call_incarnation = incarnation

    def call_ends(self, state: CallState) -> None:
        """Record how the call ended, unless its incarnation has ended before."""
        if self.call_state is CallState.IN_PROGRESS:
            self.call_state = state

    def on_newer_heartbeat_without_attempt(
        self, heartbeat_id: HeartbeatId, kind: HeartbeatKind
    ) -> bool:
        """Apply a newer heartbeat of the worker that does not list the attempt.

        Returns:
            Whether it proves that a response with the start had no effect.
        """
        if self.call_incarnation != heartbeat_id.incarnation:
            self.call_state = CallState.NOT_SENT  # the worker rejects calls to the former one
        if self.response_to is None or not _ends_response(self.response_to, heartbeat_id, kind):
            return False
        self.response_to = None
        return True


def _ends_response(
    response_to: HeartbeatId, heartbeat_id: HeartbeatId, kind: HeartbeatKind
) -> bool:
    """Whether a heartbeat proves that an earlier response took effect or never will."""
    if kind is HeartbeatKind.OWN:
        return heartbeat_id > response_to
    return heartbeat_id.incarnation > response_to.incarnation
