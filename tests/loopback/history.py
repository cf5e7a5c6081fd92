"""What users, workers and the key-value store saw, and the rules that it must keep."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Told:
    """A user was told a job's stage."""

    job: str
    stage: str
    at: float


@dataclass(frozen=True, slots=True)
class FinalWritten:
    """A job's final state was written."""

    job: str
    stage: str


@dataclass(slots=True)
class Run:
    """An attempt on a machine, from its start to its end or the end of its incarnation."""

    task: str
    attempt: int
    machine: str
    began: float
    ended: float | None = None
    done: bool = False  # it came to its result
    lost: bool = False  # with its result, before that was acknowledged

    @property
    def job(self) -> str:
        return self.task.partition("/")[0]


@dataclass(slots=True)
class History:
    """Events of one play, in the order in which they were seen."""

    told: list[Told] = field(default_factory=list)
    finals: list[FinalWritten] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    forgotten: list[str] = field(default_factory=list)  # accepted jobs that were answered 404
    ended: float = 0.0


def broken_rules(history: History, cancel_s: float) -> list[str]:
    """Every rule that the history breaks, in words."""
    return [
        *_two_finals(history),
        *_changed_finals(history),
        *_overlaps(history),
        *_two_results(history),
        *_unfinished(history),
        *_cancelled_work(history, cancel_s),
        *(f"{job}: accepted, then unknown" for job in history.forgotten),
    ]


def _two_finals(history: History) -> list[str]:
    written = [final.job for final in history.finals]
    return [f"{job}: two final states" for job in sorted(set(written)) if written.count(job) > 1]


def _changed_finals(history: History) -> list[str]:
    found = []
    final: dict[str, str] = {final.job: final.stage for final in history.finals}
    told_final: dict[str, str] = {}
    for told in history.told:
        before = told_final.get(told.job)
        if before is not None and told.stage != before:
            found.append(f"{told.job}: told {before}, then {told.stage}")
        if told.stage in ("done", "aborted"):
            told_final.setdefault(told.job, told.stage)
    for job, stage in told_final.items():
        if final.get(job, stage) != stage:
            found.append(f"{job}: told {stage}, and {final[job]} is written")
    return found


def _by_task(history: History) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = {}
    for run in history.runs:
        found.setdefault(run.task, []).append(run)
    return found


def _overlaps(history: History) -> list[str]:
    found = []
    for task, runs in _by_task(history).items():
        runs.sort(key=lambda run: run.began)
        for one, other in itertools.pairwise(runs):
            if one.ended is None or other.began < one.ended:
                found.append(f"{task}: runs as {one.attempt} and {other.attempt} at once")
    return found


def _two_results(history: History) -> list[str]:
    """A second placement that comes to a result needs the first result to have been lost."""
    found = []
    for task, runs in _by_task(history).items():
        kept = [run for run in runs if run.done and not run.lost]
        if len(kept) > 1:
            found.append(f"{task}: two final placements: {[run.attempt for run in kept]}")
    return found


def _unfinished(history: History) -> list[str]:
    """What was accepted has come to an end by the end of the play."""
    accepted = {told.job for told in history.told}
    over = {told.job for told in history.told if told.stage in ("done", "aborted")}
    return [f"{job}: accepted, and never told to be over" for job in sorted(accepted - over)]


def _cancelled_work(history: History, cancel_s: float) -> list[str]:
    cancelled = {t.job: t.at for t in reversed(history.told) if t.stage == "aborted"}
    found = []
    for run in history.runs:
        at = cancelled.get(run.job)
        ended = history.ended if run.ended is None else run.ended
        if at is not None and ended > at + cancel_s:
            found.append(f"{run.task}: there {ended - at:.1f} s after its job was cancelled")
    return found
