"""Builds the components of a controller and connects them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from spoolcourse.control.cloud.catalog import CatalogLoop
from spoolcourse.control.cloud.client import CloudClient
from spoolcourse.control.context import ControllerContext
from spoolcourse.control.controller_parts import ControllerParts
from spoolcourse.control.failover.hint_loop import HintLoop
from spoolcourse.control.failover.strategies import (
    FailoverFromRecords,
    FailoverFromShadow,
    FailoverStrategy,
)
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.health import HealthCheck
from spoolcourse.control.http_client import HttpClient
from spoolcourse.control.http_connection import Handler
from spoolcourse.control.jobs.job_index import JobIndex
from spoolcourse.control.leader.leader_term import LeaderTerm
from spoolcourse.control.leader.term_lifecycle import TermLifecycle
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.failover_timeline import FailoverTimeline
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.peer_api import PeerApi
from spoolcourse.control.process_load import ProcessLoad
from spoolcourse.control.routes import Router, peer_routes, public_routes
from spoolcourse.control.store.client import StoreClient
from spoolcourse.control.store.keys import PREFIX
from spoolcourse.control.store.watch_cache import WatchCache
from spoolcourse.control.supervisor import LoopFunction, LoopSupervisor, SupervisionPolicy
from spoolcourse.control.user_api.api import UserApi
from spoolcourse.control.worker_api import WorkerApi
from spoolcourse.control.workers.heartbeat_relay import HeartbeatRelay
from spoolcourse.policy.keys import CompiledPolicy, compile_policy
from spoolcourse.wire.settings import Settings
from spoolcourse.wire.standby_settings import STANDBY_OFF, StandbySettings

# After an unexpected error in a controller's loop, the loop is restarted, not the process.
CONTROLLER_LOOP_POLICY = SupervisionPolicy(restart_after_s=1.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class FailoverParts:
    """The failover strategy and its background loops, with or without the warm standby."""

    strategy: FailoverStrategy
    standby: WarmStandby | None = None  # None: disabled in the settings
    loops: tuple[LoopFunction, ...] = ()
    on_complete: Callable[[FailoverTimeline], None] = lambda _timeline: None  # after a failover


@dataclass(frozen=True, slots=True, kw_only=True)
class Clients:
    """The HTTP, store and cloud clients, and the local copies of the key-value store's records."""

    http_client: HttpClient
    store_client: StoreClient
    watch_cache: WatchCache
    job_index: JobIndex
    cloud: CloudClient


class Controller:
    """A controller: its components, its loops, and the handlers of its two addresses.

    `public_handler` handles requests to the public address (`listen` in the settings),
    `cluster_handler` those to the peer address (`cluster_listen`).
    """

    def __init__(
        self,
        settings: Settings,
        http_client: HttpClient,
        policy: CompiledPolicy | None = None,
        wall_clock: Callable[[], float] = time.time,
        run_id: str | None = None,
        standby: StandbySettings = STANDBY_OFF,
    ) -> None:
        """`run_id` distinguishes this process from earlier ones with the same label."""
        clients = _build_clients(settings, http_client)
        self.watch_cache = clients.watch_cache
        self.job_index = clients.job_index
        self._lifecycle = TermLifecycle(self.watch_cache, self._build_term, self._resume_shadowing)
        self.leadership = Leadership(
            clients.store_client,
            self.watch_cache,
            settings.label,
            run_id or _random_run_id(),
            listener=self._lifecycle,
            candidacy_delay_s=self._candidacy_delay_s,
        )
        self._catalog = CatalogLoop(
            clients.cloud, clients.store_client, self.watch_cache, self.leadership
        )
        policy = policy or compile_policy({}, "defaults")
        self._context = _build_context(settings, clients, self._catalog, policy, wall_clock)
        self._failover_parts = _build_failover(
            self._context, self.leadership, settings.label, standby
        )
        self._failover = self._failover_parts.strategy
        self.standby = self._failover_parts.standby
        self.watch_cache.add_listener(self._lifecycle.on_change)
        self._supervisor = LoopSupervisor(self.leadership.step_down, CONTROLLER_LOOP_POLICY)
        self.health = _build_health(self._context)
        self.public_handler, self.cluster_handler = self._build_handlers(settings)

    # -- composition ----------------------------------------------------------------------

    def _build_term(self, term: Term) -> LeaderTerm:
        return LeaderTerm(
            term, self.leadership, self._context, self._failover, self._failover_parts.on_complete
        )

    def _candidacy_delay_s(self) -> float:
        return 0.0 if self.standby is None else self.standby.readiness.candidacy_delay_s()

    def _resume_shadowing(self) -> None:
        if self.standby is not None:
            self.standby.resume_shadowing()

    def _build_handlers(self, settings: Settings) -> tuple[Handler, Handler]:
        """The handlers of the public address and of the peer address."""
        parts = ControllerParts(
            label=settings.label,
            context=self._context,
            leadership=self.leadership,
            lifecycle=self._lifecycle,
            health=self.health,
            standby=self.standby,
        )
        heartbeat_interval_s = settings.settings.workers.heartbeat_interval_s
        relay = HeartbeatRelay(
            self._context.http_client, settings.label, settings.seeds, heartbeat_interval_s
        )
        workers = WorkerApi(parts, relay)
        users = UserApi(self._context, self.leadership, self.health)
        public = public_routes(workers, users, self.health)
        peers = peer_routes(PeerApi(parts), workers, users, self.health)
        return Router(public).handle, Router(peers).handle

    # -- lifecycle ------------------------------------------------------------------------

    @property
    def leader_term(self) -> LeaderTerm | None:
        """This controller's current term as leader; None on a follower."""
        return self._lifecycle.current

    @property
    def last_failover_timeline(self) -> FailoverTimeline | None:
        """The failover timeline of this controller's current or last term."""
        return self._lifecycle.last_failover_timeline

    def start(self) -> None:
        """Start all loops of the controller."""
        for loop in (
            self.watch_cache.run,
            self.leadership.run,
            self._catalog.run,
            self.health.run,
            self._context.load.run,
            *self._failover_parts.loops,
        ):
            self._supervisor.spawn(loop)

    def stop(self) -> None:
        """Cancel all loops."""
        self._lifecycle.stop()
        self._supervisor.cancel()

    async def run(self) -> None:
        """Start the loops, and run until an error that the supervisor does not handle."""
        self.start()
        await self._supervisor.wait()


def _build_clients(settings: Settings, http_client: HttpClient) -> Clients:
    params, endpoints = settings.settings, settings.outside
    client = StoreClient(http_client, endpoints.state, params.state, len(settings.seeds) + 1)
    watch_cache = WatchCache(client, PREFIX)
    return Clients(
        http_client=http_client,
        store_client=client,
        watch_cache=watch_cache,
        job_index=JobIndex(watch_cache),
        cloud=CloudClient(http_client, endpoints.cloud, params.cloud.rps),
    )


def _build_context(
    settings: Settings,
    clients: Clients,
    catalog: CatalogLoop,
    policy: CompiledPolicy,
    wall_clock: Callable[[], float],
) -> ControllerContext:
    return ControllerContext(
        http_client=clients.http_client,
        store_client=clients.store_client,
        watch_cache=clients.watch_cache,
        job_index=clients.job_index,
        cloud=clients.cloud,
        peers=settings.seeds,
        params=settings.settings,
        compiled_policy=policy,
        machine_types=lambda: catalog.machine_types,
        clock=asyncio.get_running_loop().time,
        wall_clock=wall_clock,
        load=ProcessLoad(),
    )


def _random_run_id() -> str:
    return f"{random.getrandbits(64):016x}"


def _build_health(context: ControllerContext) -> HealthCheck:
    return HealthCheck(
        context.http_client,
        context.peers,
        context.watch_cache,
        context.machine_types,
        context.clock,
    )


def _build_failover(
    context: ControllerContext, leadership: Leadership, label: str, settings: StandbySettings
) -> FailoverParts:
    if not settings.enabled:
        return FailoverParts(strategy=FailoverFromRecords(context))
    standby = WarmStandby(context, settings)
    loops: list[LoopFunction] = [standby.run]
    if settings.hint_period_s > 0:
        hint_loop = HintLoop(context, settings, standby.hints, lambda: leadership.leader_label)
        loops.append(hint_loop.run)
    parts = FailoverParts(
        strategy=FailoverFromShadow(context, standby, settings),
        standby=standby,
        loops=tuple(loops),
    )
    return (
        replace(parts, on_complete=_failover_trace_writer(context, label))
        if settings.trace
        else parts
    )


def _failover_trace_writer(
    context: ControllerContext, label: str
) -> Callable[[FailoverTimeline], None]:
    # Imported only with tracing on: the import takes time, and leases can expire during the start.
    from spoolcourse.control.failover.tracing import FailoverTracer

    return FailoverTracer(label, context.clock, context.wall_clock).write
