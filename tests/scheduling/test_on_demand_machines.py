"""From when on ordinary machines may be rented for a job."""

from __future__ import annotations

from typing import Any

from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.policy.keys import compile_policy
from spoolcourse.wire.messages import MachineType
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import settings

CATALOG = {"c8": MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 20.0, ["a", "b"])}
NEEDED_S = 1.5 * 10.0 + 20.0  # the policy's estimates of a task of 10 s, and a boot


def waits_s(*objectives: tuple[str, float], **fields: Any) -> float:
    """How long a job waits for spot machines; `objectives`: classes and when jobs finish."""
    params = settings(
        objectives=[
            {"kind": "finished", "class": job_class, "within_s": within_s, "share": 0.8}
            for job_class, within_s in objectives
        ]
    ).settings
    world = RegistryHarness(**fields)
    policy = compile_policy({}, "test").initial()
    builder = SnapshotBuilder(world.job_queue, world.registry, params, policy)
    return builder.build_snapshot(world.now, CATALOG).jobs[0].on_demand_from - world.now


def test_without_a_deadline_the_strictest_objective_of_the_class_counts() -> None:
    # After 15 s ordinary machines were rented for work that may take minutes.
    assert waits_s(("batch", 300.0), ("batch", 180.0)) == 180.0 - NEEDED_S
    assert waits_s(("batch", 20.0)) == 15.0, "spot machines are given their time all the same"
    assert waits_s(("other", 180.0)) == 15.0, "nobody says when it is expected"


def test_a_deadline_of_the_job_counts_before_the_objectives() -> None:
    assert waits_s(("batch", 300.0), dueS=90.0) == 90.0 - NEEDED_S
