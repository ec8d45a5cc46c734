"""Counters and latency histograms of a router of published routes."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds of the latency histograms, seconds."""


class GatewayMetrics:
    """Metrics with labels of few values: service, kind, outcome, reason."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        labels = ("service", "kind", "outcome")
        self.requests = Counter(
            "sycamorehaven_requests",
            "Requests that ended, by outcome.",
            labels,
            registry=self._registry,
        )
        self.first_byte_latency = Histogram(
            "sycamorehaven_first_byte_seconds",
            "Seconds from a request to the first byte of its answer.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.queue_time = Histogram(
            "sycamorehaven_queue_seconds",
            "Seconds that placed requests waited at the router.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.attempt_failures = Counter(
            "sycamorehaven_attempt_failures",
            "Failed attempts at backend servers, by reason.",
            ("service", "reason"),
            registry=self._registry,
        )
        self.dependency_up = Gauge(
            "sycamorehaven_dependency_up",
            "Whether a dependency answers.",
            ("dependency",),
            registry=self._registry,
        )
        self.snapshot_age = Gauge(
            "sycamorehaven_snapshot_age_seconds",
            "Age of the published routes and servers in use.",
            registry=self._registry,
        )
        self.waiting_requests = Gauge(
            "sycamorehaven_waiting_requests",
            "Requests that wait at the router.",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the text format."""
        return generate_latest(self._registry)
