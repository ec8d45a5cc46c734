"""Traces: one provider a process; spans are kept and perhaps exported."""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from typing import TYPE_CHECKING, TypedDict

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.sdk.trace import ReadableSpan

    from sycamorehaven.settings import RouterSettings

SPAN_BUFFER_CAPACITY = 2_000
"""Finished spans kept for ``/v1/traces``."""
EXPORT_QUEUE_CAPACITY = 4_096
"""Spans queued for the collector; past it they are dropped."""
EXPORT_TIMEOUT_SECONDS = 2.0
"""Seconds for one export to the collector."""

CLOSE_TIMEOUT_SECONDS = 3.0
"""Seconds for the last exports when the process ends."""


class SpanDocument(TypedDict):
    """
    A finished span.

    ``start`` is in seconds since the epoch, ``duration`` in seconds.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start: float
    duration: float
    status: str
    attributes: dict[str, str]


class SpanBuffer(SpanExporter):
    """Keeps the last finished spans in memory."""

    def __init__(self, capacity: int = SPAN_BUFFER_CAPACITY) -> None:
        self._spans: deque[ReadableSpan] = deque(maxlen=capacity)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Keep spans; the oldest make room."""
        self._spans.extend(spans)
        return SpanExportResult.SUCCESS

    def list_spans(
        self, trace_id: str = "", limit: int = SPAN_BUFFER_CAPACITY
    ) -> list[SpanDocument]:
        """Return the newest spans last, of one trace if it is given."""
        documents = [_describe_span(span) for span in tuple(self._spans)]
        chosen = [d for d in documents if not trace_id or d["trace_id"] == trace_id]
        return chosen[-limit:]


class Tracing:
    """
    The tracer provider of a process.

    :param host: the router's host.
    :param ratio: part of the requests without a parent that are traced.
    :param otlp_url: OTLP trace collector, or "".
    """

    def __init__(self, host: str, ratio: float, otlp_url: str = "") -> None:
        self._buffer = SpanBuffer()
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.name": "sycamorehaven", "host.name": host}),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(SimpleSpanProcessor(self._buffer))
        if otlp_url:
            self._provider.add_span_processor(_create_batch_processor(otlp_url))

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> Tracing:
        """Return the provider that the settings describe."""
        return cls(settings.host, settings.trace_ratio, settings.otlp_url)

    @property
    def buffer(self) -> SpanBuffer:
        """Finished spans."""
        return self._buffer

    @property
    def provider(self) -> TracerProvider:
        """The provider itself."""
        return self._provider

    def install(self) -> None:
        """Make this the provider of the process; once only."""
        trace.set_tracer_provider(self._provider)

    async def close(self) -> None:
        """Export what is queued, for ``CLOSE_TIMEOUT`` seconds at most."""
        thread = threading.Thread(target=self._provider.shutdown, daemon=True)
        thread.start()
        await asyncio.to_thread(thread.join, CLOSE_TIMEOUT_SECONDS)


def _create_batch_processor(otlp_url: str) -> BatchSpanProcessor:
    # Only a process with a collector pays for the exporter's libraries.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )

    exporter = OTLPSpanExporter(endpoint=otlp_url, timeout=EXPORT_TIMEOUT_SECONDS)
    return BatchSpanProcessor(
        exporter,
        max_queue_size=EXPORT_QUEUE_CAPACITY,
        export_timeout_millis=1_000 * EXPORT_TIMEOUT_SECONDS,
    )


def _describe_span(span: ReadableSpan) -> SpanDocument:
    start, end = span.start_time or 0, span.end_time or 0
    return SpanDocument(
        trace_id=trace.format_trace_id(span.context.trace_id),
        span_id=trace.format_span_id(span.context.span_id),
        parent_id=trace.format_span_id(span.parent.span_id) if span.parent else "",
        name=span.name,
        start=start / 1e9,
        duration=(end - start) / 1e9,
        status=span.status.status_code.name.lower(),
        attributes={k: str(v) for k, v in (span.attributes or {}).items()},
    )
