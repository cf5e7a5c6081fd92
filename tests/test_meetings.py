"""Two troubles that meet: see the table in docs/design.md."""

from __future__ import annotations

import asyncio
from typing import Any

from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.store.client import StoreClient, Unclear
from spoolcourse.control.store.keys import LEADER, PREFIX
from spoolcourse.control.store.mirror import Mirror
from spoolcourse.wire.settings import State
from tests.fakes.clock import play
from tests.fakes.net import FakeWire
from tests.fakes.state import FakeState
from tests.test_fleet import TERM, Crew, on


def test_work_on_a_machine_that_only_calls_reach_is_not_started_elsewhere_too() -> None:
    # Its lease runs out; calls show its next session. With the last answer taken for the
    # beginning of that session's lease, what was started there was thought gone while it ran.
    crew = Crew()
    crew.report()
    crew.assign()
    crew.report(on())
    machine = crew.roster.machines["m-1"]
    crew.now += 10.2  # its lease has run out, which is not certain here yet
    shown = crew.observed(shift=2, tick=1)
    assert not crew.work.attempts and machine.confirmed, shown
    attempt = crew.assign(0, 2)
    crew.observed(on(0, 2), shift=2)
    crew.now += 2.0
    crew.roster.expire()
    assert crew.work.attempts == {0: attempt}
    crew.now += 10.0
    crew.roster.expire()
    assert not crew.work.attempts, "nobody renews that session: it is over by now"


def test_a_machine_that_reaches_no_controller_gets_no_new_work() -> None:
    # Its answers to calls keep coming; what calls start there dies with each lease.
    crew = Crew()
    crew.roster.quiet_s = 5.0
    crew.report()
    machine = crew.roster.machines["m-1"]
    crew.now += 4.0
    crew.observed()
    assert not crew.roster.quiet(machine)
    crew.assign()
    assert crew.roster.due(()) == [machine]
    crew.now += 1.5
    crew.observed()
    assert machine.heard_at == crew.now and crew.roster.quiet(machine)
    assert crew.roster.due(()) == [], "nor are starts sent"
    crew.report()
    assert crew.roster.due(()) == [machine]


def test_the_first_answer_after_a_change_of_leader_ends_what_is_cancelled() -> None:
    # It renews the lease and may be the last one that arrives: the next one is too late.
    crew = Crew()
    attempt = crew.works.adopt(crew.work, 0, "m-1", 1, crew.now)
    crew.roster.link(attempt)
    crew.work.record.aborted_at = crew.now - 30.0
    halt = {"verb": "halt", "piece": "job-000001/0", "try": 1, "windDownS": 0.0}
    assert crew.report(on(), baton=TERM - 1) == [halt]
    assert crew.work.attempts, "that it is told proves nothing"
    # One that is not shown may still start there: the halt goes out all the same.
    assert crew.report(baton=TERM - 1) == [halt]
    assert crew.report() == [] and not crew.work.attempts


def test_a_claim_that_is_carried_out_late_is_not_taken_for_the_next_one() -> None:
    # Both are of the same run and for the same term, but on leases of their own: the key hangs
    # on the first one's, which nobody renews.
    async def story() -> None:
        state, wire = FakeState(), FakeWire()
        wire.hosts["state:1"] = state.serve
        limits = State(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
        client = StoreClient(wire.end_of("n0"), "state:1", limits, nodes=2)
        mirror = Mirror(client, PREFIX)
        node = Leadership(client, mirror, "n0", "run-0")
        await mirror.load()
        wire.filters.append(
            lambda src, dst, method, path, body: "hold" if path == "/multi" else None
        )
        for _ in range(2):
            try:
                await node._stand()
            except Unclear:
                if len(wire.held) == 2:
                    break
                # The first claim is carried out while the second one is under way.
                get = client.get

                async def late(key: str, get: Any = get) -> Any:
                    dst, method, path, body = wire.held[0]
                    await state.serve(method, path, body)
                    return await get(key)

                client.get = late  # type: ignore[method-assign]
        assert node.office is None and len(wire.held) == 2
        assert state.value(LEADER) is not None
        await asyncio.sleep(4)
        assert state.value(LEADER) is None, "nobody renews it, so others may stand"

    play(story())
