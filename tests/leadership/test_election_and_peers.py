"""Election, waits for events, fenced writes, and queries to peers."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from spoolcourse.control.async_utils import wait_for_event
from spoolcourse.control.http_client import Response
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.fenced_write import write_fenced
from spoolcourse.control.leadership.peers import LEVEL_QUERY, cancellations_query, query_peers
from spoolcourse.control.leadership.term import Term, known_term_number
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import FEATURE_LEVEL_KEY, PREFIX
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.wire.messages import MalformedError
from spoolcourse.wire.peers import CancellationsResponse, FeatureLevelResponse, parse_since_revision
from spoolcourse.wire.settings import Peer
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork
from tests.fakes.proof import LIMITS


class StoreHarness:
    """A key-value store with one client."""

    def __init__(self) -> None:
        self.store, self.network = FakeKeyValueStore(), FakeNetwork()
        self.network.hosts["state:1"] = self.store.serve
        self.client = StoreClient(self.network.client_of("n0"), "state:1", LIMITS, controllers=1)
        self.watch_cache = WatchCache(self.client, PREFIX)


class Listener:
    """Records elections and step-downs."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def on_elected(self, term: Term) -> None:
        self.calls.append(term.number)

    def on_stepped_down(self) -> None:
        self.calls.append("stepped down")


async def test_a_wait_for_an_event_ends_with_the_event_or_the_timeout() -> None:
    loop, event = asyncio.get_running_loop(), asyncio.Event()
    began = loop.time()
    assert not await wait_for_event(event, 2.0)
    assert loop.time() - began == pytest.approx(2.0)
    loop.call_later(0.5, event.set)
    assert await wait_for_event(event, 2.0)
    assert loop.time() - began == pytest.approx(2.5)
    assert await wait_for_event(event, 0.0), "an event that is already set is taken for a timeout"


async def test_a_cancelled_wait_is_not_taken_for_a_timeout() -> None:
    task = asyncio.create_task(wait_for_event(asyncio.Event(), 2.0))
    await asyncio.sleep(0.1)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_the_listener_is_called_for_each_election_and_step_down_once() -> None:
    harness, listener = StoreHarness(), Listener()
    leadership = Leadership(harness.client, harness.watch_cache, "n0", "run-0", listener=listener)
    await harness.watch_cache.reload()
    assert not leadership.holds_lease()
    await leadership._stand_for_election()
    assert leadership.holds_lease()
    assert leadership.elections_won == 1
    await leadership.step_down_and_release_lease("test")
    leadership.step_down("again")
    assert not leadership.holds_lease()
    assert listener.calls == [1, "stepped down"]
    assert leadership.leader_label == "n0", "the label changed before the watch showed the release"
    assert known_term_number(harness.watch_cache) == 1


async def test_a_fenced_write_of_a_superseded_term_changes_nothing() -> None:
    harness = StoreHarness()
    first = Leadership(harness.client, harness.watch_cache, "n0", "run-0")
    await harness.watch_cache.reload()
    await first._stand_for_election()
    superseded_term = first.term
    assert superseded_term is not None

    async def write(term: Term, level: int, revision: int) -> bool:
        return await write_fenced(
            harness.client,
            harness.watch_cache,
            term,
            FEATURE_LEVEL_KEY,
            {"level": level},
            {FEATURE_LEVEL_KEY: revision},
        )

    assert await write(superseded_term, 1, 0)
    written_revision = harness.watch_cache.revision(FEATURE_LEVEL_KEY)
    assert not await write(superseded_term, 2, 0), (
        "written although the key has another revision than expected"
    )
    await first.step_down_and_release_lease("test")
    successor = Leadership(harness.client, harness.watch_cache, "n1", "run-1")
    await harness.watch_cache.read_barrier()
    await successor._stand_for_election()
    assert successor.term is not None
    assert successor.term.number == superseded_term.number + 1
    assert not await write(superseded_term, 2, written_revision)
    assert harness.store.value(FEATURE_LEVEL_KEY) == {"level": 1}
    assert await write(successor.term, 2, written_revision)
    assert harness.store.value(FEATURE_LEVEL_KEY) == {"level": 2}


async def test_a_fenced_write_of_unknown_outcome_counts_as_not_written() -> None:
    harness = StoreHarness()
    leadership = Leadership(harness.client, harness.watch_cache, "n0", "run-0")
    await harness.watch_cache.reload()
    await leadership._stand_for_election()
    assert leadership.term is not None
    harness.network.filters.append(
        lambda src, dst, method, path, body: "hold" if path == "/multi" else None
    )
    assert not await write_fenced(
        harness.client,
        harness.watch_cache,
        leadership.term,
        FEATURE_LEVEL_KEY,
        {"level": 2},
        {FEATURE_LEVEL_KEY: 0},
    )
    assert harness.watch_cache.get(FEATURE_LEVEL_KEY) is None


async def test_peer_replies_are_in_order_and_none_for_a_peer_that_does_not_know_the_query() -> None:
    harness = StoreHarness()

    def serve_with(status: int, data: Any) -> Any:
        async def serve(method: str, path: str, body: Any) -> Response:
            return Response(status, data)

        return serve

    peers = [Peer(label, f"{label}:81") for label in ("n1", "n2", "n3", "n4")]
    harness.network.hosts["n1:81"] = serve_with(200, {"level": 1})
    harness.network.hosts["n2:81"] = serve_with(404, {"error": "no such resource"})
    harness.network.hosts["n3:81"] = serve_with(200, {"level": "x"})
    harness.network.hosts["n4:81"] = serve_with(200, {"level": 2})
    replies = await query_peers(harness.network.client_of("n0"), peers, LEVEL_QUERY)
    assert replies == [FeatureLevelResponse(1), None, None, FeatureLevelResponse(2)]


def test_the_query_for_cancellations_keeps_its_spelling_on_the_wire() -> None:
    query = cancellations_query(17)
    assert query.path == "/cancellations?beyond=17"
    assert parse_since_revision("beyond=17") == 17
    for malformed in ("", "beyond=", "beyond=x", "beyond=-1", "since=17", "beyond=\u0663"):
        with pytest.raises(MalformedError, match="beyond"):
            parse_since_revision(malformed)
    reply = CancellationsResponse(3, has_read_store=True, cancelled=None)
    assert msgspec.to_builtins(reply) == {"term": 3, "informed": True, "cancelled": None}
