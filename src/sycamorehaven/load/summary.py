"""Figures of a load run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypedDict

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from sycamorehaven.load.client import RequestResult
    from sycamorehaven.load.plan import LoadPlan, Workload

PERCENTILES = (50, 95, 99)
MICROSECONDS_PER_SECOND = 1_000_000
"""Microseconds in a second; histograms count whole microseconds."""
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS_PER_SECOND
"""Largest latency that a histogram tells apart, microseconds."""
SIGNIFICANT_DIGITS = 3


class LatencyDocument(TypedDict):
    """Percentiles, seconds; all 0 without a sample."""

    p50: float
    p95: float
    p99: float


class WorkloadDocument(TypedDict):
    """
    Figures of one workload.

    ``share`` is its part of the tokens, or of the whole answers if nobody
    received tokens.
    """

    workspace: str
    kind: str
    priority: str
    sent: int
    answered: int
    tokens: int
    share: float
    first_byte: LatencyDocument
    total: LatencyDocument
    refusals: dict[str, int]


class SummaryDocument(TypedDict):
    """Figures of a run; ``not_sent`` counts what the generator left out."""

    seed: int
    elapsed: float
    sent: int
    not_sent: int
    answered: int
    workloads: list[WorkloadDocument]


class WorkloadSummary:
    """Latencies and counts of one workload."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._first_byte = _create_histogram()
        self._total = _create_histogram()
        self.sent = 0
        self.answered = 0
        self.tokens = 0
        self.refusals: Counter[str] = Counter()

    def record(self, sample: RequestResult) -> None:
        """Count a request; only whole answers have latencies."""
        self.sent += 1
        if sample.code:
            self.refusals[sample.code] += 1
            return
        self.answered += 1
        self.tokens += max(sample.event_count - 1, 0)
        self._first_byte.record_value(
            max(int(sample.first_byte_latency * MICROSECONDS_PER_SECOND), 1)
        )
        self._total.record_value(
            max(int(sample.total_latency * MICROSECONDS_PER_SECOND), 1)
        )

    def build_document(self, share: float) -> WorkloadDocument:
        """Return the figures."""
        return WorkloadDocument(
            workspace=self._workload.workspace,
            kind=self._workload.kind,
            priority=self._workload.priority,
            sent=self.sent,
            answered=self.answered,
            tokens=self.tokens,
            share=round(share, 4),
            first_byte=_build_latency_document(self._first_byte),
            total=_build_latency_document(self._total),
            refusals=dict(sorted(self.refusals.items())),
        )


class LoadSummary:
    """
    Figures of a run.

    :param plan: what was sent.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._workloads = [WorkloadSummary(workload) for workload in plan.workloads]
        self.not_sent = 0
        self.elapsed = 0.0

    @property
    def sent(self) -> int:
        """Requests whose end is known."""
        return sum(workload.sent for workload in self._workloads)

    @property
    def answered(self) -> int:
        """Requests that were answered whole."""
        return sum(workload.answered for workload in self._workloads)

    def record(self, sample: RequestResult) -> None:
        """Count a request."""
        self._workloads[sample.workload_index].record(sample)

    def build_document(self) -> SummaryDocument:
        """Return every figure."""
        tokens = sum(workload.tokens for workload in self._workloads)
        parts = [(w.tokens if tokens else w.answered, w) for w in self._workloads]
        whole = sum(part for part, _ in parts) or 1
        return SummaryDocument(
            seed=self._plan.seed,
            elapsed=round(self.elapsed, 3),
            sent=self.sent,
            not_sent=self.not_sent,
            answered=self.answered,
            workloads=[w.build_document(part / whole) for part, w in parts],
        )


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def _build_latency_document(histogram: HdrHistogram) -> LatencyDocument:
    values = [
        round(
            histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND, 6
        )
        for percentile in PERCENTILES
    ]
    return LatencyDocument(p50=values[0], p95=values[1], p99=values[2])
