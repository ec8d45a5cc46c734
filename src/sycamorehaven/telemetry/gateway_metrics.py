"""Prometheus metrics of a gateway, a router that serves published routes."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds of the latency histograms' buckets."""
LAG_BUCKETS_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the buckets of the process's own delays."""


class GatewayMetrics:
    """
    The metrics of a gateway.

    Every label has few values (service, kind, outcome, reason, dependency,
    plain server), so the number of time series stays small.

    :ivar requests: number of ended requests.
    :ivar first_byte_latency: time to the first byte of the response, in
        seconds.
    :ivar queue_time: time that placed requests waited at the router, in
        seconds.
    :ivar attempt_failures: number of failed attempts on backend servers.
    :ivar stream_ends: number of streams that servers ended, by what marks the
        end of the body and by whether it came inside an event.
    :ivar admissions: number of applications to schedulers of engines, by
        answer; "silent" if there was none.
    :ivar culprits: number of requests and parts of prompts that are blamed for
        lost servers.
    :ivar quarantined_requests: number of requests that were refused, or not
        repeated, because they or a part of their prompts are blamed.
    :ivar server_conditions: number of times that servers named, changed or
        ended a limit, a rest or their leaving, or sent a value that makes no
        sense.
    :ivar cold_servers: number of servers that count as cold.
    :ivar cold_refusals: number of applications that schedulers refused for
        engines that are cold.
    :ivar server_failure_ratio: expected fraction of requests that fail at each
        plain server, by the results of all routers. Plain servers are few.
    :ivar dependency_up: 1 if a dependency responds, else 0.
    :ivar evacuated_domains: number of failure domains to whose servers nothing
        is sent.
    :ivar snapshot_age: age of the routes and servers in use, in seconds.
    :ivar waiting_requests: number of requests that wait at the router.
    :ivar open_connections: number of open connections of clients.
    :ivar cut_clients: number of clients that were disconnected because they
        did not keep to the limits, by reason.
    :ivar body_bytes: bytes of memory that requests of clients occupy.
    :ivar event_loop_lag: time by which the event loop resumed a sleeping task
        late, in seconds.
    :ivar request_limit: number of requests that may be in progress before the
        router rejects those of the workspaces that send the most.
    :ivar dispatch_duration: duration of a pass over the waiting requests, in
        seconds; the event loop does nothing else meanwhile.
    :ivar processor_seconds: busy time of the event loop by activity, in
        seconds.
    :ivar busy_ratio: fraction of the last second in which the event loop had
        work to do.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        labels = ("service", "kind", "outcome")
        self.requests = Counter(
            "sycamorehaven_requests",
            "Ended requests by outcome.",
            labels,
            registry=self._registry,
        )
        self.first_byte_latency = Histogram(
            "sycamorehaven_first_byte_seconds",
            "Seconds from the receipt of a request to the first byte of its response.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.queue_time = Histogram(
            "sycamorehaven_queue_seconds",
            "Seconds that requests waited at the router before they were placed.",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.attempt_failures = Counter(
            "sycamorehaven_attempt_failures",
            "Failed attempts on backend servers by reason.",
            ("service", "reason"),
            registry=self._registry,
        )
        self.stream_ends = Counter(
            "sycamorehaven_stream_ends",
            "Streams that servers ended, by framing of the body and position.",
            ("framing", "position"),
            registry=self._registry,
        )
        self.admissions = Counter(
            "sycamorehaven_admissions",
            "Applications to the schedulers of engines by answer.",
            ("answer",),
            registry=self._registry,
        )
        self.culprits = Gauge(
            "sycamorehaven_crash_suspects",
            "Requests and parts of prompts that are blamed for lost servers.",
            registry=self._registry,
        )
        self.quarantined_requests = Counter(
            "sycamorehaven_quarantined_requests",
            "Requests ended because they or a part of their prompts are blamed.",
            ("kind",),
            registry=self._registry,
        )
        self.server_conditions = Counter(
            "sycamorehaven_server_conditions",
            "Changes of what servers say of themselves.",
            ("condition", "state"),
            registry=self._registry,
        )
        self.cold_servers = Gauge(
            "sycamorehaven_cold_servers",
            "Backend servers that count as cold.",
            registry=self._registry,
        )
        self.cold_refusals = Counter(
            "sycamorehaven_cold_refusals",
            "Applications that schedulers refused for engines that are cold.",
            registry=self._registry,
        )
        self.server_failure_ratio = Gauge(
            "sycamorehaven_server_failure_ratio",
            "Expected fraction of requests that fail at a plain server.",
            ("server",),
            registry=self._registry,
        )
        self.dependency_up = Gauge(
            "sycamorehaven_dependency_up",
            "Whether a dependency responds (1) or not (0).",
            ("dependency",),
            registry=self._registry,
        )
        self.snapshot_age = Gauge(
            "sycamorehaven_snapshot_age_seconds",
            "Age in seconds of the published routes and servers in use.",
            registry=self._registry,
        )
        self.evacuated_domains = Gauge(
            "sycamorehaven_evacuated_domains",
            "Failure domains to whose servers nothing is sent.",
            registry=self._registry,
        )
        self.waiting_requests = Gauge(
            "sycamorehaven_waiting_requests",
            "Requests that wait at the router.",
            registry=self._registry,
        )
        self.open_connections = Gauge(
            "sycamorehaven_open_connections",
            "Connections of clients that were open when the last one arrived.",
            registry=self._registry,
        )
        self.cut_clients = Counter(
            "sycamorehaven_cut_clients",
            "Clients that were disconnected by reason.",
            ("reason",),
            registry=self._registry,
        )
        self.body_bytes = Gauge(
            "sycamorehaven_body_bytes",
            "Bytes of memory that requests of clients occupy.",
            registry=self._registry,
        )
        self.event_loop_lag = Histogram(
            "sycamorehaven_event_loop_lag_seconds",
            "Seconds by which the event loop resumed a sleeping task late.",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.request_limit = Gauge(
            "sycamorehaven_request_limit",
            "Requests that may be in progress before some are rejected unread.",
            registry=self._registry,
        )
        self.dispatch_duration = Histogram(
            "sycamorehaven_dispatch_seconds",
            "Seconds that a pass over the waiting requests took.",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.processor_seconds = Counter(
            "sycamorehaven_processor_seconds",
            "Busy seconds of the event loop by activity.",
            ("activity",),
            registry=self._registry,
        )
        self.busy_ratio = Gauge(
            "sycamorehaven_busy_ratio",
            "Fraction of the last second in which the event loop had work to do.",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
