"""The state service: keys with revisions, transactions, leases and watches, within its limits."""

import asyncio
import time
from typing import Any
from urllib.parse import unquote

from review.standins.http import Reply, serve
from review.standins.record import Record

LATENCY_S = 0.005


class Rate:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, per_s: float) -> None:
        self._per_s = self._tokens = per_s
        self._at = time.monotonic()

    def take(self, count: int = 1) -> bool:
        """Whether the limit allows that many more; if so, count them."""
        now = time.monotonic()
        self._tokens = min(self._per_s, self._tokens + (now - self._at) * self._per_s)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class StateService:
    """The state service; each controller has an address of its own."""

    def __init__(self, record: Record, rps: float, write_rps: float) -> None:
        self._record = record
        self._requests, self._writes = Rate(rps), Rate(write_rps)
        self._revision = 0
        self._keys: dict[str, tuple[Any, int, int | None]] = {}
        self._log: list[dict[str, Any]] = []
        self._holds: dict[int, tuple[float, float]] = {}  # expiry, time to live
        self._next_hold = 1
        self._changed = asyncio.Event()
        self.refused: set[str] = set()  # labels of the controllers that get 503
        self.in_outage = False

    async def listen(self, label: str) -> str:
        """Serve one controller; return the address."""

        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Reply:
            await asyncio.sleep(LATENCY_S)
            return await self._answer(label, method, path, query, body)

        return await serve(handle)

    def value(self, key: str) -> Any:
        """The value of a key; None if it does not exist."""
        self._expire()
        return self._keys[key][0] if key in self._keys else None

    def leader(self) -> str | None:
        """The label of the controller that the leader key names."""
        value = self.value("spoolcourse/live/leader")
        return value and value["label"]

    def term(self) -> int:
        """The number of the latest term."""
        value = self.value("spoolcourse/live/term")
        return value["term"] if value else 0

    async def _answer(
        self, label: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> Reply:
        if label in self.refused or self.in_outage:
            return 503, {"error": "refused"}
        if not self._requests.take():
            return 429, {"error": "requests"}
        self._expire()
        if path == "/watch":
            return await self._watch(label, query)
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            return self._get(unquote(path[len("/kv/") :]))
        if path == "/multi":
            return self._multi(label, body)
        return self._hold(method, path, body)

    def end_outage(self) -> None:
        """End an outage: all leases have their full time again."""
        now = time.monotonic()
        self._holds = {hold: (now + ttl_s, ttl_s) for hold, (_, ttl_s) in self._holds.items()}
        self.in_outage = False

    def _expire(self) -> None:
        if self.in_outage:
            return
        now = time.monotonic()
        for hold, (ends_at, _) in list(self._holds.items()):
            if ends_at <= now:
                self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        del self._holds[hold]
        attached = [key for key, (_, _, by) in self._keys.items() if by == hold]
        if attached:
            self._apply([{"delete": key} for key in attached])

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self._revision += 1
        for operation in operations:
            if "set" in operation:
                key, value = operation["set"], operation["v"]
                if key.endswith("/live/term"):
                    self._record.write("term", value=value)
                self._keys[key] = (value, self._revision, operation.get("hold"))
                self._log.append({"set": key, "v": value, "stamp": self._revision})
            elif self._keys.pop(operation["delete"], None) is not None:
                self._log.append({"delete": operation["delete"], "stamp": self._revision})
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, key: str) -> Reply:
        if key not in self._keys:
            return 404, {"ledger": self._revision}
        value, revision, hold = self._keys[key]
        return 200, {"k": key, "v": value, "stamp": revision, "hold": hold}

    def _list(self, query: dict[str, str]) -> Reply:
        since, page = query.get("since", ""), int(query.get("page", "200"))
        keys = sorted(k for k in self._keys if k.startswith(query["prefix"]) and k > since)
        pairs = [{"k": k, "v": self._keys[k][0], "stamp": self._keys[k][1]} for k in keys[:page]]
        return 200, {"pairs": pairs, "hasNext": len(keys) > page, "ledger": self._revision}

    def _multi(self, label: str, body: dict[str, Any]) -> Reply:
        operations = body.get("apply", [])
        if operations and not self._writes.take(len(operations)):
            return 429, {"error": "changes"}
        failed = [c["k"] for c in body["if"] if self._stamp(c["k"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self._revision}
        if any(o.get("hold") is not None and o["hold"] not in self._holds for o in operations):
            return 400, {"error": "no such lease"}
        if operations:
            self._apply(operations)
            keys = [operation.get("set") or operation["delete"] for operation in operations]
            self._record.write("state", by=label, ledger=self._revision, keys=keys)
        return 200, {"ledger": self._revision}

    def _stamp(self, key: str) -> int:
        return self._keys[key][1] if key in self._keys else 0

    def _hold(self, method: str, path: str, body: Any) -> Reply:
        if path == "/holds":
            hold, ttl_s = self._next_hold, body["ttlMs"] / 1000
            self._next_hold += 1
            self._holds[hold] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"hold": hold}
        hold = int(path.split("/")[2])
        if hold not in self._holds:
            return 404, {}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            ttl_s = self._holds[hold][1]
            self._holds[hold] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {}

    async def _watch(self, label: str, query: dict[str, str]) -> Reply:
        prefix, since = query["prefix"], int(query["since"])
        ends_at = time.monotonic() + int(query.get("blockMs", "0")) / 1000
        while True:
            self._expire()
            log = [
                change
                for change in self._log
                if change["stamp"] > since
                and (change.get("set") or change["delete"]).startswith(prefix)
            ]
            if not (label in self.refused or self.in_outage) and (
                log or time.monotonic() >= ends_at
            ):
                return 200, {"ledger": self._revision, "log": log}
            try:
                async with asyncio.timeout(min(0.05, max(0.001, ends_at - time.monotonic()))):
                    await self._changed.wait()
            except TimeoutError:
                pass
