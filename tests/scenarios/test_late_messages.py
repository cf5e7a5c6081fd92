"""Heartbeats, commands and transactions that are delivered late."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import OutcomeUnknownError
from spoolcourse.control.store.keys import (
    FINAL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    PREFIX,
    PROGRESS_PREFIX,
    TERM_KEY,
    final_key,
    job_key,
    parse_progress_key,
)
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.settings import StoreLimits
from tests.fakes.clock import spawn
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork
from tests.fakes.registry import TERM, RegistryHarness, task_entry
from tests.fakes.scenario_steps import restart_leader, retry_until_accepted, wait_until_jobs_end
from tests.fakes.world import LABELS, World, job


def test_tasks_of_a_machine_reached_only_by_direct_calls_start_nowhere_else() -> None:
    # The machine's lease expires; replies to direct calls show its next incarnation. That
    # incarnation's lease was taken to start at the last reply, so tasks started there were
    # considered lost while they ran.
    harness = RegistryHarness()
    harness.heartbeat()
    harness.assign()
    harness.heartbeat(task_entry())
    machine = harness.registry.machines["m-1"]
    harness.now += 10.2  # its lease has expired, which the registry cannot be sure of yet
    heartbeat = harness.observe(shift=2, tick=1)
    assert not harness.job_state.attempts, heartbeat
    assert machine.confirmed, heartbeat
    attempt = harness.assign(0, 2)
    harness.observe(task_entry(0, 2), shift=2)
    harness.now += 2.0
    harness.registry.expire_leases()
    assert harness.job_state.attempts == {0: attempt}
    harness.now += 10.0
    harness.registry.expire_leases()
    assert not harness.job_state.attempts, (
        "the lease of that incarnation was never renewed and has expired"
    )


def test_a_machine_that_reaches_no_controller_gets_no_new_tasks() -> None:
    # It still replies to direct calls, but tasks started there end whenever its lease expires.
    harness = RegistryHarness()
    harness.registry.suspect_after_s = 5.0
    harness.heartbeat()
    machine = harness.registry.machines["m-1"]
    harness.now += 4.0
    harness.observe()
    assert not harness.registry.is_suspect(machine)
    harness.assign()
    assert harness.registry.direct_commands.machines_to_call(()) == [machine]
    harness.now += 1.5
    harness.observe()
    assert machine.last_heartbeat_at == harness.now
    assert harness.registry.is_suspect(machine)
    assert harness.registry.direct_commands.machines_to_call(()) == [], (
        "start commands are sent to a suspect machine"
    )
    harness.heartbeat()
    assert harness.registry.direct_commands.machines_to_call(()) == [machine]


def test_the_first_heartbeat_reply_after_a_failover_halts_cancelled_tasks() -> None:
    # That reply renews the lease and may be the last one to arrive: the next may come too late.
    harness = RegistryHarness()
    attempt = harness.job_queue.adopt(harness.job_state, 0, "m-1", 1, harness.now)
    harness.registry.track_attempt(attempt)
    harness.job_state.record.cancelled_at = harness.now - 30.0
    halt = {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}
    assert harness.heartbeat(task_entry(), baton=TERM - 1) == [halt]
    assert harness.job_state.attempts, "sending the halt does not prove that the task has ended"
    # A task missing from the heartbeat may still start there, so the halt is sent nevertheless.
    assert harness.heartbeat(baton=TERM - 1) == [halt]
    assert harness.heartbeat() == []
    assert not harness.job_state.attempts


async def test_a_claim_executed_late_is_not_mistaken_for_the_next_claim() -> None:
    # Both claims to leadership are of the same run and the same term, but each has its own lease.
    # The leader key is attached to the lease of the first claim, which nobody renews.
    store, network = FakeKeyValueStore(), FakeNetwork()
    network.hosts["state:1"] = store.serve
    limits = StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
    client = StoreClient(network.client_of("n0"), "state:1", limits, controllers=2)
    watch_cache = WatchCache(client, PREFIX)
    leadership = Leadership(client, watch_cache, "n0", "run-0")
    await watch_cache.reload()
    network.filters.append(
        lambda src, dst, method, path, body: "hold" if path == "/multi" else None
    )
    for _ in range(2):
        try:
            await leadership._stand_for_election()
        except OutcomeUnknownError:
            if len(network.held) == 2:
                break
            # The first claim is executed while the second one is in flight.
            get = client.get

            async def get_after_first_claim(key: str, get: Any = get) -> Any:
                _, method, path, body = network.held[0]
                await store.serve(method, path, body)
                return await get(key)

            client.get = get_after_first_claim  # type: ignore[method-assign]
    assert leadership.term is None
    assert len(network.held) == 2
    assert store.value(LEADER_KEY) is not None
    await asyncio.sleep(4)
    assert store.value(LEADER_KEY) is None, (
        "the unrenewed lease must expire so that others can be elected"
    )


def guard_keys(key: str) -> set[str]:
    """Return the keys whose change makes an earlier write of this key invalid."""
    if key.startswith(PROGRESS_PREFIX):
        return {key, job_key(parse_progress_key(key)[0]), TERM_KEY}
    if key.startswith(FINAL_PREFIX):
        return {key, job_key(key[len(FINAL_PREFIX) :]), TERM_KEY}
    return {key, final_key(key[len(JOB_PREFIX) :])} if key.startswith(JOB_PREFIX) else {key}


def delay_transactions(world: World, every: int) -> Any:
    """Return a network filter: every `every`-th transaction gets no reply and is executed later.

    The transaction must change nothing if a key that it depends on has changed since, or was
    deleted and created again.
    """
    count = 0
    sent: dict[int, int] = {}
    bodies: list[Any] = []

    def check_late_execution(body: Any, reply: Any) -> None:
        guards = set().union(*(guard_keys(op.get("set") or op["delete"]) for op in body["apply"]))
        since = sent[id(body)]
        log = world.store.log[: -len(body["apply"])] if reply.status == 200 else world.store.log
        changed = guards & {str(e.get("set") or e["delete"]) for e in log if e["stamp"] > since}
        if changed and reply.status == 200:
            world.cloud.violations.append(f"executed late although {changed} changed")

    world.network.on_late = check_late_execution

    def check(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        nonlocal count
        if path != "/multi" or not body.get("apply"):
            return None
        count += 1
        if count % every:
            return None
        sent[id(body)] = world.store.store_revision
        bodies.append(body)  # keeps it alive: `id` of a freed body could be reused
        return "late"

    return check


@pytest.mark.parametrize("every", [2, 3])
async def test_transactions_executed_late_do_not_overwrite_newer_values(every: int) -> None:
    world = World()
    world.cloud.run_s = lambda task: 6.0 + int(task[-1]) * 3.0
    await world.start_controllers()
    world.network.filters.append(delay_transactions(world, every))
    for number in range(1, 9):
        body = job(number, pieces=3, crew="blue" if number % 2 else "red")
        await retry_until_accepted(world, lambda label, body=body: world.submit(body, label))
        if number % 3 == 0:
            spawn(retry_until_accepted(world, lambda label, n=number: world.cancel(n, label)))
        if number == 5:
            await restart_leader(world, 0.3)
    await asyncio.sleep(60)
    world.network.filters.clear()
    await asyncio.sleep(15)
    await wait_until_jobs_end(world, range(1, 9))


async def test_a_heartbeat_delayed_past_a_failover_gets_no_commands() -> None:
    world = World()
    world.cloud.run_s = lambda task: 25.0
    world.cloud.capacity = 3
    name = await world.start_with_machine()
    world.cloud.add_machine("b")
    await world.submit(job(pieces=6))
    await world.until(lambda: len(world.cloud.starts) == 6, 60)
    held: list[Any] = []

    def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if src == name and path == "/v1/report":
            held.append(body)
            return "cut"
        return None

    world.network.filters.append(hold)
    await asyncio.sleep(2)
    await restart_leader(world, 0.5)
    await asyncio.sleep(20)  # the machine's lease has expired, and its tasks run elsewhere
    for body in held:
        for label in LABELS:
            reply = await world.request(label, "POST", "/v1/report", body)
            assert not (reply.status == 200 and reply.data.get("orders"))
    world.network.filters.clear()
    await wait_until_jobs_end(world, (1,))


async def test_commands_delivered_late_to_a_machine_that_hung_cause_no_violation() -> None:
    world = World()
    world.cloud.run_s = lambda task: 15.0
    world.cloud.capacity = 3
    name = await world.start_with_machine()

    def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        return "hold" if dst == f"{name}:9000" and path == "/orders" else None

    world.network.filters.append(hold)
    await world.submit(job(1, pieces=4))
    await world.submit(job(2, pieces=4))
    await asyncio.sleep(3)
    await world.cancel(2)
    world.cut_off(name)  # the machine hangs
    await asyncio.sleep(6)
    world.network.filters.clear()
    await world.network.release()
    await asyncio.sleep(12)
    await world.network.release()
    await wait_until_jobs_end(world, (1, 2))


@pytest.mark.parametrize("meanwhile", ["cancelled", "another leader", "ended"])
async def test_a_write_in_flight_is_refused_once_a_key_it_depends_on_has_changed(
    meanwhile: str,
) -> None:
    # The written key itself has not changed, but another key that the write depends on has.
    world = World()
    world.cloud.run_s = lambda task: 4.0
    await world.start_with_machine()
    held_prefix = FINAL_PREFIX if meanwhile == "ended" else PROGRESS_PREFIX

    def hold(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        puts = [op.get("set", "") for op in (body or {}).get("apply", [])]
        return "hold" if any(key.startswith(held_prefix) for key in puts) else None

    world.network.filters.append(hold)
    await world.submit(job(pieces=2))
    await asyncio.sleep(14 if meanwhile == "ended" else 3)
    held_count = len(world.network.held)  # the successor's writes may be held after these
    assert held_count
    if meanwhile == "another leader":
        first = str(world.leader)
        world.kill(first)
        await world.until(lambda: world.leader not in (None, first), 10)
    else:
        assert (await world.cancel(1, "n1")).data["stage"] == "aborted"
    late = await world.network.release()
    assert {reply.status for reply in late[:held_count]} == {409}
    assert held_count == len(late) or meanwhile == "another leader"
    world.network.filters.clear()
    if meanwhile == "another leader":
        world.start(first)
    await wait_until_jobs_end(world, (1,))
