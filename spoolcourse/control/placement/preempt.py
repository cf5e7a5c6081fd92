"""The second exception to the arrival order: stopping tasks for work that has a claim.

A job has a claim if people wait for its class to start, or if it fits into its team's
guarantee. For it, tasks of lower rank may be stopped, and, if it is the guarantee that
is claimed, tasks of the same rank of teams that run beyond their own. That is the order
of service as well (rank, guarantee, arrival): two claims must not stop each other in turn.
"""

from __future__ import annotations

from spoolcourse.control.placement.model import (
    EPSILON,
    Job,
    Node,
    Plan,
    RunningTask,
    Snapshot,
    fit,
)


def _may_stop(job: Job, task: RunningTask, over: list[float]) -> bool:
    if task.rank != job.rank:
        return task.rank > job.rank
    if task.safe or not job.guaranteed:
        return False
    return task.team != job.team and over[task.team] >= task.cpus


def _node_suits(job: Job, number: int, node: Node, now: float) -> bool:
    return (
        node.ready_at <= now
        and job.zone_room(node.zone) > 0
        and job.takes(node.machine_type, node.spot)
        and number not in job.avoid
    )


def choose_victims(snapshot: Snapshot, plan: Plan, patience_s: float) -> list[int]:
    """References of the tasks to stop. Uses up the snapshot further.

    Those that lose the least work come first; one that is about to end anyway is waited
    for. What is being stopped already counts as room. The tasks are put in order once for
    all claims.
    """
    chosen: list[int] = []
    over = [team.over for team in snapshot.teams]
    claims = [(i, n) for i, n in plan.unplaced.items() if snapshot.jobs[i].claim]
    if not claims:
        return chosen
    highest = min(snapshot.jobs[index].rank for index, _ in claims)
    victims = sorted(
        (
            (task.loss(snapshot.now) / max(task.cpus, 0.1), number, task.end, task)
            for number, node in enumerate(snapshot.nodes)
            for task in node.tasks
            if task.rank >= highest
            and (task.rank > highest or (over[task.team] > 0 and not task.safe))
            and not task.stopping
            and task.end > snapshot.now + patience_s
        ),
        key=lambda v: v[:3],
    )
    # Claims that found all too few victims: the next one like them would find none. Each
    # claim looking through all tasks again cost fleet times backlog.
    in_vain: set[tuple[object, ...]] = set()
    lowest = max((task.rank for *_, task in victims), default=-1)
    for index, missing in claims:
        job = snapshot.jobs[index]
        for number, node in enumerate(snapshot.nodes):
            if missing <= 0:
                break
            if node.cpus + node.freed[0] + EPSILON >= job.cpus and _node_suits(
                job, number, node, snapshot.now
            ):
                missing -= _take(job, node, missing)
        if missing <= 0 or lowest < job.rank or (lowest == job.rank and not job.guaranteed):
            continue
        plain = not (job.avoid or job.one_zone or job.spread is not None)
        like = (
            *(job.rank, job.guaranteed, job.team, job.machine_types, job.zone, job.spot_allowed),
            *(job.cpus, job.gpus, job.memory),
        )
        if plain and like in in_vain:
            continue
        by_node: dict[int, list[RunningTask]] = {}
        for _, number, _, task in victims:
            if missing <= 0:
                break
            node = snapshot.nodes[number]
            if (
                task.stopping
                or not _may_stop(job, task, over)
                or not _node_suits(job, number, node, snapshot.now)
            ):
                continue
            group = by_node.setdefault(number, [])
            group.append(task)
            room = (
                node.cpus + node.freed[0] + sum(t.cpus for t in group),
                node.gpus + node.freed[1] + sum(t.gpus for t in group),
                node.memory + node.freed[2] + sum(t.memory for t in group),
            )
            if fit(*room, job) < 1:
                continue
            for victim in group:
                victim.stopping = True
                chosen.append(victim.ref)
                over[victim.team] -= victim.cpus
                node.free(victim)
            by_node[number] = []
            missing -= _take(job, node, missing)
        if missing > 0 and plain:
            in_vain.add(like)
    return chosen


def _take(job: Job, node: Node, wanted: int) -> int:
    """Count room that is free or being freed as taken by the job."""
    cpus, gpus, memory = node.freed
    count = min(wanted, fit(node.cpus + cpus, node.gpus + gpus, node.memory + memory, job))
    if count > 0:
        node.freed = (
            cpus - count * job.cpus,
            gpus - count * job.gpus,
            memory - count * job.memory,
        )
    return count
