"""The cloud's protocol, within this controller's share of its request limit."""

from __future__ import annotations

import logging
from collections.abc import Awaitable
from typing import Protocol

from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.wire import paths
from spoolcourse.wire.cloud import (
    DELETE_MAX,
    NO_CAPACITY,
    PROVISION_MAX,
    MachineKind,
    delete_body,
    list_path,
    provision_body,
)
from spoolcourse.wire.messages import (
    Catalog,
    Host,
    HostPage,
    MalformedError,
    ProvisionedMachines,
    parse,
)

log = logging.getLogger(__name__)

TIMEOUT_S = 4.0
LEADER_SHARE = 0.8  # of the request limit
QUEUE_S = 10.0  # that a call waits for the budget before it is given up


def max_provisions(rps: float) -> int:
    """Machines to ask for at a time: what the leader's calls of about a second can rent."""
    return PROVISION_MAX * max(1, int(rps * LEADER_SHARE))


def max_deletions(rps: float) -> int:
    """Machines to delete at a time: half of the calls of about a second, for others wait too."""
    return DELETE_MAX * max(1, int(rps * LEADER_SHARE / 2))


class CloudError(Exception):
    """Not carried out, or not known whether it was."""


class NoCapacityError(Exception):
    """None available of this type, zone and kind."""


class CloudCall(Protocol):
    """One call to the cloud; raises `CloudError` or `NoCapacityError`."""

    def __call__(self, method: str, path: str, body: object = None) -> Awaitable[Response]:
        """Make the call."""
        ...


class Cloud:
    """The cloud's calls, each carried out, refused, or unclear."""

    def __init__(self, net: HttpClient, addr: str, rps: float, timeout: float = TIMEOUT_S) -> None:
        self._net = net
        self._addr = addr
        self._timeout = timeout
        # Only the leader works with the cloud; other controllers read the catalog now and then.
        self._budget = TokenBucket(rps * LEADER_SHARE, rps, max_wait_s=QUEUE_S)

    async def _call(self, method: str, path: str, body: object = None) -> Response:
        try:
            await self._budget.acquire()
        except RateLimitExceededError as exc:
            raise CloudError(str(exc)) from exc
        try:
            reply = await self._net.call(self._addr, method, path, body, timeout=self._timeout)
        except NoResponseError as exc:
            raise CloudError(str(exc)) from exc
        if reply.status == 429:
            self._budget.empty()
        if reply.status == 503 and reply.data and reply.data.get("error") == NO_CAPACITY:
            raise NoCapacityError
        if reply.status != 200:
            raise CloudError(f"{method} {path}: status {reply.status}")
        return reply

    async def catalog(self) -> Catalog:
        """The machine types with their current prices."""
        reply = await self._call("GET", paths.CATALOG)
        try:
            return parse(reply.data, Catalog)
        except MalformedError as exc:
            raise CloudError(f"catalog: {exc}") from exc

    async def hosts(self) -> list[Host]:
        """All machines that the cloud lists; the list lags."""
        found: list[Host] = []
        since = ""
        while True:
            reply = await self._call("GET", list_path(since))
            try:
                page = parse(reply.data, HostPage)
            except MalformedError as exc:
                raise CloudError(f"hosts: {exc}") from exc
            found += page.hosts
            if not page.has_next or not page.hosts:
                return found
            since = page.hosts[-1].id

    def writer(self, proof: FailoverProof) -> CloudWriter:
        """The calls that rent and delete machines, for a leader that has proven its failover."""
        return CloudWriter(self._call, proof)


class CloudWriter:
    """Rents and deletes machines for one term."""

    def __init__(self, call: CloudCall, proof: FailoverProof) -> None:
        self._call = call
        self._fencing_token = proof.fencing_token
        self._requests = 0

    def request_name(self) -> str:
        """A name for the next request to rent: no other leader uses it, nor does this one again."""
        self._requests += 1
        return f"t{self._fencing_token}-{self._requests}"

    async def provision(self, name: str, kind: MachineKind, count: int) -> list[str]:
        """Rents machines; their names. Raises `NoCapacityError` if there are none of this kind."""
        reply = await self._call("POST", paths.HOSTS, provision_body(name, kind, count))
        try:
            return parse(reply.data, ProvisionedMachines).machines
        except MalformedError as exc:
            raise CloudError(f"hire: {exc}") from exc

    async def delete(self, names: list[str]) -> None:
        """Returns once the machines and everything on them are gone; DELETE_MAX at most."""
        await self._call("POST", paths.HOSTS_DELETE, delete_body(names))
