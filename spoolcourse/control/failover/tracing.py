"""Traces of failovers: an OpenTelemetry span for each phase, written after the last one.

Off by default; the library is imported only where tracing is on, when the controller starts. Spans
are made from a completed timeline, so they take no time during a failover.
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

NANOSECONDS = 1_000_000_000


class FailoverTracer:
    """Writes each failover as a trace: one JSON object a line for each span."""

    def __init__(
        self,
        label: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        out: IO[str] = sys.stderr,
    ) -> None:
        """Both clocks in seconds: timelines are by `clock`, spans by `wall_clock`."""
        self._clock = clock
        self._wall_clock = wall_clock
        resource = Resource({"service.name": "spoolcourse", "service.instance.id": label})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        exporter = ConsoleSpanExporter(
            out=out, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("spoolcourse.standby")

    def write(self, timeline: FailoverTimeline) -> None:
        """Write the spans of a completed failover; nothing for one that was not proven."""
        intervals, proof = timeline.intervals(), timeline.proof
        if not intervals or proof is None:
            return
        wall_offset_s = self._wall_clock() - self._clock()

        def nanoseconds(at: float) -> int:
            return int((at + wall_offset_s) * NANOSECONDS)

        failover_span = self._tracer.start_span(
            "take-over",
            start_time=nanoseconds(intervals[0].began_at),
            attributes={
                "spoolcourse.term": proof.fencing_token,
                "spoolcourse.claim_revision": proof.claim_revision,
                "spoolcourse.applied_revision": proof.applied_revision,
                "spoolcourse.proof_source": proof.source.value,
            },
        )
        parent = set_span_in_context(failover_span)
        for interval in intervals:
            phase_span = self._tracer.start_span(
                interval.phase.value, parent, start_time=nanoseconds(interval.began_at)
            )
            phase_span.end(nanoseconds(interval.ended_at))
        failover_span.end(nanoseconds(intervals[-1].ended_at))
