"""The cloud client's errors: request, response, and whether a retry is allowed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.cloud.errors import CloudError, CloudRequestFailedError, NoCapacityError
from spoolcourse.control.http_client import NoResponseError, Response
from spoolcourse.wire.cloud import MachineKind
from tests.fakes.network import FakeNetwork
from tests.fakes.proof import proof_of_term

PROOF = proof_of_term(3)
MACHINE_KIND = MachineKind("c8", "a", True)


def cloud_client(response: Response | None) -> tuple[CloudClient, list[tuple[str, str, Any]]]:
    """Returns a client of a cloud with one fixed response, or none, and the requests it got."""
    network = FakeNetwork()
    requests: list[tuple[str, str, Any]] = []

    async def serve(method: str, path: str, body: Any) -> Response:
        requests.append((method, path, body))
        if response is None:
            raise NoResponseError("no answer")
        return response

    network.hosts["cloud:80"] = serve
    return CloudClient(network.client_of("n1"), "cloud:80", 20.0), requests


@pytest.mark.parametrize(
    ("response", "status", "detail"),
    [
        (Response(503, {"error": "trouble"}), 503, "status 503"),
        (Response(429, {}), 429, "status 429"),
        (Response(200, {"spindles": 7}), 200, "malformed response"),
        (None, None, "no answer"),
    ],
)
async def test_a_failed_request_error_names_the_request_and_the_response(
    response: Response | None, status: int | None, detail: str
) -> None:
    cloud, requests = cloud_client(response)
    with pytest.raises(CloudRequestFailedError) as raised:
        await cloud.provisioning(PROOF).provision("t1-1", MACHINE_KIND, 3)
    error = raised.value
    assert (error.method, error.path, error.status) == ("POST", "/hosts", status)
    assert detail in error.detail
    assert str(error) == f"POST /hosts: {error.detail}"
    assert len(requests) == 1, "the client itself repeated the request"


async def test_missing_capacity_is_not_a_failed_request() -> None:
    cloud, _ = cloud_client(Response(503, {"error": "no capacity"}))
    with pytest.raises(NoCapacityError) as raised:
        await cloud.provisioning(PROOF).provision("t1-1", MACHINE_KIND, 3)
    assert isinstance(raised.value, CloudError)
    assert not isinstance(raised.value, CloudRequestFailedError), (
        "missing capacity would be retried"
    )
    assert (raised.value.path, raised.value.status) == ("/hosts", 503)


async def test_a_request_that_would_wait_too_long_for_the_budget_is_not_sent() -> None:
    cloud, requests = cloud_client(Response(200, {"spindles": []}))
    waiting = [asyncio.create_task(cloud.list_machines()) for _ in range(300)]
    results = await asyncio.gather(*waiting, return_exceptions=True)
    unsent = [error for error in results if isinstance(error, CloudRequestFailedError)]
    assert unsent
    assert all(error.status is None for error in unsent)
    assert len(requests) + len(unsent) == len(results)


def test_a_request_name_is_used_once_in_a_term() -> None:
    provisioning = cloud_client(None)[0].provisioning(PROOF)
    names = [provisioning.next_request_name() for _ in range(3)]
    assert len(set(names)) == 3
    assert all(name.startswith(f"t{PROOF.fencing_token}-") for name in names)
