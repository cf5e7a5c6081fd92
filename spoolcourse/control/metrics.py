"""A controller's status as metrics, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from spoolcourse.control.status import ControllerStatus, LeaderStatus, StandbyStatus, Status

if TYPE_CHECKING:
    from prometheus_client.core import Metric

PREFIX = "spoolcourse_"

Part = TypeVar("Part")


@dataclass(frozen=True, slots=True)
class Definition(Generic[Part]):
    """A metric that is read from one part of the status; a counter only ever grows."""

    name: str
    help_text: str
    value: Callable[[Part], float]
    is_counter: bool = False

    def read(self, part: Part) -> Metric:
        """The metric with its value now."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        kind = CounterMetricFamily if self.is_counter else GaugeMetricFamily
        return kind(PREFIX + self.name, self.help_text, float(self.value(part)))


CONTROLLER: list[Definition[ControllerStatus]] = [
    Definition("leader", "1 on the leader", lambda s: s.role == "leader"),
    Definition("terms", "terms this process was elected for", lambda s: s.terms, True),
    Definition("store_requests", "requests to the state service", lambda s: s.store_requests, True),
    Definition(
        "store_failures",
        "requests to the state service refused or without an answer",
        lambda s: s.store_failures,
        True,
    ),
    Definition(
        "store_writes",
        "puts and deletes sent to the state service",
        lambda s: s.store_writes,
        True,
    ),
    Definition(
        "loop_lag_s",
        "longest time that the event loop was held up, in the last ten seconds",
        lambda s: s.loop_lag_s,
    ),
    Definition(
        "processor_share",
        "processor time by time, in the last ten seconds",
        lambda s: s.processor_share,
    ),
    Definition("live_jobs", "jobs that are not final", lambda s: s.live_jobs),
]
LEADER: list[Definition[LeaderStatus]] = [
    Definition("passes", "placement passes of this term", lambda s: s.passes, True),
    Definition("waiting_jobs", "jobs with tasks that wait", lambda s: s.waiting_jobs),
    Definition("waiting_pieces", "tasks that wait", lambda s: s.waiting_tasks),
    Definition("services", "standing services", lambda s: s.services),
    Definition(
        "replicas_missing", "replicas of services that are not placed", lambda s: s.replicas_missing
    ),
    Definition("attempts", "attempts that may be on machines", lambda s: s.attempts),
    Definition(
        "unproven_attempts", "attempts whose whereabouts are open", lambda s: s.unproven_attempts
    ),
    Definition("fetches_booked", "image fetches under way", lambda s: s.fetches_booked),
    Definition("machines", "machines known", lambda s: s.machines),
    Definition(
        "machines_confirmed",
        "machines that have spoken under this term",
        lambda s: s.machines_confirmed,
    ),
    Definition(
        "pass_cost_s", "processor time of the last pass in seconds", lambda s: s.pass_cost_s
    ),
    Definition("unsaved_keys", "progress keys that wait to be written", lambda s: s.unsaved_keys),
]
STANDBY: list[Definition[StandbyStatus]] = [
    Definition(
        "standby_caught_up", "1 where a take-over would need no restore", lambda s: s.caught_up
    ),
    Definition(
        "standby_rebuilds",
        "times that the shadow was built from a read",
        lambda s: s.rebuilds,
        True,
    ),
    Definition(
        "standby_mismatches",
        "take-overs at which the shadow differed from the records",
        lambda s: s.mismatches,
        True,
    ),
    Definition(
        "standby_revision", "revision of the state service that is taken in", lambda s: s.revision
    ),
    Definition(
        "standby_revisions_behind",
        "revisions that the leader was ahead at its last hints",
        lambda s: s.revisions_behind,
    ),
    Definition(
        "standby_silence_s", "time since the state service was heard", lambda s: s.silence_s
    ),
    Definition("standby_hints", "workers that hints are known of", lambda s: s.hints),
    Definition(
        "standby_hints_refused",
        "answers with hints that were not used",
        lambda s: sum(s.hints_refused.values()),
        True,
    ),
]


def _metrics(status: Status) -> Iterator[Metric]:
    from prometheus_client.core import GaugeMetricFamily

    yield from (definition.read(status.controller) for definition in CONTROLLER)
    if status.leader is not None:
        leader = status.leader
        yield from (definition.read(leader) for definition in LEADER)
    if status.standby is not None:
        standby = status.standby
        yield from (definition.read(standby) for definition in STANDBY)
    failover = GaugeMetricFamily(
        PREFIX + "takeover_phase_seconds", "the last take-over, by phase", labels=["phase"]
    )
    if status.last_failover is not None:
        for phase, seconds in status.last_failover.phases_s.items():
            failover.add_metric([phase], seconds)
    yield failover


def exposition(status: Status) -> bytes:
    """A status as numbers, in Prometheus' text format.

    Nothing is counted between calls: each one makes its own registry. The library is loaded by
    the first call, as it would delay the start.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.registry import Collector

    class StatusCollector(Collector):
        def collect(self) -> Iterable[Metric]:
            return _metrics(status)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(StatusCollector())
    return generate_latest(registry)
