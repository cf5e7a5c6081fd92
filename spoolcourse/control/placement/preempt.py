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

LEAST_CPUS = 0.1  # for the loss by CPU of tasks that hold next to none


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
    for. What is being stopped already counts as room.
    """
    claims = [(i, n) for i, n in plan.unplaced.items() if snapshot.jobs[i].claim]
    if not claims:
        return []
    return _Preemption(snapshot, claims, patience_s).run()


class _Preemption:
    """The victims of one pass. The tasks are put in order once for all claims."""

    def __init__(
        self, snapshot: Snapshot, claims: list[tuple[int, int]], patience_s: float
    ) -> None:
        self._snapshot = snapshot
        self._claims = claims
        self._over = [team.over for team in snapshot.teams]
        highest = min(snapshot.jobs[index].rank for index, _ in claims)
        self._victims = self._in_order(highest, patience_s)
        self._lowest = max((task.rank for _, task in self._victims), default=-1)
        self._chosen: list[int] = []

    def _in_order(self, highest: int, patience_s: float) -> list[tuple[int, RunningTask]]:
        now = self._snapshot.now
        victims = sorted(
            (
                (task.loss(now) / max(task.cpus, LEAST_CPUS), number, task.end, task)
                for number, node in enumerate(self._snapshot.nodes)
                for task in node.tasks
                if self._is_open(task, highest) and task.end > now + patience_s
            ),
            key=lambda victim: victim[:3],
        )
        return [(number, task) for _, number, _, task in victims]

    def _is_open(self, task: RunningTask, highest: int) -> bool:
        """Whether some claim might stop it."""
        if task.stopping or task.rank < highest:
            return False
        return task.rank > highest or (self._over[task.team] > 0 and not task.safe)

    def run(self) -> list[int]:
        # Claims that found all too few victims: the next one like them would find none. Each
        # claim looking through all tasks again cost fleet times backlog.
        without_victims: set[tuple[object, ...]] = set()
        for index, wanted in self._claims:
            job = self._snapshot.jobs[index]
            missing = wanted - self._take_freed(job, wanted)
            if missing <= 0 or not self._has_victims(job):
                continue
            plain = not (job.avoid or job.one_zone or job.spread is not None)
            if plain and _likeness(job) in without_victims:
                continue
            missing -= self._stop_for(job, missing)
            if missing > 0 and plain:
                without_victims.add(_likeness(job))
        return self._chosen

    def _has_victims(self, job: Job) -> bool:
        return self._lowest > job.rank or (self._lowest == job.rank and job.guaranteed)

    def _take_freed(self, job: Job, wanted: int) -> int:
        """Book room that is free or being freed already; for how many tasks."""
        taken = 0
        for number, node in enumerate(self._snapshot.nodes):
            if taken >= wanted:
                break
            roomy = node.cpus + node.freed[0] + EPSILON >= job.cpus
            if roomy and _node_suits(job, number, node, self._snapshot.now):
                taken += _take(job, node, wanted - taken)
        return taken

    def _stop_for(self, job: Job, wanted: int) -> int:
        """Stop tasks until so many of the job fit; for how many there is room then."""
        taken = 0
        by_node: dict[int, list[RunningTask]] = {}
        for number, task in self._victims:
            if taken >= wanted:
                break
            node = self._snapshot.nodes[number]
            if task.stopping or not _may_stop(job, task, self._over):
                continue
            if not _node_suits(job, number, node, self._snapshot.now):
                continue
            group = by_node.setdefault(number, [])
            group.append(task)
            if not _fits_without(job, node, group):
                continue
            for victim in group:
                self._stop(node, victim)
            by_node[number] = []
            taken += _take(job, node, wanted - taken)
        return taken

    def _stop(self, node: Node, victim: RunningTask) -> None:
        victim.stopping = True
        self._chosen.append(victim.ref)
        self._over[victim.team] -= victim.cpus
        node.free(victim)


def _likeness(job: Job) -> tuple[object, ...]:
    """Claims with the same one find the same victims."""
    return (
        *(job.rank, job.guaranteed, job.team, job.machine_types, job.zone, job.spot_allowed),
        *(job.cpus, job.gpus, job.memory),
    )


def _fits_without(job: Job, node: Node, group: list[RunningTask]) -> bool:
    """Whether a task of the job fits once these have ended."""
    return (
        fit(
            node.cpus + node.freed[0] + sum(task.cpus for task in group),
            node.gpus + node.freed[1] + sum(task.gpus for task in group),
            node.memory + node.freed[2] + sum(task.memory for task in group),
            job,
        )
        >= 1
    )


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
