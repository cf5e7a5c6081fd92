"""The status of a controller for operators; `metrics` derives Prometheus metrics from it.

Durations are in seconds. Operators' tools depend on the encoded field names. Fields without
a comment are explained by the help texts in `metrics`.
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

MAX_WAITING_JOBS_SHOWN = 200
# The time since the store's last response is infinite until its first one.
MAX_SILENCE_SHOWN_S = 86_400.0


class WaitingJobStatus(msgspec.Struct, frozen=True):
    """A job with waiting tasks."""

    id: str
    job_class: str = msgspec.field(name="lane")
    team: str = msgspec.field(name="crew")
    tasks: int = msgspec.field(name="pieces")  # waiting ones
    waits_s: float = msgspec.field(name="waitsS")
    reason: str = msgspec.field(name="why")  # why they wait


class LeaderStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Status that only a leader has."""

    jobs: int  # live jobs
    waiting: list[WaitingJobStatus]  # `MAX_WAITING_JOBS_SHOWN` at most
    waiting_jobs: int  # all of them
    waiting_tasks: int = msgspec.field(name="waitingPieces")
    services: int
    replicas_missing: int
    attempts: int
    # Adopted attempts whose stage is unknown, and attempts whose start may still be in flight.
    unproven_attempts: int
    image_fetches: int = msgspec.field(name="fetchesBooked")
    machines: int
    machines_confirmed: int
    passes: int  # placement passes of this term
    pass_cost_s: float  # processor time of the last pass
    unsaved_keys: int  # progress keys with changes that are not written yet


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Status that every controller has."""

    label: str = msgspec.field(name="node")
    role: str  # "leader" or "follower"
    leader: str | None  # the leader's label, if known
    ready: bool  # `HealthCheck.ready`
    healthy: bool  # `HealthCheck.healthy`
    live_jobs: int
    terms: int  # elections that this process has won
    store_requests: int
    store_failures: int  # requests that the store refused, or with unknown outcome
    store_writes: int  # puts and deletes
    loop_lag_s: float  # longest event loop lag of the last period; see `process_load`
    processor_share: float  # in cores, over the same period
    # On a leader only.
    term: int | UnsetType = UNSET
    lease: str | UnsetType = UNSET  # the leader's own: "valid" or "uncertain"


class FailoverStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """The last failover of this process: its proof, and the duration of each phase.

    Fields of the proof are null until the failover is proven.
    """

    term: int | None
    proof: str | None  # `FailoverProof.source`
    claim_revision: int | None  # of the write that claimed the term
    applied_revision: int | None  # up to which this controller had applied all changes
    phases_s: dict[str, float]  # by `FailoverPhase`


class StandbyStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """The warm standby: whether a failover could skip the restore, and the shadow's state."""

    state: str  # `ShadowState`
    stale_reason: str = msgspec.field(name="unfitReason")
    caught_up: bool
    revision: int  # store revision up to which this controller has applied every change
    revisions_behind: int  # behind the leader, by its last hints
    silence_s: float  # time since the store's last response
    rebuilds: int  # times that the shadow was built from all records
    jobs: int  # in the shadow; also the next two
    attempts: int
    team_cpus: dict[str, float]  # CPUs used by each team's attempts
    hints: int  # workers with a hint
    hints_refused: dict[str, int]  # rejected pages of hints, by `HintRejection`
    mismatches: int  # failovers whose shadow differed from a restore


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
        stale_reason=status.stale_reason if status.state is ShadowState.STALE else "",
        caught_up=standby.readiness.caught_up,
        revision=revision,
        revisions_behind=max(0, standby.hints.leader_revision - revision),
        silence_s=round(min(standby.readiness.store_response_age_s, MAX_SILENCE_SHOWN_S), 3),
        rebuilds=status.rebuilds,
        jobs=shadow.job_count if shadow else 0,
        attempts=shadow.attempt_count if shadow else 0,
        team_cpus={team: used.cpus for team, used in usage.items()},
        hints=len(standby.hints),
        hints_refused={reason.value: count for reason, count in standby.hints.rejections.items()},
        mismatches=status.mismatches,
    )


def _waiting_job_status(job: WaitingJob) -> WaitingJobStatus:
    return WaitingJobStatus(job.id, job.job_class, job.team, job.tasks, job.waits_s, job.reason)


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
        waiting=[_waiting_job_status(job) for job in waiting[:MAX_WAITING_JOBS_SHOWN]],
        waiting_jobs=len(waiting),
        waiting_tasks=sum(job.tasks for job in waiting),
        services=len(services),
        replicas_missing=sum(job.pending_count for job in services),
        attempts=len(attempts),
        unproven_attempts=sum(
            1 for a in attempts if a.stage is AttemptStage.OPEN or a.start.call_may_take_effect
        ),
        image_fetches=sum(len(machine.image_fetch_started_at) for machine in machines),
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
        store_requests=context.store_client.requests_sent,
        store_failures=context.store_client.requests_failed,
        store_writes=context.store_client.operations_sent,
        loop_lag_s=round(context.load.loop_lag_s, 3),
        processor_share=round(context.load.processor_share, 3),
        term=term,
        lease=lease,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """A controller's status in sections; a section that does not apply is None."""

    controller: ControllerStatus
    leader: LeaderStatus | None
    standby: StandbyStatus | None
    last_failover: FailoverStatus | None

    def to_json_object(self) -> dict[str, Any]:
        """The JSON form; `controller` and `leader` share the top level."""
        fields: dict[str, Any] = msgspec.to_builtins(self.controller)
        if self.last_failover is not None:
            fields["lastTakeover"] = msgspec.to_builtins(self.last_failover)
        if self.standby is not None:
            fields["standby"] = msgspec.to_builtins(self.standby)
        if self.leader is not None:
            fields |= msgspec.to_builtins(self.leader)
        return fields


def collect_status(parts: ControllerParts) -> Status:
    """Return the current status; on a leader, it has the waiting jobs and why they wait."""
    active, standby = parts.lifecycle.active, parts.standby
    timeline = parts.lifecycle.last_failover_timeline
    revision = parts.context.watch_cache.store_revision
    return Status(
        controller=_controller_status(parts),
        leader=_leader_status(active) if active is not None else None,
        standby=_standby_status(standby, revision) if standby is not None else None,
        last_failover=_failover_status(timeline) if timeline is not None else None,
    )
