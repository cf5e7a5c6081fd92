"""What to rent for work that no machine takes soon. Pure, like the placement pass."""

from __future__ import annotations

import math
from dataclasses import dataclass

from spoolcourse.control.placement.backfill import fit
from spoolcourse.control.placement.model import Job, Node


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


@dataclass(slots=True)
class _Bin:
    build: int
    zone: int
    loaner: bool
    cpus: float
    gpus: float
    memory: float


def _allowed(job: Job, build: int, zone: int, loaner: bool) -> bool:
    return (
        (job.builds is None or build in job.builds)
        and (job.zone is None or job.zone == zone)
        and (job.loaners or not loaner)
        and not (job.one_zone and any(n for z, n in job.held.items() if z != zone))
    )


def _fill(job: Job, count: int, bins: list[_Bin]) -> int:
    """Put pieces into machines that are on their way; what is left over."""
    for room in bins:
        if count <= 0:
            break
        if not _allowed(job, room.build, room.zone, room.loaner):
            continue
        n = min(count, fit(room.cpus, room.gpus, room.memory, job))
        if n > 0:
            room.cpus -= n * job.cpus
            room.gpus -= n * job.gpus
            room.memory -= n * job.memory
            count -= n
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
    bins = [
        _Bin(n.build, n.zone, n.loaner, n.cpus, n.gpus, n.memory) for n in nodes if n.ready_at > now
    ]
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
        count = _fill(job, count, bins)
        while count > 0 and sum(hires.values()) < most:
            best: tuple[float, Offer] | None = None
            for offer in offers:
                if not _allowed(job, offer.build, offer.zone, offer.loaner):
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
            fresh = _Bin(
                offer.build, offer.zone, offer.loaner, offer.cpus, offer.gpus, offer.memory
            )
            bins.append(fresh)
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
