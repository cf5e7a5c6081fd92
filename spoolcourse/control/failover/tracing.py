"""Traces of failovers: an OpenTelemetry span per phase, written after the last phase.

Off by default; the library is imported only if tracing is on, when the controller starts. Spans
are made from the completed timeline, so tracing takes no time during a failover.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import IO

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.trace import set_span_in_context

from spoolcourse.control.leadership.failover_timeline import FailoverTimeline

NANOSECONDS_PER_S = 1_000_000_000


class FailoverTracer:
    """Writes each failover as a trace: one line with a JSON object per span."""

    def __init__(
        self,
        label: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        stream: IO[str] = sys.stderr,
    ) -> None:
        """Both clocks count seconds: timelines use `clock`, spans use `wall_clock`."""
        self._clock = clock
        self._wall_clock = wall_clock
        resource = Resource({"service.name": "spoolcourse", "service.instance.id": label})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        exporter = ConsoleSpanExporter(
            out=stream, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("spoolcourse.standby")

    def write(self, timeline: FailoverTimeline) -> None:
        """Write the spans of a completed failover; nothing if it was not proven."""
        intervals, proof = timeline.intervals(), timeline.proof
        if not intervals or proof is None:
            return
        wall_offset_s = self._wall_clock() - self._clock()

        def wall_time_ns(at: float) -> int:
            return int((at + wall_offset_s) * NANOSECONDS_PER_S)

        failover_span = self._tracer.start_span(
            "take-over",
            start_time=wall_time_ns(intervals[0].began_at),
            attributes={
                "spoolcourse.term": proof.fencing_token,
                "spoolcourse.claim_revision": proof.claim_revision,
                "spoolcourse.applied_revision": proof.applied_revision,
                "spoolcourse.proof_source": proof.source.value,
            },
        )
        parent_context = set_span_in_context(failover_span)
        for interval in intervals:
            phase_span = self._tracer.start_span(
                interval.phase.value, parent_context, start_time=wall_time_ns(interval.began_at)
            )
            phase_span.end(wall_time_ns(interval.ended_at))
        failover_span.end(wall_time_ns(intervals[-1].ended_at))
