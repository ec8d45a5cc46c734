"""
Which totals of service to tell a peer, and when.

A peer extrapolates each total by the rate that came with it. A row is sent
again when the total differs from that extrapolation by more than a threshold,
the largest error first, within a budget. The threshold may be lowered for
message loss as in Li, Cai, Tang and Zhou, "Dead Reckoning-Based Update
Scheduling Against Message Loss for Improving Consistency in DVEs",
equation 13. Updates that are not acknowledged are taken as lost.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.identity import RouterId

ACK_TIMEOUT_SECONDS = 0.5
"""Seconds after which an unacknowledged update counts as lost."""
MAX_EXTRAPOLATION_SECONDS = 3.0
"""Seconds after an update for which its totals are extrapolated."""
LOSS_SMOOTHING_FACTOR = 0.05
"""Weight of one update in the moving average of losses."""
MAX_UNACKNOWLEDGED = 64
"""Updates to one peer whose acknowledgement is waited for."""
MAX_LOSS_RATIO = 0.9
ROW_BYTES = 40
"""Bytes of one row, at most, as a workspace's name of 16 characters gives."""
UPDATE_OVERHEAD_BYTES = 140
"""Bytes of an update without rows and of its acknowledgement."""


class UpdatePolicy(NamedTuple):
    """
    How totals are shared.

    :ivar period: seconds between two updates to one peer.
    :ivar threshold: error from which a row is sent, in the service's unit.
    :ivar extrapolate: whether peers extrapolate by rate.
    :ivar compensate: whether the threshold is lowered for message loss.
    :ivar acknowledge: whether updates without acknowledgement are repeated.
    :ivar refresh: seconds after which a row is sent whatever its error;
        infinite for never.
    :ivar piggyback_ratio: part of the threshold from which a row goes with an
        update that another row has made due.
    :ivar max_rows: rows in one update, the largest error first.
    """

    period: float = 1.0
    threshold: float = 0.0
    extrapolate: bool = False
    compensate: bool = False
    acknowledge: bool = True
    refresh: float = math.inf
    piggyback_ratio: float = 1.0
    max_rows: int = 1_000


class TotalKey(NamedTuple):
    """
    What a total is of.

    :ivar service: the service.
    :ivar workspace: the workspace.
    """

    service: str
    workspace: str


class TotalSample(NamedTuple):
    """
    A total at a time.

    :ivar total: in the service's unit.
    :ivar rate: units per second lately.
    :ivar sampled_at: monotonic seconds.
    :ivar reserved: cost of what runs and is not in the total.
    """

    total: float
    rate: float
    sampled_at: float
    reserved: float = 0.0

    @property
    def committed(self) -> float:
        """The total once all that runs has ended."""
        return self.total + self.reserved

    def extrapolate(self, now: float) -> float:
        """Return what is expected to be committed at a later time."""
        return self.committed + self.rate * min(
            now - self.sampled_at, MAX_EXTRAPOLATION_SECONDS
        )


class DueRow(NamedTuple):
    """
    A row that a peer should be told; the least is the most urgent.

    :ivar sort_key: the negative error, in thresholds.
    :ivar key: which row.
    """

    sort_key: float
    key: TotalKey


class PendingUpdate(NamedTuple):
    """
    An update that has not been acknowledged.

    :ivar sent_at: monotonic seconds.
    :ivar samples: what it said.
    """

    sent_at: float
    samples: dict[TotalKey, TotalSample]


class PeerUpdateTracker:
    """
    What one peer has been told.

    :param policy: how totals are shared.
    :param bases: totals given before the peer is told of any.
    """

    def __init__(
        self, policy: UpdatePolicy, bases: Mapping[TotalKey, float] | None = None
    ) -> None:
        self._policy = policy
        self._bases = dict(bases or {})
        self._sent: dict[TotalKey, TotalSample] = {}
        self._acknowledged: dict[TotalKey, TotalSample] = {}
        self._pending: dict[int, PendingUpdate] = {}
        self._loss_ratio = 0.0

    @property
    def loss_ratio(self) -> float:
        """Part of the updates that was lost lately."""
        return self._loss_ratio

    def get_base(self, key: TotalKey) -> float:
        """Return a row's base, 0 once the peer has acknowledged the row."""
        return self._bases.get(key, 0)

    def set_loss_ratio(self, loss_ratio: float) -> None:
        """Take a loss rate that is known from elsewhere."""
        self._loss_ratio = loss_ratio

    def choose_rows(
        self,
        samples: Mapping[TotalKey, TotalSample],
        scales: Mapping[str, float],
        now: float,
    ) -> list[TotalKey]:
        """Return the rows that are due within the budget of one update."""
        ranked = self.rank_rows(samples, scales, now)
        return [due.key for due in ranked[: self._policy.max_rows]]

    def rank_rows(
        self,
        samples: Mapping[TotalKey, TotalSample],
        scales: Mapping[str, float],
        now: float,
    ) -> list[DueRow]:
        """
        Return the rows that are due, the most urgent first.

        :param samples: totals now.
        :param scales: by service, the unit of the threshold: the largest
            cost of a request; 1 if not named.
        :param now: monotonic seconds.
        """
        policy, told = self._policy, self._sent
        limit = policy.threshold * self._get_threshold_factor()
        due = []
        for key, sample in samples.items():
            known = told.get(key)
            if known is None or self._needs_refresh(known, sample, now):
                due.append(DueRow(-math.inf, key))
                continue
            expected = known.committed
            if policy.extrapolate:
                expected = known.extrapolate(now)
            error = abs(sample.committed - expected) / scales.get(key.service, 1.0)
            if error > limit * policy.piggyback_ratio:
                due.append(DueRow(-error / (limit or 1.0), key))
        due.sort()
        triggered = due and (due[0].sort_key < -1.0 or limit == 0.0)
        return due if triggered else []

    def record_sent(
        self, sequence: int, samples: Mapping[TotalKey, TotalSample], now: float
    ) -> None:
        """Note what an update says."""
        self._sent.update(samples)
        if not self._policy.acknowledge:
            return
        self._pending[sequence] = PendingUpdate(now, dict(samples))
        while len(self._pending) > MAX_UNACKNOWLEDGED:
            self._record_loss(next(iter(self._pending)))

    def acknowledge(self, sequence: int) -> None:
        """Note that the peer has merged an update."""
        pending = self._pending.pop(sequence, None)
        if pending is None:
            return
        self._loss_ratio += LOSS_SMOOTHING_FACTOR * (0.0 - self._loss_ratio)
        for key, sample in pending.samples.items():
            self._bases.pop(key, None)
            known = self._acknowledged.get(key)
            if known is None or known.sampled_at < sample.sampled_at:
                self._acknowledged[key] = sample

    def expire_unacknowledged(self, now: float) -> None:
        """Take updates without acknowledgement as lost."""
        for sequence, pending in list(self._pending.items()):
            if now - pending.sent_at < ACK_TIMEOUT_SECONDS:
                break
            self._record_loss(sequence)

    def forget_keys(self, keys: Iterable[TotalKey]) -> None:
        """Forget places that no longer exist."""
        for key in keys:
            self._sent.pop(key, None)
            self._acknowledged.pop(key, None)

    def _record_loss(self, sequence: int) -> None:
        pending = self._pending.pop(sequence)
        self._loss_ratio += LOSS_SMOOTHING_FACTOR * (1.0 - self._loss_ratio)
        for place, reading in pending.samples.items():
            if self._sent.get(place) != reading:
                continue
            known = self._acknowledged.get(place)
            if known is None:
                del self._sent[place]
            else:
                self._sent[place] = known

    def _needs_refresh(
        self, known: TotalSample, sample: TotalSample, now: float
    ) -> bool:
        if now - known.sampled_at < self._policy.refresh:
            return False
        same = known.total == sample.total and known.rate == sample.rate
        return not (same and self._policy.acknowledge)

    def _get_threshold_factor(self) -> float:
        return compute_loss_factor(self._loss_ratio) if self._policy.compensate else 1.0


def allocate_rows(
    ranked: Mapping[RouterId, list[DueRow]], byte_budget: float
) -> dict[RouterId, list[TotalKey]]:
    """
    Return the rows to send to each peer, the largest errors of all first.

    :param ranked: what is due at each peer, the most urgent first.
    :param max_rows: bytes that updates and acknowledgements may take.
    """
    ranked_rows = [(due, peer) for peer, rows in ranked.items() for due in rows]
    ranked_rows.sort()
    allocated: dict[RouterId, list[TotalKey]] = {}
    for due, peer in ranked_rows:
        byte_budget -= ROW_BYTES + (0 if peer in allocated else UPDATE_OVERHEAD_BYTES)
        if byte_budget < 0.0:
            break
        allocated.setdefault(peer, []).append(due.key)
    return allocated


def compute_loss_factor(loss_ratio: float) -> float:
    """
    Return the factor of the threshold at a loss rate (equation 13).

    :param loss_ratio: part of the messages that is lost, 0 to 1.
    """
    loss_ratio = min(max(loss_ratio, 0.0), MAX_LOSS_RATIO)
    return (1.0 - loss_ratio) ** 2 / (1.0 + 4.0 * loss_ratio + loss_ratio * loss_ratio)
