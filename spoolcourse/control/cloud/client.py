"""Client of the cloud API that stays within this controller's share of the rate limit."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol

from spoolcourse.control.cloud.errors import CloudRequestFailedError, NoCapacityError
from spoolcourse.control.http_client import HttpClient, NoResponseError, Response
from spoolcourse.control.leadership.failover_proof import FailoverProof
from spoolcourse.control.rate_limit import RateLimitExceededError, TokenBucket
from spoolcourse.wire import paths
from spoolcourse.wire.cloud import (
    MAX_MACHINES_PER_DELETION,
    MAX_MACHINES_PER_PROVISION_REQUEST,
    NO_CAPACITY,
    MachineKind,
    delete_body,
    list_path,
    provision_body,
)
from spoolcourse.wire.messages import (
    Catalog,
    ListedMachine,
    MachineListPage,
    MalformedError,
    ProvisionedMachines,
    parse,
)

REQUEST_TIMEOUT_S = 4.0
LEADER_RATE_LIMIT_SHARE = 0.8  # of the cloud's limit on requests per second
BUDGET_WAIT_MAX_S = 10.0  # a request that would wait longer for the rate limit is not sent

OK = 200
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


def max_provisions(rps: float) -> int:
    """Return how many machines to request at a time.

    That is as many as one second of requests can provision.

    `rps` is the request rate limit of the cloud, per second.
    """
    return MAX_MACHINES_PER_PROVISION_REQUEST * max(1, int(rps * LEADER_RATE_LIMIT_SHARE))


def max_deletions(rps: float) -> int:
    """Return how many machines to delete at a time.

    That is as many as half a second of requests can delete, which leaves room for other requests.

    `rps` is the request rate limit of the cloud, per second.
    """
    return MAX_MACHINES_PER_DELETION * max(1, int(rps * LEADER_RATE_LIMIT_SHARE / 2))


class CloudRequest(Protocol):
    """Sends one request to the cloud.

    Raises:
        CloudRequestFailedError: The request failed, or its outcome is unknown.
        NoCapacityError: The cloud has none of the requested machines.
    """

    def __call__(self, method: str, path: str, body: object = None) -> Awaitable[Response]:
        """Send the request; a returned response has status 200."""
        ...


class CloudClient:
    """Sends the requests that any controller may send; they raise `CloudError` on failure."""

    def __init__(
        self, http_client: HttpClient, addr: str, rps: float, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._http_client = http_client
        self._addr = addr
        self._timeout_s = timeout_s
        # Other controllers send little: they only read the catalog from time to time.
        self._request_budget = TokenBucket(
            rps * LEADER_RATE_LIMIT_SHARE, rps, max_wait_s=BUDGET_WAIT_MAX_S
        )

    async def _request(self, method: str, path: str, body: object = None) -> Response:
        try:
            await self._request_budget.acquire()
        except RateLimitExceededError as exc:
            raise CloudRequestFailedError(method, path, None, f"not sent, {exc}") from exc
        try:
            response = await self._http_client.call(
                self._addr, method, path, body, timeout_s=self._timeout_s
            )
        except NoResponseError as exc:
            raise CloudRequestFailedError(method, path, None, str(exc)) from exc
        if response.status == TOO_MANY_REQUESTS:
            self._request_budget.drain()
        if (
            response.status == UNAVAILABLE
            and response.data
            and response.data.get("error") == NO_CAPACITY
        ):
            raise NoCapacityError(method, path, response.status, NO_CAPACITY)
        if response.status != OK:
            raise CloudRequestFailedError(
                method, path, response.status, f"status {response.status}"
            )
        return response

    async def fetch_catalog(self) -> Catalog:
        """Return the machine types with their current prices."""
        response = await self._request("GET", paths.CATALOG)
        try:
            return parse(response.data, Catalog)
        except MalformedError as exc:
            raise _malformed("GET", paths.CATALOG, exc) from exc

    async def list_machines(self) -> list[ListedMachine]:
        """Return all machines that the cloud lists, which may be outdated by `list_lag_s`."""
        machines: list[ListedMachine] = []
        last_name = ""
        while True:
            path = list_path(last_name)
            response = await self._request("GET", path)
            try:
                page = parse(response.data, MachineListPage)
            except MalformedError as exc:
                raise _malformed("GET", path, exc) from exc
            machines += page.machines
            if not page.has_next or not page.machines:
                return machines
            last_name = page.machines[-1].id

    def provisioning(self, proof: FailoverProof) -> ProvisioningClient:
        """Return the client that provisions and deletes machines in the term of a proof."""
        return ProvisioningClient(self._request, proof)


class ProvisioningClient:
    """Provisions and deletes machines for one leader term."""

    def __init__(self, request: CloudRequest, proof: FailoverProof) -> None:
        self._request = request
        self._fencing_token = proof.fencing_token
        self._request_count = 0

    def next_request_name(self) -> str:
        """Return a name for the next provisioning request, which makes it idempotent.

        The name is unique across leaders and requests.
        """
        self._request_count += 1
        return f"t{self._fencing_token}-{self._request_count}"

    async def provision(self, request_name: str, kind: MachineKind, count: int) -> list[str]:
        """Provision machines and return their names, which may be fewer than `count`.

        A repeated request of the same name provisions nothing more.

        Raises:
            NoCapacityError: The cloud has no machine of this kind.
            CloudRequestFailedError: The request failed, or its outcome is unknown.
        """
        body = provision_body(request_name, kind, count)
        response = await self._request("POST", paths.HOSTS, body)
        try:
            return parse(response.data, ProvisionedMachines).machines
        except MalformedError as exc:
            raise _malformed("POST", paths.HOSTS, exc) from exc

    async def delete(self, names: list[str]) -> None:
        """Delete machines, `MAX_MACHINES_PER_DELETION` at most.

        Returns once everything on them has ended.

        Raises:
            CloudError: The request failed; the machines may have been deleted or not.
        """
        await self._request("POST", paths.HOSTS_DELETE, delete_body(names))


def _malformed(method: str, path: str, exc: MalformedError) -> CloudRequestFailedError:
    return CloudRequestFailedError(method, path, OK, f"malformed response: {exc}")
