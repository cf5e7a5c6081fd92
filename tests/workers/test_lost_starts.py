"""Starts that got no answer: when the attempt is released, and which commands the worker gets."""

from __future__ import annotations

import pytest

from spoolcourse.control.jobs.model import Attempt
from spoolcourse.control.jobs.start_delivery import CallState
from spoolcourse.control.workers.direct_commands import MAX_ATTEMPTS_NOT_ACKNOWLEDGED
from spoolcourse.control.workers.machine import INEFFECTIVE_RESPONSES_UNTIL_UNRESPONSIVE
from spoolcourse.wire.commands import MAX_COMMANDS_PER_MESSAGE
from tests.fakes.registry import RegistryHarness, task_entry

START = {"verb": "start", "piece": "job-000001/0", "try": 1}
STOP = {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}


def harness_after_call(state: CallState) -> tuple[RegistryHarness, Attempt]:
    """A machine with an attempt whose direct start ended in this state."""
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    machine = harness.registry.machines["m-1"]
    assert harness.registry.direct_commands.claim_starts(machine) == [attempt]
    attempt.start.call_ends(state)
    return harness, attempt


def test_an_attempt_whose_call_was_never_sent_is_released_at_once() -> None:
    harness, attempt = harness_after_call(CallState.NOT_SENT)
    harness.registry.end_attempt(attempt)
    assert not harness.job_state.attempts


def test_an_attempt_whose_call_was_not_answered_is_started_and_stopped_to_end_it() -> None:
    # It stayed assigned for good, and its room with it: a stopped attempt got no further start, so
    # that no heartbeat could ever list it.
    harness, attempt = harness_after_call(CallState.UNANSWERED)
    harness.registry.end_attempt(attempt)
    assert harness.job_state.attempts, "released, although the call may still be executed"
    assert harness.heartbeat() == [START, STOP]
    assert harness.heartbeat() == [START, STOP], "not repeated, although it had no effect"
    ended = task_entry(stage="ended", cause="halted")
    assert harness.heartbeat(ended) == [], "acknowledged, although the call may still be executed"
    assert not harness.job_state.attempts
    assert harness.heartbeat(ended) == []


@pytest.mark.parametrize("state", [CallState.IN_PROGRESS, CallState.ANSWERED])
def test_no_start_is_sent_for_a_stopped_attempt_unless_its_call_failed(state: CallState) -> None:
    harness, attempt = harness_after_call(state)
    harness.registry.request_stop(attempt)
    assert harness.heartbeat() == []


def test_a_lost_start_of_a_cancelled_job_is_never_sent_again() -> None:
    harness, attempt = harness_after_call(CallState.UNANSWERED)
    harness.job_state.record.cancelled_at = 100.0
    harness.registry.end_attempt(attempt)
    assert harness.heartbeat() == [STOP]
    assert harness.job_state.attempts, "released, although the call may still be executed"


def test_a_lost_start_is_sent_only_under_a_valid_lease() -> None:
    harness, attempt = harness_after_call(CallState.UNANSWERED)
    harness.registry.end_attempt(attempt)
    harness.lease_valid = False
    assert harness.heartbeat() == []


def test_a_message_that_is_full_never_has_a_start_without_its_stop() -> None:
    harness = RegistryHarness(pieces=MAX_COMMANDS_PER_MESSAGE, vcpus=0.01)
    harness.heartbeat()
    attempts = [harness.assign(task) for task in range(MAX_COMMANDS_PER_MESSAGE)]
    machine = harness.registry.machines["m-1"]
    assert harness.registry.direct_commands.claim_starts(machine) == attempts
    for attempt in attempts:
        attempt.start.call_ends(CallState.UNANSWERED)
    for attempt in attempts[1:]:
        harness.registry.end_attempt(attempt)
    commands = harness.heartbeat() or []
    started = [c["piece"] for c in commands if c["verb"] == "start"]
    stopped = [c["piece"] for c in commands if c["verb"] == "halt"]
    assert len(commands) == MAX_COMMANDS_PER_MESSAGE
    assert started == stopped


def test_the_answer_to_a_call_does_not_prove_a_response_lost() -> None:
    # The response with the start was still under way: its task was started on another machine, and
    # ran on both.
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    assert harness.heartbeat() == [START]
    harness.registry.end_attempt(attempt)
    harness.observe()
    harness.observe()
    assert harness.job_state.attempts, "released, although the response may still arrive"
    harness.heartbeat()
    assert not harness.job_state.attempts


def test_a_refused_heartbeat_proves_a_response_lost() -> None:
    # The worker sends its next heartbeat only after it has given up the response to the former one.
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    assert harness.heartbeat() == [START]
    harness.registry.end_attempt(attempt)
    harness.refuse()
    assert not harness.job_state.attempts


def test_answers_to_calls_do_not_make_a_machine_unresponsive() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    assert harness.heartbeat() == [START]
    machine = harness.registry.machines["m-1"]
    for _ in range(INEFFECTIVE_RESPONSES_UNTIL_UNRESPONSIVE):
        harness.observe()
    assert machine.ineffective_responses == 0
    for _ in range(INEFFECTIVE_RESPONSES_UNTIL_UNRESPONSIVE):
        assert not machine.is_unresponsive
        harness.heartbeat()
    assert machine.is_unresponsive


def test_the_list_of_attempts_that_are_not_acknowledged_is_bounded() -> None:
    # Each of them stays in the machine's heartbeats, which may not pass 64 KiB.
    harness = RegistryHarness(pieces=MAX_ATTEMPTS_NOT_ACKNOWLEDGED + 50, vcpus=0.01)
    harness.heartbeat()
    machine = harness.registry.machines["m-1"]
    ended: list[dict[str, object]] = []
    sent_by_call = 0
    for task in range(MAX_ATTEMPTS_NOT_ACKNOWLEDGED + 50):
        attempt = harness.assign(task)
        sent_by_call += bool(harness.registry.direct_commands.claim_starts(machine))
        attempt.start.call_ends(CallState.ANSWERED)
        assert len(harness.heartbeat(*ended) or []) == 1, "the start is not in the response"
        listed = task_entry(task, stage="ended", cause="halted")
        acknowledged = harness.heartbeat(*ended, listed)
        if not acknowledged:
            ended.append(listed)
    assert len(machine.attempts_not_to_acknowledge) == MAX_ATTEMPTS_NOT_ACKNOWLEDGED
    assert len(ended) == sent_by_call == MAX_ATTEMPTS_NOT_ACKNOWLEDGED
