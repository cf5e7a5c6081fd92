"""Scale-out planning: which machines to provision for tasks that no machine can run soon.

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
from spoolcourse.wire.cloud import MAX_MACHINES_PER_PROVISION_REQUEST

PRICED_RUN_TIME_MAX_S = 3600.0  # cap of the run time that prices are computed for
HEADROOM_MACHINES_SMALL_FLEET = 10  # limit of headroom machines in one pass
HEADROOM_FLEET_SHARE = 0.02  # the same limit in a large fleet, as a share of it

# Machine type, zone, whether spot, and total CPUs. A plain tuple, as it is built per machine.
_FreedCpusKey = tuple[int, int, bool, float]


@dataclass(frozen=True, slots=True)
class Offer:
    """An offer: a kind of machine that can be provisioned now."""

    machine_type: int  # index used in the pass instead of the name; `zone` likewise
    zone: int
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price_per_hour: float
    boot_s: float


class JobDemand(NamedTuple):
    """The tasks of a job that the placement pass found no machine for."""

    job: PlacementJob
    tasks: int  # their number


@dataclass(slots=True)
class ProvisionRequest:
    """A number of machines of one offer to provision."""

    offer: Offer
    count: int


class _ZoneAllowance:
    """Counts how many more tasks of a job each zone may take, in addition to those planned."""

    def __init__(self, job: PlacementJob) -> None:
        self._job = job
        self._planned: dict[int, int] = {}

    def tasks_left(self, zone: int) -> int:
        if self._job.one_zone and any(planned != zone for planned in self._planned):
            return 0
        return max(0, self._job.tasks_allowed_in_zone(zone) - self._planned.get(zone, 0))

    def plan(self, zone: int, count: int) -> None:
        self._planned[zone] = self._planned.get(zone, 0) + count


class _SoonFreedCpus:
    """The CPUs that running tasks will free within a boot time, by kind of machine and zone.

    A job is allocated only CPUs that it may use. With one sum for all machines, the CPUs that
    tasks kept freeing on spot machines also counted for services that may not run there: no machine
    was provisioned for these services, and they waited for minutes.
    """

    def __init__(self, machines: list[PlacementMachine], now: float, boot_s: float) -> None:
        self._cpus: dict[_FreedCpusKey, float] = {}
        for machine in machines:
            if machine.ready_at > now:
                continue
            key = (machine.machine_type, machine.zone, machine.spot, machine.total_cpus)
            freed = sum(task.cpus for task in machine.tasks if task.expected_end <= now + boot_s)
            self._cpus[key] = self._cpus.get(key, 0.0) + freed

    def allocate(self, job: PlacementJob, allowance: _ZoneAllowance, task_count: int) -> int:
        """Allocate CPUs for up to `task_count` tasks of the job; return how many tasks fit."""
        allocated = 0
        for key, cpus in self._cpus.items():
            machine_type, zone, spot, total_cpus = key
            if total_cpus + EPSILON < job.cpus or not job.runs_on(machine_type, spot):
                continue
            fitting_tasks = math.floor(cpus / job.cpus)
            count = min(task_count - allocated, fitting_tasks, allowance.tasks_left(zone))
            if count > 0:
                self._cpus[key] -= count * job.cpus
                allowance.plan(zone, count)
                allocated += count
        return allocated


def plan_provisioning(
    demand: list[JobDemand],
    machines: list[PlacementMachine],
    offers: list[Offer],
    now: float,
    team_cpus: list[float],
    max_machines: int = MAX_MACHINES_PER_PROVISION_REQUEST,
) -> list[ProvisionRequest]:
    """Plan the machines to provision for the demand, `max_machines` in total.

    `demand` is in scheduling order; `team_cpus` are the CPUs that each team may still use.
    """
    boot_s = min((offer.boot_s for offer in offers), default=0.0)
    freed_soon = _SoonFreedCpus(machines, now, boot_s)
    booting = [replace(machine) for machine in machines if machine.ready_at > now]
    requested: dict[Offer, int] = {}
    remaining_team_cpus = list(team_cpus)
    for job, task_count in demand:
        unplaced = min(task_count, tasks_within_limit(remaining_team_cpus[job.team], job.cpus))
        remaining_team_cpus[job.team] -= unplaced * job.cpus
        # Without the allowance, a job that is spread over zones and lost machines in one of them
        # would wait forever, while machines are provisioned again and again in another zone, where
        # no more of its tasks may run.
        allowance = _ZoneAllowance(job)
        if job.cpus > 0:
            unplaced -= freed_soon.allocate(job, allowance, unplaced)
        unplaced = _pack(job, allowance, unplaced, booting)
        while unplaced > 0 and max_machines > 0:
            offer = _cheapest_offer(job, allowance, unplaced, offers, now)
            if offer is None:
                break
            new_count = min(max_machines, _full_machines(job, allowance, unplaced, offer))
            max_machines -= new_count
            requested[offer] = requested.get(offer, 0) + new_count
            new_machines = [_new_machine(offer) for _ in range(new_count)]
            booting += new_machines
            unplaced = _pack(job, allowance, unplaced, new_machines)
    return [ProvisionRequest(offer, count) for offer, count in requested.items()]


def _pack(
    job: PlacementJob, allowance: _ZoneAllowance, task_count: int, machines: list[PlacementMachine]
) -> int:
    """Allocate tasks to booting or planned machines; return how many tasks are left over."""
    for machine in machines:
        if task_count <= 0:
            break
        if machine.cpus + EPSILON >= job.cpus and job.runs_on(machine.machine_type, machine.spot):
            packed = min(
                task_count, machine.tasks_that_fit(job), allowance.tasks_left(machine.zone)
            )
            if packed > 0:
                machine.allocate(job, packed)
                allowance.plan(machine.zone, packed)
                task_count -= packed
    return task_count


def _cheapest_offer(
    job: PlacementJob, allowance: _ZoneAllowance, task_count: int, offers: list[Offer], now: float
) -> Offer | None:
    """Return the offer with the lowest price per task, boot time included; None if none fits."""
    cheapest: Offer | None = None
    lowest_cost = math.inf
    for offer in offers:
        zone_tasks_left = allowance.tasks_left(offer.zone)
        if not job.runs_on(offer.machine_type, offer.spot) or zone_tasks_left < 1:
            continue
        if not offer.spot and job.spot_allowed and now < job.on_demand_from:
            continue
        tasks_on_machine = min(task_count, _tasks_per_machine(job, offer), zone_tasks_left)
        if tasks_on_machine < 1:
            continue
        # The run time of a service is unknown: the price alone nearly decides.
        run_time_s = min(job.estimate_s, PRICED_RUN_TIME_MAX_S)
        cost = offer.price_per_hour * (offer.boot_s + run_time_s) / tasks_on_machine
        if cheapest is None or cost < lowest_cost:
            cheapest, lowest_cost = offer, cost
    return cheapest


def _tasks_per_machine(job: PlacementJob, offer: Offer) -> int:
    """Return how many tasks of the job fit on an empty machine of the offer."""
    return tasks_that_fit(offer.cpus, offer.gpus, offer.memory_gb, job)


def _full_machines(
    job: PlacementJob, allowance: _ZoneAllowance, task_count: int, offer: Offer
) -> int:
    """Return how many machines of the offer the tasks fill; at least 1.

    A machine that would be only partly used is planned separately: another offer may be cheaper.
    """
    return max(
        1, min(task_count, allowance.tasks_left(offer.zone)) // _tasks_per_machine(job, offer)
    )


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


def plan_headroom(
    missing_cpus: float, offers: list[Offer], fleet_size: int = 0
) -> list[ProvisionRequest]:
    """Plan spot machines, the cheapest per CPU first, for `missing_cpus` CPUs of headroom.

    Tasks that start there later need not wait for a boot. `fleet_size` counts the existing
    machines.
    """
    max_machines = max(HEADROOM_MACHINES_SMALL_FLEET, int(fleet_size * HEADROOM_FLEET_SHARE))
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
