"""Results of a load run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypedDict

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from sycamorehaven.load.client import RequestResult
    from sycamorehaven.load.plan import LoadPlan, Workload

PERCENTILES = (50, 95, 99)
"""Percentiles of the latencies in a summary."""
MICROSECONDS_PER_SECOND = 1_000_000
"""Conversion factor; histograms record whole microseconds."""
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS_PER_SECOND
"""Maximum latency that a histogram can record."""
SIGNIFICANT_DIGITS = 3
"""Precision of the recorded latencies in decimal digits."""


class LatencyDocument(TypedDict):
    """Percentiles of a latency in seconds; all are 0 without a measurement."""

    p50: float
    p95: float
    p99: float


class WorkloadDocument(TypedDict):
    """
    Results of one workload.

    ``share`` is its share of all tokens, or of all complete answers if no
    workload received tokens.
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
    """
    Results of a run.

    ``elapsed`` is the duration of the run in seconds. ``not_sent`` counts
    requests that were due while too many others were in flight.
    """

    seed: int
    elapsed: float
    sent: int
    not_sent: int
    answered: int
    workloads: list[WorkloadDocument]


class WorkloadSummary:
    """Collects the latencies and counts of one workload."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._first_byte = _create_histogram()
        self._total = _create_histogram()
        self.sent = 0
        self.answered = 0
        self.tokens = 0
        self.refusals: Counter[str] = Counter()

    def record(self, result: RequestResult) -> None:
        """Record a result; latencies are those of complete answers only."""
        self.sent += 1
        if result.code:
            self.refusals[result.code] += 1
            return
        self.answered += 1
        self.tokens += max(result.event_count - 1, 0)
        self._first_byte.record_value(
            max(int(result.first_byte_latency * MICROSECONDS_PER_SECOND), 1)
        )
        self._total.record_value(
            max(int(result.total_latency * MICROSECONDS_PER_SECOND), 1)
        )

    def build_document(self, share: float) -> WorkloadDocument:
        """
        Return the results.

        :param share: share of this workload, between 0 and 1.
        """
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
    Collects the results of a load run.

    :param plan: plan of the run.
    :ivar not_sent: number of requests that were due while too many others
        were in flight.
    :ivar elapsed: duration of the run in seconds, 0 until it has ended.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._workloads = [WorkloadSummary(workload) for workload in plan.workloads]
        self.not_sent = 0
        self.elapsed = 0.0

    @property
    def sent(self) -> int:
        """Number of requests that were answered or have failed."""
        return sum(workload.sent for workload in self._workloads)

    @property
    def answered(self) -> int:
        """Number of requests that were answered completely."""
        return sum(workload.answered for workload in self._workloads)

    def record(self, result: RequestResult) -> None:
        """Record the result of a request."""
        self._workloads[result.workload_index].record(result)

    def build_document(self) -> SummaryDocument:
        """Return the results as a document."""
        tokens = sum(workload.tokens for workload in self._workloads)
        amounts = [(w.tokens if tokens else w.answered, w) for w in self._workloads]
        total = sum(amount for amount, _ in amounts) or 1
        return SummaryDocument(
            seed=self._plan.seed,
            elapsed=round(self.elapsed, 3),
            sent=self.sent,
            not_sent=self.not_sent,
            answered=self.answered,
            workloads=[w.build_document(amount / total) for amount, w in amounts],
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
