"""Silent machines with replicas are deleted before their lease expires, within bounds."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.fakes.services import service, wait_for_replicas
from tests.fakes.world import World, job

LEASE_EXPIRY_S = 11.0  # the 10 s lease plus the margin after which it has surely expired


async def running_service(machines: str = "aabb", **fields: Any) -> World:
    """Runs a service's replicas on one machine per letter of `machines`, its zone."""
    world = World()
    world.cloud.run_s = lambda task: 10_000.0
    world.cloud.capacity = len(machines)
    for zone in machines:
        world.cloud.add_machine(zone)
    await asyncio.sleep(1)
    # Machines present at the very first start are never deleted for being idle.
    await world.start_controllers()
    await asyncio.sleep(5)
    body = service(**{"pieces": 2, "scatter": True} | fields)
    assert (await world.submit(body)).status == 201
    await wait_for_replicas(world, 1, body["pieces"])
    await asyncio.sleep(4)
    return world


def machine_of(world: World, replica: int = 0) -> str:
    """Returns the machine that a replica runs on."""
    name = f"job-000001/{replica}"
    return next(
        w.name
        for w in world.cloud.workers.values()
        if any(t.is_running and t.name == name for t in w.tasks.values())
    )


def requested_deletions(world: World) -> list[str]:
    """Returns a list that collects the machines in deletion requests, in order."""
    deletion_requests: list[str] = []

    def record_deletions(src: str, dst: str, method: str, path: str, body: Any) -> None:
        if path == "/hosts/delete":
            deletion_requests.extend(body["spindles"])

    world.network.filters.insert(0, record_deletions)
    return deletion_requests


def make_unreachable(world: World, name: str) -> Any:
    """Cuts calls to the machine and answers its heartbeats with 503; returns the filter.

    The worker retries each second, so it is back within its lease once the filter is removed.
    """

    def block(src: str, dst: str, *rest: Any) -> str | None:
        if src == name:
            return "503"
        return "cut" if dst.startswith(name) else None

    world.network.filters.append(block)
    return block


async def restart_time_s(world: World, replica: int = 0) -> float:
    """Waits until the replica is started again and returns the time this took."""
    starts_before = len(world.cloud.starts)
    return await world.until(
        lambda: any(
            task == f"job-000001/{replica}" for _, task, _ in world.cloud.starts[starts_before:]
        ),
        40,
    )


async def test_a_replica_of_a_dead_machine_restarts_before_the_lease_expires() -> None:
    world = await running_service()
    deletion_requests, lost_machine = requested_deletions(world), machine_of(world)
    world.cloud.workers[lost_machine].die()  # the cloud still lists it
    assert await restart_time_s(world) < 7.5 < LEASE_EXPIRY_S
    assert deletion_requests[0] == lost_machine
    assert world.cloud.violations == []


async def test_no_machine_is_deleted_for_one_lost_heartbeat() -> None:
    world = await running_service()
    deletion_requests, name = requested_deletions(world), machine_of(world)

    def cut_heartbeats(src: str, dst: str, *rest: Any) -> str | None:
        return "cut" if src == name else None

    for _ in range(3):
        world.network.filters.append(cut_heartbeats)
        await asyncio.sleep(1.9)  # one heartbeat is due in this time
        world.network.filters.remove(cut_heartbeats)
        await asyncio.sleep(12)
    assert deletion_requests == []
    assert len(world.cloud.starts) == 2


async def test_a_machine_that_answers_calls_is_kept_while_no_controller_takes_heartbeats() -> None:
    world = await running_service()
    deletion_requests, name = requested_deletions(world), machine_of(world)
    world.network.filters.append(lambda src, dst, *rest: "503" if src == name else None)
    await asyncio.sleep(8.5)
    world.network.filters.pop()
    await asyncio.sleep(12)
    assert deletion_requests == [], "deleted a machine that came back within its lease"
    assert len(world.cloud.starts) == 2, (
        "restarted a replica whose machine came back within its lease"
    )


async def test_no_machine_is_deleted_while_its_zone_is_cut_off() -> None:
    world = await running_service("aabb", scatter=False)
    deletion_requests, zone = (
        requested_deletions(world),
        world.cloud.workers[machine_of(world)].host["yard"],
    )
    for name, worker in world.cloud.workers.items():
        if worker.host["yard"] == zone:
            world.cut_off(name)
    cuts = list(world.network.filters[1:])
    await asyncio.sleep(9)
    for cut in cuts:
        world.network.filters.remove(cut)
    await asyncio.sleep(10)
    # Two lost heartbeats in a row also cost a worker its lease; no machine is deleted.
    assert deletion_requests == []
    assert world.cloud.violations == []


async def test_a_leader_that_gets_no_heartbeats_deletes_no_machine() -> None:
    world = await running_service()
    deletion_requests, leader = requested_deletions(world), str(world.leader)
    world.network.filters.append(
        lambda src, dst, *rest: (
            "cut" if dst == f"{leader}:80" or (src == leader and dst.startswith("m-")) else None
        )
    )
    await asyncio.sleep(9)
    world.network.filters.pop()
    await asyncio.sleep(10)
    assert deletion_requests == []
    assert len(world.cloud.starts) == 2


async def test_the_last_machine_to_return_after_a_disruption_is_not_deleted() -> None:
    world = await running_service("aaaabbbb")
    deletion_requests, leader, name = (
        requested_deletions(world),
        str(world.leader),
        machine_of(world),
    )

    def cut_leader_off(src: str, dst: str, *rest: Any) -> str | None:
        return "cut" if dst == f"{leader}:80" or (src == leader and dst[:2] == "m-") else None

    world.network.filters.append(cut_leader_off)
    await asyncio.sleep(4)
    world.network.filters.remove(cut_leader_off)
    cut = make_unreachable(world, name)
    await asyncio.sleep(6)
    assert deletion_requests == []
    world.network.filters.remove(cut)
    await asyncio.sleep(10)
    assert world.cloud.violations == []


async def test_no_machine_is_deleted_early_when_its_replicas_fit_nowhere_else() -> None:
    world = await running_service("ab", yard=None)
    deletion_requests, lost_machine = requested_deletions(world), machine_of(world)
    world.cloud.workers[lost_machine].die()
    await asyncio.sleep(9.5)
    assert deletion_requests == []
    assert await wait_for_replicas(world, 1, 2, 90)
    assert world.cloud.violations == []


async def test_the_number_of_early_deletions_in_progress_is_bounded() -> None:
    world = await running_service("aaaaaaaabbbbbbbb", pieces=8, vcpus=4.0)
    world.network.filters.append(
        lambda src, dst, method, path, body: "hold" if path == "/hosts/delete" else None
    )
    deletion_requests = requested_deletions(world)
    service_machines = {machine_of(world, replica) for replica in range(8)}
    by_zone = [
        sorted(n for n in service_machines if world.cloud.workers[n].host["yard"] == zone)[:2]
        for zone in ("a", "b")
    ]
    lost_machines = [name for names in by_zone for name in names]
    assert len(lost_machines) >= 3
    for name in lost_machines:
        world.cloud.workers[name].die()
    await asyncio.sleep(LEASE_EXPIRY_S - 1.0)
    assert len(set(deletion_requests)) == 2
    world.network.filters.clear()
    await wait_for_replicas(world, 1, 8, 60)
    assert world.cloud.violations == []


async def test_a_machine_that_reports_again_during_its_deletion_gets_no_new_work() -> None:
    # Its heartbeats arrive again while the deletion is in progress: it gets no new tasks, and its
    # replica starts elsewhere only once the deletion is confirmed.
    world = await running_service()
    deletion_requests, name = requested_deletions(world), machine_of(world)
    cut = make_unreachable(world, name)
    world.network.filters.append(
        lambda src, dst, method, path, body: "hold" if path == "/hosts/delete" else None
    )
    await world.until(lambda: deletion_requests, 12)
    world.network.filters.remove(cut)
    await world.submit(job(2, pieces=12))  # more than fits on the other machines
    await asyncio.sleep(6)
    assert len([s for s in world.cloud.starts if s[1] == "job-000001/0"]) == 1
    assert not [s for s in world.cloud.starts if s[1].startswith("job-000002") and s[2] == name]
    await world.network.release()
    assert name not in world.cloud.workers
    await world.until(lambda: len(world.cloud.running_tasks("job-000001")) == 2, 30)
    assert world.cloud.violations == []


async def test_a_deletion_applied_late_under_the_next_leader_causes_no_violation() -> None:
    world = await running_service()
    deletion_requests, name = requested_deletions(world), machine_of(world)
    world.cloud.run_s = lambda task: 10_000.0 if "job-000001" in task else 10.0
    cut = make_unreachable(world, name)

    def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        return "hold" if path == "/hosts/delete" else None

    world.network.filters.append(hold)
    await world.until(lambda: deletion_requests, 12)
    world.kill(str(world.leader))
    world.network.filters.remove(cut)
    world.network.filters.remove(hold)
    await world.until(lambda: world.leader, 20)
    await world.submit(job(2, pieces=12), str(world.leader))
    await asyncio.sleep(8)  # the machine came back within its lease and is assigned tasks
    assert name in world.cloud.workers
    await world.network.release()
    assert name not in world.cloud.workers
    await wait_for_replicas(world, 1, 2, 60)
    await world.wait_until_done(2, 120)
    assert world.cloud.violations == []


async def test_services_survive_zones_cut_off_one_after_the_other() -> None:
    world = await running_service("aaaabbbb", pieces=4)
    for zone in ("a", "b", "a"):
        names = [n for n, w in world.cloud.workers.items() if w.host["yard"] == zone]
        for name in names:
            world.cut_off(name)
        cuts = world.network.filters[-len(names) :]
        dead = next(n for n, w in world.cloud.workers.items() if w.host["yard"] != zone)
        world.cloud.workers[dead].die()
        await asyncio.sleep(14)
        for cut in cuts:
            world.network.filters.remove(cut)
        await asyncio.sleep(1)
    await wait_for_replicas(world, 1, 4, 60)
    assert world.cloud.violations == []
