"""What reports prove, and what workers are told."""

from __future__ import annotations

from typing import Any

import pytest

from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.jobs.job_queue import Attempt, JobQueue, JobState
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import MalformedError, Report, Submission, parse, parse_report
from spoolcourse.wire.settings import Workers
from tests.fakes.world import job

TERM = 7


class Crew:
    """A roster with one machine and one job."""

    def __init__(self, **fields: Any) -> None:
        self.now = 100.0
        self.valid = True
        self.job_queue = JobQueue()
        self.registry = WorkerRegistry(
            self.job_queue,
            TERM,
            Workers(report_s=1.5, lease_s=10.0, cancel_s=40.0),
            lambda: self.now,
            self,
        )
        submission = parse(job(**fields), Submission)
        self.job_state: JobState = self.job_queue.add(
            JobRecord(submission, 1.0, 170, None, 5), self.now
        )
        self.sequence = 0

    def may_start(self) -> bool:
        return self.valid

    def is_over(self, job: str) -> bool:
        return job not in self.job_queue.jobs

    def disk_gb(self, machine_type: str) -> float:
        return 0.0

    def on_room(self) -> None:
        pass

    def report(self, *pieces: dict[str, Any], **fields: Any) -> list[dict[str, Any]] | None:
        commands = self.registry.accept(self._made(pieces, fields))
        return None if commands is None else [to_json_object(command) for command in commands]

    def observed(self, *pieces: dict[str, Any], **fields: Any) -> Report:
        """A report that comes as the answer to a call."""
        report = self._made(pieces, fields)
        self.registry.observe(report)
        return report

    def _made(self, pieces: tuple[dict[str, Any], ...], fields: dict[str, Any]) -> Report:
        self.sequence += 1
        data = {
            "spindle": "m-1",
            "address": "m-1:9",
            "build": "c8",
            "yard": "a",
            "loaners": False,
            "shift": 1,
            "tick": self.sequence,
            "baton": TERM,
            "pieces": list(pieces),
        } | fields
        return parse(data, Report)

    def assign(self, piece: int = 0, number: int = 1, saved: bool = True) -> Attempt:
        attempt = self.job_queue.assign(self.job_state, piece, "m-1", number, self.now)
        self.registry.link(attempt)
        if saved:
            self.save()
        return attempt

    def save(self) -> None:
        for chunk in self.job_state.chunks.values():
            chunk.saved = chunk.version


def on(piece: int = 0, number: int = 1, stage: str = "running", **more: Any) -> dict[str, Any]:
    return {"piece": f"job-000001/{piece}", "try": number, "stage": stage} | more


START = {"verb": "start", "piece": "job-000001/0", "try": 1}
REAP = {"verb": "reap", "piece": "job-000001/0", "try": 1}


def test_a_start_follows_its_write_and_needs_the_office() -> None:
    crew = Crew()
    crew.report()
    crew.assign(saved=False)
    assert crew.report() == []
    crew.save()
    crew.valid = False
    assert crew.report() == []
    crew.valid = True
    assert crew.report() == [START]


def test_a_start_is_repeated_until_seen_and_a_late_report_proves_nothing() -> None:
    crew = Crew()
    crew.report()
    attempt = crew.assign()
    assert crew.report() == [START]
    assert crew.report(tick=1) is None, "a late copy"
    crew.sequence -= 1
    assert attempt.start_sent_with == (1, 2)
    assert crew.report() == [START], "a newer report without it: it never arrived"
    assert crew.report(on()) == []
    assert attempt.stage == "running"


def test_a_report_under_an_older_baton_confirms_nothing() -> None:
    crew = Crew()
    attempt = crew.job_queue.adopt(crew.job_state, 0, "m-1", 1, crew.now)
    crew.registry.link(attempt)
    assert crew.report(baton=TERM - 1) == []
    assert crew.job_state.attempts, "the former leader's start may still arrive"
    crew.report()
    assert not crew.job_state.attempts and crew.job_state.pending == 4


def test_a_result_is_reaped_only_when_it_is_durable() -> None:
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report()
    assert crew.report(on(stage="ended", cause="done")) == []
    assert crew.job_state.done == 1 and not crew.job_state.attempts
    crew.save()
    assert crew.report(on(stage="ended", cause="done")) == [REAP]


@pytest.mark.parametrize("cause", ["halted", "error", "no_room", "in_use", "no_such"])
def test_an_ended_attempt_frees_its_piece(cause: str) -> None:
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report()
    orders = crew.report(on(stage="ended", cause=cause))
    assert orders == [REAP]
    assert crew.job_state.pending == 4 and next(crew.job_state.candidates()) == 0
    assert ("m-1" in crew.job_state.bad_machines) == (cause == "error")


def test_a_new_session_means_the_old_tasks_are_gone() -> None:
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report()
    crew.report(on())
    crew.report(shift=2, tick=1)
    assert not crew.job_state.attempts and crew.job_state.pending == 4


def test_only_a_lease_that_we_alone_renewed_proves_an_end() -> None:
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report(on())
    crew.now += 10.5
    crew.registry.expire()
    assert crew.job_state.attempts, "within drift and margin"
    crew.now += 1.0
    crew.registry.expire()
    assert not crew.job_state.attempts
    # A machine that has not reported our baton may be kept alive by somebody else.
    other = Crew()
    other.report(baton=TERM - 1)
    other.registry.link(other.job_queue.adopt(other.job_state, 0, "m-1", 1, other.now))
    other.now += 100.0
    other.registry.expire()
    assert other.job_state.attempts


def test_a_withdrawn_job_is_halted_and_never_started() -> None:
    crew = Crew()
    crew.report()
    crew.assign(0)
    crew.report()
    crew.report(on())
    crew.assign(1, 2)
    crew.job_state.record.aborted_at = 100.0
    assert crew.report(on()) == [
        {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}
    ]
    assert crew.report(on(stage="ended", cause="halted")) == [REAP]


def test_what_no_job_knows_is_halted_and_what_nobody_else_runs_is_kept() -> None:
    crew = Crew()
    stray = {"piece": "job-000009/0", "try": 3, "stage": "running"}
    assert crew.report(stray) == [
        {"verb": "halt", "piece": "job-000009/0", "try": 3, "windDownS": 0.0}
    ]
    crew.report(on(2, 44))
    assert crew.job_state.attempts[2].number == 44


def test_a_report_held_while_its_machine_was_deleted_changes_nothing() -> None:
    crew = Crew()
    crew.report()
    crew.assign()
    crew.registry.confirm_deleted("m-1")
    assert crew.job_state.pending == 4
    assert crew.report(on()) is None and not crew.job_state.attempts


def test_malformed_reports_are_refused() -> None:
    for raw in (b"", b"[]", b'{"spindle":"m-1"}', b"\xff"):
        with pytest.raises(MalformedError):
            parse_report(raw)


def test_progress_survives_its_record() -> None:
    progress = Progress(0b1011, {2: ("m-000001", 9)})
    assert Progress.from_value(progress.value()) == progress


def test_a_start_sent_to_orders_is_possible_until_the_session_ends() -> None:
    crew = Crew()
    crew.report()
    attempt = crew.assign()
    machine = crew.registry.machines["m-1"]
    assert crew.registry.commands.take_fresh_starts(machine) == [attempt]
    assert crew.registry.commands.due(()) == [], "sent that way once only"
    crew.job_state.record.aborted_at = 100.0
    crew.report()
    crew.report()
    assert crew.job_state.attempts, "no answer: it may still arrive, whatever reports say"
    crew.report(shift=2, tick=1)
    assert not crew.job_state.attempts


def test_an_attempt_with_a_copy_under_way_stays_with_the_worker() -> None:
    crew = Crew()
    crew.report()
    attempt = crew.assign()
    crew.registry.commands.take_fresh_starts(crew.registry.machines["m-1"])
    attempt.in_flight_session = None  # it was answered, but a copy may come late
    crew.report(on())
    assert crew.report(on(stage="ended", cause="halted")) == []
    crew.save()
    assert crew.report(on(stage="ended", cause="halted")) == []
    assert crew.job_state.pending == 4, "it is proven ended all the same"
