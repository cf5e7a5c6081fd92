"""Read-only views for operators, on the controllers' own address: status and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import UNSET, UnsetType

from spoolcourse.control.jobs.job_queue import AttemptStage
from spoolcourse.control.standby.follower import ShadowState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client.core import Metric

    from spoolcourse.control.controller import Controller
    from spoolcourse.control.leader.active_leader import ActiveLeader
    from spoolcourse.control.leader.scheduling_loop import WaitingJob
    from spoolcourse.control.standby.follower import Standby
    from spoolcourse.control.standby.timeline import Timeline

JOBS_SHOWN = 200
SILENCE_SHOWN_S = 86_400.0  # of a node that has never read the state service


class WaitingRow(msgspec.Struct, frozen=True):
    """A job with tasks that wait; the field names are those that operators' tools know."""

    id: str
    job_class: str = msgspec.field(name="lane")
    team: str = msgspec.field(name="crew")
    tasks: int = msgspec.field(name="pieces")
    waits_s: float = msgspec.field(name="waitsS")
    reason: str = msgspec.field(name="why")


class LeaderStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What only a leader knows."""

    jobs: int
    waiting: list[WaitingRow]
    waiting_jobs: int
    waiting_tasks: int = msgspec.field(name="waitingPieces")
    services: int
    replicas_missing: int
    attempts: int
    unproven_attempts: int
    fetches_booked: int
    machines: int
    machines_confirmed: int
    passes: int
    pass_cost_s: float
    unsaved_keys: int


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What every controller knows of itself."""

    node: str
    role: str
    leader: str | None
    ready: bool
    healthy: bool
    live_jobs: int
    terms: int
    store_requests: int
    store_failures: int
    store_writes: int
    loop_lag_s: float
    processor_share: float
    term: int | UnsetType = UNSET
    lease: str | UnsetType = UNSET


class TakeoverStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """The last take-over of this process, by phase, and its proof."""

    term: int | None
    proof: str | None
    claim_revision: int | None
    applied_revision: int | None
    phases_s: dict[str, float]


class StandbyStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Whether this node would take over without a restore, and from what."""

    state: str
    unfit_reason: str
    caught_up: bool
    revision: int
    revisions_behind: int  # of the leader, as its last hints told
    silence_s: float
    rebuilds: int
    jobs: int
    attempts: int
    team_cpus: dict[str, float]
    hints: int
    hints_refused: dict[str, int]
    mismatches: int


def _takeover_status(timeline: Timeline) -> TakeoverStatus:
    proof = timeline.proof
    return TakeoverStatus(
        term=proof.fencing_token if proof else None,
        proof=proof.source.value if proof else None,
        claim_revision=proof.claim_revision if proof else None,
        applied_revision=proof.applied_revision if proof else None,
        phases_s={i.phase.value: round(i.seconds, 4) for i in timeline.intervals()},
    )


def _standby_status(node: Controller, standby: Standby) -> StandbyStatus:
    shadow, revision = standby.shadow, node.watch_cache.store_revision
    usage = shadow.team_usage if shadow else {}
    return StandbyStatus(
        state=standby.state.value,
        unfit_reason=standby.unfit_reason if standby.state is ShadowState.UNFIT else "",
        caught_up=standby.caught_up,
        revision=revision,
        revisions_behind=max(0, standby.hints.leader_revision - revision),
        silence_s=round(min(standby.silence_s, SILENCE_SHOWN_S), 3),
        rebuilds=standby.rebuilds,
        jobs=shadow.jobs if shadow else 0,
        attempts=shadow.attempts if shadow else 0,
        team_cpus={team: used.cpus for team, used in usage.items()},
        hints=len(standby.hints),
        hints_refused={why.value: count for why, count in standby.hints.refused.items()},
        mismatches=standby.mismatches,
    )


def _waiting_row(job: WaitingJob) -> WaitingRow:
    return WaitingRow(job.id, job.job_class, job.team, job.tasks, job.waits_s, job.reason)


def _leader_status(leader: ActiveLeader) -> LeaderStatus:
    job_states = leader.job_queue.jobs.values()
    machines = leader.registry.machines.values()
    attempts = [attempt for job in job_states for attempt in job.attempts.values()]
    waiting = leader.scheduling.waiting()
    services = [
        job for job in job_states if job.record.submission.is_service and not job.record.aborted
    ]
    return LeaderStatus(
        jobs=len(job_states),
        waiting=[_waiting_row(job) for job in waiting[:JOBS_SHOWN]],
        waiting_jobs=len(waiting),
        waiting_tasks=sum(job.tasks for job in waiting),
        services=len(services),
        replicas_missing=sum(job.pending for job in services),
        attempts=len(attempts),
        unproven_attempts=sum(
            1 for a in attempts if a.stage is AttemptStage.OPEN or a.in_flight_session is not None
        ),
        fetches_booked=sum(len(machine.fetching) for machine in machines),
        machines=len(machines),
        machines_confirmed=sum(1 for machine in machines if machine.confirmed),
        passes=leader.scheduling.passes,
        pass_cost_s=leader.scheduling.pass_cost_s,
        unsaved_keys=len(leader.job_queue.dirty),
    )


def _node_status(node: Controller) -> NodeStatus:
    leadership = node.leadership
    term: int | UnsetType = UNSET
    lease: str | UnsetType = UNSET
    if node.leader_term is not None and leadership.term is not None:
        term = leadership.term.number
        lease = "valid" if leadership.valid() else "uncertain"
    return NodeStatus(
        node=node.label,
        role="leader" if node.leader_term is not None else "follower",
        leader=leadership.leader_label,
        ready=node.ready,
        healthy=node.healthy,
        live_jobs=len(node.job_index.live),
        terms=leadership.terms,
        store_requests=node.client.sent,
        store_failures=node.client.failed,
        store_writes=node.client.written,
        loop_lag_s=round(node.load.lag_s, 3),
        processor_share=round(node.load.share, 3),
        term=term,
        lease=lease,
    )


def status(node: Controller) -> dict[str, Any]:
    """What this node knows; a leader also says what waits, and why."""
    found: dict[str, Any] = msgspec.to_builtins(_node_status(node))
    if node.last_timeline is not None:
        found["lastTakeover"] = msgspec.to_builtins(_takeover_status(node.last_timeline))
    if node.standby is not None:
        found["standby"] = msgspec.to_builtins(_standby_status(node, node.standby))
    if node.leader_term is not None and node.leader_term.active is not None:
        found |= msgspec.to_builtins(_leader_status(node.leader_term.active))
    return found


_COUNTERS = {
    "terms": "terms this process was elected for",
    "storeRequests": "requests to the state service",
    "storeFailures": "requests to the state service refused or without an answer",
    "storeWrites": "puts and deletes sent to the state service",
    "passes": "placement passes of this term",
}
_GAUGES = {
    "loopLagS": "longest time that the event loop was held up, in the last ten seconds",
    "processorShare": "processor time by time, in the last ten seconds",
    "liveJobs": "jobs that are not final",
    "waitingJobs": "jobs with tasks that wait",
    "waitingPieces": "tasks that wait",
    "services": "standing services",
    "replicasMissing": "replicas of services that are not placed",
    "attempts": "attempts that may be on machines",
    "unprovenAttempts": "attempts whose whereabouts are open",
    "fetchesBooked": "image fetches under way",
    "machines": "machines known",
    "machinesConfirmed": "machines that have spoken under this term",
    "passCostS": "processor time of the last pass in seconds",
    "unsavedKeys": "progress keys that wait to be written",
}


_STANDBY_COUNTERS = {
    "rebuilds": "times that the shadow was built from a read",
    "mismatches": "take-overs at which the shadow differed from the records",
}
_STANDBY_GAUGES = {
    "caughtUp": "1 where a take-over would need no restore",
    "revision": "revision of the state service that is taken in",
    "revisionsBehind": "revisions that the leader was ahead at its last hints",
    "silenceS": "time since the state service was heard",
    "hints": "workers that hints are known of",
}


def _standby_metrics(values: dict[str, Any]) -> Iterable[Metric]:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    phases_s = values.get("lastTakeover", {}).get("phasesS", {})
    takeover = GaugeMetricFamily(
        "spoolcourse_takeover_phase_seconds", "the last take-over, by phase", labels=["phase"]
    )
    for phase, seconds in phases_s.items():
        takeover.add_metric([phase], seconds)
    yield takeover
    standby = values.get("standby")
    if standby is None:
        return
    for kind, described in (
        (CounterMetricFamily, _STANDBY_COUNTERS),
        (GaugeMetricFamily, _STANDBY_GAUGES),
    ):
        for name, about in described.items():
            yield kind("spoolcourse_standby" + _snake("_" + name), about, float(standby[name]))
    yield CounterMetricFamily(
        "spoolcourse_standby_hints_refused",
        "answers with hints that were not used",
        float(sum(standby["hintsRefused"].values())),
    )


def _snake(name: str) -> str:
    return "".join("_" + c.lower() if c.isupper() else c for c in name)


def metrics(node: Controller) -> bytes:
    """The same as numbers, in Prometheus' text format.

    Made only when asked for, so that it costs nothing in between; its library is loaded by the
    first such call.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
    from prometheus_client.registry import Collector

    values = status(node)

    class Once(Collector):
        def collect(self) -> Iterable[Metric]:
            yield GaugeMetricFamily(
                "spoolcourse_leader", "1 on the leader", float(values["role"] == "leader")
            )
            for kind, described in ((CounterMetricFamily, _COUNTERS), (GaugeMetricFamily, _GAUGES)):
                for name, about in described.items():
                    if name in values:
                        yield kind("spoolcourse" + _snake("_" + name), about, float(values[name]))

            yield from _standby_metrics(values)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Once())
    return generate_latest(registry)
