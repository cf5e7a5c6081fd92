"""The checker of histories finds each broken rule, and nothing in a history that keeps them."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from tests.loopback.history import FinalWritten, History, Run, Told, broken_rules

DONE = [Told("job-1", "queued", 1.0), Told("job-1", "done", 9.0)]


def history(
    told: list[Told] = DONE,
    finals: Sequence[FinalWritten] = (),
    runs: Sequence[Run] = (),
    forgotten: Sequence[str] = (),
) -> History:
    return History(told, list(finals), list(runs), list(forgotten), ended=50.0)


def run(attempt: int, began: float, ended: float | None, done: bool = False, **more: bool) -> Run:
    return Run("job-1/0", attempt, f"m-{attempt}", began, ended, done, **more)


def test_a_history_that_keeps_the_rules() -> None:
    good = history(
        finals=[FinalWritten("job-1", "done")],
        runs=[run(1, 1.0, 3.0, True, lost=True), run(2, 4.0, 5.0), run(3, 6.0, 8.0, True)],
    )
    assert broken_rules(good, 20.0) == []


@pytest.mark.parametrize(
    ("broken", "rule"),
    [
        (history(finals=[FinalWritten("job-1", "done")] * 2), "two final states"),
        (history(told=[*DONE, Told("job-1", "running", 9.5)]), "told done, then running"),
        (history(told=[*DONE, Told("job-1", "aborted", 9.5)]), "told done, then aborted"),
        (history(finals=[FinalWritten("job-1", "aborted")]), "told done, and aborted is written"),
        (history(runs=[run(1, 1.0, 5.0), run(2, 4.0, 6.0)]), "at once"),
        (history(runs=[run(1, 1.0, None), run(2, 4.0, 6.0)]), "at once"),
        (history(runs=[run(1, 1.0, 2.0, True), run(2, 4.0, 6.0, True)]), "two final placements"),
        (history(told=DONE[:1]), "never told to be over"),
        (history(forgotten=["job-1"]), "accepted, then unknown"),
        (
            history(told=[Told("job-1", "aborted", 2.0)], runs=[run(1, 1.0, 23.0)]),
            "there 21.0 s after its job was cancelled",
        ),
        (
            history(told=[Told("job-1", "aborted", 2.0)], runs=[run(1, 1.0, None)]),
            "there 48.0 s after its job was cancelled",
        ),
    ],
)
def test_each_broken_rule_is_found(broken: History, rule: str) -> None:
    found = broken_rules(broken, 20.0)
    assert len(found) == 1
    assert rule in found[0]
