"""A stand-in of the state service: keys, transactions, leases and watches (PROTOCOL)."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

KEPT_CHANGES = 10_000


class StateService:
    """One consistent store in memory; every node sees the same answers unless refused."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, revision, lease
        self.log: list[dict[str, Any]] = []
        self.first_kept = 0  # changes after this revision are kept
        self.leases: dict[int, tuple[float, float]] = {}  # end, time to live
        self._next_lease = 1
        self.outage = False
        self._changed = asyncio.Event()

    def value(self, key: str) -> Any:
        """Return a key's value; None if it does not exist."""
        self._expire()
        return self.keys[key][0] if key in self.keys else None

    def end_outage(self) -> None:
        """End an outage: all leases have their full time again."""
        now = time.monotonic()
        self.leases = {number: (now + ttl, ttl) for number, (_, ttl) in self.leases.items()}
        self.outage = False

    def _expire(self) -> None:
        if self.outage:
            return
        now = time.monotonic()
        for number, (end, _) in list(self.leases.items()):
            if end <= now:
                del self.leases[number]
                keys = [k for k, (_, _, lease) in self.keys.items() if lease == number]
                if keys:
                    self._apply([{"delete": k} for k in keys])

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self.revision += 1
        for op in operations:
            if "set" in op:
                self.keys[op["set"]] = (op["v"], self.revision, op.get("hold"))
                self.log.append({"set": op["set"], "v": op["v"], "stamp": self.revision})
            elif self.keys.pop(op["delete"], None) is not None:
                self.log.append({"delete": op["delete"], "stamp": self.revision})
        while len(self.log) > KEPT_CHANGES:
            self.first_kept = self.log.pop(0)["stamp"]
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request."""
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/watch":
            return await self._watch(query)
        if self.outage:
            return 503, {"error": "trouble"}
        self._expire()
        if url.path == "/kv":
            return self._list(query)
        if url.path.startswith("/kv/"):
            return self._get(unquote(url.path[4:]))
        if url.path == "/multi":
            return self.multi(body)
        if url.path == "/holds":
            number, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = body["ttlMs"] / 1000
            self.leases[number] = (time.monotonic() + ttl, ttl)
            return 200, {"hold": number}
        if url.path.startswith("/holds/"):
            return self._lease(method, int(url.path.split("/")[2]))
        return 400, {"error": "malformed"}

    def _get(self, key: str) -> tuple[int, Any]:
        if key not in self.keys:
            return 404, {"ledger": self.revision}
        value, revision, lease = self.keys[key]
        return 200, {"k": key, "v": value, "stamp": revision, "hold": lease}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, since = query["prefix"], query.get("since", "")
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > since)
        size = min(int(query.get("page", 200)), 1000)
        pairs: list[dict[str, Any]] = []
        total = 0
        for name in names[:size]:
            value, revision, _ = self.keys[name]
            total += len(json.dumps(value)) + len(name) + 40
            if pairs and total > 512 * 1024:
                break
            pairs.append({"k": name, "v": value, "stamp": revision})
        return 200, {"pairs": pairs, "hasNext": len(pairs) < len(names), "ledger": self.revision}

    def multi(self, body: Any) -> tuple[int, Any]:
        """Carry out a transaction."""
        failed = [
            c["k"] for c in body.get("if", []) if self.keys.get(c["k"], (None, 0))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        operations = body.get("apply", [])
        if any(op.get("hold") is not None and op["hold"] not in self.leases for op in operations):
            return 400, {"error": "no such lease"}
        if operations:
            self._apply(operations)
        return 200, {"ledger": self.revision}

    def _lease(self, method: str, number: int) -> tuple[int, Any]:
        if number not in self.leases:
            return 404, {}
        ttl = 0.0 if method == "DELETE" else self.leases[number][1]
        self.leases[number] = (time.monotonic() + ttl, self.leases[number][1])
        self._expire()
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query["since"]), query["prefix"]
        end = time.monotonic() + int(query.get("blockMs", 0)) / 1000
        while True:
            if not self.outage:
                self._expire()
                if since < self.first_kept:
                    return 410, {}
                changes = [
                    c
                    for c in self.log
                    if c["stamp"] > since and c.get("set", c.get("delete")).startswith(prefix)
                ]
                if changes or time.monotonic() >= end:
                    return 200, {"ledger": self.revision, "log": changes}
            changed = self._changed
            try:
                async with asyncio.timeout(0.05):
                    await changed.wait()
            except TimeoutError:
                continue
