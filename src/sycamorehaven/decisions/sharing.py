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

ACK_TIMEOUT = 0.5
"""Seconds after which an unacknowledged update counts as lost."""
HORIZON = 3.0
"""Seconds after an update for which its totals are extrapolated."""
LOSS_MEMORY = 0.05
"""Weight of one update in the moving average of losses."""
MOST_UNACKNOWLEDGED = 64
"""Updates to one peer whose acknowledgement is waited for."""
LARGEST_LOSS = 0.9
ROW_BYTES = 40
"""Bytes of one row, at most, as a workspace's name of 16 characters gives."""
UPDATE_BYTES = 140
"""Bytes of an update without rows and of its acknowledgement."""


class SharingPolicy(NamedTuple):
    """
    How totals are shared.

    :ivar period: seconds between two updates to one peer.
    :ivar threshold: error from which a row is sent, in the service's unit.
    :ivar extrapolate: whether peers extrapolate by rate.
    :ivar compensate: whether the threshold is lowered for message loss.
    :ivar acknowledge: whether updates without acknowledgement are repeated.
    :ivar refresh: seconds after which a row is sent whatever its error;
        infinite for never.
    :ivar ride_along: part of the threshold from which a row goes with an
        update that another row has made due.
    :ivar budget: rows in one update, the largest error first.
    """

    period: float = 1.0
    threshold: float = 0.0
    extrapolate: bool = False
    compensate: bool = False
    acknowledge: bool = True
    refresh: float = math.inf
    ride_along: float = 1.0
    budget: int = 1_000


class Place(NamedTuple):
    """
    What a total is of.

    :ivar service: the service.
    :ivar workspace: the workspace.
    """

    service: str
    workspace: str


class Reading(NamedTuple):
    """
    A total at a time.

    :ivar total: in the service's unit.
    :ivar rate: units per second lately.
    :ivar at: monotonic seconds.
    :ivar reserved: cost of what runs and is not in the total.
    """

    total: float
    rate: float
    at: float
    reserved: float = 0.0

    @property
    def committed(self) -> float:
        """The total once all that runs has ended."""
        return self.total + self.reserved

    def extrapolate(self, now: float) -> float:
        """Return what is expected to be committed at a later time."""
        return self.committed + self.rate * min(now - self.at, HORIZON)


class DueRow(NamedTuple):
    """
    A row that a peer should be told; the least is the most urgent.

    :ivar order: the negative error, in thresholds.
    :ivar place: which row.
    """

    order: float
    place: Place


class Pending(NamedTuple):
    """
    An update that has not been acknowledged.

    :ivar sent_at: monotonic seconds.
    :ivar readings: what it said.
    """

    sent_at: float
    readings: dict[Place, Reading]


class PeerFeed:
    """
    What one peer has been told.

    :param policy: how totals are shared.
    :param bases: totals given before the peer is told of any.
    """

    def __init__(
        self, policy: SharingPolicy, bases: Mapping[Place, float] | None = None
    ) -> None:
        self._policy = policy
        self._bases = dict(bases or {})
        self._told: dict[Place, Reading] = {}
        self._acknowledged: dict[Place, Reading] = {}
        self._pending: dict[int, Pending] = {}
        self._loss = 0.0

    @property
    def loss(self) -> float:
        """Part of the updates that was lost lately."""
        return self._loss

    def find_base(self, place: Place) -> float:
        """Return a row's base, 0 once the peer has acknowledged the row."""
        return self._bases.get(place, 0)

    def assume_loss(self, loss: float) -> None:
        """Take a loss rate that is known from elsewhere."""
        self._loss = loss

    def choose(
        self,
        readings: Mapping[Place, Reading],
        scales: Mapping[str, float],
        now: float,
    ) -> list[Place]:
        """Return the rows that are due within the budget of one update."""
        ranked = self.rank(readings, scales, now)
        return [due.place for due in ranked[: self._policy.budget]]

    def rank(
        self,
        readings: Mapping[Place, Reading],
        scales: Mapping[str, float],
        now: float,
    ) -> list[DueRow]:
        """
        Return the rows that are due, the most urgent first.

        :param readings: totals now.
        :param scales: by service, the unit of the threshold: the largest
            cost of a request; 1 if not named.
        :param now: monotonic seconds.
        """
        policy, told = self._policy, self._told
        limit = policy.threshold * self._factor()
        due = []
        for place, reading in readings.items():
            known = told.get(place)
            if known is None or self._is_stale(known, reading, now):
                due.append(DueRow(-math.inf, place))
                continue
            expected = known.committed
            if policy.extrapolate:
                expected = known.extrapolate(now)
            error = abs(reading.committed - expected) / scales.get(place.service, 1.0)
            if error > limit * policy.ride_along:
                due.append(DueRow(-error / (limit or 1.0), place))
        due.sort()
        triggered = due and (due[0].order < -1.0 or limit == 0.0)
        return due if triggered else []

    def record(
        self, sequence: int, readings: Mapping[Place, Reading], now: float
    ) -> None:
        """Note what an update says."""
        self._told.update(readings)
        if not self._policy.acknowledge:
            return
        self._pending[sequence] = Pending(now, dict(readings))
        while len(self._pending) > MOST_UNACKNOWLEDGED:
            self._lose(next(iter(self._pending)))

    def acknowledge(self, sequence: int) -> None:
        """Note that the peer has merged an update."""
        pending = self._pending.pop(sequence, None)
        if pending is None:
            return
        self._loss += LOSS_MEMORY * (0.0 - self._loss)
        for place, reading in pending.readings.items():
            self._bases.pop(place, None)
            known = self._acknowledged.get(place)
            if known is None or known.at < reading.at:
                self._acknowledged[place] = reading

    def expire(self, now: float) -> None:
        """Take updates without acknowledgement as lost."""
        for sequence, pending in list(self._pending.items()):
            if now - pending.sent_at < ACK_TIMEOUT:
                break
            self._lose(sequence)

    def forget(self, places: Iterable[Place]) -> None:
        """Forget places that no longer exist."""
        for place in places:
            self._told.pop(place, None)
            self._acknowledged.pop(place, None)

    def _lose(self, sequence: int) -> None:
        pending = self._pending.pop(sequence)
        self._loss += LOSS_MEMORY * (1.0 - self._loss)
        for place, reading in pending.readings.items():
            if self._told.get(place) != reading:
                continue
            known = self._acknowledged.get(place)
            if known is None:
                del self._told[place]
            else:
                self._told[place] = known

    def _is_stale(self, known: Reading, reading: Reading, now: float) -> bool:
        if now - known.at < self._policy.refresh:
            return False
        same = known.total == reading.total and known.rate == reading.rate
        return not (same and self._policy.acknowledge)

    def _factor(self) -> float:
        return compensate_loss(self._loss) if self._policy.compensate else 1.0


def allot_rows(
    ranked: Mapping[RouterId, list[DueRow]], budget: float
) -> dict[RouterId, list[Place]]:
    """
    Return the rows to send to each peer, the largest errors of all first.

    :param ranked: what is due at each peer, the most urgent first.
    :param budget: bytes that updates and acknowledgements may take.
    """
    every = [(due, peer) for peer, rows in ranked.items() for due in rows]
    every.sort()
    allotted: dict[RouterId, list[Place]] = {}
    for due, peer in every:
        budget -= ROW_BYTES + (0 if peer in allotted else UPDATE_BYTES)
        if budget < 0.0:
            break
        allotted.setdefault(peer, []).append(due.place)
    return allotted


def compensate_loss(loss: float) -> float:
    """
    Return the factor of the threshold at a loss rate (equation 13).

    :param loss: part of the messages that is lost, 0 to 1.
    """
    loss = min(max(loss, 0.0), LARGEST_LOSS)
    return (1.0 - loss) ** 2 / (1.0 + 4.0 * loss + loss * loss)
