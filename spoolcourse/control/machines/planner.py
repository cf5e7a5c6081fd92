"""What to rent for work that no machine takes soon. Pure, like the placement pass."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from spoolcourse.control.placement.model import EPSILON, Job, Node, fit


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that can be asked for now."""

    build: int
    zone: int
    loaner: bool
    cpus: float
    gpus: float
    memory: float
    price: float  # per hour
    boot_s: float


@dataclass(slots=True)
class Hire:
    offer: Offer
    count: int


def _allowed(job: Job, kind: Offer | Node) -> bool:
    return (
        job.takes(kind.build, kind.loaner)
        and job.zone in (None, kind.zone)
        and not job.elsewhere(kind.zone)
    )


def _fill(job: Job, count: int, nodes: list[Node]) -> int:
    """Put pieces into machines that are on their way; what is left over."""
    for node in nodes:
        if count <= 0:
            break
        if node.cpus + EPSILON >= job.cpus and _allowed(job, node):
            taken = min(count, node.fit(job))
            node.use(job, taken)
            count -= taken
    return count


def plan_hires(
    demand: list[tuple[Job, int]],
    nodes: list[Node],
    offers: list[Offer],
    now: float,
    team_room: list[float],
    most: int = 50,
) -> list[Hire]:
    """`demand` is in order: jobs with pieces that found no machine in the pass."""
    boot = min((o.boot_s for o in offers), default=0.0)
    soon = sum(t.cpus for n in nodes if n.ready_at <= now for t in n.tasks if t.end <= now + boot)
    coming = [replace(n) for n in nodes if n.ready_at > now]
    hires: dict[Offer, int] = {}
    room = list(team_room)
    for job, wanted in demand:
        count = wanted
        if job.cpus > 0:
            count = min(count, max(0, math.floor(room[job.team] / job.cpus + 1e-6)))
            room[job.team] -= count * job.cpus
            served = min(count, math.floor(soon / job.cpus))
            soon -= served * job.cpus
            count -= served
        count = _fill(job, count, coming)
        while count > 0 and sum(hires.values()) < most:
            best: tuple[float, Offer] | None = None
            for offer in offers:
                if not _allowed(job, offer):
                    continue
                if not offer.loaner and job.loaners and now < job.ordinary_at:
                    continue
                slots = min(count, fit(offer.cpus, offer.gpus, offer.memory, job))
                if slots < 1:
                    continue
                cost = offer.price * (offer.boot_s + job.estimate) / slots
                if best is None or cost < best[0]:
                    best = (cost, offer)
            if best is None:
                break
            offer = best[1]
            hires[offer] = hires.get(offer, 0) + 1
            fresh = Node(
                offer.build,
                offer.zone,
                offer.loaner,
                offer.cpus,
                offer.gpus,
                offer.memory,
                size=offer.cpus,
                pull_rate=0.0,
            )
            coming.append(fresh)
            count = _fill(job, count, [fresh])
    return [Hire(offer, count) for offer, count in hires.items()]


def top_up(short: float, offers: list[Offer], most: int = 10) -> list[Hire]:
    """Spot machines, the cheapest by CPU, to have `short` CPUs more at hand. Whatever is
    started on them later does not wait for a machine to boot."""
    hires = []
    cheap = sorted((o for o in offers if o.loaner and o.cpus > 0), key=lambda o: o.price / o.cpus)
    for offer in cheap:
        count = min(int(short // offer.cpus), most)
        if count > 0:
            hires.append(Hire(offer, count))
            short -= count * offer.cpus
            most -= count
    return hires
