"""
Tracing with OpenTelemetry.

Each process has one tracer provider. It keeps finished spans in memory and
exports them to a collector if one is configured.
"""

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
"""Finished spans that are kept for ``/v1/traces`` of the admin interface."""
EXPORT_QUEUE_CAPACITY = 4_096
"""Spans that may be queued for the collector; more are dropped."""
EXPORT_TIMEOUT_SECONDS = 2.0
"""Time limit of one export to the collector."""
CLOSE_TIMEOUT_SECONDS = 3.0
"""Time limit of the last exports when the process ends."""


class SpanDocument(TypedDict):
    """
    A finished span as returned by ``/v1/traces``.

    ``start`` is in seconds since the epoch and ``duration`` in seconds.
    ``parent_id`` is "" if the span has no parent.
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
    """
    Keeps the most recently finished spans in memory.

    :param capacity: largest number of spans.
    """

    def __init__(self, capacity: int = SPAN_BUFFER_CAPACITY) -> None:
        self._spans: deque[ReadableSpan] = deque(maxlen=capacity)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Add finished spans; the oldest ones are dropped to make room."""
        self._spans.extend(spans)
        return SpanExportResult.SUCCESS

    def list_spans(
        self, trace_id: str = "", limit: int = SPAN_BUFFER_CAPACITY
    ) -> list[SpanDocument]:
        """
        Return finished spans, the newest last.

        :param trace_id: id of the trace whose spans to return, "" for all.
        :param limit: largest number of spans; the newest are returned.
        """
        documents = [_describe_span(span) for span in tuple(self._spans)]
        selected = [d for d in documents if not trace_id or d["trace_id"] == trace_id]
        return selected[-limit:]


class Tracing:
    """
    The tracer provider of a process, with its span processors.

    :param host: name of the router's host.
    :param ratio: fraction of the requests without a parent span that are
        traced.
    :param otlp_url: URL of the OTLP trace collector, "" for none.
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
        """Create the tracer provider that the settings describe."""
        return cls(settings.host, settings.trace_ratio, settings.otlp_url)

    @property
    def buffer(self) -> SpanBuffer:
        """The buffer of finished spans."""
        return self._buffer

    @property
    def provider(self) -> TracerProvider:
        """The OpenTelemetry tracer provider of this process."""
        return self._provider

    def install(self) -> None:
        """Make this the tracer provider of the process; possible only once."""
        trace.set_tracer_provider(self._provider)

    async def close(self) -> None:
        """Export the queued spans, for at most ``CLOSE_TIMEOUT_SECONDS``."""
        thread = threading.Thread(target=self._provider.shutdown, daemon=True)
        thread.start()
        await asyncio.to_thread(thread.join, CLOSE_TIMEOUT_SECONDS)


def _create_batch_processor(otlp_url: str) -> BatchSpanProcessor:
    # The exporter's libraries are loaded only if a collector is configured.
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
