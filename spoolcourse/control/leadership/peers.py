"""Queries that a controller sends to all other controllers (its peers) concurrently."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Generic, TypeVar

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.peers import (
    CancellationsResponse,
    FeatureLevelResponse,
    StandbyResponse,
    cancellations_path,
)
from spoolcourse.wire.settings import Peer

log = logging.getLogger(__name__)

ResponseT = TypeVar("ResponseT")
ResponseT_co = TypeVar("ResponseT_co", covariant=True)
QUERY_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class PeerQuery(Generic[ResponseT_co]):
    """The path of a query, and the type of its response."""

    path: str
    response_type: type[ResponseT_co]


LEVEL_QUERY = PeerQuery(paths.FEATURE_LEVEL, FeatureLevelResponse)
STANDBY_QUERY = PeerQuery(paths.STANDBY, StandbyResponse)


def cancellations_query(since_revision: int) -> PeerQuery[CancellationsResponse]:
    """Return the query for the cancellations after a store revision that a peer knows of."""
    return PeerQuery(cancellations_path(since_revision), CancellationsResponse)


async def query_peers(
    http_client: HttpClient, peers: list[Peer], query: PeerQuery[ResponseT]
) -> list[ResponseT | None]:
    """Query all peers concurrently; return their responses in the order of the peers.

    None stands for a peer that does not answer in time, or whose version does not know the query.
    """
    return await asyncio.gather(*(_query_peer(http_client, peer, query) for peer in peers))


async def _query_peer(
    http_client: HttpClient, peer: Peer, query: PeerQuery[ResponseT]
) -> ResponseT | None:
    try:
        response = await http_client.call(
            peer.endpoint, "GET", query.path, timeout_s=QUERY_TIMEOUT_S
        )
        return parse(response.data, query.response_type) if response.status == 200 else None
    except (NoResponseError, MalformedError) as exc:
        log.debug("query failed, controller=%s path=%s: %s", peer.label, query.path, exc)
        return None
