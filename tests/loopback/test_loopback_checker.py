"""The history checker reports each broken rule, and nothing for a history that breaks none."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from tests.loopback.history import FinalWritten, History, ReportedStage, Run, rule_violations

DONE = [ReportedStage("job-1", "queued", 1.0), ReportedStage("job-1", "done", 9.0)]


def history(
    reported: list[ReportedStage] = DONE,
    finals: Sequence[FinalWritten] = (),
    runs: Sequence[Run] = (),
    unknown_jobs: Sequence[str] = (),
) -> History:
    return History(reported, list(finals), list(runs), list(unknown_jobs), ended_at=50.0)


def run(
    attempt: int, started_at: float, ended_at: float | None, done: bool = False, **fields: bool
) -> Run:
    return Run("job-1/0", attempt, f"m-{attempt}", started_at, ended_at, done, **fields)


def test_a_history_that_breaks_no_rule_has_no_violations() -> None:
    valid = history(
        finals=[FinalWritten("job-1", "done")],
        runs=[run(1, 1.0, 3.0, True, result_lost=True), run(2, 4.0, 5.0), run(3, 6.0, 8.0, True)],
    )
    assert rule_violations(valid, 20.0) == []


@pytest.mark.parametrize(
    ("broken", "violation"),
    [
        (history(finals=[FinalWritten("job-1", "done")] * 2), "two final states"),
        (
            history(reported=[*DONE, ReportedStage("job-1", "running", 9.5)]),
            "reported done, then running",
        ),
        (
            history(reported=[*DONE, ReportedStage("job-1", "aborted", 9.5)]),
            "reported done, then aborted",
        ),
        (
            history(finals=[FinalWritten("job-1", "aborted")]),
            "reported done, but aborted is written",
        ),
        (history(runs=[run(1, 1.0, 5.0), run(2, 4.0, 6.0)]), "overlap"),
        (history(runs=[run(1, 1.0, None), run(2, 4.0, 6.0)]), "overlap"),
        (
            history(runs=[run(1, 1.0, 2.0, True), run(2, 4.0, 6.0, True)]),
            "two attempts kept a result",
        ),
        (history(reported=DONE[:1]), "never reported as ended"),
        (history(unknown_jobs=["job-1"]), "accepted, then unknown"),
        (
            history(reported=[ReportedStage("job-1", "aborted", 2.0)], runs=[run(1, 1.0, 23.0)]),
            "still ran 21.0 s after its job was cancelled",
        ),
        (
            history(reported=[ReportedStage("job-1", "aborted", 2.0)], runs=[run(1, 1.0, None)]),
            "still ran 48.0 s after its job was cancelled",
        ),
    ],
)
def test_each_broken_rule_is_reported(broken: History, violation: str) -> None:
    violations = rule_violations(broken, 20.0)
    assert len(violations) == 1
    assert violation in violations[0]
