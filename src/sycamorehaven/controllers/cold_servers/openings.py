"""When a cold server takes the next request of this router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sycamorehaven.decisions.cold_servers.paces import (
    choose_sender_pace,
    choose_senders,
)
from sycamorehaven.decisions.news_routes import uses_collectors
from sycamorehaven.decisions.server_openings import (
    ALWAYS_OPEN,
    OPEN_BY_ADMISSION,
    Opening,
)

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.cold_servers import ColdLimit
    from sycamorehaven.decisions.cold_servers.periods import ColdPeriod
    from sycamorehaven.routing.model import ServerRecord

SILENT_SCHEDULER_SECONDS = 1.0
"""Time after which an engine whose scheduler is silent is looked at again."""


class SchedulerFinder(Protocol):
    """Finds the routers that admit requests to engines."""

    def find_scheduler(self, server: ServerRecord, now: float) -> str | None:
        """Return the host to ask for admission to an engine, if any."""


class ColdOpenings:
    """
    Opens and closes cold servers to the requests of this router.

    :param board: shared state of this router.
    :param schedulers: finds the schedulers of engines; ``None`` if there are
        none.
    """

    def __init__(self, board: Blackboard, schedulers: SchedulerFinder | None) -> None:
        self._board = board
        self._schedulers = schedulers
        self._senders: dict[str, list[str]] = {}
        board.members.changed.subscribe(self._senders.clear)
        board.routing.changed.subscribe(self._senders.clear)

    def find_opening(
        self, server: ServerRecord, now: float, *, is_admitted: bool
    ) -> Opening:
        """
        Return when a server takes the next request.

        :param is_admitted: whether its scheduler has admitted the request.
        """
        section = self._board.cold_servers
        period = section.find(server.incarnation_id, now)
        if period is None:
            return ALWAYS_OPEN
        limit = section.get_limit(server.incarnation_id)
        if not self._has_scheduler_role(limit):
            return self._find_own_opening(server, period, limit, now)
        if is_admitted:
            return OPEN_BY_ADMISSION
        return self._find_scheduled_opening(server, period, limit, now)

    def _has_scheduler_role(self, limit: ColdLimit) -> bool:
        """Return whether some router admits all requests to an engine."""
        return (
            limit.has_engine
            and self._schedulers is not None
            and uses_collectors(self._board.members.count())
        )

    def _find_scheduled_opening(
        self, server: ServerRecord, period: ColdPeriod, limit: ColdLimit, now: float
    ) -> Opening:
        """Return when the scheduler of a cold engine may be asked."""
        assert self._schedulers is not None
        part = limit.rate / self._board.members.count()
        if self._schedulers.find_scheduler(server, now) is None:
            asked_at = now + SILENT_SCHEDULER_SECONDS
            return Opening(min(asked_at, period.until), "cold", part)
        asked_at = self._board.cold_servers.get_deferred_until(server.incarnation_id)
        if now < asked_at:
            return Opening(min(asked_at, period.until), "cold", part)
        return OPEN_BY_ADMISSION

    def _find_own_opening(
        self, server: ServerRecord, period: ColdPeriod, limit: ColdLimit, now: float
    ) -> Opening:
        """Return when this router may send to a server without a scheduler."""
        section, own = self._board.cold_servers, self._board.members.own.host
        senders = self._senders.get(server.id)
        if senders is None:
            hosts = self._board.members.map_failure_domains()
            senders = self._senders[server.id] = choose_senders(
                server.id, hosts, limit.rate, section.allowance
            )
        if own not in senders:
            # The rate is that of a warm server, which is not known here.
            part = limit.rate / self._board.members.count()
            return Opening(period.until, "cold", part)
        pace = choose_sender_pace(limit.rate, section.allowance)
        at = section.get_pacer(server.incarnation_id, pace, now).get_opening(now)
        if at <= now:
            return Opening(at, rate=pace.rate)
        return Opening(min(at, period.until), "cold", pace.rate)
