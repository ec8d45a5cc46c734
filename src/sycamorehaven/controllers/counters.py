"""Shares this router's totals of service with those who need them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.counters import CounterKey
from sycamorehaven.decisions.counter_rows import (
    SchedulerTotal,
    decode_rows,
    encode_rows,
)
from sycamorehaven.decisions.counter_updates import (
    ROW_BYTES,
    UPDATE_OVERHEAD_BYTES,
    PeerUpdateTracker,
    TotalKey,
    TotalSample,
    UpdatePolicy,
    allocate_rows,
)
from sycamorehaven.decisions.service_schedulers import AbsenceTracker, map_schedulers
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

SHARING_POLICY = UpdatePolicy(
    period=0.05, threshold=0.05, piggyback_ratio=0.25, refresh=30.0
)
"""How totals are shared: the winner of ``benchmarks.sharing``."""
MAX_PEERS_PER_ROUND = 5
"""Peers that one round looks at; more take turns."""
MAX_UPDATE_BYTES_PER_SECOND = 6_000.0
"""Control traffic that updates may take, whatever the count of peers; what is
not used may be saved for a second."""
REQUEST_PERIOD_SECONDS = 1.0
"""Seconds between two requests."""
MAX_REQUESTS_PER_SERVICE = 4
"""Schedulers of a service that a new one asks, one after the other."""
CLEANUP_PERIOD_SECONDS = 5.0
"""Seconds between two looks for totals to forget."""
MAX_ROWS_PER_REPLY_MESSAGE = 256
"""Rows in one message of an answer to a request."""
MAX_ROWS_PER_REPLY = 2_048
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
        policy: UpdatePolicy = SHARING_POLICY,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._policy = policy
        self._readings: dict[str, dict[TotalKey, TotalSample]] = {}
        self._feeds: dict[RouterId, PeerUpdateTracker] = {}
        self._last_received_sequences: dict[RouterId, int] = {}
        self._absences = AbsenceTracker()
        self._assignment_inputs: tuple[Version, dict[str, str]] | None = None
        self._schedulers: dict[str, set[str]] = {}
        self._request_counts: dict[str, int] = {}
        self._update_sequence = 0
        self._next_peer_index = 0
        self._byte_allowance = 0.0
        self._shared_at = 0.0
        self._requested_at = 0.0
        self._cleaned_up_at = 0.0
        link.subscribe(CounterUpdate, self._handle_update)
        link.subscribe(CounterAck, self._handle_ack)
        link.subscribe(CounterRequest, self._handle_request)
        board.members.changed.subscribe(self._update_recipients)
        board.configuration.changed.subscribe(self._update_recipients)

    @property
    def feeds(self) -> Mapping[RouterId, PeerUpdateTracker]:
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
        self._share_totals(now)
        if now - self._requested_at >= REQUEST_PERIOD_SECONDS:
            self._requested_at = now
            self._send_requests()
        if now - self._cleaned_up_at >= CLEANUP_PERIOD_SECONDS:
            self._cleaned_up_at = now
            self._clean_up(now)

    def _update_recipients(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        if self._assignment_inputs != (configuration.version, domains):
            self._assignment_inputs = configuration.version, domains
            self._update_schedulers(map_schedulers(configuration, domains))
        live = {RouterId(m.host, m.incarnation) for m in self._board.members.list()}
        self._board.counters.retain_reserved(live)
        self._last_received_sequences = {
            router: number
            for router, number in self._last_received_sequences.items()
            if router in live
        }
        self._feeds = {
            router: self._feeds.get(router) or self._create_feed()
            for router in self._list_recipients()
        }

    def _create_feed(self) -> PeerUpdateTracker:
        own = self._board.counters.own_totals
        return PeerUpdateTracker(
            self._policy, {TotalKey(*key): total for key, total in own.items()}
        )

    def _update_schedulers(self, schedulers: dict[str, set[str]]) -> None:
        previous, self._schedulers = self._schedulers, schedulers
        own = self._board.identity.host
        for service, hosts in self._schedulers.items():
            if own not in hosts:
                self._request_counts.pop(service, None)
            elif own not in previous.get(service, ()):
                self._request_counts[service] = 0

    def _list_recipients(self) -> list[RouterId]:
        own = self._board.identity.host
        hosts = set().union(*self._schedulers.values()) - {own}
        members = [self._board.members.find(host) for host in sorted(hosts)]
        return [RouterId(m.host, m.incarnation) for m in members if m is not None]

    def _share_totals(self, now: float) -> None:
        self._read_totals(now)
        readings = self._readings
        largest_costs = self._map_largest_costs()
        ranked = {}
        for router in self._select_peers():
            feed = self._feeds[router]
            feed.expire_unacknowledged(now)
            readings_for_peer: dict[TotalKey, TotalSample] = {}
            for service, rows in readings.items():
                if router.host in self._schedulers.get(service, ()):
                    readings_for_peer.update(rows)
            ranked[router] = feed.rank_rows(readings_for_peer, largest_costs, now)
        earned_bytes = MAX_UPDATE_BYTES_PER_SECOND * (now - self._shared_at)
        self._byte_allowance = min(
            self._byte_allowance + earned_bytes, MAX_UPDATE_BYTES_PER_SECOND
        )
        self._shared_at = now
        for router, places in allocate_rows(ranked, self._byte_allowance).items():
            self._byte_allowance -= UPDATE_OVERHEAD_BYTES + ROW_BYTES * len(places)
            sent_readings = {place: readings[place.service][place] for place in places}
            self._send_update(router, sent_readings)

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
                rows[TotalKey(*key)] = TotalSample(total, 0.0, now, running)

    def _select_peers(self) -> list[RouterId]:
        routers = list(self._feeds)
        if len(routers) <= MAX_PEERS_PER_ROUND:
            return routers
        self._next_peer_index = (self._next_peer_index + MAX_PEERS_PER_ROUND) % len(
            routers
        )
        return (routers[self._next_peer_index :] + routers)[:MAX_PEERS_PER_ROUND]

    def _map_largest_costs(self) -> dict[str, float]:
        configuration = self._board.configuration.current
        if configuration is None:
            return {}
        return {s.name: s.largest_cost for s in configuration.services.values()}

    def _send_update(
        self, router: RouterId, sent_readings: dict[TotalKey, TotalSample]
    ) -> None:
        self._update_sequence += 1
        feed = self._feeds[router]
        feed.record_sent(self._update_sequence, sent_readings, self._clock())
        own = self._board.identity
        totals = [
            SchedulerTotal(
                own, place, reading.total, feed.get_base(place), reading.reserved
            )
            for place, reading in sent_readings.items()
        ]
        update = CounterUpdate(self._update_sequence, encode_rows(own, totals))
        self._link.send(router.host, update)

    def _send_requests(self) -> None:
        due_services = [
            name
            for name, tries in self._request_counts.items()
            if tries < MAX_REQUESTS_PER_SERVICE
        ]
        own = self._board.identity.host
        services_by_host: dict[str, list[str]] = {}
        for service in due_services:
            hosts = sorted(self._schedulers[service] - {own})
            if hosts:
                host = hosts[self._request_counts[service] % len(hosts)]
                services_by_host.setdefault(host, []).append(service)
                self._request_counts[service] += 1
        for host, services in services_by_host.items():
            self._link.send(host, CounterRequest(services))

    def _clean_up(self, now: float) -> None:
        counters = self._board.counters
        live = {m.host: m.incarnation for m in self._board.members.list()}
        departed = self._absences.collect_due(list(counters.schedulers), live, now)
        for router, may_return in departed.items():
            counters.fold(router, may_return=may_return)
        configuration = self._board.configuration.current
        if configuration is not None:
            counters.retain(configuration.services, configuration.workspaces)

    def _handle_update(self, delivery: Delivery) -> None:
        update: CounterUpdate = delivery.message
        counters, sender = self._board.counters, delivery.sender
        is_newer = update.sequence > self._last_received_sequences.get(sender, 0)
        if is_newer:
            self._last_received_sequences[sender] = update.sequence
        for total in decode_rows(sender, update.rows):
            if total.scheduler == self._board.identity:
                continue
            key = CounterKey(total.scheduler, *total.key)
            counters.merge(key, total.total, total.base)
            if is_newer and total.scheduler == sender:
                counters.note_reserved(key, total.reserved)
        if update.sequence:
            self._link.send(delivery.sender.host, CounterAck(update.sequence))

    def _handle_ack(self, delivery: Delivery) -> None:
        feed = self._feeds.get(delivery.sender)
        if feed is not None:
            feed.acknowledge(delivery.message.sequence)

    def _handle_request(self, delivery: Delivery) -> None:
        services = set(delivery.message.services)
        counters = self._board.counters
        live = {RouterId(m.host, m.incarnation) for m in self._board.members.list()}
        totals = [
            SchedulerTotal(
                key.scheduler, TotalKey(key.service, key.workspace), total, total
            )
            for key, total in counters.totals.items()
            if key.service in services and key.scheduler not in live
        ]
        totals.sort(key=lambda total: -total.total)
        del totals[MAX_ROWS_PER_REPLY:]
        for start in range(0, len(totals) or 1, MAX_ROWS_PER_REPLY_MESSAGE):
            rows = encode_rows(
                self._board.identity, totals[start : start + MAX_ROWS_PER_REPLY_MESSAGE]
            )
            self._link.send(delivery.sender.host, CounterUpdate(0, rows))
