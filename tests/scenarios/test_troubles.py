"""Late copies of heartbeats, partitioned controllers, overlapping elections."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.http_client import Response
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX, TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.settings import StoreLimits
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork
from tests.fakes.world import LABELS, World, job


class HeartbeatRecorder:
    """Records heartbeats of workers and sends copies of them later."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.heartbeats: list[tuple[float, dict[str, Any]]] = []
        world.network.filters.append(self._record)

    def _record(self, src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if path == "/v1/report" and src.startswith("m-"):
            self.heartbeats.append((self._world.now(), body))
        return None

    async def resend(self, label: str, name: str, since: float = 0.0) -> list[Response]:
        bodies = [b for at, b in self.heartbeats if b["spindle"] == name and at >= since]
        return [await self._world.request(label, "POST", "/v1/report", b) for b in bodies]


def renews_lease(reply: Response) -> bool:
    return reply.status == 200 and "baton" in reply.data


async def test_late_copies_of_heartbeats_renew_no_lease_and_get_no_commands() -> None:
    world = World()
    world.cloud.run_s = lambda task: 60.0
    name = await world.start_with_machine()
    recorder = HeartbeatRecorder(world)
    await world.submit(job(pieces=4))
    await world.until(lambda: len(world.cloud.starts) == 4)
    await asyncio.sleep(8)
    leader = str(world.leader)
    machine = world.active(leader).registry.machines[name]
    # Copies from a second to several leases late while the machine is alive: its attempts go on.
    for reply in await recorder.resend(leader, name):
        assert not renews_lease(reply)
        assert reply.data["orders"] == []
    assert len(machine.attempts) == 4
    # The machine is lost. Copies through any controller don't delay the expiry of its lease.
    world.cloud.lose_machine(name)
    lost_at = world.now()
    for _ in range(30):
        for label in LABELS:
            for reply in await recorder.resend(label, name, lost_at - 9):
                assert not renews_lease(reply)
        await asyncio.sleep(1)
    assert not machine.attempts, "its attempts must end with its lease"
    assert machine.last_heartbeat_at is not None
    assert machine.last_heartbeat_at <= lost_at
    restarts = [at for at, _, _ in world.cloud.starts[4:]]
    assert len(restarts) == 4
    assert max(restarts) < lost_at + 30
    assert world.cloud.violations == []


async def test_copies_of_heartbeats_from_earlier_incarnations_and_terms_change_nothing() -> None:
    world = World()
    world.cloud.run_s = lambda task: 200.0
    name = await world.start_with_machine()
    recorder = HeartbeatRecorder(world)
    await world.submit(job(pieces=2))
    await world.until(lambda: len(world.cloud.starts) == 2)
    await asyncio.sleep(3)
    isolated_at = world.now()
    world.cut_off(name)
    await asyncio.sleep(15)
    world.network.filters[:] = world.network.filters[:1]  # the machine begins a new incarnation
    await world.until(lambda: len(world.cloud.starts) == 4, 60)
    leader = str(world.leader)
    await asyncio.sleep(3)
    old_heartbeats = [b for at, b in recorder.heartbeats if at <= isolated_at]
    for body in old_heartbeats:
        assert not renews_lease(await world.request(leader, "POST", "/v1/report", body))
    world.kill(leader)
    await world.until(lambda: world.leader not in (None, leader), 10)
    for body in old_heartbeats:
        await world.request(str(world.leader), "POST", "/v1/report", body)
    await asyncio.sleep(20)
    assert len(world.cloud.starts) == 4
    assert world.cloud.violations == []


async def test_a_leader_partitioned_with_its_workers_releases_them_before_their_leases_end() -> (
    None
):
    world = World()
    world.cloud.run_s = lambda task: 60.0
    await world.start_controllers()
    names = [world.cloud.add_machine() for _ in range(3)]
    await asyncio.sleep(5)
    await world.submit(job(pieces=12))
    await world.until(lambda: len(world.cloud.starts) == 12)
    old = str(world.leader)
    others = [n for n in LABELS if n != old]

    def isolate(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        ends = {src, dst.split(":", maxsplit=1)[0]}
        if old not in ends:
            return None
        return "cut" if "state" in ends or "cloud" in ends or ends & set(others) else None

    world.network.filters.append(isolate)
    await world.until(lambda: any(world.controllers[n].leader_term for n in others), 10)
    await asyncio.sleep(4)
    assert (await world.request(old, "GET", "/healthz")).status == 503
    assert (await world.poll(1, old)).status == 503
    assert (await world.submit(job(2), old)).status == 503
    assert (await world.poll(1, others[0])).status == 200
    # Its workers see the new fencing token and move to the new leader without losing a lease.
    successor = next(world.active(n) for n in others if world.controllers[n].leader_term)
    await world.until(lambda: all(successor.registry.machines[n].confirmed for n in names), 10)
    assert world.controllers[old].leader_term is None
    # The old leader redirects nobody to a controller that may not lead any more.
    stale = world.cloud.workers[names[0]].heartbeat()
    reply = await world.request(old, "POST", "/v1/report", stale)
    assert reply.status == 421
    assert "foreman" not in reply.data
    await asyncio.sleep(12)
    assert {w.incarnation for w in world.cloud.workers.values()} == {1}
    assert len(world.cloud.starts) == 12
    assert world.cloud.violations == []


async def test_a_follower_partitioned_for_long_names_no_leader() -> None:
    world = World()
    name = world.cloud.add_machine()
    await world.start_controllers()
    await asyncio.sleep(5)
    follower = next(n for n in LABELS if n != world.leader)

    def isolate(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        ends = {src, dst.split(":", maxsplit=1)[0]}
        return "cut" if follower in ends and ends & {"state", *LABELS} - {follower} else None

    world.network.filters.append(isolate)
    await asyncio.sleep(15)
    world.kill(str(world.leader))
    body = world.cloud.workers[name].heartbeat()
    reply = await world.request(follower, "POST", "/v1/report", body)
    assert (reply.status, reply.data) == (421, {})


@pytest.mark.parametrize("after", [0.0, 0.02, 0.2, 0.6, 1.1, 2.4, 2.6])
async def test_controllers_restarted_during_an_election_elect_one_leader(after: float) -> None:
    world = World()
    world.cloud.run_s = lambda task: 25.0
    await world.start_controllers()
    await world.submit(job(pieces=6))
    await world.until(lambda: len(world.cloud.starts) == 6)
    first = str(world.leader)
    executed: list[Any] = []

    def record(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if path in ("/multi", "/hosts"):
            executed.append((dst, method, path, body))
        return None

    world.network.filters.append(record)
    held_before = len(world.network.held)

    def hold_claims(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        puts = [op.get("set", "") for op in (body or {}).get("apply", [])]
        return "hold" if any(key.endswith("/leader") for key in puts) else None

    # The restarted leader's own claim stays in flight; then those of the other controllers.
    world.network.filters.append(hold_claims)
    world.kill(first)
    await asyncio.sleep(0.3)
    world.start(first)
    await asyncio.sleep(after)
    for label in list(LABELS):
        world.kill(label)
        await asyncio.sleep(0.1)
        world.start(label)
        await asyncio.sleep(0.05)
    world.network.filters.remove(hold_claims)
    assert len(world.network.held) > held_before or after < 0.2
    for dst, method, path, body in world.network.held:
        await world.network.hosts[dst](method, path, body)
    await world.until(lambda: world.leader, 10)
    await world.wait_until_done(1, 60)
    # Executing all recorded requests again changes nothing.
    hosts, keys = set(world.cloud.hosts), dict(world.store.keys)
    for dst, method, path, body in executed:
        await world.network.hosts[dst](method, path, body)
    assert set(world.cloud.hosts) == hosts
    changed = {k for k in keys if world.store.keys.get(k, (0, 0))[:2] != keys[k][:2]}
    assert changed == set()
    assert len(world.cloud.starts) == 6
    assert world.cloud.violations == []
    leaders = [n for n, c in world.controllers.items() if c.leader_term is not None]
    assert len(leaders) == 1


async def test_a_claim_fails_if_another_was_elected_while_its_lease_was_granted() -> None:
    # Seen on a recorded day: two controllers that started together were both elected
    # for term 1, the second replacing the first.
    state, network = FakeKeyValueStore(), FakeNetwork()
    network.hosts["state:1"] = state.serve
    limits = StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
    candidates = []
    for label in ("n0", "n1"):
        client = StoreClient(network.client_of(label), "state:1", limits, controllers=2)
        watch_cache = WatchCache(client, PREFIX)
        candidates.append(Leadership(client, watch_cache, label, f"run-{label}"))
        await watch_cache.reload()
    slow, quick = candidates
    grant = slow._client.grant_lease

    async def grant_after_other_election(ttl_s: float) -> int:
        await quick._stand_for_election()
        await slow._watch_cache.read_barrier()  # as the watch would do
        return await grant(ttl_s)

    slow._client.grant_lease = grant_after_other_election  # type: ignore[method-assign]
    await slow._stand_for_election()
    assert quick.term is not None
    assert slow.term is None
    assert state.value(TERM_KEY) == {"term": 1, "run": "run-n1", "hold": quick.term.lease_id}


async def test_every_controller_knows_every_job_after_outage_and_restarts() -> None:
    world = World()
    world.cloud.capacity = 2
    world.cloud.run_s = lambda task: 20.0
    await world.start_controllers()
    accepted: set[int] = set()

    async def user(number: int) -> None:
        for _ in range(20):
            reply = await world.submit(job(number, pieces=2), LABELS[number % 3])
            if reply.status in (200, 201):
                accepted.add(number)
                return
            await asyncio.sleep(2.0)

    users = [asyncio.create_task(user(n)) for n in range(1, 151)]
    await asyncio.sleep(1.0)
    world.store.in_outage = True
    await asyncio.sleep(8)
    for label in LABELS:
        world.kill(label)
    await asyncio.sleep(2)
    world.start()
    await asyncio.sleep(4)
    world.store.end_outage()
    outage_ended_at = world.now()
    await asyncio.gather(*users)
    assert len(accepted) == 150
    for label in LABELS:
        for number in sorted(accepted):
            began = world.now()
            reply = await world.poll(number, label)
            assert reply.status == 200
            assert world.now() - began < 2.0
    assert world.now() - outage_ended_at < 75
    assert world.cloud.violations == []


async def test_the_largest_jobs_start_while_high_rank_jobs_keep_arriving() -> None:
    world = World({"begin_s": 60})
    world.cloud.capacity = 2
    world.cloud.run_s = lambda task: 15.0
    await world.start_controllers()
    for zone in ("a", "b"):
        world.cloud.add_machine(zone)
    await asyncio.sleep(5)
    number = 10

    async def submit_high_rank_jobs() -> None:
        nonlocal number
        while True:
            number += 1
            await world.submit(job(number, rank="high", crew="red", pieces=8, expectS=15.0))
            await asyncio.sleep(10)

    submissions = asyncio.create_task(submit_high_rank_jobs())
    await asyncio.sleep(15)
    began = world.now()
    await world.submit(job(1, pieces=40, vcpus=8.0, crew="blue", expectS=15.0))
    await world.submit(job(2, pieces=1, crew="blue", rank="best_effort"))
    for task in ("job-000001/0", "job-000002/0"):
        await world.until(lambda task=task: any(n == task for _, n, _ in world.cloud.starts), 240)
    assert world.now() - began < 240
    # Only one task of the job is placed ahead of its rank: the high-rank jobs went on.
    since = [name for at, name, _ in world.cloud.starts if at > began]
    assert sum(n.startswith("job-000001/") for n in since) <= 3
    assert len(since) > 30
    submissions.cancel()


async def test_names_of_300_initial_machines_are_stored() -> None:
    # With an estimate of 40 bytes per name, a fleet half as large again as the largest known one
    # was not stored, and would have been deleted as idle.
    world = World()
    names = [world.cloud.add_machine() for _ in range(300)]
    await world.start_controllers()
    await asyncio.sleep(5)
    assert world.active().initial_machine_names() == frozenset(names)
