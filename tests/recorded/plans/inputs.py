"""Random but plausible inputs as plain numbers, in scheduling terms of their own.

The same seed gives the same input with every Python: only `random()` is drawn from.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random
from typing import Any, TypeVar

Fields = dict[str, Any]
Item = TypeVar("Item")

NOW = 1000.0
BLOCK = 5.0  # most moments are multiples of it, so that equal ones occur
SIZES = ((4.0, 0.0, 16.0), (8.0, 0.0, 32.0), (16.0, 0.0, 128.0), (32.0, 4.0, 256.0))
IMAGE_GB = (0.0, 0.5, 2.0, 6.0, 20.0, 0.03)
JOB_CPUS = (0.0, 0.05, 0.25, 0.5, 1.0, 1.0, 2.0, 2.0, 3.0, 4.0, 8.0, 16.0, 24.0)
TEAMS = 3
SERVICE_RANK = 0
RANKS = 4


class Draw:
    """Draws from one stream of random numbers."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)

    def chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def count(self, least: int, most: int) -> int:
        return least + int(self._random.random() * (most - least + 1))

    def pick(self, items: Sequence[Item]) -> Item:
        return items[self.count(0, len(items) - 1)]

    def amount(self, least: float, most: float) -> float:
        return least + self._random.random() * (most - least)

    def moment(self, least: float, most: float) -> float:
        """Seconds, mostly in whole blocks."""
        seconds = self.amount(least, most)
        return round(seconds / BLOCK) * BLOCK if self.chance(0.8) else seconds

    def some(self, items: Sequence[Item], probability: float) -> list[Item]:
        return [item for item in items if self.chance(probability)]


def _task(draw: Draw, reference: int, machine: Fields) -> Fields | None:
    """A running task that takes part of what is free on the machine."""
    cpus = min(draw.pick((0.0, 0.05, 0.5, 1.0, 2.0, 2.0, 3.0, 4.0, 8.0)), machine["free_cpus"])
    gpus = float(draw.count(0, int(machine["free_gpus"]))) if draw.chance(0.3) else 0.0
    memory_gb = min(draw.pick((0.5, 1.0, 4.0, 8.0)), machine["free_memory_gb"])
    if memory_gb <= 0:
        return None
    machine["free_cpus"] -= cpus
    machine["free_gpus"] -= gpus
    machine["free_memory_gb"] -= memory_gb
    rank = draw.count(SERVICE_RANK, RANKS - 1)
    left_s = draw.pick((10.0, 30.0, 60.0, draw.moment(-10.0, 60.0), draw.moment(60.0, 400.0)))
    return {
        "reference": reference,
        "end": inf if rank == SERVICE_RANK else NOW + left_s,
        "cpus": cpus,
        "gpus": gpus,
        "memory_gb": memory_gb,
        "rank": rank,
        "team": draw.count(0, TEAMS - 1),
        "lost_cpu_s": draw.moment(0.0, 600.0),
        "stopping": draw.chance(0.08),
        "within_guarantee": draw.chance(0.3),
        "running_since": NOW - draw.moment(0.0, 300.0) if draw.chance(0.3) else None,
    }


def _machine(
    draw: Draw, zones: int, filled: float, surplus_share: float, references: list[int]
) -> Fields:
    machine_type = draw.count(0, len(SIZES) - 1)
    cpus, gpus, memory_gb = SIZES[machine_type]
    booting = draw.chance(0.12)
    machine: Fields = {
        "machine_type": machine_type,
        "zone": draw.count(0, zones - 1),
        "spot": draw.chance(0.6),
        "size_cpus": cpus,
        "free_cpus": cpus,
        "free_gpus": gpus,
        "free_memory_gb": memory_gb,
        "fetch_gb_per_s": draw.pick((0.0, 0.05, 0.1, 0.25, 1.0)),
        "cached_images": draw.some(range(len(IMAGE_GB)), 0.3),
        "fetches": {image: draw.amount(0.1, 8.0) for image in draw.some(range(6), 0.06)},
        "tasks": [],
        "ready_at": NOW + draw.moment(5.0, 90.0) if booting else draw.pick((0.0, NOW - 50.0, NOW)),
        "surplus": draw.chance(surplus_share),
        "rare": draw.chance(0.15),
        "being_freed": (0.0, 0.0, 0.0),
    }
    while not booting and machine["free_cpus"] > 0 and draw.chance(filled):
        task = _task(draw, len(references), machine)
        if task is None:
            break
        references.append(len(references))
        machine["tasks"].append(task)
    machine["tasks"].sort(key=lambda task: (task["end"], task["reference"]))
    stopping = [task for task in machine["tasks"] if task["stopping"]]
    machine["being_freed"] = tuple(
        sum(task[resource] for task in stopping) for resource in ("cpus", "gpus", "memory_gb")
    )
    return machine


def _zone_rules(draw: Draw, zones: int, service: bool) -> Fields:
    rule = draw.pick(("none", "none", "none", "none", "one zone", "spread", "given zone"))
    if service and draw.chance(0.5):
        rule = "spread"
    held: dict[int, int] = {}
    if draw.chance(0.4):
        held = {zone: draw.count(0, 3) for zone in draw.some(range(zones), 0.5)}
    return {
        "zone": draw.count(0, zones - 1) if rule == "given zone" else None,
        "one_zone": rule == "one zone",
        "most_in_a_zone": draw.count(1, 5) if rule == "spread" else None,
        "held_by_zone": held,
        "tasks_in_unknown_zones": draw.count(1, 2) if draw.chance(0.1) else 0,
    }


def _job(draw: Draw, zones: int, machines: int) -> Fields:
    rank = draw.count(SERVICE_RANK, RANKS - 1)
    service = rank == SERVICE_RANK
    image = draw.count(0, len(IMAGE_GB) - 1)
    needs_gpu = draw.chance(0.15)
    many = draw.chance(0.2) and not service
    job: Fields = {
        "waiting_tasks": draw.count(60, 150) if many else draw.count(0, 8),
        "cpus": draw.pick(JOB_CPUS[:5] if many else JOB_CPUS),
        "gpus": float(draw.count(1, 2)) if needs_gpu else 0.0,
        "memory_gb": draw.pick((0.0, 0.5, 1.0, 2.0, 4.0, 20.0)),
        "image": image,
        "image_gb": IMAGE_GB[image],
        "team": draw.count(0, TEAMS - 1),
        "estimate_s": inf
        if service
        else draw.pick((10.0, 30.0, 60.0, draw.moment(20.0, 500.0), 9000.0)),
        "machine_types": draw.some(range(len(SIZES)), 0.6) if draw.chance(0.25) else None,
        "spot_allowed": not draw.chance(0.5 if service else 0.15),
        "avoided_machines": draw.some(range(machines), 0.2) if draw.chance(0.15) else [],
        "rank": rank,
        "claim": rank <= 1 or draw.chance(0.15),
        "within_guarantee": draw.chance(0.35),
        "replicas_by_machine": {},
        "service": service,
        "ordinary_machines_from": NOW + draw.moment(-30.0, 30.0) if draw.chance(0.4) else 0.0,
    } | _zone_rules(draw, zones, service)
    if service:
        job["replicas_by_machine"] = {
            machine: draw.count(1, 2) for machine in draw.some(range(machines), 0.2)
        }
    return job


def _team(draw: Draw) -> Fields:
    limited = draw.chance(0.5)
    return {
        "free_cpus": draw.moment(-10.0, 120.0) if limited else inf,
        "free_gpus": float(draw.count(0, 4)) if draw.chance(0.3) else inf,
        "cpus_over_guarantee": draw.moment(0.0, 60.0) if draw.chance(0.6) else 0.0,
    }


def cluster(seed: int) -> Fields:
    """A cluster with work that runs and work that waits, in the order of service."""
    draw = Draw(seed)
    zones, machines = draw.count(1, 4), draw.count(2, 18)
    filled = draw.pick((0.3, 0.8, 0.95, 0.98))
    surplus_share = draw.pick((0.0, 0.2, 0.2, 0.7))
    references: list[int] = []
    jobs = [_job(draw, zones, machines) for _ in range(draw.count(1, 14))]
    return {
        "now": NOW,
        "zones": zones,
        "fetches_per_machine": draw.pick((0, 1, 2, 3)),
        "fetches_per_zone": draw.pick((0, 0, 2, 4, 8)),
        "machines": [
            _machine(draw, zones, filled, surplus_share, references) for _ in range(machines)
        ],
        "teams": [_team(draw) for _ in range(TEAMS)],
        "jobs": sorted(jobs, key=lambda job: (job["rank"], not job["within_guarantee"])),
        "preemption_patience_s": draw.pick((0.0, 5.0, 20.0, 60.0)),
    }


def offers(seed: int, zones: int) -> list[Fields]:
    """Kinds of machines that can be rented."""
    draw = Draw(seed)
    found: list[Fields] = []
    for machine_type, (cpus, gpus, memory_gb) in enumerate(SIZES):
        price = cpus * draw.amount(0.03, 0.06) + gpus * draw.amount(0.5, 0.9)
        boot_s = draw.moment(15.0, 90.0) if draw.chance(0.8) else draw.moment(300.0, 1500.0)
        found += [
            {
                "machine_type": machine_type,
                "zone": zone,
                "spot": spot,
                "cpus": cpus,
                "gpus": gpus,
                "memory_gb": memory_gb,
                "price_per_hour": price * (0.3 if spot else 1.0),
                "boot_s": boot_s,
            }
            for zone in range(zones)
            for spot in (True, False)
            if draw.chance(0.75)
        ]
    return found


def scale_out(seed: int) -> Fields:
    """What the planner of machines is asked."""
    asked = cluster(seed)
    draw = Draw(seed + 1_000_000)
    order = [number for number, job in enumerate(asked["jobs"]) if job["waiting_tasks"] > 0]
    return {
        "cluster": asked,
        "demand": [(number, asked["jobs"][number]["waiting_tasks"]) for number in order],
        "offers": offers(seed, asked["zones"]),
        "free_cpus_by_team": [
            inf if draw.chance(0.5) else draw.moment(0.0, 300.0) for _ in range(TEAMS)
        ],
        "most_machines": draw.pick((None, None, 1, 5, 20)),
        "missing_cpus": draw.moment(-20.0, 500.0),
        "machines_in_all": draw.pick((0, 30, 490, 1200, 2000)),
    }


def demand_history(seed: int) -> Fields:
    """Moments at which so many CPUs were wanted, and questions about the past."""
    draw = Draw(seed)
    now = NOW
    samples: list[tuple[float, float]] = []
    for _ in range(draw.count(0, 30)):
        now += draw.pick((0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 20.0))
        samples.append((now, float(draw.count(0, 200))))
    return {
        "memory_s": draw.pick((5.0, 30.0, 120.0)),
        "samples": samples,
        "asked_at": now + draw.pick((0.0, 1.0, 10.0)),
        "windows_s": [0.0, 2.0, 10.0, 40.0, 300.0],
    }


def fleet(seed: int) -> Fields:
    """Machines of which some are too many for what is wanted."""
    draw = Draw(seed)
    machines = [
        {
            "name": f"machine-{number}",
            "machine_type": draw.pick((0, 1, 2, 3, None)),
            "spot": draw.pick((True, False, False, None)),
            "confirmed": draw.chance(0.8),
            "heard_at": draw.pick((None, NOW)),
            "deleting": draw.chance(0.1),
            "failed": draw.chance(0.1),
            "surplus": draw.chance(0.3),
            "attempts": draw.count(0, 3),
        }
        for number in range(draw.count(1, 12))
    ]
    names = [str(machine["name"]) for machine in machines]
    return {
        "machines": machines,
        "wanted_cpus": float(draw.count(0, 80)),
        "base": draw.some(names, 0.1),
        "reserved": draw.some(names, 0.1),
        "rare_machine_types": draw.some(range(len(SIZES)), 0.15),
    }
