"""The history that users, workers and the key-value store saw, and the rules it must keep."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ReportedStage:
    """A controller reported a job's stage to a user."""

    job: str
    stage: str
    at: float


@dataclass(frozen=True, slots=True)
class FinalWritten:
    """A job's final state was written to the key-value store."""

    job: str
    stage: str


@dataclass(slots=True)
class Run:
    """An attempt on a machine, from its start to its end or the end of its incarnation."""

    task: str
    attempt: int
    machine: str
    started_at: float
    ended_at: float | None = None
    done: bool = False  # ended with a result
    result_lost: bool = False  # before it was acknowledged

    @property
    def job(self) -> str:
        return self.task.partition("/")[0]


@dataclass(slots=True)
class History:
    """Events of one trial, in the order in which they were observed."""

    reported: list[ReportedStage] = field(default_factory=list)
    finals: list[FinalWritten] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    unknown_jobs: list[str] = field(default_factory=list)  # accepted jobs that were answered 404
    ended_at: float = 0.0


def rule_violations(history: History, cancel_s: float) -> list[str]:
    """Describe every rule violation in the history."""
    return [
        *_duplicate_finals(history),
        *_changed_stages(history),
        *_overlapping_runs(history),
        *_duplicate_results(history),
        *_unfinished_jobs(history),
        *_late_cancellations(history, cancel_s),
        *(f"{job}: accepted, then unknown" for job in history.unknown_jobs),
    ]


def _duplicate_finals(history: History) -> list[str]:
    written = [final.job for final in history.finals]
    return [f"{job}: two final states" for job in sorted(set(written)) if written.count(job) > 1]


def _changed_stages(history: History) -> list[str]:
    violations = []
    final: dict[str, str] = {final.job: final.stage for final in history.finals}
    reported_final: dict[str, str] = {}
    for report in history.reported:
        before = reported_final.get(report.job)
        if before is not None and report.stage != before:
            violations.append(f"{report.job}: reported {before}, then {report.stage}")
        if report.stage in ("done", "aborted"):
            reported_final.setdefault(report.job, report.stage)
    for job, stage in reported_final.items():
        if final.get(job, stage) != stage:
            violations.append(f"{job}: reported {stage}, but {final[job]} is written")
    return violations


def _runs_by_task(history: History) -> dict[str, list[Run]]:
    runs_by_task: dict[str, list[Run]] = {}
    for run in history.runs:
        runs_by_task.setdefault(run.task, []).append(run)
    return runs_by_task


def _overlapping_runs(history: History) -> list[str]:
    violations = []
    for task, runs in _runs_by_task(history).items():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in itertools.pairwise(runs):
            if earlier.ended_at is None or later.started_at < earlier.ended_at:
                violations.append(f"{task}: attempts {earlier.attempt} and {later.attempt} overlap")
    return violations


def _duplicate_results(history: History) -> list[str]:
    """A second attempt may end with a result only if the result of the first one was lost."""
    violations = []
    for task, runs in _runs_by_task(history).items():
        kept = [run for run in runs if run.done and not run.result_lost]
        if len(kept) > 1:
            violations.append(
                f"{task}: two attempts kept a result: {[run.attempt for run in kept]}"
            )
    return violations


def _unfinished_jobs(history: History) -> list[str]:
    """Every accepted job has ended by the end of the trial."""
    accepted = {report.job for report in history.reported}
    ended = {report.job for report in history.reported if report.stage in ("done", "aborted")}
    return [f"{job}: accepted, but never reported as ended" for job in sorted(accepted - ended)]


def _late_cancellations(history: History, cancel_s: float) -> list[str]:
    cancelled = {r.job: r.at for r in reversed(history.reported) if r.stage == "aborted"}
    violations = []
    for run in history.runs:
        at = cancelled.get(run.job)
        ended = history.ended_at if run.ended_at is None else run.ended_at
        if at is not None and ended > at + cancel_s:
            violations.append(
                f"{run.task}: still ran {ended - at:.1f} s after its job was cancelled"
            )
    return violations
