"""A question to every other controller."""

from __future__ import annotations

import asyncio
import logging
from typing import TypeVar

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

T = TypeVar("T")
TIMEOUT_S = 1.0


async def ask_peers(net: HttpClient, peers: list[Seed], path: str, kind: type[T]) -> list[T | None]:
    """Ask all peers at once; their answers in the same order.

    None for one that does not answer in time, or whose version does not know the question.
    """
    return await asyncio.gather(*(_ask(net, peer, path, kind) for peer in peers))


async def _ask(net: HttpClient, peer: Seed, path: str, kind: type[T]) -> T | None:
    try:
        reply = await net.call(peer.endpoint, "GET", path, timeout=TIMEOUT_S)
        return parse(reply.data, kind) if reply.status == 200 else None
    except (NoResponseError, MalformedError) as exc:
        log.debug("%s does not answer %s: %s", peer.label, path, exc)
        return None
