"""A start is taken for lost because of a direct command's answer; its task starts twice."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from cluster import ZHANIBEK, Cluster, job, run_case  # noqa: E402
from machines import Run, Worker  # noqa: E402

COMMAND_DELAY_S, ANSWER_DELAY_S = 0.9, 1.2  # of messages to the first machine
SLOW_S = 3.0
LEAD_S = 0.5  # from the first submission to the machine's next report


def overlaps(runs: list[Run]) -> list[str]:
    """Describe each start of a task while it was on another machine."""
    return [
        f"{run.task} started on {run.machine} (try {run.attempt}) while it was on "
        f"{other.machine} (try {other.attempt}) since {run.began - other.began:.2f} s"
        for run in runs
        for other in runs
        if (other.task, other.machine != run.machine) == (run.task, True)
        and other.began <= run.began
        and (other.ended is None or other.ended > run.began)
    ]


def is_running(cluster: Cluster, job_id: str) -> bool:
    """Whether a task of the job is on a machine."""
    return any(r.task.startswith(job_id) and r.ended is None for r in cluster.world.runs)


def slow_down(cluster: Cluster, worker: Worker, until: float) -> None:
    """Delay the messages to a machine."""

    async def delay_command(body: Any) -> None:
        if body and body.get("orders") and cluster.now() < until:
            await asyncio.sleep(COMMAND_DELAY_S)

    async def delay_answer(_answer: Any) -> None:
        if cluster.now() < until:
            await asyncio.sleep(ANSWER_DELAY_S)

    worker.before_direct, worker.before_answer = delay_command, delay_answer


async def case(cluster: Cluster) -> list[str]:
    """Preempt a task whose start is on its way in the answer to a report."""
    worker = (await cluster.add_machine("shagyn", "almaty")).worker
    other = (await cluster.add_machine("shagyn", "astana")).worker
    assert worker is not None
    assert other is not None
    await cluster.start()
    await cluster.until(lambda: min(worker.token, other.token) > 0, 15.0, "the workers know it")
    node = cluster.leader()
    # Long urgent work holds 2 of 8 CPUs in almaty and 5 in astana; both machines cache the image.
    for number, vcpus, zone in ((1, 2.0, "almaty"), (2, 5.0, "astana")):
        long = {"lane": "tanerten-tuzetu", "rank": "high", "expectS": 90.0, "markEveryS": 0.0}
        await cluster.submit(job(number, vcpus=vcpus, yard=zone, **long), 90.0, node)
    await cluster.until(
        lambda: all(is_running(cluster, f"job-{n:06d}") for n in (1, 2)), 15.0, "long work runs"
    )
    await asyncio.sleep(3.0)  # the machines have reported what runs
    await cluster.until(
        lambda: LEAD_S - 0.1 < worker.report_due - time.monotonic() < LEAD_S,
        20.0,
        "a report is due",
    )
    if cluster.trouble:
        cluster.record(f"trouble: messages to {worker.name} are delayed for {SLOW_S:.0f} s")
        slow_down(cluster, worker, cluster.now() + SLOW_S)
    plain = {"markEveryS": 0.0, "markCostS": 0.0}
    await cluster.submit(job(3, vcpus=4.0, expectS=40.0, **plain), 20.0, node)
    await asyncio.sleep(0.1)
    await cluster.submit(job(4, vcpus=2.0, expectS=80.0, **plain), 20.0, node)
    await asyncio.sleep(LEAD_S)
    urgent = {"lane": "tanerten-tuzetu", "crew": "dispetcher-2", "rank": "high"}
    await cluster.submit(
        job(5, vcpus=6.0, expectS=10.0, markEveryS=0.0, markCostS=0.0, **urgent), 5.0, node
    )
    await asyncio.sleep(10.0)
    return overlaps(cluster.world.runs)


run_case(FOLDER, ZHANIBEK, case)
