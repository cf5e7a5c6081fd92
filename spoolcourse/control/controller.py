"""One controller: the slices put together."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from spoolcourse.control import view
from spoolcourse.control.context import ControllerContext
from spoolcourse.control.fleet.relay import Relay, redirect
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leader.leader_term import LeaderTerm
from spoolcourse.control.leadership import feature_level
from spoolcourse.control.leadership.cancellation_query import answer_query
from spoolcourse.control.leadership.election import Leadership, Term
from spoolcourse.control.load import Load
from spoolcourse.control.machines.cloud import Cloud, CloudError, NoCapacityError
from spoolcourse.control.net import Net, NetError, Reply, Request, later, refusal_reply
from spoolcourse.control.standby.follower import Standby
from spoolcourse.control.standby.handover import HandoverRefusedError, hand_over
from spoolcourse.control.standby.hints import HintLoop, hint_page
from spoolcourse.control.standby.takeover import Takeover, TakeoverFromRecords, TakeoverFromShadow
from spoolcourse.control.standby.timeline import Timeline
from spoolcourse.control.store.client import RefusedError, StoreClient, UnclearError
from spoolcourse.control.store.keys import CATALOG, PREFIX
from spoolcourse.control.store.records import catalog_value
from spoolcourse.control.store.watch_cache import WATCH_GAP_LEADING_S, WATCH_GAP_S, WatchCache
from spoolcourse.control.user_api.api import UserApi
from spoolcourse.policy.keys import PolicySource, check_policy
from spoolcourse.wire import paths
from spoolcourse.wire.commands import to_json_object
from spoolcourse.wire.messages import Catalog, MachineType, MalformedError, parse, parse_report
from spoolcourse.wire.settings import Settings
from spoolcourse.wire.standby_settings import OFF, StandbySettings
from spoolcourse.wire.state_service import Put

log = logging.getLogger(__name__)

# Between reads of the catalog: prices move, and only the leader rents by them.
CATALOG_LEADING_S = 20.0
CATALOG_S = 60.0
CATALOG_RETRY_S = 1.0  # without it nothing can be accepted
CATALOG_STORE_RETRY_S = 5.0  # the stored one is for starts during an outage of the cloud
STANDBY_PATHS = frozenset((paths.HINTS, paths.STANDBY, paths.HANDOVER))
CATALOG_JITTER = (0.8, 1.2)  # so that the nodes don't ask in step


class Controller:
    """A controller: its parts, its loops, and the requests that come to it."""

    def __init__(
        self,
        settings: Settings,
        net: Net,
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
        self.job_index = JobIndex(self.client, self.watch_cache)
        self.cloud = Cloud(net, settings.outside.cloud, params.cloud.rps)
        run = run_id or f"{random.getrandbits(64):016x}"
        self.leadership = Leadership(self.client, self.watch_cache, settings.label, run)
        self.leadership.on_elected = self._elected
        self.leadership.on_deposed = self._deposed
        self.machine_types: dict[str, MachineType] = {}
        self.load = Load()
        self._context = ControllerContext(
            net,
            self.client,
            self.watch_cache,
            self.job_index,
            self.cloud,
            settings.seeds,
            params,
            policy or check_policy({}, "defaults"),
            lambda: self.machine_types,
            self._clock,
            wall_clock,
            self.load,
        )
        self.user_api = UserApi(self._context, lambda: self.leadership.leader_label)
        self.relay = Relay(net, settings.label, settings.seeds, params.workers.report_s)
        self.leader_term: LeaderTerm | None = None
        self._takeover: Takeover = TakeoverFromRecords(self._context)
        self.standby: Standby | None = None
        self.last_timeline: Timeline | None = None
        self._standby_loops: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._trace: Callable[[Timeline], None] = lambda timeline: None
        if standby.enabled:
            self._use_standby(standby)
        self.watch_cache.listen(self._on_change)
        self._tasks: list[asyncio.Task[None]] = []
        self.ready = False
        self.healthy = True

    def _use_standby(self, settings: StandbySettings) -> None:
        self.standby = Standby(self._context, settings)
        self._takeover = TakeoverFromShadow(self._context, self.standby, settings)
        self.leadership.standing_delay_s = self.standby.standing_delay_s
        self._standby_loops.append(self.standby.run)
        if settings.hint_period_s > 0:
            hint_loop = HintLoop(
                self._context,
                settings,
                self.standby.hints,
                lambda: self.leadership.leader_label,
            )
            self._standby_loops.append(hint_loop.run)
        if settings.trace:
            from spoolcourse.control.standby.tracing import TakeoverTracer

            tracer = TakeoverTracer(self.label, self._clock, self._context.wall_clock)
            self._trace = tracer.write

    # -- life -------------------------------------------------------------------------

    def start(self) -> None:
        """Begin all loops."""
        loop = asyncio.get_running_loop()
        for run in (
            self.watch_cache.run,
            self.leadership.run,
            self._catalog_loop,
            self._health_loop,
            self.load.run,
            *self._standby_loops,
        ):
            self._tasks.append(loop.create_task(self._supervise(run)))

    async def _supervise(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """A loop that fails for an unforeseen reason is begun again, not the process."""
        while True:
            try:
                await run()
            except Exception:
                log.exception("%s failed; it is begun again", run.__qualname__)
                self.leadership.depose("a loop failed")
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

    def _elected(self, term: Term) -> None:
        self.watch_cache.watch_gap_s = WATCH_GAP_LEADING_S
        self.leader_term = LeaderTerm(term, self.leadership, self._context, self._takeover)
        self.last_timeline = self.leader_term.timeline
        self.last_timeline.on_complete = self._trace
        self.leader_term.start()

    def _deposed(self) -> None:
        self.watch_cache.watch_gap_s = WATCH_GAP_S
        if self.leader_term is not None:
            self.leader_term.stop()
            self.leader_term = None
        if self.standby is not None:
            self.standby.follow_again()

    def _on_change(self, key: str, value: Any, revision: int) -> None:
        if key == CATALOG and value is not None and not self.machine_types:
            try:
                self._take_catalog(parse(value, Catalog))
            except MalformedError as exc:
                log.error("stored catalog: %s", exc)
        if self.leader_term is not None:
            self.leader_term.on_change(key)

    # -- catalog ------------------------------------------------------------------------

    def _take_catalog(self, catalog: Catalog) -> None:
        self.machine_types = {b.name: b for b in catalog.machine_types}

    async def _catalog_loop(self) -> None:
        """Read machine types and prices now and then.

        The types are kept in the state service as well, so that a node that starts while the cloud
        is out can take submissions.
        """
        while True:
            try:
                catalog = await self.cloud.catalog()
                self._take_catalog(catalog)
                await self._store_catalog(catalog)
                pause = CATALOG_LEADING_S if self.leadership.term else CATALOG_S
            except (CloudError, NoCapacityError) as exc:
                log.info("catalog: %s", exc)
                pause = CATALOG_RETRY_S
            except (RefusedError, UnclearError) as exc:
                log.debug("catalog not stored: %s", exc)
                pause = CATALOG_STORE_RETRY_S
            await asyncio.sleep(pause * random.uniform(*CATALOG_JITTER))

    async def _store_catalog(self, catalog: Catalog) -> None:
        if not self.leadership.valid():
            return
        machine_types = sorted(catalog.machine_types, key=lambda t: t.name)
        entry = self.watch_cache.get(CATALOG)
        if entry is not None:
            stored = parse(entry.value, Catalog).machine_types
            if {t.name for t in stored} == {t.name for t in machine_types}:
                return
        value = catalog_value(machine_types)
        outcome = await self.client.txn(
            {CATALOG: self.watch_cache.revision(CATALOG)}, [Put(CATALOG, value)]
        )
        if outcome.ok:
            self.watch_cache.apply(CATALOG, value, outcome.store_revision)

    # -- health -------------------------------------------------------------------------

    async def _health_loop(self) -> None:
        """Find out whether requests can be answered, here or by a peer.

        When nobody reaches the state service all nodes stay healthy: taking them out would only
        lengthen the outage for the users.
        """
        while True:
            await asyncio.sleep(1.0)
            if self.watch_cache.loaded.is_set() and self.machine_types:
                self.ready = True
            if not self.ready:
                continue
            if self._clock() - self.watch_cache.synced_at < 2.0 or await self.watch_cache.sync(1.0):
                self.healthy = True
                continue
            answers = await asyncio.gather(
                *(self._ask_peer(seed.endpoint) for seed in self._settings.seeds)
            )
            self.healthy = not self._settings.seeds or any(answers)

    async def _ask_peer(self, endpoint: str) -> bool:
        try:
            reply = await self._net.call(endpoint, "GET", paths.HEALTH, timeout=1.0)
        except NetError:
            return False
        return reply.status == 200

    # -- requests -----------------------------------------------------------------------

    def public(self, request: Request) -> Reply | Awaitable[Reply]:
        """Users, workers and health checks."""
        path = request.path.partition("?")[0]
        if path == paths.REPORT and request.method == "POST":
            return self._report(request.body, from_peer=False)
        if path == paths.HEALTH:
            ok = self.ready and self.healthy
            return Reply(200 if ok else 503, {"ok": ok})
        if path == paths.SUBMISSIONS or path.startswith(paths.SUBMISSIONS + "/"):
            return self._users(request, from_peer=False)
        return refusal_reply(404, "no such resource")

    def peers(self, request: Request) -> Reply | Awaitable[Reply]:
        """Other controllers, whose requests go no further, and operators."""
        path, _, query = request.path.partition("?")
        if path == paths.CANCELLATIONS and request.method == "GET":
            try:
                return Reply(200, answer_query(self.job_index, self.watch_cache, query))
            except MalformedError as exc:
                return refusal_reply(400, str(exc))
        if path == paths.LEVEL and request.method == "GET":
            return Reply(200, feature_level.answer())
        if path in STANDBY_PATHS:
            return self._standby_request(request.method, path, query)
        if path == paths.HEALTH:
            return Reply(200 if self.ready else 503, {})
        if path == paths.REPORT and request.method == "POST":
            return self._report(request.body, from_peer=True)
        if path == paths.STATUS and request.method == "GET":
            return Reply(200, view.status(self))
        if path == paths.METRICS and request.method == "GET":
            return Reply(200, view.metrics(self), {"Content-Type": "text/plain; version=0.0.4"})
        if path == paths.SUBMISSIONS or path.startswith(paths.SUBMISSIONS + "/"):
            return self._users(request, from_peer=True)
        return refusal_reply(404, "no such resource")

    def _standby_request(self, method: str, path: str, query: str) -> Reply | Awaitable[Reply]:
        if path == paths.HANDOVER and method == "POST":
            return self._hand_over()
        if method != "GET" or self.standby is None:
            return refusal_reply(404, "the warm standby is off")
        if path == paths.STANDBY:
            return Reply(200, to_json_object(self.standby.answer()))
        if self.leader_term is None or self.leader_term.active is None:
            return self._not_the_leader()
        registry, revision = self.leader_term.active.registry, self.watch_cache.store_revision
        try:
            return Reply(200, to_json_object(hint_page(registry, self.label, revision, query)))
        except MalformedError as exc:
            return refusal_reply(400, str(exc))

    async def _hand_over(self) -> Reply:
        if self.leader_term is None:
            return self._not_the_leader()
        try:
            return Reply(200, to_json_object(await hand_over(self._context, self.leadership)))
        except HandoverRefusedError as exc:
            return refusal_reply(409, str(exc))

    def _not_the_leader(self) -> Reply:
        leader = self.leadership.leader_label
        return refusal_reply(421, f"{leader} leads" if leader else "nobody is known to lead")

    async def _users(self, request: Request, from_peer: bool) -> Reply:
        if not self.ready:
            return later("starting")
        return await self.user_api.handle(request, from_peer)

    def _report(self, raw: bytes, from_peer: bool) -> Reply | Awaitable[Reply]:
        """Answer a worker's report; a leader does so at once.

        `from_peer`: a follower passes it on, and it goes no further.
        """
        try:
            with self.load.spent("parse"):
                report = parse_report(raw)
        except MalformedError as exc:
            return refusal_reply(400, str(exc))
        if self.leader_term is None:
            if from_peer:
                return redirect(None)
            leadership = self.leadership
            return self.relay.handle(
                report.machine, raw, leadership.leader_label, leadership.informed
            )
        return self.leader_term.report(report, relayed=from_peer)
