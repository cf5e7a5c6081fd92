"""The gap: the key-value store refuses the leader alone, others confirm cancellations, and then
nobody reaches it for longer than `cancel_s`."""

from __future__ import annotations

import asyncio

import pytest

from spoolcourse.control.jobs.cancellations import Cancellations
from spoolcourse.control.leadership.renewal_deadline import RenewalDeadline
from spoolcourse.wire.peers import Cancellation
from spoolcourse.wire.settings import Workers
from tests.fakes.clock import play
from tests.fakes.gap import CANCEL_S, Gap
from tests.fakes.half_open import half_open
from tests.fakes.world import LABELS


def test_the_gap_ends_what_is_cancelled_and_nothing_else() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        await gap.open()
        await gap.gone_in_time()
        await gap.hold_on(60)
        gap.close()
        await asyncio.sleep(10)
        cloud = gap.world.cloud
        assert len(cloud.on_machines("job-000002")) == 4 and len(cloud.starts) == 8
        for label in LABELS:
            assert (await gap.world.poll(1, label)).data["stage"] == "aborted"
        assert cloud.broken == []

    play(story())


def test_the_gap_with_the_peers_cut_off_too() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        cut = gap.apart(gap.leader, *gap.others)
        await gap.open()
        # Nobody can tell the leader: it lets all leases run out, the cancelled job's too.
        await gap.hold_on(20)
        assert len(gap.world.cloud.on_machines("job-000002")) == 4, "not sooner than needed"
        await gap.gone_in_time()
        await gap.hold_on(60)
        gap.close()
        gap.world.wire.filters.remove(cut)
        await gap.world.until(lambda: len(gap.world.cloud.on_machines("job-000002")) == 4, 60)
        assert gap.world.cloud.on_machines("job-000001") == []
        assert gap.world.cloud.broken == []

    play(story())


@pytest.mark.parametrize("after", [0.3, 20.0])
def test_the_gap_with_the_one_peer_that_knows_restarted_in_it(after: float) -> None:
    async def story() -> None:
        gap = await Gap.begin()
        knows, ignorant = gap.others
        gap.refuse(ignorant)  # it has not seen the cancellation itself
        cut = gap.apart(gap.leader, knows)
        await gap.open(through=knows)
        await asyncio.sleep(after)
        gap.world.kill(knows)
        await asyncio.sleep(0.4)
        gap.world.start(knows)
        gap.world.wire.filters.remove(cut)
        await gap.gone_in_time()

    play(story())


def test_the_gap_with_a_peer_too_old_to_know_the_question() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        gap.world.wire.filters.append(
            lambda src, dst, method, path, body: (
                "404" if dst == f"{gap.others[0]}:81" and path.startswith("/cancel") else None
            )
        )
        gap.refuse(gap.others[1])
        await gap.open(through=gap.others[0])
        await gap.gone_in_time()

    play(story())


def test_relayed_reports_renew_no_longer_than_others() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        gap.apart(gap.leader, "m-")
        # The followers pass heartbeats on; what they know of cancellations doesn't get through.
        gap.world.wire.filters.append(
            lambda src, dst, method, path, body: "cut" if path.startswith("/cancel") else None
        )
        await asyncio.sleep(20)
        assert len(gap.world.cloud.on_machines("job-000001")) == 4
        await gap.open()
        await gap.gone_in_time()

    play(story())


def test_two_gaps_in_a_row() -> None:
    async def story() -> None:
        gap = await Gap.begin(3)
        for number in (1, 2):
            await gap.open(number)
            await gap.gone_in_time(number)
            await gap.hold_on(50)
            gap.close()
            await asyncio.sleep(3)
            gap = Gap(gap.world)
        assert len(gap.world.cloud.on_machines("job-000003")) == 4
        assert len(gap.world.cloud.starts) == 12 and gap.world.cloud.broken == []

    play(story())


def test_a_leader_that_stood_still_renews_nothing_before_it_knows() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        world = gap.world
        name, worker = next(iter(world.cloud.workers.items()))
        old = world.nodes[gap.leader]
        assert (
            old.leader_term is not None
            and old.leader_term.active is not None
            and worker.fencing_token == old.leader_term.active.registry.fencing_token
        )
        gap.apart(gap.leader, *gap.others, "state", "cloud", "m-")
        world.wire.stalled.add((gap.leader, "state:1"))
        await gap.cancel()
        await gap.hold_on(35)
        # A worker's heartbeat that its successor's baton has not reached comes before anything
        # else.
        body = worker.heartbeat() | {"baton": old.leader_term.active.registry.fencing_token}
        reply = await world.ask(gap.leader, "POST", "/v1/report", body)
        assert (reply.status, "baton" in (reply.data or {})) == (503, False)
        assert int(reply.headers["Retry-After"]) >= 1

    play(story())


def test_running_work_survives_an_outage_longer_than_cancel_s() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        gap.world.state.out = True
        await asyncio.sleep(3 * CANCEL_S)
        gap.close()
        await asyncio.sleep(5)
        for number in (1, 2):
            assert len(gap.world.cloud.on_machines(f"job-{number:06d}")) == 4
        assert len(gap.world.cloud.starts) == 8
        assert {w.incarnation for w in gap.world.cloud.workers.values()} == {1}

    play(story())


@pytest.mark.parametrize("way", ["deaf", "mute", "hung"])
def test_a_cancellation_learned_late_on_a_machine_that_cannot_be_told(way: str) -> None:
    async def story() -> None:
        gap = await Gap.begin()
        world = gap.world
        cut = gap.apart(gap.leader, *gap.others)
        await gap.open()
        await gap.hold_on(31)
        for name in list(world.cloud.workers):
            if way == "hung":
                world.cut_off(name)
            elif way == "mute":
                world.wire.filters.append(
                    lambda src, dst, *rest, name=name: "cut" if src == name else None
                )
            else:
                world.wire.filters.append(half_open(name))
        await asyncio.sleep(1)
        world.wire.filters.remove(cut)  # now it hears of it
        await gap.gone_in_time()
        await asyncio.sleep(20)
        assert world.cloud.on_machines("job-000001") == []

    play(story())


def test_a_leader_refused_alone_hears_of_its_successor_from_a_peer() -> None:
    async def story() -> None:
        gap = await Gap.begin()
        old = gap.world.nodes[gap.leader]
        gap.refuse(gap.leader)
        gap.apart(gap.leader, "m-")  # no worker tells it
        await gap.world.until(lambda: old.leader_term is None, 10)
        assert any(gap.world.nodes[n].leader_term for n in gap.others)

    play(story())


def test_how_long_leases_may_be_renewed() -> None:
    renewal_deadline = RenewalDeadline(
        Workers(heartbeat_interval_s=1.5, lease_s=10.0, cancel_s=40.0)
    )
    assert not renewal_deadline.may_renew(0.0)
    renewal_deadline.synced(100.0)
    renewal_deadline.synced(90.0)
    assert renewal_deadline.known_to == 100.0
    last = 100.0 + renewal_deadline.window_s
    assert renewal_deadline.may_renew(last) and not renewal_deadline.may_renew(last + 0.01)
    # Whoever was answered last is rid of everything in time, both clocks at their worst.
    assert last + 10.0 * 1.0005 < 100.0 + 40.0 * 0.9995 - 1.0
    assert not renewal_deadline.acknowledged_by_peers(130.0, [True, False])
    assert renewal_deadline.known_to == 100.0
    assert (
        renewal_deadline.acknowledged_by_peers(130.0, [True, True])
        and renewal_deadline.known_to == 130.0
    )
    assert renewal_deadline.acknowledged_by_peers(140.0, []), (
        "nobody else could have confirmed anything"
    )


def test_a_node_that_forgot_cancellations_says_so() -> None:
    known = Cancellations(max_count=2)
    for revision in (5, 7, 9):
        known.add(Cancellation(f"job-{revision:06d}", 1.0, revision))
    assert known.after(4) is None
    assert [c.revision for c in known.after(5) or []] == [7, 9]
    assert [c.revision for c in known.after(7) or []] == [9]
