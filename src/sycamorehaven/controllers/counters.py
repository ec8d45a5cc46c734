"""Shares this router's totals of service with those who need them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.counters import CounterKey
from sycamorehaven.decisions.counter_rows import Total, expand_rows, shorten_rows
from sycamorehaven.decisions.recipients import AbsenceLog, map_schedulers
from sycamorehaven.decisions.sharing import (
    ROW_BYTES,
    UPDATE_BYTES,
    PeerFeed,
    Place,
    Reading,
    SharingPolicy,
    allot_rows,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.counters import (
    CounterAck,
    CounterRequest,
    CounterUpdate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import Version
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

POLICY = SharingPolicy(period=0.05, threshold=0.05, ride_along=0.25, refresh=30.0)
"""How totals are shared: the winner of ``benchmarks.sharing``."""
PEERS_IN_ROUND = 5
"""Peers that one round looks at; more take turns."""
BYTES_PER_SECOND = 6_000.0
"""Control traffic that updates may take, whatever the count of peers; what is
not used may be saved for a second."""
REQUEST_PERIOD = 1.0
"""Seconds between two requests."""
REQUESTS = 4
"""Schedulers of a service that a new one asks, one after the other."""
CLEANING_PERIOD = 5.0
"""Seconds between two looks for totals to forget."""
ANSWER_ROWS = 256
"""Rows in one message of an answer to a request."""
MOST_ANSWERED = 2_048
"""Rows in all messages of an answer; the largest totals go first."""


class CounterController(Service):
    """
    Sends own totals, merges those of others and folds those of the gone.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
    :param policy: how totals are shared.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
        policy: SharingPolicy = POLICY,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._policy = policy
        self._readings: dict[str, dict[Place, Reading]] = {}
        self._feeds: dict[RouterId, PeerFeed] = {}
        self._heard: dict[RouterId, int] = {}
        self._absences = AbsenceLog()
        self._assigned_for: tuple[Version, dict[str, str]] | None = None
        self._schedulers: dict[str, set[str]] = {}
        self._requests: dict[str, int] = {}
        self._sequence = 0
        self._turn = 0
        self._allowance = 0.0
        self._shared_at = 0.0
        self._requested_at = 0.0
        self._cleaned_at = 0.0
        link.subscribe(CounterUpdate, self._take_update)
        link.subscribe(CounterAck, self._take_ack)
        link.subscribe(CounterRequest, self._take_request)
        board.members.changed.subscribe(self._assign)
        board.configuration.changed.subscribe(self._assign)

    @property
    def feeds(self) -> Mapping[RouterId, PeerFeed]:
        """What each recipient has been told."""
        return self._feeds

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._policy.period)
            self.run_round()

    def run_round(self) -> None:
        """Tell recipients what is due, and ask for what is missing."""
        now = self._clock()
        self._share(now)
        if now - self._requested_at >= REQUEST_PERIOD:
            self._requested_at = now
            self._request()
        if now - self._cleaned_at >= CLEANING_PERIOD:
            self._cleaned_at = now
            self._clean(now)

    def _assign(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        if self._assigned_for != (configuration.version, domains):
            self._assigned_for = configuration.version, domains
            self._place(map_schedulers(configuration, domains))
        live = {RouterId(m.host, m.incarnation) for m in self._board.members.list()}
        self._board.counters.retain_reserved(live)
        self._heard = {
            router: number for router, number in self._heard.items() if router in live
        }
        self._feeds = {
            router: self._feeds.get(router) or self._create_feed()
            for router in self._list_recipients()
        }

    def _create_feed(self) -> PeerFeed:
        own = self._board.counters.own_totals
        return PeerFeed(
            self._policy, {Place(*key): total for key, total in own.items()}
        )

    def _place(self, schedulers: dict[str, set[str]]) -> None:
        known, self._schedulers = self._schedulers, schedulers
        own = self._board.identity.host
        for service, hosts in self._schedulers.items():
            if own not in hosts:
                self._requests.pop(service, None)
            elif own not in known.get(service, ()):
                self._requests[service] = 0

    def _list_recipients(self) -> list[RouterId]:
        own = self._board.identity.host
        hosts = set().union(*self._schedulers.values()) - {own}
        found = [self._board.members.find(host) for host in sorted(hosts)]
        return [RouterId(m.host, m.incarnation) for m in found if m is not None]

    def _share(self, now: float) -> None:
        self._read_totals(now)
        readings = self._readings
        scales = self._map_scales()
        ranked = {}
        for router in self._take_turns():
            feed = self._feeds[router]
            feed.expire(now)
            wanted: dict[Place, Reading] = {}
            for service, rows in readings.items():
                if router.host in self._schedulers.get(service, ()):
                    wanted.update(rows)
            ranked[router] = feed.rank(wanted, scales, now)
        earned = BYTES_PER_SECOND * (now - self._shared_at)
        self._allowance = min(self._allowance + earned, BYTES_PER_SECOND)
        self._shared_at = now
        for router, places in allot_rows(ranked, self._allowance).items():
            self._allowance -= UPDATE_BYTES + ROW_BYTES * len(places)
            told = {place: readings[place.service][place] for place in places}
            self._tell(router, told)

    def _read_totals(self, now: float) -> None:
        totals, reserved = (
            self._board.counters.own_totals,
            self._board.counters.own_reserved,
        )
        for key in (*totals, *(key for key in reserved if key not in totals)):
            total, running = totals.get(key, 0.0), reserved.get(key, 0.0)
            rows = self._readings.setdefault(key[0], {})
            known = rows.get(key)  # type: ignore[call-overload]
            if known is None or (known.total, known.reserved) != (total, running):
                rows[Place(*key)] = Reading(total, 0.0, now, running)

    def _take_turns(self) -> list[RouterId]:
        routers = list(self._feeds)
        if len(routers) <= PEERS_IN_ROUND:
            return routers
        self._turn = (self._turn + PEERS_IN_ROUND) % len(routers)
        return (routers[self._turn :] + routers)[:PEERS_IN_ROUND]

    def _map_scales(self) -> dict[str, float]:
        configuration = self._board.configuration.current
        if configuration is None:
            return {}
        return {s.name: s.largest_cost for s in configuration.services.values()}

    def _tell(self, router: RouterId, told: dict[Place, Reading]) -> None:
        self._sequence += 1
        feed = self._feeds[router]
        feed.record(self._sequence, told, self._clock())
        own = self._board.identity
        totals = [
            Total(own, place, reading.total, feed.find_base(place), reading.reserved)
            for place, reading in told.items()
        ]
        update = CounterUpdate(self._sequence, shorten_rows(own, totals))
        self._link.send(router.host, update)

    def _request(self) -> None:
        due = [name for name, tries in self._requests.items() if tries < REQUESTS]
        own = self._board.identity.host
        wanted: dict[str, list[str]] = {}
        for service in due:
            hosts = sorted(self._schedulers[service] - {own})
            if hosts:
                host = hosts[self._requests[service] % len(hosts)]
                wanted.setdefault(host, []).append(service)
                self._requests[service] += 1
        for host, services in wanted.items():
            self._link.send(host, CounterRequest(services))

    def _clean(self, now: float) -> None:
        counters = self._board.counters
        live = {m.host: m.incarnation for m in self._board.members.list()}
        gone = self._absences.advance(list(counters.schedulers), live, now)
        for router, may_return in gone.items():
            counters.fold(router, may_return=may_return)
        configuration = self._board.configuration.current
        if configuration is not None:
            counters.retain(configuration.services, configuration.workspaces)

    def _take_update(self, delivery: Delivery) -> None:
        update: CounterUpdate = delivery.message
        counters, sender = self._board.counters, delivery.sender
        newer = update.sequence > self._heard.get(sender, 0)
        if newer:
            self._heard[sender] = update.sequence
        for total in expand_rows(sender, update.rows):
            if total.scheduler == self._board.identity:
                continue
            key = CounterKey(total.scheduler, *total.place)
            counters.merge(key, total.total, total.base)
            if newer and total.scheduler == sender:
                counters.note_reserved(key, total.reserved)
        if update.sequence:
            self._link.send(delivery.sender.host, CounterAck(update.sequence))

    def _take_ack(self, delivery: Delivery) -> None:
        feed = self._feeds.get(delivery.sender)
        if feed is not None:
            feed.acknowledge(delivery.message.sequence)

    def _take_request(self, delivery: Delivery) -> None:
        services = set(delivery.message.services)
        counters = self._board.counters
        live = {RouterId(m.host, m.incarnation) for m in self._board.members.list()}
        totals = [
            Total(key.scheduler, Place(key.service, key.workspace), total, total)
            for key, total in counters.totals.items()
            if key.service in services and key.scheduler not in live
        ]
        totals.sort(key=lambda total: -total.total)
        del totals[MOST_ANSWERED:]
        for start in range(0, len(totals) or 1, ANSWER_ROWS):
            rows = shorten_rows(
                self._board.identity, totals[start : start + ANSWER_ROWS]
            )
            self._link.send(delivery.sender.host, CounterUpdate(0, rows))
