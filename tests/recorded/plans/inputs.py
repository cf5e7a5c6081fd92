"""Random but plausible inputs as plain data, independent of the names in the product.

A seed gives the same input on every Python version, because only `Random.random()` is used.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random
from typing import Any, TypeVar

Fields = dict[str, Any]
Item = TypeVar("Item")

NOW = 1000.0
ROUNDING_STEP = 5.0  # most times are multiples of it, so that some coincide
MACHINE_SIZES = ((4.0, 0.0, 16.0), (8.0, 0.0, 32.0), (16.0, 0.0, 128.0), (32.0, 4.0, 256.0))
IMAGE_GB = (0.0, 0.5, 2.0, 6.0, 20.0, 0.03)
JOB_CPUS = (0.0, 0.05, 0.25, 0.5, 1.0, 1.0, 2.0, 2.0, 3.0, 4.0, 8.0, 16.0, 24.0)
TEAM_COUNT = 3
SERVICE_RANK = 0
RANK_COUNT = 4


class Draw:
    """Draws values from one seeded random stream."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)

    def chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def integer(self, low: int, high: int) -> int:
        return low + int(self._random.random() * (high - low + 1))

    def choice(self, items: Sequence[Item]) -> Item:
        return items[self.integer(0, len(items) - 1)]

    def uniform(self, low: float, high: float) -> float:
        return low + self._random.random() * (high - low)

    def rounded(self, low: float, high: float) -> float:
        """Like `uniform`, but mostly rounded to a multiple of `ROUNDING_STEP`."""
        value = self.uniform(low, high)
        return round(value / ROUNDING_STEP) * ROUNDING_STEP if self.chance(0.8) else value

    def subset(self, items: Sequence[Item], probability: float) -> list[Item]:
        return [item for item in items if self.chance(probability)]


def _task(draw: Draw, attempt_number: int, machine: Fields) -> Fields | None:
    """A running task that takes part of the free resources of the machine."""
    cpus = min(draw.choice((0.0, 0.05, 0.5, 1.0, 2.0, 2.0, 3.0, 4.0, 8.0)), machine["free_cpus"])
    gpus = float(draw.integer(0, int(machine["free_gpus"]))) if draw.chance(0.3) else 0.0
    memory_gb = min(draw.choice((0.5, 1.0, 4.0, 8.0)), machine["free_memory_gb"])
    if memory_gb <= 0:
        return None
    machine["free_cpus"] -= cpus
    machine["free_gpus"] -= gpus
    machine["free_memory_gb"] -= memory_gb
    rank = draw.integer(SERVICE_RANK, RANK_COUNT - 1)
    remaining_s = draw.choice(
        (10.0, 30.0, 60.0, draw.rounded(-10.0, 60.0), draw.rounded(60.0, 400.0))
    )
    return {
        "attempt_number": attempt_number,
        "expected_end": inf if rank == SERVICE_RANK else NOW + remaining_s,
        "cpus": cpus,
        "gpus": gpus,
        "memory_gb": memory_gb,
        "rank": rank,
        "team": draw.integer(0, TEAM_COUNT - 1),
        "checkpoint_loss_cpu_s": draw.rounded(0.0, 600.0),
        "stopping": draw.chance(0.08),
        "within_guarantee": draw.chance(0.3),
        "unsaved_since": NOW - draw.rounded(0.0, 300.0) if draw.chance(0.3) else None,
    }


def _machine(
    draw: Draw,
    zones: int,
    fill_probability: float,
    scale_in_share: float,
    attempt_numbers: list[int],
) -> Fields:
    machine_type = draw.integer(0, len(MACHINE_SIZES) - 1)
    cpus, gpus, memory_gb = MACHINE_SIZES[machine_type]
    booting = draw.chance(0.12)
    machine: Fields = {
        "machine_type": machine_type,
        "zone": draw.integer(0, zones - 1),
        "spot": draw.chance(0.6),
        "total_cpus": cpus,
        "free_cpus": cpus,
        "free_gpus": gpus,
        "free_memory_gb": memory_gb,
        "fetch_gb_per_s": draw.choice((0.0, 0.05, 0.1, 0.25, 1.0)),
        "cached_images": draw.subset(range(len(IMAGE_GB)), 0.3),
        "fetch_left_gb": {image: draw.uniform(0.1, 8.0) for image in draw.subset(range(6), 0.06)},
        "tasks": [],
        "ready_at": NOW + draw.rounded(5.0, 90.0)
        if booting
        else draw.choice((0.0, NOW - 50.0, NOW)),
        "scale_in_candidate": draw.chance(scale_in_share),
        "has_scarce_type": draw.chance(0.15),
        "being_freed": (0.0, 0.0, 0.0),
    }
    while not booting and machine["free_cpus"] > 0 and draw.chance(fill_probability):
        task = _task(draw, len(attempt_numbers), machine)
        if task is None:
            break
        attempt_numbers.append(len(attempt_numbers))
        machine["tasks"].append(task)
    machine["tasks"].sort(key=lambda task: (task["expected_end"], task["attempt_number"]))
    stopping = [task for task in machine["tasks"] if task["stopping"]]
    machine["being_freed"] = tuple(
        sum(task[resource] for task in stopping) for resource in ("cpus", "gpus", "memory_gb")
    )
    return machine


def _zone_rules(draw: Draw, zones: int, service: bool) -> Fields:
    rule = draw.choice(("none", "none", "none", "none", "one zone", "spread", "given zone"))
    if service and draw.chance(0.5):
        rule = "spread"
    tasks_by_zone: dict[int, int] = {}
    if draw.chance(0.4):
        tasks_by_zone = {zone: draw.integer(0, 3) for zone in draw.subset(range(zones), 0.5)}
    return {
        "zone": draw.integer(0, zones - 1) if rule == "given zone" else None,
        "one_zone": rule == "one zone",
        "max_tasks_per_zone": draw.integer(1, 5) if rule == "spread" else None,
        "tasks_by_zone": tasks_by_zone,
        "tasks_in_unknown_zones": draw.integer(1, 2) if draw.chance(0.1) else 0,
    }


def _job(draw: Draw, zones: int, machines: int) -> Fields:
    rank = draw.integer(SERVICE_RANK, RANK_COUNT - 1)
    service = rank == SERVICE_RANK
    image = draw.integer(0, len(IMAGE_GB) - 1)
    needs_gpu = draw.chance(0.15)
    has_many_tasks = draw.chance(0.2) and not service
    job: Fields = {
        "pending_tasks": draw.integer(60, 150) if has_many_tasks else draw.integer(0, 8),
        "cpus": draw.choice(JOB_CPUS[:5] if has_many_tasks else JOB_CPUS),
        "gpus": float(draw.integer(1, 2)) if needs_gpu else 0.0,
        "memory_gb": draw.choice((0.0, 0.5, 1.0, 2.0, 4.0, 20.0)),
        "image": image,
        "image_gb": IMAGE_GB[image],
        "team": draw.integer(0, TEAM_COUNT - 1),
        "estimate_s": inf
        if service
        else draw.choice((10.0, 30.0, 60.0, draw.rounded(20.0, 500.0), 9000.0)),
        "machine_types": draw.subset(range(len(MACHINE_SIZES)), 0.6) if draw.chance(0.25) else None,
        "spot_allowed": not draw.chance(0.5 if service else 0.15),
        "avoided_machines": draw.subset(range(machines), 0.2) if draw.chance(0.15) else [],
        "rank": rank,
        "may_preempt": rank <= 1 or draw.chance(0.15),
        "within_guarantee": draw.chance(0.35),
        "replicas_by_machine": {},
        "is_service": service,
        "on_demand_from": NOW + draw.rounded(-30.0, 30.0) if draw.chance(0.4) else 0.0,
    } | _zone_rules(draw, zones, service)
    if service:
        job["replicas_by_machine"] = {
            machine: draw.integer(1, 2) for machine in draw.subset(range(machines), 0.2)
        }
    return job


def _team(draw: Draw) -> Fields:
    limited = draw.chance(0.5)
    return {
        "free_cpus": draw.rounded(-10.0, 120.0) if limited else inf,
        "free_gpus": float(draw.integer(0, 4)) if draw.chance(0.3) else inf,
        "cpus_over_guarantee": draw.rounded(0.0, 60.0) if draw.chance(0.6) else 0.0,
    }


def cluster(seed: int) -> Fields:
    """A cluster with running tasks and pending jobs, in scheduling order."""
    draw = Draw(seed)
    zones, machines = draw.integer(1, 4), draw.integer(2, 18)
    fill_probability = draw.choice((0.3, 0.8, 0.95, 0.98))
    scale_in_share = draw.choice((0.0, 0.2, 0.2, 0.7))
    attempt_numbers: list[int] = []
    jobs = [_job(draw, zones, machines) for _ in range(draw.integer(1, 14))]
    return {
        "now": NOW,
        "zone_count": zones,
        "fetches_per_machine": draw.choice((0, 1, 2, 3)),
        "fetches_per_zone": draw.choice((0, 0, 2, 4, 8)),
        "machines": [
            _machine(draw, zones, fill_probability, scale_in_share, attempt_numbers)
            for _ in range(machines)
        ],
        "teams": [_team(draw) for _ in range(TEAM_COUNT)],
        "jobs": sorted(jobs, key=lambda job: (job["rank"], not job["within_guarantee"])),
        "preemption_patience_s": draw.choice((0.0, 5.0, 20.0, 60.0)),
    }


def offers(seed: int, zones: int) -> list[Fields]:
    """Machine offers that can be provisioned."""
    draw = Draw(seed)
    machine_offers: list[Fields] = []
    for machine_type, (cpus, gpus, memory_gb) in enumerate(MACHINE_SIZES):
        price = cpus * draw.uniform(0.03, 0.06) + gpus * draw.uniform(0.5, 0.9)
        boot_s = draw.rounded(15.0, 90.0) if draw.chance(0.8) else draw.rounded(300.0, 1500.0)
        machine_offers += [
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
    return machine_offers


def scale_out(seed: int) -> Fields:
    """Input of the provisioning planner."""
    request = cluster(seed)
    draw = Draw(seed + 1_000_000)
    pending_jobs = [
        number for number, job in enumerate(request["jobs"]) if job["pending_tasks"] > 0
    ]
    return {
        "cluster": request,
        "demand": [(number, request["jobs"][number]["pending_tasks"]) for number in pending_jobs],
        "offers": offers(seed, request["zone_count"]),
        "free_cpus_by_team": [
            inf if draw.chance(0.5) else draw.rounded(0.0, 300.0) for _ in range(TEAM_COUNT)
        ],
        "max_machines": draw.choice((None, None, 1, 5, 20)),
        "missing_cpus": draw.rounded(-20.0, 500.0),
        "fleet_size": draw.choice((0, 30, 490, 1200, 2000)),
    }


def demand_history(seed: int) -> Fields:
    """Demand samples (time, CPUs), and the windows whose peaks are queried."""
    draw = Draw(seed)
    now = NOW
    samples: list[tuple[float, float]] = []
    for _ in range(draw.integer(0, 30)):
        now += draw.choice((0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 20.0))
        samples.append((now, float(draw.integer(0, 200))))
    return {
        "retention_s": draw.choice((5.0, 30.0, 120.0)),
        "samples": samples,
        "queried_at": now + draw.choice((0.0, 1.0, 10.0)),
        "windows_s": [0.0, 2.0, 10.0, 40.0, 300.0],
    }


def fleet(seed: int) -> Fields:
    """Machines of which some exceed the demand."""
    draw = Draw(seed)
    machines = [
        {
            "name": f"machine-{number}",
            "machine_type": draw.choice((0, 1, 2, 3, None)),
            "spot": draw.choice((True, False, False, None)),
            "confirmed": draw.chance(0.8),
            "last_heartbeat_at": draw.choice((None, NOW)),
            "deletion_requested": draw.chance(0.1),
            "failed": draw.chance(0.1),
            "scale_in_candidate": draw.chance(0.3),
            "attempt_count": draw.integer(0, 3),
        }
        for number in range(draw.integer(1, 12))
    ]
    names = [str(machine["name"]) for machine in machines]
    return {
        "machines": machines,
        "demand_cpus": float(draw.integer(0, 80)),
        "initial_machines": draw.subset(names, 0.1),
        "reserved": draw.subset(names, 0.1),
        "scarce_machine_types": draw.subset(range(len(MACHINE_SIZES)), 0.15),
    }
