"""The time from which on-demand machines may be provisioned for a job."""

from __future__ import annotations

from typing import Any

from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.policy.keys import compile_policy
from spoolcourse.wire.messages import MachineType
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import settings

CATALOG = {"c8": MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 20.0, ["a", "b"])}
RUN_AND_BOOT_S = 1.5 * 10.0 + 20.0  # the policy's estimates of a task of 10 s and a boot


def spot_wait_s(*objectives: tuple[str, float], **fields: Any) -> float:
    """Returns how long a job waits for spot machines.

    Args:
        objectives: Job classes and the time within which their jobs must finish.
        **fields: Fields of the submission.
    """
    cluster_settings = settings(
        objectives=[
            {"kind": "finished", "class": job_class, "within_s": within_s, "share": 0.8}
            for job_class, within_s in objectives
        ]
    ).settings
    world = RegistryHarness(**fields)
    policy = compile_policy({}, "test").initial()
    builder = SnapshotBuilder(world.job_queue, world.registry, cluster_settings, policy)
    return builder.build_snapshot(world.now, CATALOG).jobs[0].on_demand_from - world.now


def test_without_a_deadline_the_strictest_objective_of_the_class_counts() -> None:
    # On-demand machines were provisioned after 15 s for work that may take minutes.
    assert spot_wait_s(("batch", 300.0), ("batch", 180.0)) == 180.0 - RUN_AND_BOOT_S
    assert spot_wait_s(("batch", 20.0)) == 15.0, "the minimum wait for spot machines is not kept"
    assert spot_wait_s(("other", 180.0)) == 15.0, "an objective of another class is applied"


def test_the_deadline_of_a_job_takes_precedence_over_objectives() -> None:
    assert spot_wait_s(("batch", 300.0), dueS=90.0) == 90.0 - RUN_AND_BOOT_S
