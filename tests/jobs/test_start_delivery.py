"""Which evidence proves that a start can no longer take effect (docs/design.md)."""

from __future__ import annotations

import pytest

from spoolcourse.control.jobs.start_delivery import CallState, HeartbeatKind, StartDelivery
from spoolcourse.wire.identities import HeartbeatId

OWN, RETURNED = HeartbeatKind.OWN, HeartbeatKind.RETURNED_BY_CALL
ANSWERED_HEARTBEAT = HeartbeatId(1, 10)  # its response carries the start
CALLED_INCARNATION = 1


@pytest.mark.parametrize(
    ("kind", "heartbeat_id", "proves_end"),
    [
        (OWN, HeartbeatId(1, 10), False),  # the same heartbeat
        (OWN, HeartbeatId(1, 11), True),
        (OWN, HeartbeatId(2, 1), True),
        # The response may still be under way while the worker answers a call.
        (RETURNED, HeartbeatId(1, 11), False),
        (RETURNED, HeartbeatId(1, 99), False),
        (RETURNED, HeartbeatId(2, 1), True),
    ],
)
def test_a_start_in_a_response_ends_with_the_next_own_heartbeat_or_the_incarnation(
    kind: HeartbeatKind, heartbeat_id: HeartbeatId, proves_end: bool
) -> None:
    start = StartDelivery()
    start.sent_in_response(ANSWERED_HEARTBEAT)
    assert start.on_newer_heartbeat_without_attempt(heartbeat_id, kind) is proves_end
    assert start.may_take_effect is not proves_end


@pytest.mark.parametrize("kind", list(HeartbeatKind))
@pytest.mark.parametrize(
    ("state", "may_take_effect"),
    [
        (CallState.NOT_SENT, False),
        (CallState.IN_PROGRESS, True),
        (CallState.UNANSWERED, True),
        (CallState.ANSWERED, False),
    ],
)
def test_a_start_in_a_call_ends_with_its_answer_or_the_incarnation(
    kind: HeartbeatKind, state: CallState, may_take_effect: bool
) -> None:
    start = StartDelivery()
    start.call_begins(CALLED_INCARNATION)
    start.call_ends(state)
    assert start.may_take_effect is may_take_effect
    start.on_newer_heartbeat_without_attempt(HeartbeatId(CALLED_INCARNATION, 11), kind)
    assert start.may_take_effect is may_take_effect
    start.on_newer_heartbeat_without_attempt(HeartbeatId(CALLED_INCARNATION + 1, 1), kind)
    assert not start.may_take_effect
    assert not start.may_be_repeated


def test_a_call_that_ends_after_its_incarnation_leaves_nothing_behind() -> None:
    start = StartDelivery()
    start.call_begins(CALLED_INCARNATION)
    start.on_newer_heartbeat_without_attempt(HeartbeatId(CALLED_INCARNATION + 1, 1), OWN)
    start.call_ends(CallState.UNANSWERED)
    assert not start.may_take_effect


def test_the_answer_to_a_call_proves_nothing_about_a_response() -> None:
    start = StartDelivery()
    start.sent_in_response(ANSWERED_HEARTBEAT)
    start.call_begins(CALLED_INCARNATION)
    start.call_ends(CallState.ANSWERED)
    assert start.may_take_effect
    start.on_newer_heartbeat_without_attempt(HeartbeatId(1, 11), OWN)
    assert not start.may_take_effect
