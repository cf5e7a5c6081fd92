"""What a shadow costs, and spares, by size: `python -m tests.loopback.cost`.

Half of the tasks are held by attempts. Times are of this machine's processor.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.standby.restore import restore_from_records
from spoolcourse.control.standby.shadow import Shadow
from spoolcourse.control.store.keys import job_key, progress_key
from spoolcourse.control.store.records import JobRecord, Progress
from spoolcourse.wire.messages import Submission, parse
from tests.fakes.proof import LIMITS, cache_at
from tests.fakes.world import job

SIZES = ((40, 250), (400, 250), (1600, 250), (4000, 25))  # jobs, tasks of each
CHUNK = 170
CHANGES = 1000


def filled_context(jobs: int, tasks: int) -> ControllerContext:
    """A watch cache that holds the records of so many jobs."""
    cache = cache_at(0)
    index = JobIndex(cast(Any, None), cache)
    for number in range(jobs):
        submission = parse(job(number, pieces=tasks), Submission)
        record = JobRecord(submission, float(number), CHUNK, None, 0)
        cache.apply(job_key(submission.id), record.value(), 2 * number + 1)
        for first in range(0, tasks, CHUNK):
            held = {t: (f"m-{t:06d}", t) for t in range(first, min(first + CHUNK, tasks), 2)}
            key = progress_key(submission.id, first // CHUNK)
            cache.apply(key, Progress(0, held).value(), 2 * number + 2)
    params, clock = SimpleNamespace(state=LIMITS), time.monotonic
    parts = SimpleNamespace(watch_cache=cache, job_index=index, params=params, clock=clock)
    return cast(ControllerContext, parts)


def seconds(act: Callable[[], object]) -> float:
    """Processor time of a call."""
    began = time.process_time()
    act()
    return time.process_time() - began


for jobs, tasks in SIZES:
    context = filled_context(jobs, tasks)
    entries = context.watch_cache.below(context.watch_cache.live)
    restore_s = seconds(lambda: restore_from_records(context))  # noqa: B023
    tracemalloc.start()
    shadow = Shadow(context)
    shadow.rebuild(entries)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    changes = [entry for entry in entries if "/prog/" in entry.key][:CHANGES]
    change_us = 1e6 * seconds(lambda: shadow.rebuild(changes)) / len(changes)  # noqa: B023
    count, hand_over_s = shadow.attempts, seconds(shadow.hand_over)
    print(f"{jobs} jobs, {count} attempts: restore {restore_s:.3f} s, hand-over", end=" ")
    print(f"{hand_over_s:.4f} s, a change {change_us:.0f} us, shadow {megabytes:.1f} MB")
