"""However changes arrive, a shadow equals a restore from the records.

The key-value store is a model. The watch delivers its changes in parts, twice, out of order or not
at all, and pages are read while keys change. The source of the state machine, without its comments,
is part of the seed of Hypothesis: an edit there changes the examples.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.comparison import list_differences
from spoolcourse.control.failover.restore import restore_from_records
from spoolcourse.control.failover.shadow_status import ShadowState
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.store.keys import TERM_KEY, job_key, progress_key
from spoolcourse.control.store.records import Assignment, JobRecord, Progress
from spoolcourse.control.store.watch_cache import WatchGap
from spoolcourse.wire.key_value_store import Change, Entry
from spoolcourse.wire.messages import Submission, parse
from spoolcourse.wire.standby_settings import StandbySettings
from tests.fakes.proof import LIMITS, cache_at
from tests.fakes.world import job

CHUNK = 16
# Few jobs and tasks, so that changes often concern the same ones; the tasks lie in three chunks.
JOBS = st.integers(1, 5)
TASKS = st.sampled_from([0, 1, 16, 33])
TASK_COUNTS = st.sampled_from([2, 18, 34])


class ShadowMachine(RuleBasedStateMachine):
    """Users, a leader, the key-value store, and a follower with its shadow."""

    def __init__(self) -> None:
        super().__init__()
        self.keys: dict[str, tuple[Any, int]] = {}
        self.log: list[Change] = []
        self.revision = 0
        self.attempts = 0
        self.accepted: set[int] = set()
        self.cache = cache_at(0)
        index = JobIndex(self.cache)
        params = SimpleNamespace(state=LIMITS)
        self.context = cast(
            ControllerContext,
            SimpleNamespace(
                watch_cache=self.cache, job_index=index, params=params, clock=lambda: 7.0
            ),
        )
        self.standby = WarmStandby(self.context, StandbySettings(enabled=True))
        self.list_entries(lambda: None)

    # -- writes to the key-value store ----------------------------------------------------

    def write(self, *changes: tuple[str, Any]) -> None:
        self.revision += 1
        for key, value in changes:
            if value is None and key not in self.keys:
                continue
            self.log.append(Change(key, value, self.revision))
            if value is None:
                del self.keys[key]
            else:
                self.keys[key] = (value, self.revision)

    def record(self, number: int) -> JobRecord | None:
        entry = self.keys.get(job_key(f"job-{number:06d}"))
        return JobRecord.from_value(*entry) if entry else None

    def progress(self, number: int, task: int) -> tuple[str, Progress]:
        key = progress_key(f"job-{number:06d}", task // CHUNK)
        entry = self.keys.get(key)
        return key, Progress.from_value(entry[0]) if entry else Progress()

    @rule(number=JOBS, tasks=TASK_COUNTS)
    def accept(self, number: int, tasks: int) -> None:
        if number not in self.accepted:  # ids are never reused
            self.accepted.add(number)
            submission = parse(job(number, pieces=tasks), Submission)
            record = JobRecord(submission, float(number), CHUNK, None, 0)
            self.write((job_key(submission.id), record.value()))

    @rule(number=JOBS)
    def cancel(self, number: int) -> None:
        record = self.record(number)
        if record is not None:
            record.cancelled_at = 3.0
            self.write((job_key(record.submission.id), record.value()))

    @rule(number=JOBS, task=TASKS, machine=st.sampled_from(["m-1", "m-2"]))
    def place(self, number: int, task: int, machine: str) -> None:
        record = self.record(number)
        if record is not None and task < record.submission.task_count:
            key, progress = self.progress(number, task)
            self.attempts += 1
            progress.held[task] = Assignment(machine, self.attempts)
            self.write((key, progress.value()))

    @rule(number=JOBS, task=TASKS, done=st.booleans())
    def end(self, number: int, task: int, done: bool) -> None:
        record = self.record(number)
        if record is not None and task < record.submission.task_count:
            key, progress = self.progress(number, task)
            progress.held.pop(task, None)
            if done:
                progress.done |= 1 << (task % CHUNK)
            self.write((key, progress.value()))

    @rule(number=JOBS, left=st.integers(0, 1))
    def finish(self, number: int, left: int) -> None:
        """The job goes in one transaction with its progress, or most of it."""
        record = self.record(number)
        if record is not None:
            job = record.submission.id
            chunks = [progress_key(job, index) for index in range(record.chunk_count)]
            self.write((job_key(job), None), *((key, None) for key in chunks[left:]))

    @rule(number=JOBS)
    def sweep(self, number: int) -> None:
        """Progress is deleted; of a live job only what holds no result."""
        keys = [progress_key(f"job-{number:06d}", index) for index in range(3)]
        if self.record(number) is not None:
            keys = [key for key in keys if not self.holds_result(key)]
        self.write(*((key, None) for key in keys))

    def holds_result(self, key: str) -> bool:
        entry = self.keys.get(key)
        return entry is not None and Progress.from_value(entry[0]).done != 0

    @rule()
    def elect(self) -> None:
        self.write((TERM_KEY, {"term": self.revision + 1, "run": "r", "hold": 1}))

    # -- what the follower receives ---------------------------------------------------

    @rule(count=st.integers(1, 6), again=st.integers(0, 6))
    def watch(self, count: int, again: int) -> None:
        """The next revisions, and some earlier ones again."""
        reached = min(self.cache.store_revision + count, self.revision)
        since = self.cache.store_revision - again
        self.cache._apply_changes(reached, [c for c in self.log if since < c.revision <= reached])

    @rule(behind=st.integers(1, 6), span=st.integers(1, 6))
    def answer_late(self, behind: int, span: int) -> None:
        """An answer that arrives after a later one."""
        reached = self.cache.store_revision - behind
        since = reached - span
        self.cache._apply_changes(reached, [c for c in self.log if since < c.revision <= reached])

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def write_ahead(self, data: st.DataObject) -> None:
        """This controller's own write is applied before the watch delivers it."""
        key = data.draw(st.sampled_from(sorted({c.key for c in self.log})))
        if key in self.keys:
            self.cache.apply(key, *self.keys[key])

    @rule(number=JOBS, task=TASKS, ends=st.booleans(), seen=st.booleans())
    def lose_changes(self, number: int, task: int, ends: bool, seen: bool) -> None:
        """Changes are missed; keys change while all are read, and the watch may deliver that."""
        self.standby.on_watch_gap(WatchGap.COMPACTED)

        def meanwhile() -> None:
            self.accept(number, 34)
            self.place(number, task, "m-3")
            if ends:
                self.finish(number, 0)

        self.list_entries(meanwhile, seen)

    def list_entries(self, meanwhile: Callable[[], None], seen: bool = False) -> None:
        first = self.revision
        self.cache._active_reloads += 1
        entries = [Entry(k, v, r) for k, (v, r) in sorted(self.keys.items()) if "/prog/" not in k]
        meanwhile()
        entries += [Entry(k, v, r) for k, (v, r) in sorted(self.keys.items()) if "/prog/" in k]
        if seen:
            self.watch(self.revision, 0)
        self.cache._replace_entries(entries, first)
        self.cache._active_reloads -= 1
        self.cache._apply_changes(first, [])
        self.cache._mark_loaded()

    # -- invariants -----------------------------------------------------------------------

    @invariant()
    def the_shadow_equals_a_restore(self) -> None:
        shadow = self.standby.shadow
        assert self.standby.status.state is ShadowState.USABLE
        assert shadow is not None
        restored = restore_from_records(self.context)
        assert list_differences(shadow.as_restored(), restored) == []
        job_states = restored.job_queue.jobs.values()
        assert shadow.attempt_count == sum(len(job_state.attempts) for job_state in job_states)
        held = sum(2.0 * len(job_state.attempts) for job_state in job_states)
        assert shadow.team_usage["red"].cpus == held

    @invariant()
    def a_caught_up_cache_equals_the_store(self) -> None:
        if self.cache.store_revision == self.revision:
            known = {
                e.key: (e.value, e.revision)
                for e in self.cache.entries_below(self.cache.live_prefix)
            }
            assert known == self.keys


ShadowMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestShadow = ShadowMachine.TestCase


def test_leftover_progress_of_a_finished_job_is_listed() -> None:
    # The state machine above rarely reaches this state.
    machine = ShadowMachine()
    machine.accept(1, 34)
    machine.place(1, 0, "m-1")
    machine.watch(6, 0)
    machine.finish(1, 1)
    machine.watch(6, 0)
    shadow = machine.standby.shadow
    assert shadow is not None
    assert shadow.as_restored().leftover_keys == [progress_key("job-000001", 0)]
    machine.the_shadow_equals_a_restore()


def test_a_shadow_becomes_stale_if_a_result_is_deleted() -> None:
    # No controller does this, so the state machine must not. The shadow is unusable afterwards.
    machine = ShadowMachine()
    machine.accept(1, 18)
    machine.end(1, 16, True)
    machine.watch(6, 0)
    key, _ = machine.progress(1, 16)
    machine.write((key, None))
    machine.end(1, 16, False)
    # The follower's own write is applied before the watch delivers the deletion.
    machine.cache.apply(key, *machine.keys[key])
    assert machine.standby.shadow is None
    assert machine.standby.status.state is ShadowState.STALE
    assert "has lost results" in machine.standby.status.stale_reason
