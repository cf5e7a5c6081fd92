"""An in-memory network with partitions, lost replies and delayed requests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from itertools import cycle
from typing import Any

import orjson

from spoolcourse.control.http_client import NoResponseError, NotConnectedError, Response
from tests.fakes.clock import spawn

Endpoint = Callable[[str, str, Any], Awaitable[Response]]
Filter = Callable[[str, str, str, str, Any], str | None]


FAILURES_AT_ONCE = {"refused": NotConnectedError, "reset": NoResponseError}  # by verdict


SLOW_SHARE = 0.6


class FakeNetwork:
    """Delivers requests between hosts.

    A filter may return `cut` (not delivered, although the connection may have been made), `refused`
    (no connection), `unconnected` (no connection within the timeout), `reset` (the connection fails
    at once, not delivered), `lose` (executed, reply lost), `hold` (delivered when `release` is
    called, long after the caller's timeout), `late` (delivered after one of `late_delays_s` in
    turn), `copy` (answered, and delivered once more by each call of `deliver_copies`), `slow
    request` or `slow reply` (it takes `SLOW_SHARE` of the caller's timeout), `404` or `503`.
    """

    def __init__(self, delay_s: float = 0.002) -> None:
        self.hosts: dict[str, Endpoint] = {}
        self.filters: list[Filter] = []
        self.stalled: set[tuple[str, str]] = (
            set()
        )  # (source, destination) whose open watches get no reply
        self.held: list[tuple[str, str, str, Any]] = []
        self.copies: list[tuple[str, str, str, Any]] = []
        self.delay_s = delay_s
        self.on_late: Callable[[Any, Response], None] = lambda body, reply: None
        self.late_delays_s = cycle((2.0, 7.5, 3.1, 12.0, 4.7))

    def verdict(self, src: str, dst: str, method: str, path: str, body: Any) -> str | None:
        for check in self.filters:
            verdict = check(src, dst, method, path, body)
            if verdict:
                return verdict
        return None

    async def call(
        self, src: str, dst: str, method: str, path: str, body: Any, timeout: float
    ) -> Response:
        verdict = self.verdict(src, dst, method, path, body)
        if verdict in ("404", "503"):
            return Response(int(verdict), {"error": "injected fault"})
        if verdict in FAILURES_AT_ONCE:
            raise FAILURES_AT_ONCE[verdict](f"{src} -> {dst}: {verdict}")
        if verdict in ("hold", "copy"):
            kept = self.held if verdict == "hold" else self.copies
            kept.append((dst, method, path, body))
        if verdict == "late":
            spawn(self._deliver_late(next(self.late_delays_s), dst, method, path, body))
        endpoint = self.hosts.get(dst)
        if endpoint is None or verdict in ("cut", "hold", "late", "unconnected"):
            await asyncio.sleep(timeout)
            error = NotConnectedError if verdict == "unconnected" else NoResponseError
            raise error(f"{src} -> {dst}: no reply")
        await asyncio.sleep(SLOW_SHARE * timeout if verdict == "slow request" else self.delay_s)
        try:
            async with asyncio.timeout(timeout):
                reply = await endpoint(method, path, body)
                while (src, dst) in self.stalled and path.startswith("/watch"):
                    await asyncio.sleep(0.05)
        except TimeoutError as exc:
            raise NoResponseError(f"{src} -> {dst}: no reply") from exc
        reply_delay_s = self._reply_delay_s(verdict, timeout)
        if self.delay_s + reply_delay_s >= timeout:
            await asyncio.sleep(max(timeout - self.delay_s, 0.0))
            raise NoResponseError(f"{src} -> {dst}: replied too late, or reply lost")
        await asyncio.sleep(reply_delay_s)
        return reply

    def _reply_delay_s(self, verdict: str | None, timeout: float) -> float:
        if verdict == "lose":
            return math.inf
        return SLOW_SHARE * timeout if verdict == "slow reply" else self.delay_s

    async def _deliver_late(
        self, after_s: float, dst: str, method: str, path: str, body: Any
    ) -> None:
        await asyncio.sleep(after_s)
        endpoint = self.hosts.get(dst)
        if endpoint is not None:
            reply = await endpoint(method, path, body)
            self.on_late(body, reply)

    async def release(self) -> list[Response]:
        held, self.held = self.held, []
        return [await self.hosts[dst](method, path, body) for dst, method, path, body in held]

    async def deliver_copies(self) -> list[Response]:
        """Deliver every copied request to its host again, if the host is still there."""
        return [
            await self.hosts[dst](method, path, body)
            for dst, method, path, body in self.copies
            if dst in self.hosts
        ]

    def client_of(self, src: str) -> FakeHttpClient:
        return FakeHttpClient(self, src)


class FakeHttpClient:
    """An HTTP client that sends as one host of the network."""

    def __init__(self, network: FakeNetwork, src: str) -> None:
        self._network = network
        self._src = src

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 1.0,
        keep_alive: bool = True,
    ) -> Response:
        raw = body if isinstance(body, bytes) else orjson.dumps(body)
        data = None if body is None else orjson.loads(raw)
        reply = await self._network.call(self._src, address, method, path, data, timeout_s)
        return Response(reply.status, orjson.loads(orjson.dumps(reply.data)), reply.headers)
