"""Read-only views for operators, on the controllers' own address: status and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from spoolcourse.control.jobs.job_queue import AttemptStage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from spoolcourse.control.controller import Controller
    from spoolcourse.control.leader.leader_term import LeaderTerm
    from spoolcourse.control.leader.scheduling_loop import WaitingJob

JOBS_SHOWN = 200


def _waiting_row(job: WaitingJob) -> dict[str, Any]:
    """The field names are those that operators' tools know."""
    return {
        "id": job.id,
        "lane": job.job_class,
        "crew": job.team,
        "pieces": job.tasks,
        "waitsS": job.waits_s,
        "why": job.reason,
    }


def _leader(leader_term: LeaderTerm) -> dict[str, Any]:
    machines = leader_term.registry.machines.values()
    attempts = [a for w in leader_term.job_queue.jobs.values() for a in w.attempts.values()]
    waiting = leader_term.scheduling.waiting()
    services = [
        w
        for w in leader_term.job_queue.jobs.values()
        if w.record.submission.is_service and not w.record.aborted
    ]
    return {
        "jobs": len(leader_term.job_queue.jobs),
        "waiting": [_waiting_row(job) for job in waiting[:JOBS_SHOWN]],
        "waitingJobs": len(waiting),
        "waitingPieces": sum(job.tasks for job in waiting),
        "services": len(services),
        "replicasMissing": sum(w.pending for w in services),
        "attempts": len(attempts),
        "unprovenAttempts": sum(
            1 for a in attempts if a.stage is AttemptStage.OPEN or a.in_flight_session is not None
        ),
        "fetchesBooked": sum(len(m.fetching) for m in machines),
        "machines": len(machines),
        "machinesConfirmed": sum(1 for m in machines if m.confirmed),
        "passes": leader_term.scheduling.passes,
        "passCostS": leader_term.scheduling.pass_cost_s,
        "unsavedKeys": len(leader_term.job_queue.dirty),
    }


def status(node: Controller) -> dict[str, Any]:
    """What this node knows; a leader also says what waits, and why."""
    leader_term = node.leader_term
    found: dict[str, Any] = {
        "node": node.label,
        "role": "leader" if leader_term is not None else "follower",
        "leader": node.leadership.leader_label,
        "ready": node.ready,
        "healthy": node.healthy,
        "liveJobs": len(node.job_index.live),
        "terms": node.leadership.terms,
        "storeRequests": node.client.sent,
        "storeFailures": node.client.failed,
        "storeWrites": node.client.written,
        "loopLagS": round(node.load.lag_s, 3),
        "processorShare": round(node.load.share, 3),
    }
    if leader_term is not None and node.leadership.term is not None:
        found["term"] = node.leadership.term.number
        found["lease"] = "valid" if node.leadership.valid() else "uncertain"
        found |= _leader(leader_term)
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


def _snake(name: str) -> str:
    return "".join("_" + c.lower() if c.isupper() else c for c in name)


def metrics(node: Controller) -> bytes:
    """The same as numbers, in Prometheus' text format.

    Made only when asked for, so that it costs nothing in between; its library is loaded by the
    first such call.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
    from prometheus_client.registry import Collector

    values = status(node)

    class Once(Collector):
        def collect(self) -> Iterable[Metric]:
            yield GaugeMetricFamily(
                "spoolcourse_leader", "1 on the leader", float(values["role"] == "leader")
            )
            for name, about in _COUNTERS.items():
                if name in values:
                    yield CounterMetricFamily(
                        "spoolcourse" + _snake("_" + name), about, float(values[name])
                    )
            for name, about in _GAUGES.items():
                if name in values:
                    yield GaugeMetricFamily(
                        "spoolcourse" + _snake("_" + name), about, float(values[name])
                    )

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Once())
    return generate_latest(registry)
