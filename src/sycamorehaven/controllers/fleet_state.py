"""
Exchanges the load of backend servers between routers of published routes.

Each router broadcasts which requests it has placed, what its workspaces have
used and for which services requests wait, and merges the same from others.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.fleet_load import Contention
from sycamorehaven.decisions.news_routes import (
    COLLECTION_DELAY_SECONDS,
    REPORT_LIFETIME_PERIODS,
    choose_broadcast_period_seconds,
    choose_report_lifetime_seconds,
    choose_settle_seconds,
    uses_collectors,
)
from sycamorehaven.decisions.server_model import RemoteLoad
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    PlacedPart,
    SaidOfItself,
    ServerLoad,
    ServerResults,
    ServiceContention,
    ServiceDemand,
    WorkspaceUsage,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.server_conditions import ServerConditionRecorder
    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

DEMAND_PERIOD_SECONDS = 0.2
"""Longest time between two reports while a server names a limit, if a report
can be sent that often."""
DEMAND_REFRESH_PER_MEMBER_SECONDS = 0.02
"""Time after which an unchanged demand is told again, for each member."""
SAID_REFRESH_SECONDS = 2.0
"""Shortest time after which what a server has said is told again, in case
messages were lost or routers have joined."""
SAID_REFRESH_PER_MEMBER_SECONDS = 0.05
"""The same time for each member of the fleet."""
MIN_CONTENTION_LIFETIME_SECONDS = 0.3
"""Shortest time for which reported waiting requests count."""
MIN_LOAD_LIFETIME_SECONDS = 2.0
"""Shortest time for which the reported load of a server counts."""
REFRESH_PERIOD_SECONDS = 0.5
"""Shortest interval at which all load is sent again in case messages were
lost."""
REFRESH_PERIOD_PER_MEMBER_SECONDS = 0.005
"""The same interval for each member of the fleet."""


def choose_refresh_period_seconds(members: int) -> float:
    """Return the interval at which all load is sent again, in seconds."""
    return max(members * REFRESH_PERIOD_PER_MEMBER_SECONDS, REFRESH_PERIOD_SECONDS)


def choose_load_lifetime_seconds(members: int) -> float:
    """
    Return how long the reported load of a server counts, in seconds.

    A load that has not changed is only reported again by the next refresh.

    :param members: number of members of the fleet.
    """
    lifetime = choose_refresh_period_seconds(members) * REPORT_LIFETIME_PERIODS
    if uses_collectors(members):
        lifetime += COLLECTION_DELAY_SECONDS
    return max(lifetime, MIN_LOAD_LIFETIME_SECONDS)


class FleetStateController(Service):
    """
    Broadcasts this router's load, placements and usage and merges others'.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param recorder: records what other routers heard servers say.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        recorder: ServerConditionRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._recorder = recorder
        self._limited_services: set[str] = set()
        self._demands_told_at = 0.0
        self._sent_demands: dict[str, tuple[float, float]] = {}
        self._last_refresh_at = 0.0
        self._had_contended = False
        self._sent_usage: dict[str, tuple[int, int]] = {}
        self._received_usage: dict[str, tuple[int, dict[str, tuple[int, int]]]] = {}
        link.subscribe(FleetNews, self._handle_news)
        board.members.changed.subscribe(self._forget_dead_routers)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.broadcast_changes()
            await asyncio.sleep(
                choose_broadcast_period_seconds(self._board.members.count())
            )

    def broadcast_changes(self) -> None:
        """Send what has changed, if anything has, to every other router."""
        news = self._compose_news()
        if news is None:
            return
        self._link.broadcast(news)

    def _compose_news(self) -> FleetNews | None:
        fleet_load, now = self._board.fleet_load, self._clock()
        members = self._board.members.count()
        is_refresh = now - self._last_refresh_at >= choose_refresh_period_seconds(
            members
        )
        changed_servers, placements = fleet_load.take_pending_updates()
        contended = fleet_load.list_own_contentions(now)
        self._update_limited_services()
        said = self._list_said(members, now)
        results = tuple(
            ServerResults(*report)
            for report in self._board.plain_servers.take_reports(members, now)
        )
        through_collectors = uses_collectors(members)
        # Through collectors, reported requests count for long, so a report
        # without any ends them.
        ends_contention = self._had_contended and through_collectors
        if is_refresh:
            self._last_refresh_at = now
        elif not (
            changed_servers
            or placements
            or contended
            or ends_contention
            or said
            or results
            or (
                self._limited_services
                and now - self._demands_told_at >= DEMAND_PERIOD_SECONDS
            )
        ):
            return None
        self._had_contended = bool(contended)
        # Reports are rare in a large fleet, and routers agree on the limits of
        # engines only as often as they hear of them.
        names = (
            sorted(self._board.routing.list_server_ids())
            if is_refresh or through_collectors
            else changed_servers
        )
        routing = self._board.routing
        return FleetNews(
            routing.revision,
            max(now - routing.read_at, 0.0),
            self._list_server_loads(names, changed_servers),
            [PlacedPart(*part) for part in placements],
            self._list_changed_usage(),
            [
                ServiceContention(
                    service, contention.fill_level, contention.waiting_requests
                )
                for service, contention in contended
            ],
            routing.position[0],
            self._tell_demands(members, now),
            said,
            results,
        )

    def _update_limited_services(self) -> None:
        """Find the services of which a server names a limit."""
        conditions = self._board.server_conditions
        limited = conditions.list_limited_services(self._board.routing.list_servers())
        for service in self._limited_services - limited:
            conditions.get_shares(service).forget_demands()
            self._sent_demands.pop(service, None)
        self._limited_services = limited

    def _tell_demands(self, members: int, now: float) -> tuple[ServiceDemand, ...]:
        """
        Return the demand for the limited services, as far as others need it.

        A demand that has not changed is told again now and then, in case a
        message was lost or a router has joined.
        """
        settle_seconds = choose_settle_seconds(members)
        if now - self._demands_told_at > settle_seconds:
            # The others may have given away the part of a silent router.
            self._sent_demands.clear()
        self._demands_told_at = now
        refresh_seconds = members * DEMAND_REFRESH_PER_MEMBER_SECONDS
        demands = []
        for service in sorted(self._limited_services):
            shares = self._board.server_conditions.get_shares(service)
            rate = shares.tell_demand(settle_seconds, members, now)
            sent_rate, sent_at = self._sent_demands.get(service, (0.0, 0.0))
            if rate != sent_rate or now - sent_at >= refresh_seconds:
                self._sent_demands[service] = rate, now
                demands.append(ServiceDemand(service, rate))
        return tuple(demands)

    def _list_said(self, members: int, now: float) -> tuple[SaidOfItself, ...]:
        """Return what servers have said of themselves and others must hear."""
        section = self._board.server_conditions
        refresh_seconds = max(
            SAID_REFRESH_SECONDS, members * SAID_REFRESH_PER_MEMBER_SECONDS
        )
        said = []
        for name in section.take_news(refresh_seconds, now):
            conditions = section.get(name).conditions
            limit = conditions.limit
            said.append(
                SaidOfItself(
                    name,
                    limit.rate,
                    max(now - limit.said_at, 0.0),
                    conditions.leaving_since is not None,
                )
            )
        return tuple(said)

    def _list_server_loads(
        self, names: Collection[str], changed_servers: Collection[str]
    ) -> list[ServerLoad]:
        """Return the loads of servers that this router uses or has left."""
        server_loads = []
        for name in names:
            model = self._board.fleet_load.find_model(name)
            if model.own_requests or name in changed_servers:
                server_loads.append(
                    ServerLoad(
                        name,
                        model.own_requests,
                        int(model.own_pending_tokens),
                        round(model.concurrency.limit, 2),
                    )
                )
        return server_loads

    def _list_changed_usage(self) -> list[WorkspaceUsage]:
        fleet_load, changed = self._board.fleet_load, []
        for workspace, asked in fleet_load.demanded_tokens.items():
            total = asked, fleet_load.received_tokens[workspace]
            if self._sent_usage.get(workspace) != total:
                self._sent_usage[workspace] = total
                changed.append(WorkspaceUsage(workspace, *total))
        return changed

    def _forget_dead_routers(self) -> None:
        live = {member.host for member in self._board.members.list()}
        self._board.fleet_load.retain_contentions(live)
        self._received_usage = {
            host: usage for host, usage in self._received_usage.items() if host in live
        }

    def _handle_news(self, delivery: Delivery) -> None:
        with self._board.workload.measure("news"):
            self._merge_news(delivery)

    def _merge_news(self, delivery: Delivery) -> None:
        news: FleetNews = delivery.message
        fleet_load, now = self._board.fleet_load, self._clock()
        members = self._board.members.count()
        load_expires_at = now + choose_load_lifetime_seconds(members)
        for server_load in news.servers:
            load = RemoteLoad(server_load.running, server_load.unread, load_expires_at)
            model = fleet_load.find_model(server_load.server)
            model.update_remote_load(delivery.sender.host, load)
            model.concurrency.blend_peer_limit(
                server_load.limit, server_load.running, model.own_requests
            )
        for part in news.placed:
            fleet_load.find_model(part.server).prefix_cache.record_prompt(
                [(part.key, part.tokens)]
            )
        for usage in news.usage:
            self._record_usage(delivery.sender, usage, now)
        expires_at = now + choose_report_lifetime_seconds(
            members, MIN_CONTENTION_LIFETIME_SECONDS
        )
        contentions: dict[str, list[Contention]] = {}
        for service, fill_level, waiting in news.contended:
            contention = Contention(fill_level, waiting, expires_at)
            contentions.setdefault(service, []).append(contention)
        fleet_load.replace_contentions(delivery.sender.host, contentions)
        for said in news.said:
            self._recorder.record_news(said, delivery.sender.host)
        self._record_demands(delivery.sender.host, news, now)
        self._record_results(delivery.sender.host, news, now)
        if news.servers:
            fleet_load.changed.notify()

    def _record_demands(self, host: str, news: FleetNews, now: float) -> None:
        conditions = self._board.server_conditions
        for demand in news.demands:
            conditions.get_shares(demand.service).record_demand(host, demand.rate, now)
        for service in self._limited_services:
            conditions.get_shares(service).record_heard(host, now)

    def _record_results(self, host: str, news: FleetNews, now: float) -> None:
        """Add what another router tells of plain servers."""
        member = self._board.members.find(host)
        if member is None:
            return
        for result in news.results:
            self._board.plain_servers.add_results(
                result.server,
                member.failure_domain,
                result.answered,
                result.failed,
                now,
            )

    def _record_usage(
        self, sender: RouterId, usage: WorkspaceUsage, now: float
    ) -> None:
        incarnation, totals = self._received_usage.get(sender.host, (0, {}))
        if incarnation != sender.incarnation:
            totals = {}
            self._received_usage[sender.host] = sender.incarnation, totals
        previous = totals.get(usage.workspace)
        totals[usage.workspace] = usage.asked, usage.given
        if previous is None:
            return
        asked, given = usage.asked - previous[0], usage.given - previous[1]
        if asked or given:
            self._board.fleet_load.usage_window.add(usage.workspace, asked, given, now)
