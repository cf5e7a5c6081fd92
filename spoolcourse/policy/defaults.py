"""The open choices of the design, with their defaults."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    node_fetches: int = 2  # image fetches at once on a machine
    zone_fetches: int = 16  # image fetches at once in a zone
    pass_gap_s: float = 0.1  # shortest time between two passes
    pass_period_s: float = 1.0  # longest time between two passes
    default_estimate_s: float = 60.0  # for jobs without an estimate
    idle_boots: float = 2.0  # an idle spot machine is returned after so many boot times
    idle_min_s: float = 45.0  # but not before
    surplus_idle_s: float = 10.0  # an idle ordinary machine that is surplus is returned sooner
    keep_s: float = 180.0  # capacity is kept for the most that was wanted in so long
    headroom: float = 1.25  # spot capacity at hand, as a multiple of that
    ordinary_headroom: float = 0.7  # ordinary machines above this multiple of the peak
    ordinary_keep_s: float = 30.0  # in so long are surplus
    ordinary_wait_s: float = 15.0  # wait for spot machines before ordinary ones are rented
    refused_s: float = 5.0  # after "no capacity", leave that kind alone for so long
    silent_leases: float = 3.0  # a machine silent for so many leases is deleted
    boot_patience: float = 4.0  # a machine that boots for so many boot times is deleted
    rare_s: float = 300.0  # a type that a job had no choice but to use is spared for so long
    preempt_patience_s: float = 5.0  # a task that ends within so long is not stopped
    rescue_estimates: float = 1.5  # a deadline less than so many estimates away is in danger
