"""One controller: the slices put together."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from spoolcourse.control.cloud.catalog import CatalogLoop
from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.hint_loop import HintLoop
from spoolcourse.control.failover.strategies import (
    FailoverFromRecords,
    FailoverFromShadow,
    FailoverStrategy,
)
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.http_client import (
    HttpClient,
    NoResponseError,
    Request,
    Response,
    error_response,
    retry_later,
)
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leader.leader_term import LeaderTerm
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.failover_timeline import FailoverTimeline
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.peer_api import PeerApi
from spoolcourse.control.process_load import ProcessLoad
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX
from spoolcourse.control.store.watch_cache import (
    FOLLOWER_WATCH_PAUSE_S,
    LEADER_WATCH_PAUSE_S,
    WatchCache,
)
from spoolcourse.control.user_api.api import UserApi
from spoolcourse.control.workers.heartbeat_relay import HeartbeatRelay, redirect
from spoolcourse.policy.keys import PolicySource, check_policy
from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError, parse_heartbeat
from spoolcourse.wire.settings import Settings
from spoolcourse.wire.standby_settings import OFF, StandbySettings

log = logging.getLogger(__name__)


class Controller:
    """A controller: its parts, its loops, and the requests that come to it."""

    def __init__(
        self,
        settings: Settings,
        net: HttpClient,
        policy: PolicySource | None = None,
        wall_clock: Callable[[], float] = time.time,
        run_id: str | None = None,
        standby: StandbySettings = OFF,
    ) -> None:
        params = settings.settings
        self._settings = settings
        self.label = settings.label
        self._net = net
        self._clock = asyncio.get_running_loop().time
        nodes = len(settings.seeds) + 1
        self.client = StoreClient(net, settings.outside.state, params.state, nodes)
        self.watch_cache = WatchCache(self.client, PREFIX)
        self.job_index = JobIndex(self.watch_cache)
        self.cloud = CloudClient(net, settings.outside.cloud, params.cloud.rps)
        run = run_id or f"{random.getrandbits(64):016x}"
        self.leadership = Leadership(
            self.client,
            self.watch_cache,
            settings.label,
            run,
            listener=self,
            candidacy_delay_s=self._candidacy_delay_s,
        )
        self._catalog = CatalogLoop(self.cloud, self.client, self.watch_cache, self.leadership)
        self.load = ProcessLoad()
        self.context = ControllerContext(
            net,
            self.client,
            self.watch_cache,
            self.job_index,
            self.cloud,
            settings.seeds,
            params,
            policy or check_policy({}, "defaults"),
            lambda: self._catalog.machine_types,
            self._clock,
            wall_clock,
            self.load,
        )
        self.user_api = UserApi(self.context, lambda: self.leadership.leader_label)
        self.relay = HeartbeatRelay(
            net, settings.label, settings.seeds, params.workers.heartbeat_interval_s
        )
        self.leader_term: LeaderTerm | None = None
        self._failover: FailoverStrategy = FailoverFromRecords(self.context)
        self.standby: WarmStandby | None = None
        self.last_failover_timeline: FailoverTimeline | None = None
        self._peer_api = PeerApi(self)
        self._standby_loops: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._trace: Callable[[FailoverTimeline], None] = lambda timeline: None
        if standby.enabled:
            self._use_standby(standby)
        self.watch_cache.add_listener(self._on_change)
        self._tasks: list[asyncio.Task[None]] = []
        self.ready = False
        self.healthy = True

    def _use_standby(self, settings: StandbySettings) -> None:
        self.standby = WarmStandby(self.context, settings)
        self._failover = FailoverFromShadow(self.context, self.standby, settings)
        self._standby_loops.append(self.standby.run)
        if settings.hint_period_s > 0:
            hint_loop = HintLoop(
                self.context,
                settings,
                self.standby.hints,
                lambda: self.leadership.leader_label,
            )
            self._standby_loops.append(hint_loop.run)
        if settings.trace:
            from spoolcourse.control.failover.tracing import FailoverTracer

            tracer = FailoverTracer(self.label, self._clock, self.context.wall_clock)
            self._trace = tracer.write

    # -- life -------------------------------------------------------------------------

    def start(self) -> None:
        """Begin all loops."""
        loop = asyncio.get_running_loop()
        for run in (
            self.watch_cache.run,
            self.leadership.run,
            self._catalog.run,
            self._health_loop,
            self.load.run,
            *self._standby_loops,
        ):
            self._tasks.append(loop.create_task(self._supervise(run)))

    async def _supervise(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """A loop that fails for an unforeseen reason is restarted, not the process."""
        while True:
            try:
                await run()
            except Exception:
                log.exception("%s failed; it is restarted", run.__qualname__)
                self.leadership.step_down("a loop failed")
            await asyncio.sleep(1.0)

    def stop(self) -> None:
        """End all loops at once."""
        if self.leader_term is not None:
            self.leader_term.stop()
        for task in self._tasks:
            task.cancel()

    async def run(self) -> None:
        """Until something breaks that can't be put right in here."""
        self.start()
        await asyncio.gather(*self._tasks)

    def _candidacy_delay_s(self) -> float:
        return 0.0 if self.standby is None else self.standby.readiness.candidacy_delay_s()

    def on_elected(self, term: Term) -> None:
        """Begin the term."""
        self.watch_cache.watch_pause_s = LEADER_WATCH_PAUSE_S
        self.leader_term = LeaderTerm(
            term, self.leadership, self.context, self._failover, self._trace
        )
        self.last_failover_timeline = self.leader_term.timeline
        self.leader_term.start()

    def on_stepped_down(self) -> None:
        """End the term at once."""
        self.watch_cache.watch_pause_s = FOLLOWER_WATCH_PAUSE_S
        if self.leader_term is not None:
            self.leader_term.stop()
            self.leader_term = None
        if self.standby is not None:
            self.standby.resume_shadowing()

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if self.leader_term is not None:
            self.leader_term.on_change(key)

    # -- health -------------------------------------------------------------------------

    async def _health_loop(self) -> None:
        """Find out whether requests can be answered, here or by a peer.

        When nobody reaches the key-value store all controllers stay healthy: taking them out would
        only lengthen the outage for the users.
        """
        while True:
            await asyncio.sleep(1.0)
            if self.watch_cache.loaded.is_set() and self._catalog.machine_types:
                self.ready = True
            if not self.ready:
                continue
            if (
                self._clock() - self.watch_cache.synced_at < 2.0
                or await self.watch_cache.read_barrier(1.0)
            ):
                self.healthy = True
                continue
            answers = await asyncio.gather(
                *(self._ask_peer(seed.endpoint) for seed in self._settings.seeds)
            )
            self.healthy = not self._settings.seeds or any(answers)

    async def _ask_peer(self, endpoint: str) -> bool:
        try:
            reply = await self._net.call(endpoint, "GET", paths.HEALTH, timeout=1.0)
        except NoResponseError:
            return False
        return reply.status == 200

    # -- requests -----------------------------------------------------------------------

    def public(self, request: Request) -> Response | Awaitable[Response]:
        """Users, workers and health checks."""
        path = request.path.partition("?")[0]
        if path == paths.HEARTBEAT and request.method == "POST":
            return self._heartbeat(request.body, from_peer=False)
        if path == paths.HEALTH:
            ok = self.ready and self.healthy
            return Response(200 if ok else 503, {"ok": ok})
        if path == paths.SUBMISSIONS or path.startswith(paths.SUBMISSIONS + "/"):
            return self._users(request, from_peer=False)
        return error_response(404, "no such resource")

    def peers(self, request: Request) -> Response | Awaitable[Response]:
        """Other controllers, whose requests go no further, and operators."""
        found = self._peer_api.handle(request)
        if found is not None:
            return found
        path = request.path.partition("?")[0]
        if path == paths.HEALTH:
            return Response(200 if self.ready else 503, {})
        if path == paths.HEARTBEAT and request.method == "POST":
            return self._heartbeat(request.body, from_peer=True)
        if path == paths.SUBMISSIONS or path.startswith(paths.SUBMISSIONS + "/"):
            return self._users(request, from_peer=True)
        return error_response(404, "no such resource")

    async def _users(self, request: Request, from_peer: bool) -> Response:
        if not self.ready:
            return retry_later("starting")
        return await self.user_api.handle(request, from_peer)

    def _heartbeat(self, raw: bytes, from_peer: bool) -> Response | Awaitable[Response]:
        """Answer a worker's heartbeat; a leader does so at once.

        `from_peer`: a follower passes it on, and it goes no further.
        """
        try:
            with self.load.time_block("parse"):
                heartbeat = parse_heartbeat(raw)
        except MalformedError as exc:
            return error_response(400, str(exc))
        if self.leader_term is None:
            if from_peer:
                return redirect(None)
            leadership = self.leadership
            return self.relay.handle(
                heartbeat.machine, raw, leadership.leader_label, leadership.has_recent_view
            )
        return self.leader_term.heartbeat(heartbeat, relayed=from_peer)
