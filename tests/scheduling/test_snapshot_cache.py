"""Machine views cached between placement passes must equal freshly built ones."""

from __future__ import annotations

import asyncio
from typing import Any

from spoolcourse.control.leader.active_leader import ActiveLeader
from spoolcourse.control.placement.backfill import place
from spoolcourse.control.placement.preempt import choose_victims
from spoolcourse.control.scheduling.snapshot_builder import SnapshotBuilder
from spoolcourse.control.store.records import JobRecord
from spoolcourse.policy.keys import compile_policy
from spoolcourse.wire.messages import MachineType, Submission, parse
from tests.fakes.registry import RegistryHarness, task_entry
from tests.fakes.world import World, job, settings

MACHINE_TYPES = {"c8": MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 20.0, ["a", "b"])}


def snapshot_builder(job_queue: Any, registry: Any) -> SnapshotBuilder:
    policy = compile_policy({}, "test").initial()
    return SnapshotBuilder(job_queue, registry, settings().settings, policy)


def machine_properties(
    builder: SnapshotBuilder, now: float, machine_types: dict[str, MachineType]
) -> dict[str, Any]:
    """Returns everything that a pass reads of each machine, by machine name."""
    snapshot = builder.build_snapshot(now, machine_types)
    images, properties = builder.indices.images.names, {}
    for machine, placement_machine in zip(builder.machines, snapshot.machines, strict=True):
        tasks = sorted(
            (
                t.attempt_number,
                t.cpus,
                t.rank,
                t.team,
                t.stopping,
                t.within_guarantee,
                round(t.loss_cpu_s(now), 3),
            )
            for t in placement_machine.tasks
        )
        properties[machine.id] = (
            (
                placement_machine.cpus,
                placement_machine.gpus,
                placement_machine.memory_gb,
                (
                    placement_machine.cpus_being_freed,
                    placement_machine.gpus_being_freed,
                    placement_machine.memory_gb_being_freed,
                ),
                placement_machine.zone,
                placement_machine.scale_in_candidate,
            ),
            sorted(images[i] for i in placement_machine.cached_images),
            sorted(images[i] for i in placement_machine.remaining_fetch_gb),
            tasks,
        )
    return properties


async def test_cached_machine_views_equal_freshly_built_ones() -> None:
    # Guards against missed invalidation: a pass would place tasks on capacity that is gone, or
    # never use capacity that is free.
    world = World()
    world.cloud.run_s = lambda name: 3.0 + sum(name.encode()) % 7
    await world.start_controllers()
    compared_tasks = 0

    def compare(active: ActiveLeader) -> None:
        nonlocal compared_tasks
        now, machine_types = world.now(), active._context.machine_types()
        fresh_builder = snapshot_builder(active.job_queue, active.registry)
        cached = machine_properties(active.snapshot_builder, now, machine_types)
        assert cached == machine_properties(fresh_builder, now, machine_types)
        compared_tasks += sum(len(view[3]) for view in cached.values())

    for number in range(1, 13):
        crew = "red" if number % 3 else "blue"
        rank = "high" if number % 4 == 0 else "standard"
        checkpoint_fields = {"markEveryS": 2.0, "markCostS": 1.0} if number % 2 else {}
        await world.submit(
            job(
                number,
                pieces=9,
                crew=crew,
                rank=rank,
                bundle=f"img{number % 5}",
                **checkpoint_fields,
            )
        )
        for _ in range(5):
            await asyncio.sleep(0.7)
            leader = world.controllers.get(str(world.leader))
            if (
                leader is not None
                and leader.leader_term is not None
                and leader.leader_term.active is not None
                and leader.leader_term.active.scheduling.passes
            ):
                compare(leader.leader_term.active)
        if number == 4:
            await world.cancel(3)
        if number == 6:
            next(iter(world.cloud.workers.values())).die()
        if number == 9:
            world.kill(str(world.leader))
    assert compared_tasks > 200


def test_an_attempt_that_outlives_its_job_still_counts_and_fails_no_pass() -> None:
    # A task that was completed elsewhere may still run here when its job has ended. A pass once
    # looked its job up among the live ones and raised an error that ended the leader's term;
    # the CPUs in use were also given to the team a second time.
    harness = RegistryHarness(pieces=1)
    harness.heartbeat()
    harness.assign()
    harness.heartbeat(task_entry())
    completed_elsewhere = task_entry(stage="ended", attempt=9, cause="done")
    harness.heartbeat(completed_elsewhere, spindle="m-2", address="m-2:9")
    assert harness.job_state.is_finished
    before = snapshot_builder(harness.job_queue, harness.registry).build_snapshot(
        harness.now, MACHINE_TYPES
    )
    harness.job_queue.remove(harness.job_state)
    after = snapshot_builder(harness.job_queue, harness.registry).build_snapshot(
        harness.now, MACHINE_TYPES
    )
    red = [t.name for t in settings().settings.teams].index("red")
    assert after.teams[red].cpus == before.teams[red].cpus == 64.0 - 2.0
    harness.heartbeat()  # the attempt is gone from the machine
    released = snapshot_builder(harness.job_queue, harness.registry).build_snapshot(
        harness.now, MACHINE_TYPES
    )
    assert released.teams[red].cpus == 64.0


def test_a_task_started_for_a_starved_job_is_not_preempted_by_rank() -> None:
    # Measured on fleets: after `begin_s` the first task of a job was started, preempted by the
    # next urgent job and started again, up to a hundred times, and the job never began.
    def victims(waited_s: float) -> list[int]:
        harness = RegistryHarness(pieces=3, vcpus=8.0, expectS=100.0)
        harness.heartbeat()
        harness.now += waited_s
        builder = snapshot_builder(harness.job_queue, harness.registry)
        builder.build_snapshot(harness.now, MACHINE_TYPES)
        attempt = harness.assign()
        attempt.exempt_from_preemption = harness.job_state.id in builder.starved_jobs
        harness.heartbeat(task_entry())
        urgent = parse(job(2, rank="high", crew="blue"), Submission)
        harness.job_queue.add(JobRecord(urgent, 1.0, 170, None, 6), harness.now)
        snapshot = builder.build_snapshot(harness.now, MACHINE_TYPES)
        return choose_victims(snapshot, place(snapshot), 5.0)

    assert victims(10.0) == [1], "urgent work does not preempt a job that is not starved"
    assert victims(200.0) == []
