"""How the key-value store's client interprets each response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from spoolcourse.control.http_client import Response
from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    StoreError,
    StoreUnavailableError,
    TooFarBehindError,
    ValueTooLargeError,
)
from spoolcourse.control.store.keys import PREFIX, TERM_KEY
from spoolcourse.control.store.watch_cache import WatchCache, WatchGap
from spoolcourse.wire.key_value_store import Delete, Operation, Put
from spoolcourse.wire.settings import NextLimits, StoreLimits
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeNetwork

LIMITS = StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
Request = Callable[[StoreClient], Awaitable[Any]]


def client_of(serve: Any, limits: StoreLimits = LIMITS) -> StoreClient:
    network = FakeNetwork()
    network.hosts["state:1"] = serve
    return StoreClient(network.client_of("n0"), "state:1", limits, controllers=1)


async def error_of(status: int, request: Request, data: Any = None) -> StoreError:
    async def serve(method: str, path: str, body: Any) -> Response:
        return Response(status, data or {})

    with pytest.raises(StoreError) as caught:
        await request(client_of(serve))
    return caught.value


REQUESTS: dict[str, Request] = {
    "get": lambda client: client.get("a"),
    "list": lambda client: client.list_entries("a"),
    "latest": lambda client: client.latest_revision("a"),
    "watch": lambda client: client.watch("a", 3, 1.0),
    "swap": lambda client: client.compare_and_swap({"a": 3}, [Put("a", {})]),
    "grant": lambda client: client.grant_lease(2.0),
    "renew": lambda client: client.renew_lease(7),
    "revoke": lambda client: client.revoke_lease(7),
}


@pytest.mark.parametrize("name", REQUESTS)
async def test_refusals_and_unknown_outcomes_are_distinguished_by_status(name: str) -> None:
    for status, error_type in ((429, RequestRefusedError), (503, RequestRefusedError)):
        error = await error_of(status, REQUESTS[name])
        assert type(error) is error_type
        assert isinstance(error, StoreUnavailableError)
        assert f"status {status}" in str(error)
        assert error.detail == f"status {status}"
    error = await error_of(500, REQUESTS[name])
    assert type(error) is OutcomeUnknownError
    assert "status 500" in str(error)


@pytest.mark.parametrize("name", ["get", "list", "latest", "watch", "renew", "revoke"])
async def test_an_unexpected_status_leaves_the_outcome_unknown(name: str) -> None:
    assert type(await error_of(418, REQUESTS[name])) is OutcomeUnknownError


@pytest.mark.parametrize("name", ["swap", "grant"])
async def test_an_unexpected_status_of_a_write_is_a_refusal(name: str) -> None:
    assert type(await error_of(418, REQUESTS[name])) is RequestRefusedError


async def test_errors_unrelated_to_availability_are_no_store_unavailable_errors() -> None:
    expired = await error_of(404, REQUESTS["renew"])
    assert isinstance(expired, LeaseExpiredError)
    assert expired.leases == (7,)
    operations: list[Operation] = [Put("a", {}, 5), Put("b", {}, 5), Delete("c")]
    refused = await error_of(
        400, lambda client: client.compare_and_swap({}, operations), {"error": "no such lease"}
    )
    assert isinstance(refused, LeaseExpiredError)
    assert refused.leases == (5,)
    compacted = await error_of(410, REQUESTS["watch"])
    assert isinstance(compacted, RevisionCompactedError)
    assert (compacted.prefix, compacted.since_revision) == ("a", 3)
    for error in (expired, refused, compacted, TooFarBehindError("a", 3, 5000)):
        assert not isinstance(error, StoreUnavailableError)
    assert issubclass(TooFarBehindError, RevisionCompactedError)


async def test_a_value_refused_after_the_limit_was_lowered_reports_the_new_limit() -> None:
    async def serve(method: str, path: str, body: Any) -> Response:
        return Response(400, {"error": "too large"})

    client = client_of(serve, StoreLimits(200.0, 100.0, 8.0, 24, NextLimits(value_kb=1.0)))
    assert client.max_value_bytes == 8192
    with pytest.raises(ValueTooLargeError) as caught:
        await client.compare_and_swap({"a": 0}, [Put("a", {})])
    assert caught.value.max_value_bytes == client.max_value_bytes == 1024
    with pytest.raises(RequestRefusedError) as second_refusal:
        await client.compare_and_swap({"a": 0}, [Put("a", {})])
    assert type(second_refusal.value) is RequestRefusedError, "the limit was lowered twice"


async def test_compare_and_swap_succeeds_or_names_the_keys_in_conflict() -> None:
    store = FakeKeyValueStore()
    client = client_of(store.serve)
    first = await client.compare_and_swap({"a": 0}, [Put("a", {"n": 1})])
    assert first.succeeded
    assert first.conflicting_keys == ()
    second = await client.compare_and_swap({"a": 0, "b": 0}, [Put("b", {"n": 1})])
    assert not second.succeeded
    assert second.conflicting_keys == ("a",)
    listing = await client.list_entries("a")
    assert [entry.key for entry in listing.entries] == ["a"]
    assert listing.store_revision == first.store_revision == second.store_revision
    watched = await client.watch("a", 0, 0.0)
    assert [change.key for change in watched.changes] == ["a"]


async def test_an_exhausted_budget_refuses_at_once_and_reports_when_to_retry() -> None:
    store = FakeKeyValueStore()
    client = client_of(store.serve, StoreLimits(200.0, 4.0, 8.0, 24))
    puts = [Put("a", {}), Put("b", {}), Put("c", {})]

    async def exhaust_budget() -> None:
        for _ in range(9):
            await client.compare_and_swap({}, puts, urgent=True)
            await client.compare_and_swap({}, puts)

    with pytest.raises(RequestRefusedError) as caught:
        await exhaust_budget()
    assert caught.value.retry_after_s > 1.0
    assert client.requests_failed == 0, "a refusal by the budget is counted as a failed request"


async def test_a_token_bucket_refuses_a_call_that_would_wait_too_long_and_takes_no_tokens() -> None:
    now = asyncio.get_running_loop().time
    bucket = TokenBucket(rate=2.0, burst=2.0, max_wait_s=1.0)
    assert bucket.has_spare_capacity()
    began = now()
    await bucket.acquire(2)
    assert now() == began
    assert not bucket.has_spare_capacity()
    with pytest.raises(RateLimitExceededError) as caught:
        await bucket.acquire(3)
    assert caught.value.retry_after_s == pytest.approx(1.5)
    await bucket.acquire(2)
    assert now() - began == pytest.approx(1.0, abs=0.05), "the refused call took tokens"
    bucket.drain()
    await bucket.acquire(9, urgent=True)
    assert now() - began == pytest.approx(1.0, abs=0.05), "an urgent call waited"


async def test_observers_are_notified_of_reloads_and_gaps_in_order() -> None:
    class Observer:
        def __init__(self) -> None:
            self.events: list[WatchGap | str] = []

        def on_watch_gap(self, gap: WatchGap) -> None:
            self.events.append(gap)

        def on_reload(self) -> None:
            self.events.append("reload")

    store = FakeKeyValueStore()
    client = client_of(store.serve)
    cache = WatchCache(client, PREFIX)
    first, second = Observer(), Observer()
    cache.add_observer(first)
    cache.add_observer(second)
    await cache.reload()
    await client.compare_and_swap({}, [Put(TERM_KEY, {"term": 1})])
    store.compact()
    assert not await cache.catch_up_to(store.store_revision)
    assert not cache.loaded.is_set()
    await cache.reload()
    assert await cache.read_barrier()
    assert first.events == second.events == ["reload", WatchGap.COMPACTED, "reload"]
