"""An in-memory key-value store, written from its protocol."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import orjson

from spoolcourse.control.http_client import Response


class FakeKeyValueStore:
    def __init__(self) -> None:
        self.store_revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, revision, lease
        self.log: list[dict[str, Any]] = []  # changes, as a watch returns them
        self.compacted_revision = 0  # changes up to this revision are no longer kept
        self.leases: dict[int, tuple[float, float]] = {}  # expiry, time to live
        self._changed = asyncio.Event()
        self.in_outage = False
        self.transactions: list[dict[str, Any]] = []
        self.max_value_bytes, self.max_txn_ops = 8 * 1024, 24  # tests may lower them
        self.oversized_count = 0  # transactions refused as too large

    def value(self, key: str) -> Any:
        self._expire()
        return self.keys[key][0] if key in self.keys else None

    def compact(self) -> None:
        self.compacted_revision = self.store_revision
        self.log.clear()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _expire(self) -> None:
        if self.in_outage:
            return
        for lease, (end, _) in list(self.leases.items()):
            if end <= self._now():
                del self.leases[lease]
                attached = [k for k, (_, _, holder) in self.keys.items() if holder == lease]
                if attached:
                    self._apply([{"delete": k} for k in attached])

    def _apply(self, ops: list[dict[str, Any]]) -> None:
        self.store_revision += 1
        for op in ops:
            if "set" in op:
                self.keys[op["set"]] = (op["v"], self.store_revision, op.get("hold"))
                self.log.append({"set": op["set"], "v": op["v"], "stamp": self.store_revision})
            elif self.keys.pop(op["delete"], None) is not None:
                self.log.append({"delete": op["delete"], "stamp": self.store_revision})
        self._changed.set()
        self._changed = asyncio.Event()

    def end_outage(self) -> None:
        self.in_outage = False
        self.leases = {n: (self._now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}

    async def serve(self, method: str, path: str, body: Any) -> Response:
        if self.in_outage:
            return Response(503, {"error": "outage"})
        self._expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/kv":
            return self._list(query)
        if url.path.startswith("/kv/"):
            key = unquote(url.path[4:])
            if key not in self.keys:
                return Response(404, {"ledger": self.store_revision})
            value, revision, _ = self.keys[key]
            return Response(200, {"k": key, "v": value, "stamp": revision})
        if url.path == "/multi":
            return self._multi(body)
        if url.path == "/holds":
            number = 1 + max(self.leases, default=0) + self.store_revision * 1000
            ttl = body["ttlMs"] / 1000
            self.leases[number] = (self._now() + ttl, ttl)
            return Response(200, {"hold": number})
        if url.path.startswith("/holds/"):
            return self._lease(method, int(url.path.split("/")[2]))
        if url.path == "/watch":
            return await self._watch(query)
        return Response(400, {})

    def _lease(self, method: str, number: int) -> Response:
        if number not in self.leases:
            return Response(404, {})
        ttl = 0.0 if method == "DELETE" else self.leases[number][1]
        self.leases[number] = (self._now() + ttl, ttl)
        self._expire()
        return Response(200, {})

    def _list(self, query: dict[str, str]) -> Response:
        keys = sorted(
            k for k in self.keys if k.startswith(query["prefix"]) and k > query.get("since", "")
        )
        page_size = int(query.get("page", 200))
        pairs = [{"k": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in keys[:page_size]]
        return Response(
            200, {"pairs": pairs, "hasNext": len(keys) > page_size, "ledger": self.store_revision}
        )

    def _multi(self, body: dict[str, Any]) -> Response:
        conflicts = [
            c["k"]
            for c in body["if"]
            if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]
        ]
        if conflicts:
            return Response(409, {"failed": conflicts, "ledger": self.store_revision})
        ops = body.get("apply", [])
        if any(op.get("hold") is not None and op["hold"] not in self.leases for op in ops):
            return Response(400, {"error": "no such lease"})
        if len(ops) > self.max_txn_ops or any(
            len(orjson.dumps(op["v"])) > self.max_value_bytes for op in ops if "set" in op
        ):
            self.oversized_count += 1
            return Response(400, {"error": "too large"})
        if ops:
            self.transactions.append(body)
            self._apply(ops)
        return Response(200, {"ledger": self.store_revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        since = int(query["since"])
        end = self._now() + int(query.get("blockMs", 0)) / 1000
        while True:
            if since < self.compacted_revision:
                return Response(410, {})
            if not self.in_outage:
                self._expire()
                log = [
                    e
                    for e in self.log
                    if e["stamp"] > since
                    and (e.get("set") or e["delete"]).startswith(query["prefix"])
                ]
                if log or self._now() >= end:
                    return Response(200, {"ledger": self.store_revision, "log": log})
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(0.05, max(end - self._now(), 0.001))):
                    await changed.wait()
