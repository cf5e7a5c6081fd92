"""What heartbeats prove about attempts, and which commands workers get."""

from __future__ import annotations

import pytest

from spoolcourse.control.jobs.model import AttemptStage
from spoolcourse.control.jobs.start_delivery import CallState
from spoolcourse.control.store.records import Assignment, Progress
from spoolcourse.wire.messages import MalformedError, parse_heartbeat
from tests.fakes.registry import TERM, RegistryHarness, task_entry

START = {"verb": "start", "piece": "job-000001/0", "try": 1}
REAP = {"verb": "reap", "piece": "job-000001/0", "try": 1}


def test_a_start_is_sent_after_its_write_and_only_under_a_valid_lease() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign(persisted=False)
    assert harness.heartbeat() == []
    harness.mark_persisted()
    harness.lease_valid = False
    assert harness.heartbeat() == []
    harness.lease_valid = True
    assert harness.heartbeat() == [START]


def test_a_start_is_repeated_until_seen_and_a_late_heartbeat_proves_nothing() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    assert harness.heartbeat() == [START]
    assert harness.heartbeat(tick=1) is None, "a late copy of a heartbeat was processed"
    harness.sequence -= 1
    assert attempt.start.response_to == (1, 2)
    assert harness.heartbeat() == [START], "the start is not repeated, although it never arrived"
    assert harness.heartbeat(task_entry()) == []
    assert attempt.stage is AttemptStage.RUNNING


def test_a_heartbeat_under_an_older_fencing_token_confirms_nothing() -> None:
    harness = RegistryHarness()
    attempt = harness.job_queue.adopt(harness.job_state, 0, "m-1", 1, harness.now)
    harness.registry.track_attempt(attempt)
    assert harness.heartbeat(baton=TERM - 1) == []
    assert harness.job_state.attempts, (
        "dropped, although the former leader's start may still arrive"
    )
    harness.heartbeat()
    assert not harness.job_state.attempts
    assert harness.job_state.pending_count == 4


def test_a_result_is_acknowledged_only_when_it_is_durable() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.heartbeat()
    assert harness.heartbeat(task_entry(stage="ended", cause="done")) == []
    assert harness.job_state.done_count == 1
    assert not harness.job_state.attempts
    harness.mark_persisted()
    assert harness.heartbeat(task_entry(stage="ended", cause="done")) == [REAP]


@pytest.mark.parametrize("cause", ["halted", "error", "no_room", "in_use", "no_such"])
def test_an_ended_attempt_frees_its_task(cause: str) -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.heartbeat()
    commands = harness.heartbeat(task_entry(stage="ended", cause=cause))
    assert commands == [REAP]
    assert harness.job_state.pending_count == 4
    assert next(harness.job_state.assignable_tasks()) == 0
    assert ("m-1" in harness.job_state.avoided_machines) == (cause == "error")


def test_a_new_incarnation_means_the_old_tasks_are_gone() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.heartbeat()
    harness.heartbeat(task_entry())
    harness.heartbeat(shift=2, tick=1)
    assert not harness.job_state.attempts
    assert harness.job_state.pending_count == 4


def test_only_expiry_of_a_lease_renewed_by_this_leader_alone_proves_an_end() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.heartbeat(task_entry())
    harness.now += 10.5
    harness.registry.expire_leases()
    assert harness.job_state.attempts, "expired although clock drift and margin have not passed yet"
    harness.now += 1.0
    harness.registry.expire_leases()
    assert not harness.job_state.attempts
    # Another leader may renew the lease of a machine that has not reported our fencing token.
    other_harness = RegistryHarness()
    other_harness.heartbeat(baton=TERM - 1)
    other_harness.registry.track_attempt(
        other_harness.job_queue.adopt(other_harness.job_state, 0, "m-1", 1, other_harness.now)
    )
    other_harness.now += 100.0
    other_harness.registry.expire_leases()
    assert other_harness.job_state.attempts


def test_a_cancelled_job_is_stopped_and_never_started() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign(0)
    harness.heartbeat()
    harness.heartbeat(task_entry())
    harness.assign(1, 2)
    harness.job_state.record.cancelled_at = 100.0
    assert harness.heartbeat(task_entry()) == [
        {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}
    ]
    assert harness.heartbeat(task_entry(stage="ended", cause="halted")) == [REAP]


def test_an_attempt_of_an_unknown_job_is_stopped_and_one_of_a_free_task_is_adopted() -> None:
    harness = RegistryHarness()
    stray = {"piece": "job-000009/0", "try": 3, "stage": "running"}
    assert harness.heartbeat(stray) == [
        {"verb": "halt", "piece": "job-000009/0", "try": 3, "windDownS": 0.0}
    ]
    harness.heartbeat(task_entry(2, 44))
    assert harness.job_state.attempts[2].number == 44


def test_a_heartbeat_that_arrives_after_its_machine_was_deleted_changes_nothing() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.registry.forget_deleted_machine("m-1")
    assert harness.job_state.pending_count == 4
    assert harness.heartbeat(task_entry()) is None
    assert not harness.job_state.attempts


def test_malformed_heartbeats_are_refused() -> None:
    for raw in (b"", b"[]", b'{"spindle":"m-1"}', b"\xff"):
        with pytest.raises(MalformedError):
            parse_heartbeat(raw)


def test_progress_is_unchanged_after_encoding_and_decoding() -> None:
    progress = Progress(0b1011, {2: Assignment("m-000001", 9)})
    assert Progress.from_value(progress.value()) == progress


def test_a_start_sent_by_a_direct_call_may_arrive_until_the_incarnation_ends() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    machine = harness.registry.machines["m-1"]
    assert harness.registry.direct_commands.claim_starts(machine) == [attempt]
    assert harness.registry.direct_commands.machines_to_call(()) == [], (
        "the start would be sent by a direct call twice"
    )
    harness.job_state.record.cancelled_at = 100.0
    harness.heartbeat()
    harness.heartbeat()
    assert harness.job_state.attempts, "dropped, although the unanswered start may still arrive"
    harness.heartbeat(shift=2, tick=1)
    assert not harness.job_state.attempts


def test_an_ended_attempt_is_not_reaped_while_a_copy_of_its_start_may_arrive() -> None:
    harness = RegistryHarness()
    harness.heartbeat()
    attempt = harness.assign()
    # The direct call that sends the start is answered, but the network may deliver a copy of it
    # later.
    harness.registry.direct_commands.claim_starts(harness.registry.machines["m-1"])
    attempt.start.call_ends(CallState.ANSWERED)
    harness.heartbeat(task_entry())
    assert harness.heartbeat(task_entry(stage="ended", cause="halted")) == []
    harness.mark_persisted()
    assert harness.heartbeat(task_entry(stage="ended", cause="halted")) == []
    assert harness.job_state.pending_count == 4, (
        "the task is not pending, although its attempt is proven to have ended"
    )
