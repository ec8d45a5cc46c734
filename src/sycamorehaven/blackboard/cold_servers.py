"""The servers that are cold, and what this router may send to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.cold_servers.periods import extend_period
from sycamorehaven.decisions.pacing import Pacer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorehaven.decisions.cold_servers.paces import ColdAllowance, Pace
    from sycamorehaven.decisions.cold_servers.periods import ColdPeriod, ColdSource

MIN_REPORTED_SECONDS = 0.5
"""Least time by which a period must grow to be reported again. Entries repeat
the same end a little later each time."""


class ColdLimit(NamedTuple):
    """
    What a server tolerates while it is cold.

    :ivar rate: requests per second from all routers together.
    :ivar start_seconds: how long it is cold after it has started.
    :ivar failure_domain: its failure domain.
    :ivar has_engine: whether it is an engine, which may have a scheduler.
    """

    rate: float
    start_seconds: float
    failure_domain: str
    has_engine: bool = False


class ColdServersSection:
    """
    The cold servers, by incarnation.

    Servers of services without a limit are never cold. The limits are written
    by the recorder of cold servers.

    :param allowance: by how much a limit may be exceeded.
    """

    def __init__(self, allowance: ColdAllowance) -> None:
        self._allowance = allowance
        self._limits: Mapping[str, ColdLimit] = {}
        self._periods: dict[str, ColdPeriod] = {}
        self._pacers: dict[str, Pacer] = {}
        self._deferred_until: dict[str, float] = {}
        self._unreported: dict[str, ColdPeriod] = {}
        self._marked = Signal()

    @property
    def allowance(self) -> ColdAllowance:
        """By how much the limits may be exceeded."""
        return self._allowance

    @property
    def is_empty(self) -> bool:
        """Whether no server is cold."""
        return not self._periods

    @property
    def marked(self) -> Signal:
        """Notified when a server has become cold, or is so for longer."""
        return self._marked

    def mark_cold(
        self, incarnation_id: str, until: float, source: ColdSource, now: float
    ) -> None:
        """
        Record that a server is cold; the latest end holds.

        :param until: when it is no longer cold, in monotonic seconds.
        :param source: what shows it.
        """
        if incarnation_id not in self._limits:
            return
        known = self._periods.get(incarnation_id)
        period = extend_period(known, until, source, now)
        if period is None or period == known:
            return
        self._periods[incarnation_id] = period
        if known is None or period.since != known.since:
            self._pacers.pop(incarnation_id, None)
            self._deferred_until.pop(incarnation_id, None)
        elif period.until - known.until < MIN_REPORTED_SECONDS:
            return
        self._unreported[incarnation_id] = period
        self._marked.notify()

    def mark_started(
        self, incarnation_id: str, since: float, source: ColdSource, now: float
    ) -> None:
        """
        Record that a server is cold for as long as one that has started.

        :param since: from when on, in monotonic seconds.
        :param source: what shows it.
        """
        limit = self._limits.get(incarnation_id)
        if limit is not None:
            until = since + limit.start_seconds
            self.mark_cold(incarnation_id, until, source, now)

    def find(self, incarnation_id: str, now: float) -> ColdPeriod | None:
        """Return the period of a server; ``None`` if it is not cold."""
        period = self._periods.get(incarnation_id)
        if period is None or now >= period.until or incarnation_id not in self._limits:
            return None
        return period

    def find_limit(self, incarnation_id: str) -> ColdLimit | None:
        """Return what a server tolerates while cold; ``None`` for no limit."""
        return self._limits.get(incarnation_id)

    def get_limit(self, incarnation_id: str) -> ColdLimit:
        """Return what a cold server tolerates."""
        return self._limits[incarnation_id]

    def count(self, now: float) -> int:
        """Return the number of cold servers."""
        return sum(self.find(name, now) is not None for name in self._periods)

    def replace_limits(self, limits: Mapping[str, ColdLimit], now: float) -> None:
        """
        Replace the limits, and forget the periods that have ended.

        :param limits: limits of the registered servers that have one.
        """
        self._limits = limits
        ended = [
            name
            for name, period in self._periods.items()
            if now >= period.until or not limits
        ]
        for name in ended:
            del self._periods[name]
            self._pacers.pop(name, None)
            self._deferred_until.pop(name, None)

    def take_unreported(self) -> dict[str, ColdPeriod]:
        """Return the periods that began or grew since the last call."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def get_pacer(self, incarnation_id: str, pace: Pace, now: float) -> Pacer:
        """
        Return what paces this router's own requests to a cold server.

        It has saved nothing when the server becomes cold, since others may
        have sent to it just before.

        :param pace: what this router may send.
        """
        pacer = self._pacers.get(incarnation_id)
        if pacer is None:
            since = self._periods[incarnation_id].since
            pacer = self._pacers[incarnation_id] = Pacer(since)
            pacer.set_rate(pace.rate, pace.burst, since)
        pacer.set_rate(pace.rate, pace.burst, now)
        return pacer

    def take(self, incarnation_id: str) -> None:
        """Count a request that is sent to a server."""
        if pacer := self._pacers.get(incarnation_id):
            pacer.take()

    def give_back(self, incarnation_id: str) -> None:
        """Take back a request that did not reach a server."""
        if pacer := self._pacers.get(incarnation_id):
            pacer.give_back()

    def defer(self, incarnation_id: str, until: float) -> None:
        """Record that the scheduler of a server is not asked for a while."""
        self._deferred_until[incarnation_id] = until

    def get_deferred_until(self, incarnation_id: str) -> float:
        """Return from when on the scheduler of a server may be asked."""
        return self._deferred_until.get(incarnation_id, 0.0)
