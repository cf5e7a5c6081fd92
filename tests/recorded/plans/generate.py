"""Records the answers: `python -m tests.recorded.plans.generate` writes the data files again.

Only to be run on purpose, when a plan is meant to change; the commit says which and why.
`tests/recorded/test_recorded_plans.py` compares the code's answers with the record.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from tests.recorded.plans import adapter, inputs
from tests.recorded.plans.inputs import Fields

Record = dict[int, Fields]


@dataclass(frozen=True, slots=True)
class Suite:
    """Cases of one kind: what the code answers to the input of each seed."""

    name: str
    seeds: range
    ask: Callable[[int], Fields]

    @property
    def path(self) -> Path:
        return Path(__file__).parent / f"{self.name}.json"

    def answer(self, seed: int) -> Fields:
        """As it is read back from JSON, which keeps floats exactly."""
        answer: Fields = json.loads(json.dumps(self.ask(seed), allow_nan=False))
        return answer

    def recorded(self) -> Record:
        return {int(seed): answer for seed, answer in json.loads(self.path.read_text()).items()}

    def write(self) -> None:
        lines = [
            f'"{seed}":' + json.dumps(self.answer(seed), separators=(",", ":"))
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
    for each in SUITES.values():
        each.write()
