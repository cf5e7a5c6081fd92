"""Announces this term's fencing token to workers whose heartbeats do not report it yet."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Protocol

from spoolcourse.control.http_client import HttpClient, NoResponseError
from spoolcourse.control.workers.call_limit import concurrent_call_limit
from spoolcourse.control.workers.worker_client import raise_fencing_token
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.messages import MalformedError

log = logging.getLogger(__name__)

# Lower bound of the limit on concurrent calls. Calls to workers behind a network partition time
# out, so with only a few concurrent calls every few silent workers would add a second to a
# failover.
MIN_CONCURRENT_CALLS = 64


class UnconfirmedWorker(Protocol):
    """A worker that may not know this term's fencing token: a `Machine` or a `HintedWorker`."""

    @property
    def id(self) -> str:
        """The name of the worker's machine."""
        ...

    @property
    def address(self) -> str:
        """The address to call."""
        ...

    @property
    def confirmed(self) -> bool:
        """Whether the worker has reported the fencing token, so that no call is needed."""
        ...


class FencingTokenAnnouncer:
    """Announces the token by requests without commands; processes the heartbeats they return.

    Waiting for heartbeats is not enough: a worker may be sending its own to a controller that is
    cut off and can't learn of this leader.
    """

    def __init__(self, http_client: HttpClient, registry: WorkerRegistry, sockets: int) -> None:
        """`sockets`: number of sockets that the controller may open; 0 if unknown."""
        self._http_client = http_client
        self._registry = registry
        self._sockets = sockets

    async def announce(self, workers: Iterable[UnconfirmedWorker], fleet_size: int) -> None:
        """Call each worker once, in order, and wait for all; failures are only logged.

        `fleet_size`: the number of workers from which the limit on concurrent calls is derived.
        """
        concurrent_calls = concurrent_call_limit(MIN_CONCURRENT_CALLS, fleet_size, self._sockets)
        semaphore = asyncio.Semaphore(concurrent_calls)
        await asyncio.gather(*(self._announce_to(worker, semaphore) for worker in workers))

    async def _announce_to(self, worker: UnconfirmedWorker, semaphore: asyncio.Semaphore) -> None:
        async with semaphore:
            if worker.confirmed:
                return  # a heartbeat of the worker arrived in the meantime
            try:
                heartbeat = await raise_fencing_token(
                    self._http_client, self._registry.proof, worker.address
                )
            except (NoResponseError, MalformedError) as exc:
                log.debug("fencing token not raised: machine=%s cause=%s", worker.id, exc)
                return
            if heartbeat.machine == worker.id:  # another machine may have the address now
                self._registry.observe_heartbeat(heartbeat)
