"""Tells other routers what this one placed, and hears it from them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.fleet import Contention
from sycamorehaven.decisions.server_model import RemoteLoad
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    PlacedPart,
    ServerShare,
    ServiceContention,
    WorkspaceUsage,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

PERIOD_PER_MEMBER = 0.005
"""Seconds between two tellings for each router that is told."""
LARGE_FLEET = 20
"""Routers from which each is told half as often."""
SHORTEST_PERIOD = 0.02
"""Seconds between two tellings, at least."""
REFRESH_PERIOD = 0.5
"""Seconds after which everything is told again; messages may be lost."""


def choose_period(members: int) -> float:
    """
    Return the seconds between two tellings.

    What a router spends on reading the others' is the same in a fleet of any
    size, and half of that in a large one.
    """
    factor = 2.0 if members >= LARGE_FLEET else 1.0
    return max(members * PERIOD_PER_MEMBER * factor, SHORTEST_PERIOD)


class FleetNewsController(Service):
    """
    Exchanges load, placements and use of shares.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._refreshed_at = 0.0
        self._told: dict[str, tuple[int, int]] = {}
        self._heard: dict[tuple[RouterId, str], tuple[int, int]] = {}
        link.subscribe(FleetNews, self._take)
        board.members.changed.subscribe(self._forget_dead)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tell()
            await asyncio.sleep(choose_period(len(self._board.members.list())))

    def tell(self) -> None:
        """Tell every other router what has changed."""
        news = self._compose()
        if news is None:
            return
        self._link.broadcast(news)

    def _compose(self) -> FleetNews | None:
        fleet, now = self._board.fleet, self._clock()
        refresh = now - self._refreshed_at >= REFRESH_PERIOD
        touched, placed = fleet.take_news()
        contended = fleet.list_contended(now)
        names = sorted(self._board.routing.list_ids()) if refresh else touched
        if refresh:
            self._refreshed_at = now
        elif not touched and not placed and not contended:
            return None
        shares = []
        for name in names:
            model = fleet.find_model(name)
            if model.running or name in touched:
                shares.append(
                    ServerShare(
                        name,
                        model.running,
                        int(model.unread),
                        round(model.concurrency.limit, 2),
                    )
                )
        routing = self._board.routing
        return FleetNews(
            routing.revision,
            max(now - routing.read_at, 0.0),
            shares,
            [PlacedPart(*part) for part in placed],
            self._list_usage(),
            [
                ServiceContention(service, one.satisfaction, one.waiting)
                for service, one in contended.items()
            ],
        )

    def _list_usage(self) -> list[WorkspaceUsage]:
        fleet, changed = self._board.fleet, []
        for workspace, asked in fleet.asked.items():
            total = asked, fleet.given[workspace]
            if self._told.get(workspace) != total:
                self._told[workspace] = total
                changed.append(WorkspaceUsage(workspace, *total))
        return changed

    def _forget_dead(self) -> None:
        live = {RouterId(m.host, m.incarnation) for m in self._board.members.list()}
        self._heard = {
            key: total for key, total in self._heard.items() if key[0] in live
        }

    def _take(self, delivery: Delivery) -> None:
        news: FleetNews = delivery.message
        fleet, now = self._board.fleet, self._clock()
        for share in news.servers:
            load = RemoteLoad(share.running, share.unread, now)
            model = fleet.find_model(share.server)
            model.note_remote(delivery.sender.host, load)
            model.concurrency.hear(share.limit, share.running, model.running)
        for part in news.placed:
            fleet.find_model(part.server).cache.note([(part.key, part.tokens)])
        for usage in news.usage:
            self._add_usage(delivery.sender, usage, now)
        host = delivery.sender.host
        for service, satisfaction, waiting in news.contended:
            contention = Contention(satisfaction, waiting, now)
            fleet.note_contention(service, contention, host)
        if news.servers:
            fleet.changed.notify()

    def _add_usage(self, sender: RouterId, usage: WorkspaceUsage, now: float) -> None:
        key = sender, usage.workspace
        known = self._heard.get(key)
        self._heard[key] = usage.asked, usage.given
        if known is None:
            return
        asked, given = usage.asked - known[0], usage.given - known[1]
        if asked > 0 or given > 0:
            self._board.fleet.usage.add(usage.workspace, asked, given, now)
