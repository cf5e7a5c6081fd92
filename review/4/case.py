"""A preempted task whose direct start was lost stays assigned for good, and so does its room."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from cluster import KERVELLA, CannotRunError, Cluster, job, run_case  # noqa: E402
from machines import Worker  # noqa: E402

CUT_S = 14.0  # pages: 30.25 s
BOOT_S = 2.0  # pages: at times machines are up within a second or two
EVERYDAY, URGENT = "job-000002", "job-000003"
RUN_S = 5.0
WATCH_S = 80.0  # after the cut


def lot(number: int, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a submission of Kervella's."""
    urgent = kind == "lot-urgent"
    return job(
        number,
        lane=kind,
        rank="high" if urgent else "standard",
        vcpus=2.0 if urgent else 8.0,
        memoryGb=3.8 if urgent else 12.0,
        bundle="img-urgent" if urgent else "img-courant",
        pullGb=1.2 if urgent else 4.0,
        expectS=RUN_S if urgent else 70.0,
        markEveryS=0.0,
        markCostS=0.0,
        dueS=600.0,
        **fields,
    )


async def first_machine(cluster: Cluster) -> Worker:
    """Have a first job run on the only machine that the cloud has, and return its worker."""
    cluster.cloud.capacity[("menhir", "lannion", True)] = 1
    cluster.cloud.boot_s = BOOT_S
    await cluster.start()
    await cluster.submit(lot(1, "lot-urgent", crew="relecture"), 1.0, "spindle-0")
    await cluster.until(lambda: "job-000001/0" in cluster.world.results, 25.0, "a first job runs")
    (host,) = cluster.cloud.hosts.values()
    if host.worker is None:
        raise CannotRunError("the machine is gone")
    return host.worker


async def case(cluster: Cluster) -> list[str]:
    """Cut the leader from the workers for a moment; everyday and urgent work arrives meanwhile."""
    worker = await first_machine(cluster)
    leader = cluster.leader()
    followers = [label for label in cluster.controllers if label != leader]
    cut_until = 0.0
    if cluster.trouble:
        cluster.record(f"trouble: {leader} is cut from the workers for {CUT_S:.0f} s")
        cut_until = cluster.now() + CUT_S
        worker.direct_arrives = lambda: cluster.now() >= cut_until
        worker.reaches_node = lambda label: label != leader or cluster.now() >= cut_until
        # The worker moves on to a follower, which relays its reports to the leader.
        await asyncio.sleep(7.0)
    answered: list[float] = []
    worker.on_answered = lambda: answered.append(cluster.now())
    await cluster.until(lambda: bool(answered), 8.0, "a report was answered")
    await cluster.submit(lot(2, "lot-courant", crew="sous-titres", pieces=2), RUN_S, followers[0])
    await asyncio.sleep(0.4)
    await cluster.submit(lot(3, "lot-urgent", crew="terminologie", pieces=8), RUN_S, followers[1])
    await asyncio.sleep(max(0.0, cut_until - cluster.now()))
    cluster.record("no trouble from here on")
    watched_from = cluster.now()
    stages: dict[str, str | None] = {}
    while cluster.now() - watched_from < WATCH_S and set(stages.values()) != {"done"}:
        for job_id in (EVERYDAY, URGENT):
            if stages.get(job_id) != "done":
                stages[job_id] = await cluster.poll(job_id, followers[0])
        cluster.record(f"{worker.name} holds {[p.entry() for p in worker.pieces.values()]}")
        await asyncio.sleep(5.0)
    reports = sum(at > watched_from for at in answered)
    cluster.record(f"{worker.name}: {reports} reports answered since the trouble")
    ran = {run.task.partition("/")[0] for run in cluster.world.runs}
    return [
        f"{job_id}: accepted, never ran; {stage} {WATCH_S:.0f} s after the cut, while the only "
        f"machine was idle and had {reports} reports answered"
        for job_id, stage in stages.items()
        if job_id not in ran
    ]


run_case(FOLDER, KERVELLA, case)
