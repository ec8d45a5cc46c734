"""
Prometheus metrics of one router, read from its blackboard at each scrape.

No metric has a workspace label: with a thousand workspaces, such metrics would
make up most of a scrape. ``/v1/workspaces`` of the admin interface returns
the figures of each workspace.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from prometheus_client.core import Metric

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.telemetry.fairness import FairnessGapTracker

METRIC_PREFIX = "sycamorehaven_"
"""Prefix of the name of every metric."""


class FairnessGapSource(Protocol):
    """Provides the fairness gap of each service."""

    def get_gap_tracker(self, service: str) -> FairnessGapTracker:
        """Return the tracker of a service's fairness gap."""
        ...


def build_counter(
    name: str,
    help_text: str,
    labels: tuple[str, ...],
    values: Mapping[tuple[str, ...], float],
) -> Metric:
    """Return a counter with one sample for each tuple of label values."""
    family = CounterMetricFamily(METRIC_PREFIX + name, help_text, labels=labels)
    for key, value in sorted(values.items()):
        family.add_metric(key, value)
    return family


def build_gauge(
    name: str,
    help_text: str,
    labels: tuple[str, ...],
    values: Mapping[tuple[str, ...], float],
) -> Metric:
    """Return a gauge with one sample for each tuple of label values."""
    family = GaugeMetricFamily(METRIC_PREFIX + name, help_text, labels=labels)
    for key, value in sorted(values.items()):
        family.add_metric(key, value)
    return family


def _to_label_tuples(counts: Mapping[str, float]) -> dict[tuple[str, ...], float]:
    return {(name,): value for name, value in counts.items()}


class BlackboardCollector(Collector):
    """
    Collects metrics from the sections of a router's blackboard.

    :param board: blackboard with the state of the router.
    :param gaps: source of the fairness gaps.
    :param clock: source of monotonic seconds.
    """

    def __init__(
        self, board: Blackboard, gaps: FairnessGapSource, clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._gaps = gaps
        self._clock = clock

    def collect(self) -> Iterable[Metric]:
        """Yield every metric with its present samples."""
        yield from self._collect_router()
        yield from self._collect_anomalies()
        yield from self._collect_outcomes()
        yield from self._collect_clients()
        yield from self._collect_queues()
        yield from self._collect_services()
        yield from self._collect_control_traffic()

    def _collect_router(self) -> Iterable[Metric]:
        board = self._board
        ready = (
            board.configuration.current is not None and not board.lifecycle.is_draining
        )
        states: Counter[tuple[str, ...]] = Counter(
            (member.state,) for member in board.members.list()
        )
        yield build_gauge(
            "ready", "Whether the router accepts requests.", (), {(): ready}
        )
        yield build_gauge(
            "requests_in_progress",
            "Requests that have not been answered yet.",
            (),
            {(): board.lifecycle.requests_in_progress},
        )
        yield build_gauge("members", "Routers by state.", ("state",), states)
        yield build_gauge(
            "configuration_revision",
            "Revision of the configuration in force.",
            (),
            {(): board.configuration.revision},
        )
        refused = board.configuration.latest_refusal
        yield build_gauge(
            "configuration_refused_revision",
            "Revision of the newest configuration text refused since, 0 for none.",
            (),
            {(): refused[0] if refused else 0},
        )

    def _collect_anomalies(self) -> Iterable[Metric]:
        board = self._board
        yield build_counter(
            "pauses",
            "Periods in which the process did not run.",
            (),
            {(): board.pauses.count},
        )
        yield build_gauge(
            "suspect_requests",
            "Requests suspected of crashing backend servers.",
            (),
            {(): len(board.suspect_requests)},
        )

    def _collect_outcomes(self) -> Iterable[Metric]:
        outcomes = self._board.outcomes
        answers: Counter[tuple[str, ...]] = Counter()
        for (service, _, status), count in outcomes.answers.items():
            answers[service, str(status)] += count
        refusals: Counter[tuple[str, ...]] = Counter()
        for (_, code), count in outcomes.refusals.items():
            refusals[(code,)] += count
        yield build_counter(
            "answers",
            "Responses relayed completely.",
            ("service", "status"),
            answers,
        )
        yield build_counter(
            "refusals", "Refused requests by code of the refusal.", ("code",), refusals
        )
        yield build_counter(
            "events",
            "Events such as retries, resumptions and preemptions.",
            ("event",),
            _to_label_tuples(outcomes.events),
        )

    def _collect_clients(self) -> Iterable[Metric]:
        clients = self._board.clients
        yield build_counter(
            "cut_clients",
            "Clients that were disconnected by reason.",
            ("reason",),
            _to_label_tuples(clients.cut_clients),
        )
        yield build_gauge(
            "body_bytes",
            "Bytes of memory that requests of callers occupy.",
            (),
            {(): clients.body_bytes},
        )

    def _collect_queues(self) -> Iterable[Metric]:
        now = self._clock()
        lengths: Counter[tuple[str, ...]] = Counter()
        ages: dict[tuple[str, ...], float] = {}
        for key, queue in self._board.queues.list():
            label_values = (key.service, key.priority)
            lengths[label_values] += len(queue)
            oldest = now - min((request.arrived_at for request in queue), default=now)
            ages[label_values] = max(ages.get(label_values, 0.0), oldest)
        labels = ("service", "priority")
        yield build_gauge(
            "queue_length", "Requests that wait in the queues.", labels, lengths
        )
        yield build_gauge(
            "queue_oldest_age_seconds",
            "Age in seconds of the oldest waiting request.",
            labels,
            ages,
        )
        permits: Counter[tuple[str, ...]] = Counter(
            (permit.service, permit.priority) for permit in self._board.permits.list()
        )
        yield build_gauge(
            "permits_held", "Permits that the router holds.", labels, permits
        )

    def _collect_services(self) -> Iterable[Metric]:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        gaps: dict[tuple[str, ...], float] = {}
        ratios: dict[tuple[str, ...], float] = {}
        for name, service in configuration.services.items():
            gaps[(name,)] = self._gaps.get_gap_tracker(name).gap
            ratios[(name,)] = gaps[(name,)] / service.largest_cost
        yield build_gauge(
            "fairness_gap_units",
            "Most minus least service per weight of the backlogged workspaces.",
            ("service",),
            gaps,
        )
        yield build_gauge(
            "fairness_gap_requests",
            "Fairness gap in multiples of the largest request.",
            ("service",),
            ratios,
        )
        yield from self._collect_servers()

    def _collect_servers(self) -> Iterable[Metric]:
        configuration = self._board.configuration.current
        running: Counter[tuple[str, ...]] = Counter()
        capacity: Counter[tuple[str, ...]] = Counter()
        for server in configuration.servers.values() if configuration else ():
            status = self._board.server_statuses.get(server.name)
            if status.reported_at:
                running[(server.service,)] += status.running_requests
                capacity[(server.service,)] += status.reported_slots
        labels = ("service",)
        yield build_gauge(
            "server_running",
            "Running requests that backend servers report.",
            labels,
            running,
        )
        yield build_gauge(
            "server_capacity", "Slots that backend servers report.", labels, capacity
        )
        busy = {key: running[key] / capacity[key] for key in +capacity}
        yield build_gauge(
            "utilisation_ratio", "Fraction of the slots in use.", labels, busy
        )

    def _collect_control_traffic(self) -> Iterable[Metric]:
        traffic = self._board.control_traffic
        rows = (
            (
                "control_sent_messages",
                "Messages sent to other routers.",
                traffic.sent_messages,
            ),
            ("control_sent_bytes", "Bytes sent to other routers.", traffic.sent_bytes),
            (
                "control_received_messages",
                "Messages received from other routers.",
                traffic.received_messages,
            ),
            (
                "control_received_bytes",
                "Bytes received from other routers.",
                traffic.received_bytes,
            ),
        )
        for name, help_text, counts in rows:
            yield build_counter(name, help_text, ("kind",), _to_label_tuples(counts))
        yield build_counter(
            "control_dropped_messages",
            "Dropped messages between routers by cause.",
            ("cause",),
            _to_label_tuples(traffic.dropped_messages),
        )
