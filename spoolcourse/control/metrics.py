"""Prometheus metrics of a controller, computed from its status."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from spoolcourse.control.status import ControllerStatus, LeaderStatus, StandbyStatus, Status

if TYPE_CHECKING:
    from prometheus_client.core import Metric

METRIC_PREFIX = "spoolcourse_"

StatusSection = TypeVar("StatusSection")


@dataclass(frozen=True, slots=True)
class MetricDefinition(Generic[StatusSection]):
    """A metric computed from one section of the status."""

    name: str  # without `METRIC_PREFIX`
    help_text: str
    value: Callable[[StatusSection], float]
    is_counter: bool = False

    def build_family(self, section: StatusSection) -> Metric:
        """Build the metric with its current value in the section."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        family_type = CounterMetricFamily if self.is_counter else GaugeMetricFamily
        return family_type(METRIC_PREFIX + self.name, self.help_text, float(self.value(section)))


CONTROLLER_METRICS: list[MetricDefinition[ControllerStatus]] = [
    MetricDefinition("leader", "1 on the leader", lambda s: s.role == "leader"),
    MetricDefinition("terms", "terms this process was elected for", lambda s: s.terms, True),
    MetricDefinition(
        "store_requests", "requests to the state service", lambda s: s.store_requests, True
    ),
    MetricDefinition(
        "store_failures",
        "requests to the state service refused or without an answer",
        lambda s: s.store_failures,
        True,
    ),
    MetricDefinition(
        "store_writes",
        "puts and deletes sent to the state service",
        lambda s: s.store_writes,
        True,
    ),
    MetricDefinition(
        "loop_lag_s",
        "longest time that the event loop was held up, in the last ten seconds",
        lambda s: s.loop_lag_s,
    ),
    MetricDefinition(
        "processor_share",
        "processor time by time, in the last ten seconds",
        lambda s: s.processor_share,
    ),
    MetricDefinition("live_jobs", "jobs that are not final", lambda s: s.live_jobs),
]
LEADER_METRICS: list[MetricDefinition[LeaderStatus]] = [
    MetricDefinition("passes", "placement passes of this term", lambda s: s.passes, True),
    MetricDefinition("waiting_jobs", "jobs with tasks that wait", lambda s: s.waiting_jobs),
    MetricDefinition("waiting_pieces", "tasks that wait", lambda s: s.waiting_tasks),
    MetricDefinition("services", "standing services", lambda s: s.services),
    MetricDefinition(
        "replicas_missing", "replicas of services that are not placed", lambda s: s.replicas_missing
    ),
    MetricDefinition("attempts", "attempts that may be on machines", lambda s: s.attempts),
    MetricDefinition(
        "unproven_attempts", "attempts whose whereabouts are open", lambda s: s.unproven_attempts
    ),
    MetricDefinition("fetches_booked", "image fetches under way", lambda s: s.image_fetches),
    MetricDefinition("machines", "machines known", lambda s: s.machines),
    MetricDefinition(
        "machines_confirmed",
        "machines that have spoken under this term",
        lambda s: s.machines_confirmed,
    ),
    MetricDefinition(
        "pass_cost_s", "processor time of the last pass in seconds", lambda s: s.pass_cost_s
    ),
    MetricDefinition(
        "unsaved_keys", "progress keys that wait to be written", lambda s: s.unsaved_keys
    ),
]
STANDBY_METRICS: list[MetricDefinition[StandbyStatus]] = [
    MetricDefinition(
        "standby_caught_up", "1 where a take-over would need no restore", lambda s: s.caught_up
    ),
    MetricDefinition(
        "standby_rebuilds",
        "times that the shadow was built from a read",
        lambda s: s.rebuilds,
        True,
    ),
    MetricDefinition(
        "standby_mismatches",
        "take-overs at which the shadow differed from the records",
        lambda s: s.mismatches,
        True,
    ),
    MetricDefinition(
        "standby_revision", "revision of the state service that is taken in", lambda s: s.revision
    ),
    MetricDefinition(
        "standby_revisions_behind",
        "revisions that the leader was ahead at its last hints",
        lambda s: s.revisions_behind,
    ),
    MetricDefinition(
        "standby_silence_s", "time since the state service was heard", lambda s: s.silence_s
    ),
    MetricDefinition("standby_hints", "workers that hints are known of", lambda s: s.hints),
    MetricDefinition(
        "standby_hints_refused",
        "answers with hints that were not used",
        lambda s: sum(s.hints_refused.values()),
        True,
    ),
]


def _metric_families(status: Status) -> Iterator[Metric]:
    from prometheus_client.core import GaugeMetricFamily

    yield from (definition.build_family(status.controller) for definition in CONTROLLER_METRICS)
    if status.leader is not None:
        leader = status.leader
        yield from (definition.build_family(leader) for definition in LEADER_METRICS)
    if status.standby is not None:
        standby = status.standby
        yield from (definition.build_family(standby) for definition in STANDBY_METRICS)
    failover = GaugeMetricFamily(
        METRIC_PREFIX + "takeover_phase_seconds", "the last take-over, by phase", labels=["phase"]
    )
    if status.last_failover is not None:
        for phase, seconds in status.last_failover.phases_s.items():
            failover.add_metric([phase], seconds)
    yield failover


def render_prometheus_text(status: Status) -> bytes:
    """Render a status in the Prometheus text format.

    No state is kept between calls: each creates its own registry. The library is imported by the
    first call, because importing it earlier would delay the start of the process.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.registry import Collector

    class StatusCollector(Collector):
        def collect(self) -> Iterable[Metric]:
            return _metric_families(status)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(StatusCollector())
    return generate_latest(registry)
