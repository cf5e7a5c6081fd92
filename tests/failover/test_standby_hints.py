"""Hints about a leader's workers: pages, the follower's cache, and their use by a new leader."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from msgspec.structs import replace

from spoolcourse.control.failover.hint_cache import (
    HintCache,
    HintPageRejectedError,
    HintRejection,
)
from spoolcourse.control.failover.hint_page import build_hint_page
from spoolcourse.control.failover.hint_query import MAX_IMAGES_PER_MACHINE, HintQuery
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.peers import Hint, HintPage
from tests.fakes.failover import (
    STANDBY_ON,
    standby_of,
    start_with_running_job,
    wait_for_failover,
)
from tests.fakes.registry import RegistryHarness
from tests.fakes.world import World

PAGE = HintPage(7, "n0", 40, [Hint("m-1", "m-1:9", 1, {"img": 1.0}), Hint("m-2", "m-2:9", 1)])


def accept(
    hint_cache: HintCache, page: HintPage, leader: str = "n0", after: str = "", limit: int = 2
) -> None:
    hint_cache.accept_page(page, leader, HintQuery(after, limit), known_term=7)


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
def test_an_invalid_page_is_rejected_and_leaves_the_cache_unchanged(
    page: HintPage, rejection: HintRejection
) -> None:
    hint_cache = HintCache()
    accept(hint_cache, PAGE)
    with pytest.raises(HintPageRejectedError):
        accept(hint_cache, page)
    assert hint_cache.for_term(7) == PAGE.hints
    assert dict(hint_cache.rejections) == {rejection: 1}


def test_hints_of_an_earlier_term_are_stale_and_unknown_fields_are_ignored() -> None:
    hint_cache = HintCache()
    accept(hint_cache, parse(page_with_unknown_fields(), HintPage))
    assert hint_cache.for_term(8) == []
    assert len(hint_cache.for_term(7)) == 2
    hint_cache.accept_page(replace(PAGE, term=9, hints=[]), "n0", HintQuery("", 2), known_term=9)
    assert hint_cache.for_term(7) == []
    assert len(hint_cache) == 0


def page_with_unknown_fields() -> dict[str, Any]:
    hint = {"machine": "m-1", "address": "m-1:9", "session": 1, "mood": "good"}
    other = {"machine": "m-2", "address": "m-2:9", "session": 1}
    return {"term": 7, "leader": "n0", "revision": 40, "hints": [hint, other], "colour": "red"}


def test_a_page_replaces_all_hints_of_the_names_that_it_covers() -> None:
    hint_cache = HintCache()
    first_page = replace(PAGE, has_next=True)
    accept(hint_cache, first_page)
    accept(hint_cache, replace(PAGE, hints=[Hint("m-5", "m-5:9", 1)]), after="m-2")
    accept(
        hint_cache, replace(first_page, hints=[Hint("m-2", "m-2:9", 1), Hint("m-3", "m-3:9", 1)])
    )
    assert sorted(hint.machine for hint in hint_cache.for_term(7)) == ["m-2", "m-3", "m-5"]


def test_a_leaders_pages_are_bounded_and_continue_after_a_name() -> None:
    harness = RegistryHarness()
    for number in range(5):
        harness.sequence = 0
        harness.heartbeat(spindle=f"m-{number}")
        machine = harness.registry.machines[f"m-{number}"]
        for image in range(MAX_IMAGES_PER_MACHINE + 4):
            machine.add_cached_image(f"i{image}", 1.0, 100.0)
    page = build_hint_page(harness.registry, "n0", 40, "after=m-1&most=2")
    assert [hint.machine for hint in page.hints] == ["m-2", "m-3"]
    assert page.has_next
    assert all(len(hint.images) == MAX_IMAGES_PER_MACHINE for hint in page.hints)
    for query in ("after=m-1", "most=0", "most=501", "most=-1"):
        with pytest.raises(MalformedError):
            build_hint_page(harness.registry, "n0", 40, query)


@pytest.mark.parametrize("incarnation", [1, 2])
def test_hinted_images_count_only_in_the_incarnation_that_they_belong_to(incarnation: int) -> None:
    harness = RegistryHarness()
    harness.disk_gb = lambda machine_type: 50.0  # type: ignore[method-assign]
    harness.registry.unapplied_hints["m-1"] = Hint("m-1", "m-1:9", 1, {"new": 1.0, "old": 2.0})
    harness.heartbeat(shift=incarnation)
    images = list(harness.registry.machines["m-1"].images)
    assert images == (["old", "new"] if incarnation == 1 else [])


async def test_a_new_leader_learns_of_hinted_workers_before_the_cloud_lists_them() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world)
    await asyncio.sleep(3)
    world.network.filters.append(  # neither the cloud's list nor heartbeats reach the new leader
        lambda src, dst, method, path, body: (
            "cut" if path.startswith("/hosts") or path == "/v1/report" else None
        )
    )
    world.kill(former)
    successor = await wait_for_failover(world, former)
    await asyncio.sleep(0.5)
    machines = world.active(successor).registry.machines.values()
    assert [m.id for m in machines if m.confirmed]
    assert world.cloud.violations == []


async def test_a_hint_of_a_deleted_machine_does_not_register_it() -> None:
    world = World(standby=STANDBY_ON)
    former = await start_with_running_job(world, tasks=4)
    idle = world.cloud.add_machine()
    await asyncio.sleep(6)
    world.kill(former)
    world.cloud.lose_machine(idle)
    successor = await wait_for_failover(world, former)
    hints = standby_of(world, successor).hints.for_term(1)
    assert idle in [hint.machine for hint in hints]
    await asyncio.sleep(3)
    assert idle not in world.active(successor).registry.machines


async def test_a_failover_succeeds_if_peers_of_an_older_version_serve_no_hints() -> None:
    world = World(standby=STANDBY_ON)
    requested_by: list[str] = []

    def refuse_hints(src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        if path.startswith("/hints"):
            requested_by.append(src)
            return "404"
        return None

    world.network.filters.append(refuse_hints)
    former = await start_with_running_job(world)
    await asyncio.sleep(10)
    assert 1 <= len(requested_by) <= 4, "hints were not requested, or were requested again too soon"
    world.kill(former)
    await wait_for_failover(world, former)
    await world.wait_until_done(1)
    assert world.cloud.violations == []
