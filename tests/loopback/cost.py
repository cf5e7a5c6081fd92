"""What a shadow costs, and spares: `python -m tests.loopback.cost --jobs 400 --tasks 250`.

Half of the tasks are held by attempts. Times are of this machine's processor.
"""

from __future__ import annotations

import argparse
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
from spoolcourse.control.store.records import JobRecord, Progress, chunk_tasks
from spoolcourse.wire.messages import Submission, parse
from tests.fakes.proof import LIMITS, cache_at
from tests.fakes.world import job

CHANGES = 1000


def filled_context(jobs: int, tasks: int) -> ControllerContext:
    """A watch cache that holds the records of so many jobs."""
    cache = cache_at(0)
    index = JobIndex(cast(Any, None), cache)
    chunk = chunk_tasks(LIMITS.value_kb)
    for number in range(jobs):
        submission = parse(job(number, pieces=tasks), Submission)
        record = JobRecord(submission, float(number), chunk, None, 0)
        cache.apply(job_key(submission.id), record.value(), 2 * number + 1)
        for first in range(0, tasks, chunk):
            held = {
                task: (f"m-{task % 997:06d}", (1 << 24) + task)
                for task in range(first, min(first + chunk, tasks), 2)
            }
            key = progress_key(submission.id, first // chunk)
            cache.apply(key, Progress(0, held).value(), 2 * number + 2)
    parts = SimpleNamespace(
        watch_cache=cache,
        job_index=index,
        params=SimpleNamespace(state=LIMITS),
        clock=time.monotonic,
    )
    return cast(ControllerContext, parts)


def seconds(act: Callable[[], object]) -> float:
    """Processor time of a call."""
    began = time.process_time()
    act()
    return time.process_time() - began


def main() -> None:
    """Print the costs."""
    parser = argparse.ArgumentParser(prog="python -m tests.loopback.cost", description=__doc__)
    parser.add_argument("--jobs", type=int, default=400)
    parser.add_argument("--tasks", type=int, default=250)
    args = parser.parse_args()
    context = filled_context(args.jobs, args.tasks)
    entries = context.watch_cache.below(context.watch_cache.live)
    restore_s = seconds(lambda: restore_from_records(context))
    tracemalloc.start()
    shadow = Shadow(context)
    shadow.rebuild(entries)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    changes = [entry for entry in entries if "/prog/" in entry.key][:CHANGES]
    change_s = seconds(lambda: shadow.rebuild(changes)) / len(changes)
    count, hand_over_s = shadow.attempts, seconds(shadow.hand_over)
    print(f"{args.jobs} jobs, {count} attempts: restore {restore_s:.3f} s, hand-over", end=" ")
    print(f"{hand_over_s:.4f} s, a change {change_s * 1e6:.0f} us, shadow {megabytes:.1f} MB")


if __name__ == "__main__":
    main()
