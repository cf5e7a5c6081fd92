"""The key-value store refuses only the leader while its peers confirm cancellations; then nobody
reaches the store for longer than `cancel_s`.
"""

from __future__ import annotations

import asyncio

import pytest

from spoolcourse.control.jobs.cancellations import Cancellations
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.wire.peers import Cancellation
from spoolcourse.wire.settings import WorkerSettings
from tests.fakes.isolated_leader import CANCEL_S, IsolatedLeader
from tests.fakes.one_way_link import heartbeats_only
from tests.fakes.world import LABELS


async def test_only_cancelled_tasks_end_when_the_store_refused_only_the_leader() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    await isolated.cancel_behind_leader()
    await isolated.wait_until_tasks_gone_in_time()
    await isolated.sleep_after_cancellation(60)
    isolated.end_outage()
    await asyncio.sleep(10)
    cloud = isolated.world.cloud
    assert len(cloud.running_tasks("job-000002")) == 4
    assert len(cloud.starts) == 8
    for label in LABELS:
        assert (await isolated.world.poll(1, label)).data["stage"] == "aborted"
    assert cloud.violations == []


async def test_a_leader_cut_off_from_its_peers_lets_all_leases_expire() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    cut = isolated.partition(isolated.leader, *isolated.others)
    await isolated.cancel_behind_leader()
    # No peer can reply to the leader: it lets all leases expire, the cancelled job's too.
    await isolated.sleep_after_cancellation(20)
    assert len(isolated.world.cloud.running_tasks("job-000002")) == 4, (
        "the leases expired sooner than needed"
    )
    await isolated.wait_until_tasks_gone_in_time()
    await isolated.sleep_after_cancellation(60)
    isolated.end_outage()
    isolated.world.network.filters.remove(cut)
    world = isolated.world
    await world.until(lambda: len(world.cloud.running_tasks("job-000002")) == 4, 60)
    assert world.cloud.running_tasks("job-000001") == []
    assert world.cloud.violations == []


@pytest.mark.parametrize("after", [0.3, 20.0])
async def test_cancelled_tasks_end_when_the_only_peer_that_knows_restarts(after: float) -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    informed, uninformed = isolated.others
    isolated.refuse_store_requests_of(uninformed)  # it does not see the cancellation in the store
    cut = isolated.partition(isolated.leader, informed)
    await isolated.cancel_behind_leader(through=informed)
    await asyncio.sleep(after)
    isolated.world.kill(informed)
    await asyncio.sleep(0.4)
    isolated.world.start(informed)
    isolated.world.network.filters.remove(cut)
    await isolated.wait_until_tasks_gone_in_time()


async def test_cancelled_tasks_end_with_a_peer_that_lacks_the_cancellation_query() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    isolated.world.network.filters.append(
        lambda src, dst, method, path, body: (
            "404" if dst == f"{isolated.others[0]}:81" and path.startswith("/cancel") else None
        )
    )
    isolated.refuse_store_requests_of(isolated.others[1])
    await isolated.cancel_behind_leader(through=isolated.others[0])
    await isolated.wait_until_tasks_gone_in_time()


async def test_relayed_heartbeats_renew_no_longer_than_direct_ones() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    isolated.partition(isolated.leader, "m-")
    # The followers relay heartbeats, but their replies to cancellation queries are lost.
    isolated.world.network.filters.append(
        lambda src, dst, method, path, body: "cut" if path.startswith("/cancel") else None
    )
    await asyncio.sleep(20)
    assert len(isolated.world.cloud.running_tasks("job-000001")) == 4
    await isolated.cancel_behind_leader()
    await isolated.wait_until_tasks_gone_in_time()


async def test_a_leader_is_isolated_twice_in_a_row() -> None:
    isolated = await IsolatedLeader.with_running_jobs(3)
    for number in (1, 2):
        await isolated.cancel_behind_leader(number)
        await isolated.wait_until_tasks_gone_in_time(number)
        await isolated.sleep_after_cancellation(50)
        isolated.end_outage()
        await asyncio.sleep(3)
        isolated = IsolatedLeader(isolated.world)
    assert len(isolated.world.cloud.running_tasks("job-000003")) == 4
    assert len(isolated.world.cloud.starts) == 12
    assert isolated.world.cloud.violations == []


async def test_a_suspended_leader_renews_no_lease_before_it_is_caught_up() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    world = isolated.world
    _, worker = next(iter(world.cloud.workers.items()))
    old = world.controllers[isolated.leader]
    assert old.leader_term is not None
    assert old.leader_term.active is not None
    assert worker.fencing_token == old.leader_term.active.registry.fencing_token
    isolated.partition(isolated.leader, *isolated.others, "state", "cloud", "m-")
    world.network.stalled.add((isolated.leader, "state:1"))
    await isolated.confirm_cancellation()
    await isolated.sleep_after_cancellation(35)
    # A heartbeat of a worker that has not seen the successor's fencing token arrives first.
    body = worker.heartbeat() | {"baton": old.leader_term.active.registry.fencing_token}
    reply = await world.request(isolated.leader, "POST", "/v1/report", body)
    assert (reply.status, "baton" in (reply.data or {})) == (503, False)
    assert int(reply.headers["Retry-After"]) >= 1


async def test_running_work_survives_an_outage_longer_than_cancel_s() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    isolated.world.store.in_outage = True
    await asyncio.sleep(3 * CANCEL_S)
    isolated.end_outage()
    await asyncio.sleep(5)
    for number in (1, 2):
        assert len(isolated.world.cloud.running_tasks(f"job-{number:06d}")) == 4
    assert len(isolated.world.cloud.starts) == 8
    assert {w.incarnation for w in isolated.world.cloud.workers.values()} == {1}


@pytest.mark.parametrize("fault", ["deaf", "mute", "hung"])
async def test_a_late_cancellation_ends_tasks_on_an_unreachable_machine(fault: str) -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    world = isolated.world
    cut = isolated.partition(isolated.leader, *isolated.others)
    await isolated.cancel_behind_leader()
    await isolated.sleep_after_cancellation(31)
    for name in list(world.cloud.workers):
        if fault == "hung":
            world.cut_off(name)
        elif fault == "mute":
            world.network.filters.append(
                lambda src, dst, *rest, name=name: "cut" if src == name else None
            )
        else:
            world.network.filters.append(heartbeats_only(name))
    await asyncio.sleep(1)
    world.network.filters.remove(cut)  # now the leader learns of the cancellation
    await isolated.wait_until_tasks_gone_in_time()
    await asyncio.sleep(20)
    assert world.cloud.running_tasks("job-000001") == []


async def test_a_leader_refused_by_the_store_learns_of_its_successor_from_a_peer() -> None:
    isolated = await IsolatedLeader.with_running_jobs()
    old = isolated.world.controllers[isolated.leader]
    isolated.refuse_store_requests_of(isolated.leader)
    isolated.partition(isolated.leader, "m-")  # so that no worker shows it the new fencing token
    await isolated.world.until(lambda: old.leader_term is None, 10)
    assert any(isolated.world.controllers[n].leader_term for n in isolated.others)


def test_renewal_ends_early_enough_for_an_unknown_cancellation() -> None:
    renewal_deadline = RenewalDeadline(
        WorkerSettings(heartbeat_interval_s=1.5, lease_s=10.0, cancel_s=40.0)
    )
    assert not renewal_deadline.may_renew(0.0)
    renewal_deadline.record_store_read(100.0)
    renewal_deadline.record_store_read(90.0)
    assert renewal_deadline.caught_up_at == 100.0
    last = 100.0 + renewal_deadline.renewal_window_s
    assert renewal_deadline.may_renew(last)
    assert not renewal_deadline.may_renew(last + 0.01)
    # The worker renewed last ends its tasks in time even with both clocks at their largest drift.
    assert last + 10.0 * 1.0005 < 100.0 + 40.0 * 0.9995 - 1.0
    assert not renewal_deadline.record_peer_acknowledgements(130.0, [True, False])
    assert renewal_deadline.caught_up_at == 100.0
    assert renewal_deadline.record_peer_acknowledgements(130.0, [True, True])
    assert renewal_deadline.caught_up_at == 130.0
    assert renewal_deadline.record_peer_acknowledgements(140.0, []), (
        "without peers nobody else can confirm a cancellation"
    )


def test_a_controller_that_dropped_old_cancellations_reports_the_gap() -> None:
    known = Cancellations(max_count=2)
    for revision in (5, 7, 9):
        known.add(Cancellation(f"job-{revision:06d}", 1.0, revision))
    assert known.after(4) is None
    assert [c.revision for c in known.after(5) or []] == [7, 9]
    assert [c.revision for c in known.after(7) or []] == [9]
