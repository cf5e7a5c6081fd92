"""What to rent for work that no machine takes soon. Pure, like the placement pass."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from spoolcourse.control.placement.model import EPSILON, Job, Node, fit, share_out
from spoolcourse.wire.cloud import PROVISION_MAX

LONGEST_S = 3600.0  # that a task is taken to run at most, for its price
TOP_UP_LEAST = 10  # machines asked for by one pass for headroom
TOP_UP_SHARE = 0.02  # of the fleet, the same in a large one


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that can be asked for now."""

    machine_type: int
    zone: int
    spot: bool
    cpus: float
    gpus: float
    memory: float
    price: float  # per hour
    boot_s: float


@dataclass(slots=True)
class ProvisionRequest:
    """So many machines of a kind to be asked for."""

    offer: Offer
    count: int


class _Zones:
    """How many more of a job's tasks each zone takes, with those that are planned for it."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._planned: dict[int, int] = {}

    def room(self, zone: int) -> int:
        if self._job.one_zone and any(z != zone for z in self._planned):
            return 0
        return max(0, self._job.zone_room(zone) - self._planned.get(zone, 0))

    def plan(self, zone: int, count: int) -> None:
        self._planned[zone] = self._planned.get(zone, 0) + count


def _fill(job: Job, zones: _Zones, count: int, nodes: list[Node]) -> int:
    """Put tasks into machines that are on their way; what is left over."""
    for node in nodes:
        if count <= 0:
            break
        if node.cpus + EPSILON >= job.cpus and job.takes(node.machine_type, node.spot):
            taken = min(count, node.fit(job), zones.room(node.zone))
            if taken > 0:
                node.use(job, taken)
                zones.plan(node.zone, taken)
                count -= taken
    return count


class _FreedSoon:
    """CPUs that running tasks free within a boot time, by the kind of machine and its zone.

    Only what a job may use counts for it. With one sum for all machines, services that may not
    run on spot machines waited for minutes, because tasks kept ending there.
    """

    def __init__(self, nodes: list[Node], now: float, boot_s: float) -> None:
        self._cpus: dict[tuple[int, int, bool, float], float] = {}
        for node in nodes:
            if node.ready_at > now:
                continue
            kind = (node.machine_type, node.zone, node.spot, node.size)
            freed = sum(task.cpus for task in node.tasks if task.end <= now + boot_s)
            self._cpus[kind] = self._cpus.get(kind, 0.0) + freed

    def take(self, job: Job, zones: _Zones, wanted: int) -> int:
        """Book room for up to so many tasks of the job; for how many there is some."""
        served = 0
        for kind, cpus in self._cpus.items():
            machine_type, zone, spot, size = kind
            if size + EPSILON < job.cpus or not job.takes(machine_type, spot):
                continue
            count = min(wanted - served, math.floor(cpus / job.cpus), zones.room(zone))
            if count > 0:
                self._cpus[kind] -= count * job.cpus
                zones.plan(zone, count)
                served += count
        return served


def _best_offer(
    job: Job, zones: _Zones, count: int, offers: list[Offer], now: float
) -> Offer | None:
    """The cheapest for a task of the job, by price, boot and slots."""
    best: tuple[float, Offer] | None = None
    for offer in offers:
        if not job.takes(offer.machine_type, offer.spot) or zones.room(offer.zone) < 1:
            continue
        if not offer.spot and job.spot_allowed and now < job.ordinary_at:
            continue
        slots = min(count, fit(offer.cpus, offer.gpus, offer.memory, job), zones.room(offer.zone))
        if slots < 1:
            continue
        # A service runs for no known time: by price alone, nearly.
        runs = min(job.estimate, LONGEST_S)
        cost = offer.price * (offer.boot_s + runs) / slots
        if best is None or cost < best[0]:
            best = (cost, offer)
    return best[1] if best is not None else None


def plan_provisioning(
    demand: list[tuple[Job, int]],
    nodes: list[Node],
    offers: list[Offer],
    now: float,
    team_room: list[float],
    most: int = PROVISION_MAX,
) -> list[ProvisionRequest]:
    """What to ask for, `most` machines in all.

    `demand` is in order: jobs with tasks that found no machine in the pass.
    """
    boot = min((o.boot_s for o in offers), default=0.0)
    freed_soon = _FreedSoon(nodes, now, boot)
    coming = [replace(n) for n in nodes if n.ready_at > now]
    provisions: dict[Offer, int] = {}
    room = list(team_room)
    for job, wanted in demand:
        count = wanted
        count = min(count, share_out(room[job.team], job.cpus))
        room[job.team] -= count * job.cpus
        # Machines in a zone that takes no more of the job would be rented again and again,
        # while its tasks wait forever: of one that is spread over zones, and lost machines
        # in one of them.
        zones = _Zones(job)
        if job.cpus > 0:
            count -= freed_soon.take(job, zones, count)
        count = _fill(job, zones, count, coming)
        while count > 0 and most > 0:
            offer = _best_offer(job, zones, count, offers, now)
            if offer is None:
                break
            machines = min(most, _alike(job, zones, count, offer))
            most -= machines
            provisions[offer] = provisions.get(offer, 0) + machines
            fresh = [_fresh_node(offer) for _ in range(machines)]
            coming += fresh
            count = _fill(job, zones, count, fresh)
    return [ProvisionRequest(offer, count) for offer, count in provisions.items()]


def _alike(job: Job, zones: _Zones, count: int, offer: Offer) -> int:
    """How many machines of the offer stay the best one for so many tasks: each full of them."""
    slots = fit(offer.cpus, offer.gpus, offer.memory, job)
    return max(1, min(count, zones.room(offer.zone)) // slots)


def _fresh_node(offer: Offer) -> Node:
    return Node(
        offer.machine_type,
        offer.zone,
        offer.spot,
        offer.cpus,
        offer.gpus,
        offer.memory,
        size=offer.cpus,
        fetch_rate=0.0,
    )


def top_up(short: float, offers: list[Offer], machines: int = 0) -> list[ProvisionRequest]:
    """Spot machines, the cheapest by CPU, to have `short` CPUs more at hand.

    Whatever is started on them later does not wait for a machine to boot. `machines`: those that
    there are.
    """
    most = max(TOP_UP_LEAST, int(machines * TOP_UP_SHARE))
    provisions = []
    cheap = sorted((o for o in offers if o.spot and o.cpus > 0), key=lambda o: o.price / o.cpus)
    for offer in cheap:
        count = min(int(short // offer.cpus), most)
        if count > 0:
            provisions.append(ProvisionRequest(offer, count))
            short -= count * offer.cpus
            most -= count
    return provisions
