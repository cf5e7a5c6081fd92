"""Calls that raise the fencing token on workers that have not sent a heartbeat under it yet."""

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

# Workers called at once, at least. Calls to those behind a cut time out, so with a few at once a
# failover would take a second longer for every few silent workers.
MIN_CONCURRENT_CALLS = 64


class UnconfirmedWorker(Protocol):
    """A worker that may not know of the term. A `Machine` of the registry is one."""

    @property
    def id(self) -> str:
        """The name of its machine."""
        ...

    @property
    def address(self) -> str:
        """Where it is called."""
        ...

    @property
    def confirmed(self) -> bool:
        """Whether it has sent a heartbeat under the fencing token, so that no call is needed."""
        ...


class FencingTokenAnnouncer:
    """Raises the token with requests without commands, and observes the heartbeats they return.

    The workers called may be sending their heartbeats to a controller that can't know of this
    leader.
    """

    def __init__(self, http_client: HttpClient, registry: WorkerRegistry, sockets: int) -> None:
        """`sockets`: how many the controller may open; 0 if that is not known."""
        self._http_client = http_client
        self._registry = registry
        self._sockets = sockets

    async def announce(self, workers: Iterable[UnconfirmedWorker], fleet_size: int) -> None:
        """Call each worker once, in order, and wait for all; one that fails is only logged.

        `fleet_size`: the number of workers that the bound on concurrent calls is derived from.
        """
        concurrent_calls = concurrent_call_limit(MIN_CONCURRENT_CALLS, fleet_size, self._sockets)
        semaphore = asyncio.Semaphore(concurrent_calls)
        await asyncio.gather(*(self._announce_to(worker, semaphore) for worker in workers))

    async def _announce_to(self, worker: UnconfirmedWorker, semaphore: asyncio.Semaphore) -> None:
        async with semaphore:
            if worker.confirmed:
                return  # its own heartbeat has arrived while it waited here
            try:
                heartbeat = await raise_fencing_token(
                    self._http_client, self._registry.proof, worker.address
                )
            except (NoResponseError, MalformedError) as exc:
                log.debug("fencing token not raised: machine=%s: %s", worker.id, exc)
                return
            if heartbeat.machine == worker.id:  # the address may belong to another machine by now
                self._registry.observe_heartbeat(heartbeat)
