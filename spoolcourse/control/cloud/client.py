"""Client of the cloud's API, within this controller's share of the request rate limit."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol

from spoolcourse.control.cloud.errors import CloudRequestFailedError, NoCapacityError
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

TIMEOUT_S = 4.0
LEADER_RATE_SHARE = 0.8  # of the request rate limit
QUEUE_MAX_S = 10.0  # a request that would wait longer for the budget is not sent

OK = 200
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


def max_provisions(rps: float) -> int:
    """How many machines to ask for at a time: what about a second of requests can rent.

    `rps` is the request rate limit of the cloud, per second.
    """
    return PROVISION_MAX * max(1, int(rps * LEADER_RATE_SHARE))


def max_deletions(rps: float) -> int:
    """How many machines to delete at a time: half of a second's requests, as others wait too.

    `rps` is the request rate limit of the cloud, per second.
    """
    return DELETE_MAX * max(1, int(rps * LEADER_RATE_SHARE / 2))


class CloudRequest(Protocol):
    """Sends one request to the cloud.

    Raises:
        CloudRequestFailedError: not carried out, or not known whether it was.
        NoCapacityError: the cloud has none of the machines that were asked for.
    """

    def __call__(self, method: str, path: str, body: object = None) -> Awaitable[Response]:
        """Send the request; a response that is returned has status 200."""
        ...


class CloudClient:
    """What any controller may ask the cloud. Each call raises `CloudError` unless it succeeds."""

    def __init__(
        self, http_client: HttpClient, addr: str, rps: float, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._http_client = http_client
        self._addr = addr
        self._timeout_s = timeout_s
        # Only the leader works with the cloud; other controllers read the catalog now and then.
        self._budget = TokenBucket(rps * LEADER_RATE_SHARE, rps, max_wait_s=QUEUE_MAX_S)

    async def _request(self, method: str, path: str, body: object = None) -> Response:
        try:
            await self._budget.acquire()
        except RateLimitExceededError as exc:
            raise CloudRequestFailedError(method, path, None, f"not sent, {exc}") from exc
        try:
            reply = await self._http_client.call(
                self._addr, method, path, body, timeout_s=self._timeout_s
            )
        except NoResponseError as exc:
            raise CloudRequestFailedError(method, path, None, str(exc)) from exc
        if reply.status == TOO_MANY_REQUESTS:
            self._budget.empty()
        if reply.status == UNAVAILABLE and reply.data and reply.data.get("error") == NO_CAPACITY:
            raise NoCapacityError(method, path, reply.status, NO_CAPACITY)
        if reply.status != OK:
            raise CloudRequestFailedError(method, path, reply.status, f"status {reply.status}")
        return reply

    async def fetch_catalog(self) -> Catalog:
        """The machine types with their current prices."""
        reply = await self._request("GET", paths.CATALOG)
        try:
            return parse(reply.data, Catalog)
        except MalformedError as exc:
            raise _malformed("GET", paths.CATALOG, exc) from exc

    async def list_machines(self) -> list[Host]:
        """All machines that the cloud lists, page by page; the list lags (`list_lag_s`)."""
        machines: list[Host] = []
        since = ""
        while True:
            path = list_path(since)
            reply = await self._request("GET", path)
            try:
                page = parse(reply.data, HostPage)
            except MalformedError as exc:
                raise _malformed("GET", path, exc) from exc
            machines += page.hosts
            if not page.has_next or not page.hosts:
                return machines
            since = page.hosts[-1].id

    def provisioning(self, proof: FailoverProof) -> ProvisioningClient:
        """The calls that rent and delete machines, for a leader that has proven its failover."""
        return ProvisioningClient(self._request, proof)


class ProvisioningClient:
    """Rents and deletes machines for one leader term."""

    def __init__(self, request: CloudRequest, proof: FailoverProof) -> None:
        self._request = request
        self._fencing_token = proof.fencing_token
        self._request_count = 0

    def next_request_name(self) -> str:
        """A name for the next rental request, which makes it idempotent.

        No other leader uses it, nor does this one again.
        """
        self._request_count += 1
        return f"t{self._fencing_token}-{self._request_count}"

    async def provision(self, request_name: str, kind: MachineKind, count: int) -> list[str]:
        """Rent machines and return their names, which may be fewer than asked for.

        A repeated request of the same name rents nothing more.

        Raises:
            NoCapacityError: there are none of this kind.
            CloudRequestFailedError: not carried out, or not known whether it was.
        """
        body = provision_body(request_name, kind, count)
        reply = await self._request("POST", paths.HOSTS, body)
        try:
            return parse(reply.data, ProvisionedMachines).machines
        except MalformedError as exc:
            raise _malformed("POST", paths.HOSTS, exc) from exc

    async def delete(self, names: list[str]) -> None:
        """Delete machines, `DELETE_MAX` at most; returns once all that was on them is gone.

        Raises:
            CloudError: not known whether they were deleted.
        """
        await self._request("POST", paths.HOSTS_DELETE, delete_body(names))


def _malformed(method: str, path: str, exc: MalformedError) -> CloudRequestFailedError:
    return CloudRequestFailedError(method, path, OK, f"malformed response: {exc}")
