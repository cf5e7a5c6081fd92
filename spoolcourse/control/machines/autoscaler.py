"""Machines as wanted and as they are: listing, renting, returning, burying.

The wanted state is what the last pass found missing and what stands idle; the loops
here work out the difference and ask the cloud for it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from spoolcourse.control.fleet.machine import Machine
from spoolcourse.control.fleet.worker_registry import WorkerRegistry
from spoolcourse.control.load import SUMMARY_S
from spoolcourse.control.machines.cancelled import Cancelled
from spoolcourse.control.machines.cloud import Cloud, CloudError, NoCapacity
from spoolcourse.control.machines.demand import Demand
from spoolcourse.control.machines.early_deletion import EarlyDeletion
from spoolcourse.control.machines.replica_places import ReplicaPlaces
from spoolcourse.control.machines.replica_probe import ReplicaProbe
from spoolcourse.control.machines.service_reserve import ServiceReserve
from spoolcourse.control.net import Net, NetError
from spoolcourse.policy.keys import KEYS, Policy
from spoolcourse.wire.cloud import DELETE_MAX, MachineKind
from spoolcourse.wire.commands import CommandRequest, to_json_object
from spoolcourse.wire.messages import Host, MachineType, Malformed, Report, parse
from spoolcourse.wire.settings import Params

log = logging.getLogger(__name__)

# Machines asked at once. Those behind a cut let the call time out, so with a few at once a
# takeover would grow by a second for every few silent machines.
PROBES = 64


@dataclass(slots=True)
class Refusal:
    until: float
    pause: float


class FleetAutoscaler:
    def __init__(
        self,
        net: Net,
        cloud: Cloud,
        registry: WorkerRegistry,
        policy: Policy,
        machine_types: Callable[[], dict[str, MachineType]],
        clock: Callable[[], float],
        may_rent: Callable[[], bool],
        params: Params,
        wall_clock: Callable[[], float],
    ) -> None:
        self._net = net
        self._cloud = cloud
        self._registry = registry
        self._policy = policy
        self._machine_types = machine_types
        self._clock = clock
        self._may_rent = may_rent
        self._workers = params.workers
        self._list_lag_s = params.cloud.list_lag_s
        self._cancelled = Cancelled(
            registry.job_queue, params.workers, params.skew_ms / 1000, clock, wall_clock
        )
        self.places = ReplicaPlaces(registry, params.workers, clock, machine_types)
        self.replica_probe = ReplicaProbe(net, registry, self.places, clock)
        self._early = EarlyDeletion(registry, self.places, self.replica_probe, clock)
        self._reserve = ServiceReserve(registry, policy, machine_types)
        self._hires = 0
        self.demand = Demand(KEYS["keep_s"].high)
        # Machines that were there before the service first ran: the operators chose to
        # have them, so they are used, but not returned for being idle.
        self.base: Callable[[], frozenset[str]] = frozenset
        self.on_list: Callable[[list[Host]], Awaitable[None]] | None = None
        self.on_summary: Callable[[], None] = lambda: None
        # Types that some jobs have no choice but to use are kept, within reason.
        self.is_rare: Callable[[str], bool] = lambda machine_type: False
        self.refusals: dict[MachineKind, Refusal] = {}
        self.wanted: list[tuple[MachineKind, int]] = []
        self.renting = False  # what is being asked for is not known as a machine yet
        self.wake = asyncio.Event()

    # -- the list -----------------------------------------------------------------------

    async def list_loop(self) -> None:
        while True:
            try:
                sent = self._clock()
                hosts = await self._cloud.hosts()
                self.take_list(hosts, sent)
                if self.on_list is not None:
                    await self.on_list(hosts)
                await self._probe(hosts)
            except CloudError as exc:
                log.info("machine list: %s", exc)
            await asyncio.sleep(max(2.0, self._list_lag_s / 2))

    def take_list(self, hosts: list[Host], now: float) -> None:
        for host in hosts:
            if host.id in self._registry.deleted_names:
                continue
            machine = self._registry.machine(host.id)
            if host.stage == "running" and machine.listed_stage != "running":
                machine.running_at = now
            machine.listed_stage = host.stage
            machine.machine_type = machine.machine_type or host.machine_type
            machine.zone = machine.zone or host.zone
            if machine.spot is None:
                machine.spot = host.spot
            machine.address = machine.address or host.address
            if machine.rented_at is None:
                machine.rented_at = now - host.age_s
            if machine.heard_at is None and machine.up_at is None:
                machine.up_at = machine.rented_at + self._boot_s(machine)

    def _boot_s(self, machine: Machine) -> float:
        machine_type = self._machine_types().get(machine.machine_type or "")
        return machine_type.boot_s if machine_type else 60.0

    async def _probe(self, hosts: list[Host]) -> None:
        """Raise the fencing token on machines that have not spoken under it yet, with an empty
        order: they may be reporting to a node that can't know of us."""
        todo = [
            m
            for h in hosts
            if h.stage == "running"
            and (m := self._registry.machines.get(h.id)) is not None
            and not m.confirmed
            and not m.lease_expired  # it has spoken under it, and will come by itself
            and m.address
        ]
        gate = asyncio.Semaphore(PROBES)

        async def one(machine: Machine) -> None:
            async with gate:
                if not machine.confirmed:  # its own report may have come meanwhile
                    await self.raise_fencing_token(machine)

        await asyncio.gather(*(one(m) for m in todo))

    async def raise_fencing_token(self, machine: Machine) -> None:
        try:
            shown = await self._net.call(machine.address, "GET", "/show", timeout=1.0, keep=False)
            report = parse(shown.data, Report)
            request = CommandRequest(self._registry.fencing_token, report.session, [])
            reply = await self._net.call(
                machine.address, "POST", "/orders", to_json_object(request), timeout=1.0, keep=False
            )
            report = parse(reply.data, Report)
            if report.machine == machine.id:
                self._registry.observe(report)
        except (NetError, Malformed) as exc:
            log.debug("%s: fencing token not raised: %s", machine.id, exc)

    # -- renting ------------------------------------------------------------------------

    def open_for_hire(self, kind: MachineKind) -> bool:
        refusal = self.refusals.get(kind)
        return refusal is None or refusal.until <= self._clock()

    async def rent_loop(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            wanted, self.wanted = self.wanted, []
            self.renting = True
            for kind, count in wanted:
                if self._may_rent() and self.open_for_hire(kind):
                    await self._rent(kind, count)
            self.renting = False

    async def _rent(self, kind: MachineKind, count: int) -> None:
        # The name holds the term, so no other leader uses it, nor does this one again.
        self._hires += 1
        name = f"t{self._registry.fencing_token}-{self._hires}"
        for _ in range(3):
            asked = self._clock()
            try:
                names = await self._cloud.hire(name, kind, count)
            except NoCapacity:
                self._refused(kind)
                return
            except CloudError as exc:
                log.info("hire %s: %s", name, exc)
                await asyncio.sleep(0.5)
                continue
            for machine_name in names:
                if machine_name in self._registry.deleted_names:
                    continue
                machine = self._registry.machine(machine_name)
                machine.machine_type, machine.zone, machine.spot = (
                    kind.machine_type,
                    kind.zone,
                    kind.spot,
                )
                machine.rented_at = asked
                if machine.heard_at is None:
                    machine.up_at = asked + self._boot_s(machine)
            log.info(
                "hired %d of %d %s in %s, spot %s: %s",
                len(names),
                count,
                *_words(kind),
                " ".join(names),
            )
            if len(names) < count:
                self._refused(kind)
            else:
                self.refusals.pop(kind, None)
            return

    def _refused(self, kind: MachineKind) -> None:
        before = self.refusals.get(kind)
        pause = (
            min(before.pause * 1.5, 4 * self._policy.refused_s)
            if before
            else self._policy.refused_s
        )
        self.refusals[kind] = Refusal(self._clock() + pause, pause)
        log.info("no more %s in %s, spot %s, for now", *_words(kind))

    # -- returning and burying ------------------------------------------------------------

    def _log_fleet(self) -> None:
        """What is there and what it does, for the operators."""
        found: dict[tuple[str, bool], list[float]] = {}
        for m in self._registry.machines.values():
            row = found.setdefault((m.machine_type or "?", bool(m.spot)), [0, 0, 0.0, 0.0, 0, 0])
            row[0] += 1
            row[1] += m.heard_at is None
            row[2] += self._cpus(m)
            row[3] += sum(a.job_state.record.sub.cpus for a in m.attempts.values())
            row[4] += m.surplus
            row[5] += m.heard_at is not None and not m.attempts
        for (machine_type, spot), row in sorted(found.items()):
            log.info(
                "fleet: %s, spot %s: %d machines, %d booting, %d surplus, %d empty; "
                "%.0f CPUs, %.0f taken",
                machine_type,
                "yes" if spot else "no",
                row[0],
                row[1],
                row[4],
                row[5],
                row[2],
                row[3],
            )

    async def return_loop(self) -> None:
        logged_at = float("-inf")
        while True:
            await asyncio.sleep(1.0)
            self._registry.expire()
            if log.isEnabledFor(logging.INFO) and self._clock() - logged_at > SUMMARY_S:
                logged_at = self._clock()
                self._log_fleet()
                self.on_summary()
            names = self.machines_to_delete()
            if not names:
                continue
            for name in names:
                self._registry.machines[name].deleting = True
            try:
                await self._cloud.delete(names)
            except (CloudError, NoCapacity) as exc:
                log.info("deletion: %s", exc)
                continue
            for name in names:
                self._registry.confirm_deleted(name)

    def isolated(self) -> bool:
        """Most machines silent at once: more likely we are cut off than they are dead."""
        known = [m for m in self._registry.machines.values() if m.heard_at is not None]
        quiet = sum(
            1
            for m in known
            if not m.confirmed or m.unresponsive_since is not None or self._registry.is_quiet(m)
        )
        return len(known) >= 3 and quiet * 2 > len(known)

    def machines_to_delete(self) -> list[str]:
        now = self._clock()
        # After a standstill, or cut off from the state service, this node may lead no more:
        # what looks idle or silent here may be at work for another. What a withdrawn job may
        # hold goes all the same; nobody else may be there to see to it.
        leads = self._may_rent()
        isolated, overdue = self.isolated() or not leads, self._cancelled.overdue()
        early: set[str] = set() if isolated else self._early.due()
        names = []
        spare = -self.short(now)
        reserved = self._reserve.machines()
        self.mark_surplus(now, reserved)
        for machine in self._registry.machines.values():
            reason = self._reason(machine, now, isolated, overdue)
            if reason is None and machine.id in early:
                reason = "it is silent, and replicas wait for a proof that they are gone"
            may_return = leads and machine.id not in reserved
            if reason is None and may_return and self._idle(machine, now):
                cpus = self._cpus(machine)
                if machine.surplus or cpus <= spare:
                    reason = "it is idle"
                    spare -= cpus
            if reason:
                if not machine.deleting:
                    log.info("%s: returned: %s", machine.id, reason)
                names.append(machine.id)
        return names[:DELETE_MAX]

    def _reason(
        self, machine: Machine, now: float, isolated: bool, overdue: dict[str, float]
    ) -> str | None:
        if machine.deleting:
            return "asked for before"
        if machine.listed_stage == "failed":
            return "it failed"
        heard = machine.heard_at
        silent = now - (heard if heard is not None else machine.running_at or machine.since)
        if self._cancelled.holds(machine, overdue):
            return "a cancelled job may be on it, and it can't be told"
        if (
            heard is None
            and machine.up_at is not None
            and machine.listed_stage != "running"
            and not machine.attempts
        ):
            boot = self._boot_s(machine)
            late = not isolated and now - (machine.up_at - boot) > self._policy.boot_patience * boot
            # A leader that was just elected has heard nobody yet, and its list may be old.
            # Measured: 100 to 150 idle machines returned a second after each change.
            known = now - machine.since
            if late and known > self._workers.quiet_s + 2 * self._list_lag_s:
                return "it does not come up"
            return None
        patience = self._policy.silent_leases * self._workers.lease_s
        if isolated:
            pass
        elif silent > patience:
            return "it is silent"
        elif machine.unresponsive_since is not None and now - machine.unresponsive_since > patience:
            return "it takes no answers"
        elif now - machine.token_seen_at > patience:
            return (
                "our fencing token does not reach it"  # so what it holds would stay open for ever
            )
        if len(machine.errors) >= 2 and not machine.attempts:
            return "tasks of several jobs fail on it"
        return None

    def _cpus(self, machine: Machine) -> float:
        machine_type = self._machine_types().get(machine.machine_type or "")
        return machine_type.cpus if machine_type else 0.0

    def _capacity(self) -> float:
        size = {
            machine_type.name: machine_type.cpus for machine_type in self._machine_types().values()
        }  # asked every pass
        return sum(
            size.get(m.machine_type or "", 0.0)
            for m in self._registry.machines.values()
            if m.placeable or (m.heard_at is None and not m.deleting and m.listed_stage != "failed")
        )

    def mark_surplus(self, now: float, reserved: set[str]) -> None:
        """Ordinary machines cost a multiple of spot ones: those above what was wanted of
        late are marked, the emptiest first, to run empty and go. Types that some jobs
        depend on stay, and so do those reserved for services."""
        policy = self._policy
        wanted = policy.ordinary_headroom * self.demand.peak(now, policy.ordinary_keep_s)
        spare = self._capacity() - wanted
        base = self.base()
        ordinary = [
            m
            for m in self._registry.machines.values()
            if m.spot is False and m.placeable and m.id not in base
        ]
        # Those already marked stay marked if possible: they have run emptier since.
        for machine in sorted(ordinary, key=lambda m: (not m.surplus, len(m.attempts))):
            cpus = self._cpus(machine)
            needed = machine.id in reserved or self.is_rare(machine.machine_type or "")
            machine.surplus = cpus <= spare and not needed
            if machine.surplus:
                spare -= cpus

    def short(self, now: float) -> float:
        """CPUs missing for what may be wanted next; negative: CPUs to spare."""
        wanted = self._policy.headroom * self.demand.peak(now, self._policy.keep_s)
        return wanted - self._capacity()

    def _idle(self, machine: Machine, now: float) -> bool:
        if (
            not machine.confirmed
            or machine.id in self.base()
            or machine.attempts
            or machine.unexpected_tasks
            or machine.idle_since is None
        ):
            return False
        policy, boot = self._policy, self._boot_s(machine)
        if self.is_rare(machine.machine_type or ""):
            limit = policy.rare_s
        elif machine.surplus:
            limit = policy.surplus_idle_s
        else:
            limit = max(policy.idle_min_s, policy.idle_boots * boot)
        return now - machine.idle_since > limit


def _words(kind: MachineKind) -> tuple[str, str, str]:
    return kind.machine_type, kind.zone, "yes" if kind.spot else "no"
