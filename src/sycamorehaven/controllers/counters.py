"""
Shares totals of granted work between the schedulers of each service.

A scheduler counts the cost of the work that it granted to each workspace.
Fair sharing across the fleet needs the totals of every scheduler, so each
router sends its own to the routers that schedule the same services.
"""

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
    from sycamorehaven.configuration.model import ConfigurationVersion
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

SHARING_POLICY = UpdatePolicy(
    period=0.05, threshold=0.05, piggyback_ratio=0.25, refresh=30.0
)
"""When totals are sent; ``benchmarks.sharing`` compares policies."""
MAX_PEERS_PER_ROUND = 5
"""Peers that one round serves; a larger number of peers take turns."""
MAX_UPDATE_BYTES_PER_SECOND = 6_000.0
"""
Control traffic that updates may use, for any number of peers.

An unused allowance accumulates for at most one second.
"""
REQUEST_PERIOD_SECONDS = 1.0
"""Interval at which totals of departed schedulers are requested."""
MAX_REQUESTS_PER_SERVICE = 4
"""
Requests that a new scheduler of a service sends, one per period.

They go to the other schedulers of the service in turn.
"""
CLEANUP_PERIOD_SECONDS = 5.0
"""Interval at which totals that are no longer needed are removed."""
MAX_ROWS_PER_REPLY_MESSAGE = 256
"""Rows in one message of the reply to a request."""
MAX_ROWS_PER_REPLY = 2_048
"""Rows in all messages of a reply; the largest totals are kept."""


class CounterController(Service):
    """
    Sends this router's totals and merges those of other schedulers.

    The totals of schedulers that have left the fleet are folded: only the
    sums by service and workspace keep them, not a row for each scheduler.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param clock: returns the monotonic time in seconds.
    :param policy: when totals are sent to a peer.
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
        self._samples: dict[str, dict[TotalKey, TotalSample]] = {}
        self._update_trackers: dict[RouterId, PeerUpdateTracker] = {}
        self._last_received_sequences: dict[RouterId, int] = {}
        self._absences = AbsenceTracker()
        self._assignment_inputs: tuple[ConfigurationVersion, dict[str, str]] | None = (
            None
        )
        self._schedulers: dict[str, set[str]] = {}
        self._request_counts: dict[str, int] = {}
        self._update_sequence = 0
        self._first_peer_index = 0
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
    def update_trackers(self) -> Mapping[RouterId, PeerUpdateTracker]:
        """What was sent to each recipient and acknowledged by it."""
        return self._update_trackers

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._policy.period)
            self.run_round()

    def run_round(self) -> None:
        """Send the updates and requests that are due and remove old totals."""
        now = self._clock()
        self._share_totals(now)
        if now - self._requested_at >= REQUEST_PERIOD_SECONDS:
            self._requested_at = now
            self._send_requests()
        if now - self._cleaned_up_at >= CLEANUP_PERIOD_SECONDS:
            self._cleaned_up_at = now
            self._clean_up(now)

    def _update_recipients(self) -> None:
        """Follow changes of the members and of the configuration."""
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_failure_domains()
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
        self._update_trackers = {
            router: self._update_trackers.get(router) or self._create_tracker()
            for router in self._list_recipients()
        }

    def _create_tracker(self) -> PeerUpdateTracker:
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
        samples = self._samples
        largest_costs = self._map_largest_costs()
        ranked = {}
        for router in self._select_peers():
            tracker = self._update_trackers[router]
            tracker.expire_unacknowledged(now)
            samples_for_peer: dict[TotalKey, TotalSample] = {}
            for service, rows in samples.items():
                if router.host in self._schedulers.get(service, ()):
                    samples_for_peer.update(rows)
            ranked[router] = tracker.rank_rows(samples_for_peer, largest_costs, now)
        earned_bytes = MAX_UPDATE_BYTES_PER_SECOND * (now - self._shared_at)
        self._byte_allowance = min(
            self._byte_allowance + earned_bytes, MAX_UPDATE_BYTES_PER_SECOND
        )
        self._shared_at = now
        for router, keys in allocate_rows(ranked, self._byte_allowance).items():
            self._byte_allowance -= UPDATE_OVERHEAD_BYTES + ROW_BYTES * len(keys)
            sent_samples = {key: samples[key.service][key] for key in keys}
            self._send_update(router, sent_samples)

    def _read_totals(self, now: float) -> None:
        totals, reserved = (
            self._board.counters.own_totals,
            self._board.counters.own_reserved,
        )
        for key in (*totals, *(key for key in reserved if key not in totals)):
            total, reserved_cost = totals.get(key, 0.0), reserved.get(key, 0.0)
            rows = self._samples.setdefault(key[0], {})
            known = rows.get(key)  # type: ignore[call-overload]
            if known is None or (known.total, known.reserved) != (total, reserved_cost):
                rows[TotalKey(*key)] = TotalSample(total, 0.0, now, reserved_cost)

    def _select_peers(self) -> list[RouterId]:
        """Return the peers of this round, in round-robin order."""
        routers = list(self._update_trackers)
        if len(routers) <= MAX_PEERS_PER_ROUND:
            return routers
        self._first_peer_index = (self._first_peer_index + MAX_PEERS_PER_ROUND) % len(
            routers
        )
        return (routers[self._first_peer_index :] + routers)[:MAX_PEERS_PER_ROUND]

    def _map_largest_costs(self) -> dict[str, float]:
        configuration = self._board.configuration.current
        if configuration is None:
            return {}
        return {s.name: s.largest_cost for s in configuration.services.values()}

    def _send_update(
        self, router: RouterId, sent_samples: dict[TotalKey, TotalSample]
    ) -> None:
        self._update_sequence += 1
        tracker = self._update_trackers[router]
        tracker.record_sent(self._update_sequence, sent_samples, self._clock())
        own = self._board.identity
        totals = [
            SchedulerTotal(
                own, key, sample.total, tracker.get_base(key), sample.reserved
            )
            for key, sample in sent_samples.items()
        ]
        update = CounterUpdate(self._update_sequence, encode_rows(own, totals))
        self._link.send(router.host, update)

    def _send_requests(self) -> None:
        """Request departed schedulers' totals of newly scheduled services."""
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
        """Fold totals of departed schedulers; drop unconfigured names."""
        counters = self._board.counters
        live = {m.host: m.incarnation for m in self._board.members.list()}
        departed = self._absences.collect_due(list(counters.schedulers), live, now)
        for router, may_return in departed.items():
            counters.fold(router, may_return=may_return)
        configuration = self._board.configuration.current
        if configuration is not None:
            counters.retain_configured(configuration.services, configuration.workspaces)

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
            counters.merge_total(key, total.total, total.base)
            if is_newer and total.scheduler == sender:
                counters.set_peer_reserved(key, total.reserved)
        if update.sequence:
            self._link.send(delivery.sender.host, CounterAck(update.sequence))

    def _handle_ack(self, delivery: Delivery) -> None:
        tracker = self._update_trackers.get(delivery.sender)
        if tracker is not None:
            tracker.acknowledge(delivery.message.sequence)

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
