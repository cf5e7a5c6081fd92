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
class Described(Generic[Part]):
    """A number of one part of the status; a counter only ever grows."""

    name: str
    about: str
    value: Callable[[Part], float]
    counter: bool = False

    def metric(self, part: Part) -> Metric:
        """The metric with its value."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        kind = CounterMetricFamily if self.counter else GaugeMetricFamily
        return kind(PREFIX + self.name, self.about, float(self.value(part)))


NODE: list[Described[ControllerStatus]] = [
    Described("leader", "1 on the leader", lambda s: s.role == "leader"),
    Described("terms", "terms this process was elected for", lambda s: s.terms, True),
    Described("store_requests", "requests to the state service", lambda s: s.store_requests, True),
    Described(
        "store_failures",
        "requests to the state service refused or without an answer",
        lambda s: s.store_failures,
        True,
    ),
    Described(
        "store_writes",
        "puts and deletes sent to the state service",
        lambda s: s.store_writes,
        True,
    ),
    Described(
        "loop_lag_s",
        "longest time that the event loop was held up, in the last ten seconds",
        lambda s: s.loop_lag_s,
    ),
    Described(
        "processor_share",
        "processor time by time, in the last ten seconds",
        lambda s: s.processor_share,
    ),
    Described("live_jobs", "jobs that are not final", lambda s: s.live_jobs),
]
LEADER: list[Described[LeaderStatus]] = [
    Described("passes", "placement passes of this term", lambda s: s.passes, True),
    Described("waiting_jobs", "jobs with tasks that wait", lambda s: s.waiting_jobs),
    Described("waiting_pieces", "tasks that wait", lambda s: s.waiting_tasks),
    Described("services", "standing services", lambda s: s.services),
    Described(
        "replicas_missing", "replicas of services that are not placed", lambda s: s.replicas_missing
    ),
    Described("attempts", "attempts that may be on machines", lambda s: s.attempts),
    Described(
        "unproven_attempts", "attempts whose whereabouts are open", lambda s: s.unproven_attempts
    ),
    Described("fetches_booked", "image fetches under way", lambda s: s.fetches_booked),
    Described("machines", "machines known", lambda s: s.machines),
    Described(
        "machines_confirmed",
        "machines that have spoken under this term",
        lambda s: s.machines_confirmed,
    ),
    Described("pass_cost_s", "processor time of the last pass in seconds", lambda s: s.pass_cost_s),
    Described("unsaved_keys", "progress keys that wait to be written", lambda s: s.unsaved_keys),
]
STANDBY: list[Described[StandbyStatus]] = [
    Described(
        "standby_caught_up", "1 where a take-over would need no restore", lambda s: s.caught_up
    ),
    Described(
        "standby_rebuilds",
        "times that the shadow was built from a read",
        lambda s: s.rebuilds,
        True,
    ),
    Described(
        "standby_mismatches",
        "take-overs at which the shadow differed from the records",
        lambda s: s.mismatches,
        True,
    ),
    Described(
        "standby_revision", "revision of the state service that is taken in", lambda s: s.revision
    ),
    Described(
        "standby_revisions_behind",
        "revisions that the leader was ahead at its last hints",
        lambda s: s.revisions_behind,
    ),
    Described("standby_silence_s", "time since the state service was heard", lambda s: s.silence_s),
    Described("standby_hints", "workers that hints are known of", lambda s: s.hints),
    Described(
        "standby_hints_refused",
        "answers with hints that were not used",
        lambda s: sum(s.hints_refused.values()),
        True,
    ),
]


def _metrics(status: Status) -> Iterator[Metric]:
    from prometheus_client.core import GaugeMetricFamily

    yield from (described.metric(status.node) for described in NODE)
    if status.leader is not None:
        leader = status.leader
        yield from (described.metric(leader) for described in LEADER)
    if status.standby is not None:
        standby = status.standby
        yield from (described.metric(standby) for described in STANDBY)
    failover = GaugeMetricFamily(
        PREFIX + "takeover_phase_seconds", "the last take-over, by phase", labels=["phase"]
    )
    if status.last_failover is not None:
        for phase, seconds in status.last_failover.phases_s.items():
            failover.add_metric([phase], seconds)
    yield failover


def exposition(status: Status) -> bytes:
    """A status as numbers, in Prometheus' text format.

    Made only when asked for, so that it costs nothing in between; its library is loaded by the
    first such call.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.registry import Collector

    class Once(Collector):
        def collect(self) -> Iterable[Metric]:
            return _metrics(status)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Once())
    return generate_latest(registry)
