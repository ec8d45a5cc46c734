"""Passes the news of a large fleet on through collectors."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from mode import Service

from sycamorehaven.decisions.news_routes import (
    choose_collector,
    map_collectors,
    uses_collectors,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Delivery
from sycamorehaven.transport.messages.fleet import (
    CollectedNews,
    FleetNews,
    NewsBatch,
    NewsReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.peer_link import MessageHandler, PeerLink

BATCH_PERIOD_SECONDS = 0.2
"""Interval at which a collector passes on what it has collected."""
EMPTY_BATCH_PERIOD_SECONDS = 0.6
"""Longest time between two batches to a router; an empty one shows that the
collector is alive."""
COLLECTOR_SILENCE_SECONDS = 2.0
"""Time without a batch after which a router reports to another collector."""
SILENCE_MEMORY_SECONDS = 20.0
"""Time for which a router avoids a collector that was silent."""
REMOTE_COLLECTORS_TRIED = 2
"""Collectors of other failure domains that a router tries one after the other
while those of its own are silent."""
REPORTER_LIFETIME_SECONDS = 4.0
"""Time without a report after which a router gets no more batches."""
MAX_COLLECTED_REPORTS = 2_000
"""Reports that a collector holds until its next batch; further ones are
dropped, and made up for by the next refresh of their routers."""


class HeldReport(NamedTuple):
    """
    News that wait for the next batch.

    :ivar report: the news with their router.
    :ivar received_at: when they were received, in monotonic seconds.
    """

    report: CollectedNews
    received_at: float

    def age(self, now: float) -> CollectedNews:
        """Return the news with the age that they have now."""
        news = self.report.news
        held = max(now - self.received_at, 0.0)
        said = tuple(item._replace(age=item.age + held) for item in news.said)
        return self.report._replace(news=news._replace(age=news.age + held, said=said))


class NewsLink(Service):
    """
    A ``PeerLink`` whose broadcasts of news go through collectors.

    In a small fleet news go to each router directly. So they do from a router
    if all collectors are silent. If only those of its failure domain are, it
    reports to one of another failure domain.

    :param board: shared state of this router.
    :param link: messages to and from other routers.
    :param clock: returns monotonic time in seconds.
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
        self._handlers: list[MessageHandler] = []
        self._collectors: dict[str, list[str]] = {}
        # The collector that this router reports to, "" for none or itself,
        # and when it was chosen or last heard, in monotonic seconds.
        self._chosen: tuple[str, float] = "", 0.0
        self._silent_until: dict[str, float] = {}
        self._reporters: dict[str, float] = {}
        self._peer_collectors: dict[str, float] = {}
        self._own_reports: list[HeldReport] = []
        self._other_reports: list[HeldReport] = []
        self._batch_sent_at = 0.0
        link.subscribe(FleetNews, self._dispatch)
        link.subscribe(NewsReport, self._handle_report)
        link.subscribe(NewsBatch, self._handle_batch)
        board.members.changed.subscribe(self._map_collectors)

    def send(self, host: str, message: Any) -> bool:
        """Send a message to a member."""
        return self._link.send(host, message)

    def send_to(self, address: str, message: Any) -> None:
        """Send a message to the peer address of any router."""
        self._link.send_to(address, message)

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to the peer addresses of some routers."""
        self._link.send_to_all(addresses, message)

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with every message of one kind, also collected."""
        if kind is FleetNews:
            self._handlers.append(handler)
        else:
            self._link.subscribe(kind, handler)

    def broadcast(self, message: Any) -> None:
        """Send a message to every other member, news through a collector."""
        if not isinstance(message, FleetNews) or not uses_collectors(
            self._board.members.count()
        ):
            self._link.broadcast(message)
            return
        now, own = self._clock(), self._board.identity
        collector = self._choose_collector(now)
        if collector is None:
            self._link.broadcast(message)
        elif collector == own.host:
            report = CollectedNews(own.host, own.incarnation, message)
            self._hold(self._own_reports, report, now)
        else:
            self._link.send(collector, NewsReport(message))

    def _choose_collector(self, now: float) -> str | None:
        """Return the collector to report to, after a silent one another."""
        self._update_silent_collectors(now)
        chosen = self._chosen[0]
        own = self._board.members.own
        local = self._collectors.get(own.failure_domain, [])
        collector = choose_collector(own.host, local, self._silent_until)
        silent_elsewhere = self._silent_until.keys() - set(local)
        if collector is None and len(silent_elsewhere) < REMOTE_COLLECTORS_TRIED:
            remote = [host for hosts in self._collectors.values() for host in hosts]
            collector = choose_collector(own.host, remote, self._silent_until)
        if collector != chosen or chosen in self._silent_until:
            self._chosen = (
                ("", 0.0) if collector in (None, own.host) else (str(collector), now)
            )
        return collector

    def _update_silent_collectors(self, now: float) -> None:
        self._silent_until = {
            host: until for host, until in self._silent_until.items() if now < until
        }
        chosen, heard_at = self._chosen
        if chosen and now - heard_at > COLLECTOR_SILENCE_SECONDS:
            self._silent_until[chosen] = now + SILENCE_MEMORY_SECONDS

    def _map_collectors(self) -> None:
        self._collectors = map_collectors(self._board.members.map_failure_domains())

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.send_batches()
            await asyncio.sleep(BATCH_PERIOD_SECONDS)

    def send_batches(self) -> None:
        """Pass on what was collected, to routers and other collectors."""
        now = self._clock()
        self._reporters = _drop_old(self._reporters, now)
        self._peer_collectors = _drop_old(self._peer_collectors, now)
        own = [held.age(now) for held in self._own_reports]
        others = [held.age(now) for held in self._other_reports]
        self._own_reports, self._other_reports = [], []
        is_due = now - self._batch_sent_at >= EMPTY_BATCH_PERIOD_SECONDS
        if not (own or others or (is_due and self._reporters)):
            return
        self._batch_sent_at = now
        batch = NewsBatch([*own, *others], passed_on=False)
        self._link.send_to_all(self._reporters, batch)
        if own:
            collectors = self._list_other_collectors()
            self._link.send_to_all(collectors, NewsBatch(own, passed_on=True))

    def _list_other_collectors(self) -> set[str]:
        """
        Return the addresses of the other collectors.

        Those that this router heard of late, or knows only by their batches,
        are among them.
        """
        members = self._board.members
        hosts = {host for hosts in self._collectors.values() for host in hosts}
        known = {member.address for host in hosts if (member := members.find(host))}
        return (known | self._peer_collectors.keys()) - {members.own.address}

    def _handle_report(self, delivery: Delivery) -> None:
        message: NewsReport = delivery.message
        now = self._clock()
        self._reporters[delivery.address] = now
        sender = delivery.sender
        report = CollectedNews(sender.host, sender.incarnation, message.news)
        self._hold(self._own_reports, report, now)
        self._dispatch(delivery._replace(message=message.news))

    def _handle_batch(self, delivery: Delivery) -> None:
        batch: NewsBatch = delivery.message
        now, own_host = self._clock(), self._board.identity.host
        if delivery.sender.host == self._chosen[0]:
            self._chosen = self._chosen[0], now
        self._silent_until.pop(delivery.sender.host, None)
        if batch.passed_on:
            self._peer_collectors[delivery.address] = now
        for report in batch.reports:
            if report.host == own_host:
                continue
            if batch.passed_on:
                self._hold(self._other_reports, report, now)
            member = self._board.members.find(report.host)
            address = member.address if member else delivery.address
            sender = RouterId(report.host, report.incarnation)
            self._dispatch(Delivery(sender, address, report.news))

    def _hold(
        self, reports: list[HeldReport], report: CollectedNews, now: float
    ) -> None:
        if len(reports) < MAX_COLLECTED_REPORTS:
            reports.append(HeldReport(report, now))
        else:
            self._board.control_traffic.count_dropped("collector_full")

    def _dispatch(self, delivery: Delivery) -> None:
        for handler in self._handlers:
            handler(delivery)


def _drop_old(heard_at: dict[str, float], now: float) -> dict[str, float]:
    return {
        address: at
        for address, at in heard_at.items()
        if now - at < REPORTER_LIFETIME_SECONDS
    }
