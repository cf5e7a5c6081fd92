"""The status of a controller, for operators; `metrics` has the same as numbers.

Durations are in seconds. Operators' tools know the fields by their names on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from spoolcourse.control.controller_parts import ControllerParts
from spoolcourse.control.failover.shadow_status import ShadowState
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.jobs.model import AttemptStage
from spoolcourse.control.leader.active_leader import ActiveLeader
from spoolcourse.control.leadership.failover_timeline import FailoverTimeline
from spoolcourse.control.scheduling.waiting_jobs import WaitingJob

JOBS_SHOWN = 200
SILENCE_SHOWN_S = 86_400.0  # of a controller that has never read the key-value store


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


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What every controller knows of itself."""

    label: str = msgspec.field(name="node")
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


class FailoverStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """The last failover of this process, by phase, and its proof."""

    term: int | None
    proof: str | None
    claim_revision: int | None
    applied_revision: int | None
    phases_s: dict[str, float]


class StandbyStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Whether this controller would take over without a restore, and from what."""

    state: str
    unfit_reason: str
    caught_up: bool
    revision: int
    revisions_behind: int  # behind the leader, by its last hints
    silence_s: float
    rebuilds: int
    jobs: int
    attempts: int
    team_cpus: dict[str, float]
    hints: int
    hints_refused: dict[str, int]
    mismatches: int


def _failover_status(timeline: FailoverTimeline) -> FailoverStatus:
    proof = timeline.proof
    return FailoverStatus(
        term=proof.fencing_token if proof else None,
        proof=proof.source.value if proof else None,
        claim_revision=proof.claim_revision if proof else None,
        applied_revision=proof.applied_revision if proof else None,
        phases_s={i.phase.value: round(i.duration_s, 4) for i in timeline.intervals()},
    )


def _standby_status(standby: WarmStandby, revision: int) -> StandbyStatus:
    shadow, status = standby.shadow, standby.status
    usage = shadow.team_usage if shadow else {}
    return StandbyStatus(
        state=status.state.value,
        unfit_reason=status.stale_reason if status.state is ShadowState.STALE else "",
        caught_up=standby.readiness.caught_up,
        revision=revision,
        revisions_behind=max(0, standby.hints.leader_revision - revision),
        silence_s=round(min(standby.readiness.silence_s, SILENCE_SHOWN_S), 3),
        rebuilds=status.rebuilds,
        jobs=shadow.job_count if shadow else 0,
        attempts=shadow.attempt_count if shadow else 0,
        team_cpus={team: used.cpus for team, used in usage.items()},
        hints=len(standby.hints),
        hints_refused={refusal.value: count for refusal, count in standby.hints.rejections.items()},
        mismatches=status.mismatches,
    )


def _waiting_row(job: WaitingJob) -> WaitingRow:
    return WaitingRow(job.id, job.job_class, job.team, job.tasks, job.waits_s, job.reason)


def _leader_status(leader: ActiveLeader) -> LeaderStatus:
    job_states = leader.job_queue.jobs.values()
    machines = leader.registry.machines.values()
    attempts = [attempt for job in job_states for attempt in job.attempts.values()]
    waiting = leader.scheduling.waiting_jobs.list()
    services = [
        job for job in job_states if job.record.submission.is_service and not job.record.cancelled
    ]
    return LeaderStatus(
        jobs=len(job_states),
        waiting=[_waiting_row(job) for job in waiting[:JOBS_SHOWN]],
        waiting_jobs=len(waiting),
        waiting_tasks=sum(job.tasks for job in waiting),
        services=len(services),
        replicas_missing=sum(job.pending_count for job in services),
        attempts=len(attempts),
        unproven_attempts=sum(
            1
            for a in attempts
            if a.stage is AttemptStage.OPEN or a.in_flight_incarnation is not None
        ),
        fetches_booked=sum(len(machine.fetching) for machine in machines),
        machines=len(machines),
        machines_confirmed=sum(1 for machine in machines if machine.confirmed),
        passes=leader.scheduling.passes,
        pass_cost_s=leader.scheduling.pass_cost_s,
        unsaved_keys=len(leader.job_queue.pending_writes),
    )


def _controller_status(parts: ControllerParts) -> ControllerStatus:
    context, leadership, health = parts.context, parts.leadership, parts.health
    leads = parts.lifecycle.current is not None
    term: int | UnsetType = UNSET
    lease: str | UnsetType = UNSET
    if leads and leadership.term is not None:
        term = leadership.term.number
        lease = "valid" if leadership.holds_lease() else "uncertain"
    return ControllerStatus(
        label=parts.label,
        role="leader" if leads else "follower",
        leader=leadership.leader_label,
        ready=health.ready,
        healthy=health.healthy,
        live_jobs=len(context.job_index.live),
        terms=leadership.elections_won,
        store_requests=context.client.requests_sent,
        store_failures=context.client.requests_failed,
        store_writes=context.client.operations_sent,
        loop_lag_s=round(context.load.loop_lag_s, 3),
        processor_share=round(context.load.processor_share, 3),
        term=term,
        lease=lease,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """What a controller knows, in parts; a part is None where there is nothing to report."""

    controller: ControllerStatus
    leader: LeaderStatus | None
    standby: StandbyStatus | None
    last_failover: FailoverStatus | None

    def to_json_object(self) -> dict[str, Any]:
        """The status as operators' tools know it: the first two parts in one object."""
        fields: dict[str, Any] = msgspec.to_builtins(self.controller)
        if self.last_failover is not None:
            fields["lastTakeover"] = msgspec.to_builtins(self.last_failover)
        if self.standby is not None:
            fields["standby"] = msgspec.to_builtins(self.standby)
        if self.leader is not None:
            fields |= msgspec.to_builtins(self.leader)
        return fields


def collect_status(parts: ControllerParts) -> Status:
    """What a controller knows now; a leader also says what waits, and why."""
    active, standby = parts.lifecycle.active, parts.standby
    timeline = parts.lifecycle.last_failover_timeline
    revision = parts.context.watch_cache.store_revision
    return Status(
        controller=_controller_status(parts),
        leader=_leader_status(active) if active is not None else None,
        standby=_standby_status(standby, revision) if standby is not None else None,
        last_failover=_failover_status(timeline) if timeline is not None else None,
    )
