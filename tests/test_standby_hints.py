"""Hints from the leader, and a leader that hands over on purpose."""

from __future__ import annotations

import asyncio
from io import StringIO
from typing import Any

import orjson
import pytest
from msgspec.structs import replace

from spoolcourse.control.failover.hint_cache import (
    HintCache,
    HintPageRejectedError,
    HintRejection,
)
from spoolcourse.control.failover.hint_page import build_hint_page
from spoolcourse.control.failover.hint_query import MAX_IMAGES_PER_MACHINE, HintQuery
from spoolcourse.control.failover.tracing import FailoverTracer
from spoolcourse.control.http_client import Response
from spoolcourse.control.leadership.failover_timeline import FailoverPhase
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.peers import Hint, HintPage
from spoolcourse.wire.standby_settings import StandbySettings
from tests.fakes.clock import play
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import LABELS, World, job
from tests.test_standby_failover import ON, busy, failover

PAGE = HintPage(7, "n0", 40, [Hint("m-1", "m-1:9", 1, {"img": 1.0}), Hint("m-2", "m-2:9", 1)])


def take(
    hint_cache: HintCache, page: HintPage, asked: str = "n0", after: str = "", most: int = 2
) -> None:
    hint_cache.accept_page(page, asked, HintQuery(after, most), known_term=7)


@pytest.mark.parametrize(
    ("page", "rejection"),
    [
        (replace(PAGE, leader="n9"), HintRejection.NOT_THE_LEADER),
        (replace(PAGE, term=6), HintRejection.LOWER_TERM),
        (replace(PAGE, hints=[*PAGE.hints, Hint("m-3", "", 1)]), HintRejection.TOO_LARGE),
        (replace(PAGE, hints=[Hint("m-1", "m" * 300, 1)]), HintRejection.TOO_LARGE),
        (
            replace(PAGE, hints=[Hint("m-1", "m-1:9", 1, {f"i{n}": 1.0 for n in range(17)})]),
            HintRejection.TOO_LARGE,
        ),
        (replace(PAGE, hints=PAGE.hints[::-1]), HintRejection.MALFORMED),
        (replace(PAGE, hints=[], has_next=True), HintRejection.MALFORMED),
    ],
)
def test_an_answer_that_can_not_be_right_is_refused_and_changes_nothing(
    page: HintPage, rejection: HintRejection
) -> None:
    hint_cache = HintCache()
    take(hint_cache, PAGE)
    with pytest.raises(HintPageRejectedError):
        take(hint_cache, page)
    assert hint_cache.for_term(7) == PAGE.hints and dict(hint_cache.rejections) == {rejection: 1}


def test_hints_of_an_earlier_term_are_stale_and_unknown_fields_are_ignored() -> None:
    hint_cache = HintCache()
    take(hint_cache, parse(as_json(), HintPage))
    assert hint_cache.for_term(8) == [] and len(hint_cache.for_term(7)) == 2
    hint_cache.accept_page(replace(PAGE, term=9, hints=[]), "n0", HintQuery("", 2), known_term=9)
    assert hint_cache.for_term(7) == [] and len(hint_cache) == 0


def as_json() -> dict[str, Any]:
    hint = {"machine": "m-1", "address": "m-1:9", "session": 1, "mood": "good"}
    other = {"machine": "m-2", "address": "m-2:9", "session": 1}
    return {"term": 7, "leader": "n0", "revision": 40, "hints": [hint, other], "colour": "red"}


def test_a_page_says_all_of_the_names_that_it_covers() -> None:
    hint_cache = HintCache()
    first = replace(PAGE, has_next=True)
    take(hint_cache, first)
    take(hint_cache, replace(PAGE, hints=[Hint("m-5", "m-5:9", 1)]), after="m-2")
    take(hint_cache, replace(first, hints=[Hint("m-2", "m-2:9", 1), Hint("m-3", "m-3:9", 1)]))
    assert sorted(hint.machine for hint in hint_cache.for_term(7)) == ["m-2", "m-3", "m-5"]


def test_a_leaders_pages_are_bounded_and_go_on_after_a_name() -> None:
    harness = RegistryHarness()
    for number in range(5):
        harness.sequence = 0
        harness.heartbeat(spindle=f"m-{number}")
        machine = harness.registry.machines[f"m-{number}"]
        for image in range(MAX_IMAGES_PER_MACHINE + 4):
            machine.record_cached_image(f"i{image}", 1.0, 100.0)
    page = build_hint_page(harness.registry, "n0", 40, "after=m-1&most=2")
    assert [hint.machine for hint in page.hints] == ["m-2", "m-3"] and page.has_next
    assert all(len(hint.images) == MAX_IMAGES_PER_MACHINE for hint in page.hints)
    for query in ("after=m-1", "most=0", "most=501", "most=-1"):
        with pytest.raises(MalformedError):
            build_hint_page(harness.registry, "n0", 40, query)


@pytest.mark.parametrize("incarnation", [1, 2])
def test_hinted_images_count_in_the_session_that_they_belong_to(incarnation: int) -> None:
    harness = RegistryHarness()
    harness.disk_gb = lambda machine_type: 50.0  # type: ignore[method-assign]
    harness.registry.hinted_images["m-1"] = Hint("m-1", "m-1:9", 1, {"new": 1.0, "old": 2.0})
    harness.heartbeat(shift=incarnation)
    images = list(harness.registry.machines["m-1"].images)
    assert images == (["old", "new"] if incarnation == 1 else [])


def test_a_new_leader_knows_the_workers_before_the_cloud_lists_them() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        await asyncio.sleep(3)
        world.wire.filters.append(  # neither the list nor their own heartbeats tell of them
            lambda src, dst, method, path, body: (
                "cut" if path.startswith("/hosts") or path == "/v1/report" else None
            )
        )
        world.kill(former)
        successor = await failover(world, former)
        await asyncio.sleep(0.5)
        machines = world.active(successor).registry.machines.values()
        assert [m.id for m in machines if m.confirmed] and world.cloud.broken == []

    play(story())


def test_hints_of_a_machine_that_is_gone_make_no_machine_known() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world, tasks=4)
        idle = world.cloud.add()
        await asyncio.sleep(6)
        world.kill(former)
        world.cloud.take(idle)
        successor = await failover(world, former)
        hints = world.nodes[successor].standby
        assert hints is not None and idle in [h.machine for h in hints.hints.for_term(1)]
        await asyncio.sleep(3)
        assert idle not in world.active(successor).registry.machines

    play(story())


def test_peers_that_know_no_hints_lose_nothing_by_them() -> None:
    async def story() -> None:
        world = World(standby=ON)
        asked: list[str] = []

        def old(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
            if path.startswith("/hints"):
                asked.append(src)
                return "404"
            return None

        world.wire.filters.append(old)
        former = await busy(world)
        await asyncio.sleep(10)
        assert 1 <= len(asked) <= 4, "asked again after a long while only"
        world.kill(former)
        await failover(world, former)
        await world.finish(1)
        assert world.cloud.broken == []

    play(story())


async def hand_over(world: World, label: str) -> Response:
    return await world.wire.call("user", f"{label}:81", "POST", "/handover", None, 5.0)


def test_a_leader_hands_over_to_a_standby_that_is_caught_up() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        other = next(n for n in LABELS if n != former)
        reply = await hand_over(world, other)
        assert reply.status == 421 and reply.data == {"error": f"{former} leads"}
        began = world.now()
        reply = await hand_over(world, former)
        assert reply.status == 200 and set(reply.data["successors"]) == set(LABELS) - {former}
        await failover(world, former)
        assert world.now() - began < 1.5, "nobody waits for the lease to run out"
        await world.finish(1)
        assert world.cloud.broken == []

    play(story())


def test_a_leader_without_a_standby_that_is_caught_up_goes_on_and_says_why() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        others = [n for n in LABELS if n != former]
        world.kill(others[0])
        standby = world.nodes[others[1]].standby
        assert standby is not None
        standby._mark_stale("a gap")
        reply = await hand_over(world, former)
        assert reply.status == 409 and world.leader == former
        assert f"{others[0]} does not answer" in reply.data["error"]
        assert f"{others[1]} is not: its shadow is unfit: a gap" in reply.data["error"]

    play(story())


def test_with_the_standby_off_nothing_of_it_is_there() -> None:
    async def story() -> None:
        world = World(standby=StandbySettings())
        former = await busy(world)
        for path in ("/hints?after=&most=1", "/standby"):
            assert (await world.wire.call("u", f"{former}:81", "GET", path, None, 1)).status == 404
        assert (await hand_over(world, former)).status == 409
        status = await world.wire.call("u", f"{former}:81", "GET", "/status", None, 1)
        assert "standby" not in status.data and "storeWrites" in status.data

    play(story())


def test_status_metrics_and_a_trace_tell_of_the_last_take_over() -> None:
    async def story() -> None:
        world = World(standby=ON)
        former = await busy(world)
        world.kill(former)
        successor = await failover(world, former)
        await world.submit(job(2, pieces=1, vcpus=1.0), successor)
        timeline = world.nodes[successor].last_failover_timeline
        assert timeline is not None
        await world.until(lambda: len(timeline.intervals()) == len(FailoverPhase) - 1, 20)
        status = await world.wire.call("u", f"{successor}:81", "GET", "/status", None, 1)
        assert status.data["lastTakeover"]["proof"] == "shadow"
        assert status.data["standby"]["state"] == "leading"
        follower = next(n for n in world.nodes if n != successor)
        status = await world.wire.call("u", f"{follower}:81", "GET", "/status", None, 1)
        assert status.data["standby"]["caughtUp"] and status.data["standby"]["jobs"] == 2
        jobs = world.active(successor).job_queue.jobs.values()
        held = sum(len(job_state.attempts) for job_state in jobs)
        assert held and status.data["standby"]["teamCpus"] == {"red": float(held)}
        text = await world.wire.call("u", f"{follower}:81", "GET", "/metrics", None, 1)
        assert b"spoolcourse_standby_caught_up 1.0" in text.data
        out = StringIO()
        FailoverTracer(successor, world.now, world.now, out).write(timeline)
        spans = [orjson.loads(line) for line in out.getvalue().splitlines()]
        assert {span["name"] for span in spans} == {"take-over"} | {
            phase.value for phase in FailoverPhase if phase is not FailoverPhase.VACANT
        }
        assert len({span["context"]["trace_id"] for span in spans}) == 1

    play(story())
