"""
Pooled results of the requests to a plain server.

Plain servers are few and routers are many, so no router sees enough results to
tell that a server fails a part of its requests. Each router therefore adds the
counts of all routers, by failure domain, to a window that decays. A server may
fail for the routers of some failure domains only, so those of the own domain
count first.
"""

from __future__ import annotations

import math
from typing import NamedTuple

DECAY_SECONDS = 1.5
"""Time constant of the window. A server fails for seconds at a time."""
MIN_DOMAIN_RESULTS = 8.0
"""Results of the own failure domain from which only these count."""
MIN_POOLED_RESULTS = 8.0
"""Results from which the moving average of this router does not count."""
PRIOR_SUCCESSES = 2.0
"""Successes that are assumed beside the counted results."""
FAILING_RATIO = 0.1
"""Expected failure ratio from which a server is avoided."""
MOSTLY_FAILING_RATIO = 0.3
"""Expected failure ratio from which a server is avoided before others that are
avoided."""
MIN_FAILURES = 1.5
"""Failures in the window without which no server is avoided, since single
failures occur at servers that work."""
RECOVERY_SUCCESSES = 5
"""Successes in a row, of routers that have seen failures, that show that an
avoided server works again. A server that fails half of its requests passes one
in 32 such series."""
RECOVERY_SECONDS = 4.0
"""Time without a failure after which an avoided server is used again in any
case, since it may get no requests that could show that it works."""


class ResultCounts(NamedTuple):
    """
    Results of requests to one server.

    :ivar answered: number of results, failures included.
    :ivar failed: number of failures.
    """

    answered: float
    failed: float

    @property
    def failure_ratio(self) -> float:
        """Expected fraction of requests that fail."""
        return self.failed / (self.answered + PRIOR_SUCCESSES)


NO_RESULTS = ResultCounts(0.0, 0.0)


class FailureEstimate(NamedTuple):
    """
    What the pooled results of a server say of its next request.

    :ivar ratio: expected fraction of requests that fail.
    :ivar failure_class: 0 for a server that is used as usual, 1 for one that
        is avoided, 2 for one that fails so much that others of class 1 are
        better.
    :ivar results: number of results in the window, of all routers.
    """

    ratio: float = 0.0
    failure_class: int = 0
    results: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the server is avoided."""
        return self.failure_class > 0

    def combine_ratio(self, own_ratio: float) -> float:
        """
        Return the expected failure ratio with this router's own average.

        :param own_ratio: moving average of this router, which counts only
            while few results of others are known.
        """
        if self.results >= MIN_POOLED_RESULTS:
            return self.ratio
        return max(self.ratio, own_ratio)


NO_FAILURES = FailureEstimate()


class _DomainResults:
    """Decaying counts of the results that one failure domain has seen."""

    def __init__(self) -> None:
        self._counts = NO_RESULTS
        self._updated_at = 0.0
        self.failed_at = -math.inf

    def get(self, now: float) -> ResultCounts:
        factor = math.exp(-max(now - self._updated_at, 0.0) / DECAY_SECONDS)
        return ResultCounts(
            self._counts.answered * factor, self._counts.failed * factor
        )

    def add(self, answered: int, failed: int, now: float) -> None:
        counts = self.get(now)
        self._counts = ResultCounts(counts.answered + answered, counts.failed + failed)
        self._updated_at = now
        if failed:
            self.failed_at = now


class PooledResults:
    """
    The results that all routers have of one server.

    :param domain: failure domain of this router.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._domains: dict[str, _DomainResults] = {}
        self._successes_since_failure = 0
        self._is_failing = False

    def add(self, domain: str, answered: int, failed: int, now: float) -> None:
        """
        Add results that a router has seen.

        :param domain: failure domain of the router.
        :param answered: number of results, failures included.
        :param failed: number of failures.
        """
        failed = min(failed, answered)
        results = self._domains.setdefault(domain, _DomainResults())
        results.add(answered, failed, now)
        if failed:
            self._successes_since_failure = 0
        elif now - results.failed_at < RECOVERY_SECONDS:
            self._successes_since_failure += answered

    def count(self, now: float) -> ResultCounts:
        """Return the results in the window that count for this router."""
        if domain := self.get_counted_domain(now):
            return self._domains[domain].get(now)
        return self.count_all(now)

    def get_counted_domain(self, now: float) -> str:
        """Return the failure domain whose results count, "" for all."""
        own = self._domains.get(self._domain)
        is_enough = own and own.get(now).answered >= MIN_DOMAIN_RESULTS
        return self._domain if is_enough else ""

    def count_all(self, now: float) -> ResultCounts:
        """Return the results of all routers in the window."""
        counts = [results.get(now) for results in self._domains.values()]
        return ResultCounts(
            sum(item.answered for item in counts), sum(item.failed for item in counts)
        )

    def estimate(self, now: float) -> FailureEstimate:
        """Return what the results say of the next request of this router."""
        counts = self.count(now)
        ratio = counts.failure_ratio
        if not self._is_failing:
            self._is_failing = ratio >= FAILING_RATIO and counts.failed >= MIN_FAILURES
        elif ratio < FAILING_RATIO:
            self._is_failing = not self._has_recovered(now)
        failure_class = 0
        if self._is_failing:
            failure_class = 2 if ratio >= MOSTLY_FAILING_RATIO else 1
        return FailureEstimate(ratio, failure_class, self.count_all(now).answered)

    def _has_recovered(self, now: float) -> bool:
        domain = self.get_counted_domain(now)
        counted = [self._domains[domain]] if domain else self._domains.values()
        failed_at = max(results.failed_at for results in counted)
        return (
            self._successes_since_failure >= RECOVERY_SUCCESSES
            or now - failed_at >= RECOVERY_SECONDS
        )
