"""
Selects the service totals that are sent to each peer, and when.

A peer extrapolates each total by the rate that was sent with it. A row is sent
again when the total differs from this extrapolation by more than a threshold.
The rows with the largest errors are sent first, within a budget. The threshold
may be lowered to compensate for message loss, as in Li, Cai, Tang and Zhou,
"Dead Reckoning-Based Update Scheduling Against Message Loss for Improving
Consistency in DVEs", equation 13. Updates that are not acknowledged in time
count as lost.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.identity import RouterId

ACK_TIMEOUT_SECONDS = 0.5
"""Time after which an unacknowledged update counts as lost."""
MAX_EXTRAPOLATION_SECONDS = 3.0
"""Time after an update for which its totals are extrapolated."""
LOSS_SMOOTHING_FACTOR = 0.05
"""Weight of one update in the moving average of the loss ratio."""
MAX_UNACKNOWLEDGED = 64
"""Maximum number of unacknowledged updates that are tracked per peer."""
MAX_LOSS_RATIO = 0.9
"""Largest loss ratio that the threshold is compensated for."""
ROW_BYTES = 40
"""Maximum size of one encoded row, for a workspace name of 16 characters."""
UPDATE_OVERHEAD_BYTES = 140
"""Size of an update without its rows, plus that of the acknowledgement."""


class UpdatePolicy(NamedTuple):
    """
    Parameters that control when totals are sent.

    :ivar period: seconds between two updates to one peer.
    :ivar threshold: error from which a row is sent, as a multiple of the
        largest cost of a request for the service.
    :ivar extrapolate: whether peers extrapolate totals by their rate.
    :ivar compensate: whether the threshold is lowered to compensate for
        message loss.
    :ivar acknowledge: whether updates are acknowledged, and sent again if they
        are lost.
    :ivar refresh: seconds after which a row is sent regardless of its error;
        infinite for never.
    :ivar piggyback_ratio: fraction of the threshold from which a row is
        included in an update that another row has triggered.
    :ivar max_rows: maximum number of rows in one update; those with the
        largest errors are chosen.
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
    Identifies the total of service that a workspace has received.

    :ivar service: name of the service.
    :ivar workspace: name of the workspace.
    """

    service: str
    workspace: str


class TotalSample(NamedTuple):
    """
    The value of a total at one time.

    :ivar total: service granted, in the service's unit.
    :ivar rate: recent growth in units per second.
    :ivar sampled_at: time of the sample, in monotonic seconds.
    :ivar reserved: estimated cost of running requests that is not in the
        total.
    """

    total: float
    rate: float
    sampled_at: float
    reserved: float = 0.0

    @property
    def committed(self) -> float:
        """The total that is expected when all running requests have ended."""
        return self.total + self.reserved

    def extrapolate(self, now: float) -> float:
        """Return the committed total that is expected at a later time."""
        return self.committed + self.rate * min(
            now - self.sampled_at, MAX_EXTRAPOLATION_SECONDS
        )


class DueRow(NamedTuple):
    """
    A row that is due to be sent; the smallest is the most urgent.

    :ivar sort_key: the negative error, as a multiple of the threshold.
    :ivar key: key of the row.
    """

    sort_key: float
    key: TotalKey


class PendingUpdate(NamedTuple):
    """
    An update that has not been acknowledged.

    :ivar sent_at: time of sending, in monotonic seconds.
    :ivar samples: totals in the update.
    """

    sent_at: float
    samples: dict[TotalKey, TotalSample]


class PeerUpdateTracker:
    """
    Tracks the totals that one peer has received.

    :param policy: parameters that control when totals are sent.
    :param bases: totals at the time when the updates to the peer began.
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
        """Recent fraction of lost updates."""
        return self._loss_ratio

    def get_base(self, key: TotalKey) -> float:
        """
        Return the base of a row, 0 once the peer has acknowledged the row.
        """
        return self._bases.get(key, 0)

    def set_loss_ratio(self, loss_ratio: float) -> None:
        """Set a loss ratio that has been measured elsewhere."""
        self._loss_ratio = loss_ratio

    def choose_rows(
        self,
        samples: Mapping[TotalKey, TotalSample],
        scales: Mapping[str, float],
        now: float,
    ) -> list[TotalKey]:
        """Return the keys of the rows to send in one update."""
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

        :param samples: current totals.
        :param scales: unit of the threshold by service, which is the largest
            cost of a request; 1 by default.
        :param now: monotonic seconds.
        """
        policy, sent = self._policy, self._sent
        threshold = policy.threshold * self._get_threshold_factor()
        due = []
        for key, sample in samples.items():
            known = sent.get(key)
            if known is None or self._needs_refresh(known, sample, now):
                due.append(DueRow(-math.inf, key))
                continue
            expected = known.committed
            if policy.extrapolate:
                expected = known.extrapolate(now)
            error = abs(sample.committed - expected) / scales.get(key.service, 1.0)
            if error > threshold * policy.piggyback_ratio:
                due.append(DueRow(-error / (threshold or 1.0), key))
        due.sort()
        is_triggered = due and (due[0].sort_key < -1.0 or threshold == 0.0)
        return due if is_triggered else []

    def record_sent(
        self, sequence: int, samples: Mapping[TotalKey, TotalSample], now: float
    ) -> None:
        """Record the totals of an update that is being sent."""
        self._sent.update(samples)
        if not self._policy.acknowledge:
            return
        self._pending[sequence] = PendingUpdate(now, dict(samples))
        while len(self._pending) > MAX_UNACKNOWLEDGED:
            self._record_loss(next(iter(self._pending)))

    def acknowledge(self, sequence: int) -> None:
        """Record that the peer has merged an update."""
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
        """Count updates as lost that were not acknowledged in time."""
        for sequence, pending in list(self._pending.items()):
            if now - pending.sent_at < ACK_TIMEOUT_SECONDS:
                break
            self._record_loss(sequence)

    def forget_keys(self, keys: Iterable[TotalKey]) -> None:
        """Discard totals that no longer exist."""
        for key in keys:
            self._sent.pop(key, None)
            self._acknowledged.pop(key, None)

    def _record_loss(self, sequence: int) -> None:
        pending = self._pending.pop(sequence)
        self._loss_ratio += LOSS_SMOOTHING_FACTOR * (1.0 - self._loss_ratio)
        for key, sample in pending.samples.items():
            if self._sent.get(key) != sample:
                continue
            known = self._acknowledged.get(key)
            if known is None:
                del self._sent[key]
            else:
                self._sent[key] = known

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
    Divide a byte budget between peers, the largest errors first.

    :param ranked: due rows by peer, the most urgent first.
    :param byte_budget: bytes that the updates and their acknowledgements may
        take.
    :returns: the keys of the rows to send to each peer.
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
    Return the factor of the threshold at a loss ratio (equation 13).

    :param loss_ratio: fraction of the messages that is lost, 0 to 1.
    """
    loss_ratio = min(max(loss_ratio, 0.0), MAX_LOSS_RATIO)
    return (1.0 - loss_ratio) ** 2 / (1.0 + 4.0 * loss_ratio + loss_ratio * loss_ratio)
