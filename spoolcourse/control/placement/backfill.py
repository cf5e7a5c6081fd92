"""EASY backfilling with image fetches booked on machine and zone.

Jobs are served in the order given. The first one that does not fit as a whole is the
head: its projected start is worked out from the running tasks' estimated ends, and a
later job may start now only where that leaves the projected start as it is.

A job that waits only for its team's limit is not the head: machines kept free for it
would stay idle without helping it.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import inf

from spoolcourse.control.placement.model import (
    EPSILON,
    LEAST_RATE,
    UNBOUNDED,
    Decision,
    Job,
    Node,
    Plan,
    Room,
    Snapshot,
)

RESERVED_MAX = 64  # tasks of the head that are protected

# A machine that would do, the best first: group, seconds of fetching, replicas of the same service
# there, free CPUs (or less them), and its number.
_Choice = tuple[int, float, int, float, int]


class _Guard(Room):
    """What is kept for the head on one node from a point in time on."""

    __slots__ = ("at",)

    def __init__(self, at: float, cpus: float, gpus: float, memory: float) -> None:
        self.at = at
        self.cpus, self.gpus, self.memory = cpus, gpus, memory

    def allows(self, job: Job, end: float) -> int:
        if end <= self.at + EPSILON:
            return UNBOUNDED
        return self.fit(job)

    def job_index(self, job: Job, end: float, count: int) -> None:
        if end > self.at + EPSILON:
            self.use(job, count)


class Pass:
    """One pass over a snapshot. The snapshot is used up."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.s = snapshot
        self.plan = Plan()
        self._guards: dict[int, _Guard] = {}
        self._fetches = [0] * snapshot.zones
        self._closed_zones: set[int] = set()
        for node in snapshot.nodes:
            self._fetches[node.zone] += len(node.fetching)
        # Only machines with room for the smallest task are looked at: with a backlog
        # nearly all are full, and a pass must not cost fleet times backlog.
        waiting = [job for job in snapshot.jobs if job.pending > 0]
        self._least_cpus = min((job.cpus for job in waiting), default=0.0)
        self._least_memory = min((job.memory for job in waiting), default=0.0)
        self._open = [
            number
            for number, node in enumerate(snapshot.nodes)
            if node.ready_at <= snapshot.now and self._roomy(node)
        ]

    def _roomy(self, node: Node) -> bool:
        return (
            node.cpus + EPSILON >= self._least_cpus and node.memory + EPSILON >= self._least_memory
        )

    def run(self) -> Plan:
        """Place what can be placed, in order."""
        for index, job in enumerate(self.s.jobs):
            if job.pending <= 0:
                continue
            allowed = min(job.pending, self.s.teams[job.team].fit(job))
            placed = self._place(index, job, allowed) if allowed > 0 else 0
            left = allowed - placed
            if left > 0:
                self.plan.unplaced[index] = left
                self.plan.why.setdefault(index, "machines")
                if self.plan.head is None:
                    self._protect(index, job, left)
            elif allowed < job.pending:
                self.plan.why[index] = "team limit"
        return self.plan

    # -- what is allowed ------------------------------------------------------------

    def _zones(self, job: Job) -> set[int]:
        """Zones in which another task of the job may start at this moment."""
        return {zone for zone in range(self.s.zones) if job.zone_room(zone) > 0}

    @staticmethod
    def _suits(job: Job, index: int, node: Node) -> bool:
        return job.takes(node.machine_type, node.spot) and index not in job.avoid

    def _may_fetch(self, job: Job, node: Node) -> bool:
        """Whether the image is there, on its way, or one more fetch can be booked."""
        if job.image_gb <= 0 or job.image in node.images or job.image in node.fetching:
            return True
        if node.zone in self._closed_zones or len(node.fetching) >= max(self.s.node_fetches, 1):
            return False
        flying = self._fetches[node.zone]
        if self.s.zone_fetches < 1:  # the start needs more than the budget
            return flying == 0
        return flying < self.s.zone_fetches

    # -- placing --------------------------------------------------------------------

    def _fetch_s(self, job: Job, node: Node) -> float:
        if job.image_gb <= 0 or job.image in node.images:
            return 0.0
        rate = max(node.fetch_rate, LEAST_RATE)
        ahead = sum(node.fetching.values())
        if job.image in node.fetching:
            return ahead / rate
        return (ahead + job.image_gb) / rate

    def _place(self, index: int, job: Job, wanted: int) -> int:
        """Start so many tasks where they fit; how many were started."""
        zones = self._zones(job)
        choices, fetch_blocked = self._choices(job, zones)
        if job.one_zone and not job.held and choices:
            self._narrow(job, choices, wanted)
        placed = self._put_all(index, job, choices, wanted)
        if placed:
            self._open = [n for n in self._open if self._roomy(self.s.nodes[n])]
        if fetch_blocked and placed < wanted:
            self.plan.why[index] = "image fetch"
            if self.plan.head is None and self.s.zone_fetches < 1:
                # A start larger than the budget waits for its zone to be quiet.
                self._closed_zones |= zones
        return placed

    def _choices(self, job: Job, zones: set[int]) -> tuple[list[_Choice], bool]:
        """Machines that take a task of the job, the best first.

        Also whether others would, if one more image could be fetched there.
        """
        choices: list[_Choice] = []
        fetch_blocked = False
        for number in self._open:
            node = self.s.nodes[number]
            if node.cpus + EPSILON < job.cpus or node.zone not in zones:
                continue
            if not self._suits(job, number, node) or node.fit(job) < 1:
                continue
            if self._may_fetch(job, node):
                choices.append(self._choice(job, number, node))
            else:
                fetch_blocked = True
        choices.sort()
        return choices, fetch_blocked

    def _choice(self, job: Job, number: int, node: Node) -> _Choice:
        # Machines that other waiting jobs depend on come last, and those that should
        # run empty before them; then a short fetch counts; then the fullest machine,
        # for empty ones can be returned.
        delay = round(self._fetch_s(job, node), 1)
        # Where the image has to be fetched, the emptiest comes first: see `_put_all`. But what
        # is left for surplus machines is gathered on few, or none of them runs empty.
        free = node.cpus if delay == 0.0 or node.scale_in_candidate else -node.cpus
        group = node.rare + 2 * node.scale_in_candidate
        if job.claim and delay > 0.0:
            group += 4  # people wait: an image at hand counts most
        # Replicas of a service lie on different machines where that costs nothing, so that
        # the loss of one machine takes one of them.
        return (group, delay, job.replicas_on.get(number, 0), free, number)

    def _put_all(self, index: int, job: Job, choices: list[_Choice], wanted: int) -> int:
        # Machines that must fetch the image get one task each at first: the fetches run
        # side by side, and the more machines have an image, the sooner its next job starts.
        # So do replicas, which should lie apart.
        placed = 0
        again: list[int] = []
        for _, delay, _, _, number in choices:
            if placed >= wanted:
                return placed
            if job.service or (delay > 0.0 and not self.s.nodes[number].scale_in_candidate):
                placed += self._put(index, job, number, 1)
                again.append(number)
            else:
                placed += self._put(index, job, number, wanted - placed)
                if delay > 0.0:
                    again.append(number)
        for number in again:
            if placed >= wanted:
                break
            placed += self._put(index, job, number, wanted - placed)
        return placed

    def _narrow(self, job: Job, choices: list[_Choice], want: int) -> None:
        """Keep the zone that takes most of the job."""
        room: dict[int, int] = {}
        for *_, number in choices:
            node = self.s.nodes[number]
            room[node.zone] = room.get(node.zone, 0) + node.fit(job)
        best = max(room, key=lambda zone: (min(room[zone], want), -zone))
        choices[:] = [c for c in choices if self.s.nodes[c[-1]].zone == best]

    def _put(self, index: int, job: Job, number: int, wanted: int) -> int:
        node = self.s.nodes[number]
        if not self._may_fetch(job, node):
            return 0
        end = self.s.now + self._fetch_s(job, node) + job.estimate
        count = min(
            wanted,
            node.fit(job),
            job.zone_room(node.zone),
        )
        guard = self._guards.get(number)
        if guard is not None:
            count = min(count, guard.allows(job, end))
        if count < 1:
            return 0
        if guard is not None:
            guard.job_index(job, end, count)
        if job.image_gb > 0 and job.image not in node.images and job.image not in node.fetching:
            node.fetching[job.image] = job.image_gb
            self._fetches[node.zone] += 1
        node.use(job, count)
        team = self.s.teams[job.team]
        team.cpus -= count * job.cpus
        team.gpus -= count * job.gpus
        job.held[node.zone] = job.held.get(node.zone, 0) + count
        self.plan.decisions.append(Decision(index, number, count))
        return count

    # -- the head -------------------------------------------------------------------

    def _protect(self, index: int, job: Job, left: int) -> None:
        """Work out when the head's next tasks can start, and guard that."""
        self.plan.head = index
        events = self._first_events(job)
        want = min(left, RESERVED_MAX)
        starts: dict[int, tuple[float, int]] = {}  # node: when its last one starts, how many
        free: dict[int, Room] = {}
        while events and want > 0:
            at, number, ended = heappop(events)
            node = self.s.nodes[number]
            room = free.get(number)
            if room is None:
                room = free[number] = Room()
                room.cpus, room.gpus, room.memory = node.cpus, node.gpus, node.memory
            if ended:
                room.add(node.tasks[ended - 1])
            # Services have no end: what they hold is promised to nobody.
            if ended < len(node.tasks) and node.tasks[ended].end < inf:
                heappush(events, (max(node.tasks[ended].end, at), number, ended + 1))
            take = min(room.fit(job), want)
            if take <= 0:
                continue
            room.use(job, take)
            want -= take
            if self.plan.head_start is None:
                self.plan.head_start = at
            before = starts.get(number, (at, 0))[1]
            starts[number] = (at, before + take)
        for number, (at, count) in starts.items():
            self._guards[number] = self._guard(self.s.nodes[number], job, at, count)

    def _first_events(self, job: Job) -> list[tuple[float, int, int]]:
        """A heap of each machine's next moment at which its room grows.

        Each with the node and how many of its tasks have ended by then.
        """
        events: list[tuple[float, int, int]] = []
        zones, now = self._zones(job), self.s.now
        for number, node in enumerate(self.s.nodes):
            if node.zone not in zones or not self._suits(job, number, node):
                continue
            if node.fit(job):  # it boots, or the head waits for a fetch there
                events.append((max(node.ready_at, now), number, 0))
            elif node.tasks and node.tasks[0].end < inf:
                events.append((max(node.tasks[0].end, now), number, 1))
        heapify(events)
        return events

    @staticmethod
    def _guard(node: Node, job: Job, at: float, count: int) -> _Guard:
        """What is left on a node at a moment beside so many tasks of the head."""
        room = Room()
        room.cpus, room.gpus, room.memory = node.cpus, node.gpus, node.memory
        for task in node.tasks:
            if task.end <= at + EPSILON:
                room.add(task)
        room.use(job, count)
        return _Guard(at, room.cpus, room.gpus, room.memory)


def place(snapshot: Snapshot) -> Plan:
    """The pure placement pass: no I/O, no clock."""
    return Pass(snapshot).run()
