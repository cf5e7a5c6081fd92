"""Rewrites the recorded results: `python -m tests.recorded.plans.generate`.

Run it only when a plan is meant to change; the commit says which and why.
`tests/recorded/test_recorded_plans.py` compares the current results with the recorded ones.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from tests.recorded.plans import adapter, inputs
from tests.recorded.plans.inputs import Fields

ResultsBySeed = dict[int, Fields]


@dataclass(frozen=True, slots=True)
class Suite:
    """Cases of one function: its result for the input of each seed."""

    name: str
    seeds: range
    compute: Callable[[int], Fields]

    @property
    def path(self) -> Path:
        return Path(__file__).parent / f"{self.name}.json"

    def result(self, seed: int) -> Fields:
        """The result after a JSON round trip, which preserves floats exactly."""
        result: Fields = json.loads(json.dumps(self.compute(seed), allow_nan=False))
        return result

    def recorded(self) -> ResultsBySeed:
        return {int(seed): result for seed, result in json.loads(self.path.read_text()).items()}

    def write(self) -> None:
        lines = [
            f'"{seed}":' + json.dumps(self.result(seed), separators=(",", ":"))
            for seed in self.seeds
        ]
        self.path.write_text("{\n" + ",\n".join(lines) + "\n}\n")


SUITES = {
    suite.name: suite
    for suite in (
        Suite("placement", range(600), lambda seed: adapter.placement(inputs.cluster(seed))),
        Suite(
            "preemption",
            range(1000, 1400),
            lambda seed: adapter.preemption(inputs.cluster(seed)),
        ),
        Suite(
            "provisioning",
            range(2000, 2300),
            lambda seed: adapter.provisioning(inputs.scale_out(seed)),
        ),
        Suite(
            "demand",
            range(3000, 3040),
            lambda seed: adapter.demand_peaks(inputs.demand_history(seed)),
        ),
        Suite(
            "surplus",
            range(4000, 4200),
            lambda seed: adapter.surplus_machines(inputs.fleet(seed)),
        ),
    )
}


if __name__ == "__main__":
    for suite in SUITES.values():
        suite.write()
