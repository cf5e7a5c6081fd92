"""Scale-out planning: what to rent for work that no machine takes soon.

Pure, like the placement pass: no I/O, no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from msgspec.structs import replace

from spoolcourse.control.placement.model import (
    EPSILON,
    PlacementJob,
    PlacementMachine,
    tasks_that_fit,
    tasks_within_limit,
)
from spoolcourse.wire.cloud import PROVISION_MAX

PRICED_RUN_MAX_S = 3600.0  # the longest run of a task that its price is computed for
TOP_UP_MIN = 10  # machines that one pass may ask for as headroom, in a small fleet
TOP_UP_SHARE = 0.02  # of the fleet: the same in a large one

# Machine type, zone, whether spot, and CPUs in all. A plain tuple: it is built for each machine.
_MachineKey = tuple[int, int, bool, float]


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that can be rented now."""

    machine_type: int
    zone: int
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price_per_hour: float
    boot_s: float


class JobDemand(NamedTuple):
    """Tasks of a job that found no machine in the pass."""

    job: PlacementJob
    tasks: int


@dataclass(slots=True)
class ProvisionRequest:
    """So many machines of a kind to be asked for."""

    offer: Offer
    count: int


class _ZoneAllowance:
    """How many more of a job's tasks each zone takes, beside those that are planned for it."""

    def __init__(self, job: PlacementJob) -> None:
        self._job = job
        self._planned: dict[int, int] = {}

    def tasks_left(self, zone: int) -> int:
        if self._job.one_zone and any(planned != zone for planned in self._planned):
            return 0
        return max(0, self._job.tasks_allowed_in_zone(zone) - self._planned.get(zone, 0))

    def plan(self, zone: int, count: int) -> None:
        self._planned[zone] = self._planned.get(zone, 0) + count


class _FreedSoon:
    """CPUs that running tasks free within a boot time, by the kind of machine and its zone.

    Only what a job may use counts for it. With one sum for all machines, services that may not
    run on spot machines waited for minutes, because tasks kept ending there.
    """

    def __init__(self, machines: list[PlacementMachine], now: float, boot_s: float) -> None:
        self._cpus: dict[_MachineKey, float] = {}
        for machine in machines:
            if machine.ready_at > now:
                continue
            key = (machine.machine_type, machine.zone, machine.spot, machine.total_cpus)
            freed = sum(task.cpus for task in machine.tasks if task.expected_end <= now + boot_s)
            self._cpus[key] = self._cpus.get(key, 0.0) + freed

    def book(self, job: PlacementJob, allowance: _ZoneAllowance, wanted: int) -> int:
        """Book room for up to so many tasks of the job; returns for how many."""
        booked = 0
        for key, cpus in self._cpus.items():
            machine_type, zone, spot, total_cpus = key
            if total_cpus + EPSILON < job.cpus or not job.runs_on(machine_type, spot):
                continue
            fitting = math.floor(cpus / job.cpus)
            count = min(wanted - booked, fitting, allowance.tasks_left(zone))
            if count > 0:
                self._cpus[key] -= count * job.cpus
                allowance.plan(zone, count)
                booked += count
        return booked


def plan_provisioning(
    demand: list[JobDemand],
    machines: list[PlacementMachine],
    offers: list[Offer],
    now: float,
    team_cpus: list[float],
    max_machines: int = PROVISION_MAX,
) -> list[ProvisionRequest]:
    """What to rent for the demand, `max_machines` in all.

    `demand` is in the order of service; `team_cpus` are the CPUs that each team may still use.
    """
    boot_s = min((offer.boot_s for offer in offers), default=0.0)
    freed_soon = _FreedSoon(machines, now, boot_s)
    booting = [replace(machine) for machine in machines if machine.ready_at > now]
    requested: dict[Offer, int] = {}
    left_cpus = list(team_cpus)
    for job, wanted in demand:
        count = min(wanted, tasks_within_limit(left_cpus[job.team], job.cpus))
        left_cpus[job.team] -= count * job.cpus
        # Machines in a zone that takes no more of the job would be rented again and again,
        # while its tasks wait forever: of one that is spread over zones, and lost machines
        # in one of them.
        allowance = _ZoneAllowance(job)
        if job.cpus > 0:
            count -= freed_soon.book(job, allowance, count)
        count = _pack(job, allowance, count, booting)
        while count > 0 and max_machines > 0:
            offer = _cheapest_offer(job, allowance, count, offers, now)
            if offer is None:
                break
            new_count = min(max_machines, _filled_machines(job, allowance, count, offer))
            max_machines -= new_count
            requested[offer] = requested.get(offer, 0) + new_count
            new_machines = [_new_machine(offer) for _ in range(new_count)]
            booting += new_machines
            count = _pack(job, allowance, count, new_machines)
    return [ProvisionRequest(offer, count) for offer, count in requested.items()]


def _pack(
    job: PlacementJob, allowance: _ZoneAllowance, count: int, machines: list[PlacementMachine]
) -> int:
    """Put tasks on machines that boot, or will be rented; returns how many are left over."""
    for machine in machines:
        if count <= 0:
            break
        if machine.cpus + EPSILON >= job.cpus and job.runs_on(machine.machine_type, machine.spot):
            packed = min(count, machine.tasks_that_fit(job), allowance.tasks_left(machine.zone))
            if packed > 0:
                machine.book(job, packed)
                allowance.plan(machine.zone, packed)
                count -= packed
    return count


def _cheapest_offer(
    job: PlacementJob, allowance: _ZoneAllowance, count: int, offers: list[Offer], now: float
) -> Offer | None:
    """The cheapest offer for a task of the job, by price, boot time and tasks a machine takes."""
    cheapest: Offer | None = None
    lowest_cost = math.inf
    for offer in offers:
        zone_left = allowance.tasks_left(offer.zone)
        if not job.runs_on(offer.machine_type, offer.spot) or zone_left < 1:
            continue
        if not offer.spot and job.spot_allowed and now < job.ordinary_machines_from:
            continue
        slots = min(count, _slots(job, offer), zone_left)
        if slots < 1:
            continue
        # A service runs for no known time: by price alone, nearly.
        run_s = min(job.estimate_s, PRICED_RUN_MAX_S)
        cost = offer.price_per_hour * (offer.boot_s + run_s) / slots
        if cheapest is None or cost < lowest_cost:
            cheapest, lowest_cost = offer, cost
    return cheapest


def _slots(job: PlacementJob, offer: Offer) -> int:
    """How many tasks of the job an empty machine of the offer takes."""
    return tasks_that_fit(offer.cpus, offer.gpus, offer.memory_gb, job)


def _filled_machines(job: PlacementJob, allowance: _ZoneAllowance, count: int, offer: Offer) -> int:
    """How many machines of the offer stay the best one for so many tasks: each full of them."""
    return max(1, min(count, allowance.tasks_left(offer.zone)) // _slots(job, offer))


def _new_machine(offer: Offer) -> PlacementMachine:
    return PlacementMachine(
        machine_type=offer.machine_type,
        zone=offer.zone,
        spot=offer.spot,
        cpus=offer.cpus,
        gpus=offer.gpus,
        memory_gb=offer.memory_gb,
        total_cpus=offer.cpus,
        fetch_gb_per_s=0.0,
    )


def top_up(missing_cpus: float, offers: list[Offer], fleet_size: int = 0) -> list[ProvisionRequest]:
    """Spot machines, the cheapest by CPU first, for `missing_cpus` more CPUs of headroom.

    Whatever is started on them later does not wait for a machine to boot. `fleet_size`: the
    machines that there are.
    """
    max_machines = max(TOP_UP_MIN, int(fleet_size * TOP_UP_SHARE))
    requests = []
    spot_offers = sorted(
        (offer for offer in offers if offer.spot and offer.cpus > 0),
        key=lambda offer: offer.price_per_hour / offer.cpus,
    )
    for offer in spot_offers:
        count = min(int(missing_cpus // offer.cpus), max_machines)
        if count > 0:
            requests.append(ProvisionRequest(offer, count))
            missing_cpus -= count * offer.cpus
            max_machines -= count
    return requests
