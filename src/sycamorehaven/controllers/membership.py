"""
Maintains this router's view of the live routers of the fleet.

Runs the SWIM protocol: probes members, spreads updates of member records,
suspects members that do not answer and rejoins after a network partition.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.view_exchange import ViewExchange
from sycamorehaven.decisions.membership import Membership
from sycamorehaven.decisions.probing import PROBE_INTERVAL_SECONDS, ProbeAttempt, Prober
from sycamorehaven.transport.messages.membership import (
    MemberRecord,
    Probe,
    ProbeAck,
    ProbeRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

TICK_PERIOD_SECONDS = 0.1
"""Interval between two rounds of the protocol."""
PAUSE_THRESHOLD_SECONDS = 1.0
"""Time between two rounds from which the process counts as paused."""
RECOVERY_TIMEOUT_SECONDS = 1.0
"""Time after a pause for which a peer's records are awaited."""
VIEW_COMPARISON_PERIOD_SECONDS = 10.0
"""Interval at which the view is compared with that of a random member."""
LOST_ADDRESS_PROBE_PERIOD_SECONDS = 5.0
"""
Interval at which one lost address is probed.

Lost addresses are those of seeds and dead members that no member has. A
router without members probes them as often as members are probed.
"""
JOIN_FANOUT = 8
"""Lost addresses that a router without members probes at a time."""
URGENT_UPDATE_FANOUT = 4
"""Members that an urgent update is sent to at once."""
RECOVERY_FANOUT = 3
"""Members asked for their records after a pause."""
NAME_CONFLICT_LOG_PERIOD_SECONDS = 60
"""Shortest time between two log lines on a duplicate host name."""


class MembershipController(Service):
    """
    Runs the membership protocol.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param settings: settings of this process; the seeds are taken from them.
    :param clock: returns the monotonic time in seconds.
    :param randomness: shuffles the order of probes and selects peers.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        settings: RouterSettings,
        clock: Callable[[], float] = time.monotonic,
        randomness: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._seeds = settings.seeds
        self._clock = clock
        own = board.members.own
        record = MemberRecord(
            own.host, own.incarnation, 0, own.address, own.failure_domain, "alive"
        )
        # Idempotency tokens name the process that minted them, so only a
        # router without tokens may change the incarnation that others know.
        self._membership = Membership(
            record, renews_incarnation=settings.gateway is not None
        )
        self._prober = Prober(randomness or random.Random())
        self._exchange = ViewExchange(self._membership, link, self._merge_records)
        self._published_version = 0
        self._last_tick_at: float | None = None
        self._lost_probed_at = 0.0
        self._views_compared_at = 0.0
        self._recovery: tuple[int, float] | None = None
        link.subscribe(Probe, self._handle_probe)
        link.subscribe(ProbeAck, self._handle_ack)
        link.subscribe(ProbeRequest, self._handle_probe_request)
        board.lifecycle.changed.subscribe(self._announce_leaving)

    @property
    def membership(self) -> Membership:
        """The view of the fleet."""
        return self._membership

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_PERIOD_SECONDS)

    def tick(self) -> None:
        """
        Run one round of the protocol.

        Detects a pause of the process, sends the probes that are due and
        expires suspicions.
        """
        now = self._clock()
        pause_seconds = (
            now - self._last_tick_at if self._last_tick_at is not None else 0.0
        )
        self._last_tick_at = now
        if pause_seconds > PAUSE_THRESHOLD_SECONDS:
            self._recover_from_pause(now, pause_seconds)
        self._probe_members(now)
        self._membership.expire(now)
        self._probe_lost_addresses(now)
        self._compare_views(now)
        self._check_recovery(now)
        self._publish_members()

    def _probe_members(self, now: float) -> None:
        view = self._membership
        probe_round = self._prober.collect_due_probes(
            view.members, view.death_claims, now
        )
        for target in probe_round.unresponsive:
            view.mark_suspect(target.host, target.incarnation, now)
        for attempt in probe_round.attempts:
            self._send_attempt(attempt)

    def _send_attempt(self, attempt: ProbeAttempt) -> None:
        target = self._membership.members.get(attempt.host)
        if target is None:
            return
        self._send_probe(target, attempt.sequence)
        request = ProbeRequest(attempt.sequence, target.host, target.address)
        for host in attempt.helpers:
            helper = self._membership.members.get(host)
            if helper is not None:
                self._link.send_to(helper.address, request)

    def _send_probe(
        self, target: MemberRecord, sequence: int, on_behalf_of: str = ""
    ) -> None:
        fields = self._compose_piggyback(target.host, target.incarnation)
        self._link.send_to(target.address, Probe(sequence, on_behalf_of, *fields))

    def _compose_piggyback(
        self, host: str, incarnation: int
    ) -> tuple[int, str, list[MemberRecord]]:
        """
        Return what a probe or acknowledgement carries beside its numbers.

        :param host: host of the receiver, "" if it is not known.
        :param incarnation: incarnation of the receiver, 0 if it is not known.
        :returns: revision and digest of the configuration, and the member
            records: first what the receiver should know of itself.
        """
        current = self._board.configuration.current
        digest = current.digest if current else ""
        target_records = self._membership.list_records_about(host, incarnation)
        recent_records = self._membership.gossip_queue.select_records(
            self._membership.count_members()
        )
        included_hosts = {record.host for record in target_records}
        other_records = [
            record for record in recent_records if record.host not in included_hosts
        ]
        return (
            self._board.configuration.revision,
            digest,
            [*target_records, *other_records],
        )

    def _probe_lost_addresses(self, now: float) -> None:
        is_alone = not self._membership.members
        if now - self._lost_probed_at < (
            PROBE_INTERVAL_SECONDS if is_alone else LOST_ADDRESS_PROBE_PERIOD_SECONDS
        ):
            return
        self._lost_probed_at = now
        lost = self._list_lost_addresses()
        for address in self._prober.sample_hosts(lost, JOIN_FANOUT if is_alone else 1):
            host, incarnation = lost[address]
            fields = self._compose_piggyback(host, incarnation)
            self._link.send_to(
                address, Probe(self._prober.create_sequence_number(), "", *fields)
            )

    def _list_lost_addresses(self) -> dict[str, tuple[str, int]]:
        view = self._membership
        lost = dict.fromkeys([*self._seeds, *self._board.seeds.addresses], ("", 0))
        for record in view.dead_members.values():
            lost[record.address] = record.host, record.incarnation
        for record in [view.own_record, *view.members.values()]:
            lost.pop(record.address, None)
        return lost

    def _compare_views(self, now: float) -> None:
        if now - self._views_compared_at < VIEW_COMPARISON_PERIOD_SECONDS:
            return
        self._views_compared_at = now
        self._request_comparisons(1)

    def _request_comparisons(self, count: int) -> None:
        for host in self._prober.sample_hosts(self._membership.members, count):
            self._exchange.request_comparison(self._membership.members[host].address)

    def _recover_from_pause(self, now: float, pause_seconds: float) -> None:
        logging.warning("the process was paused for %.1f s", pause_seconds)
        self._membership.resume_after_pause(pause_seconds)
        self._prober.reset(now)
        self._recovery = (
            self._exchange.last_requested_sequence + 1,
            now + RECOVERY_TIMEOUT_SECONDS,
        )
        self._board.pauses.record_pause(now, pause_seconds)
        self._request_comparisons(RECOVERY_FANOUT)
        self._send_urgent_update()

    def _check_recovery(self, now: float) -> None:
        """End the recovery from a pause after a peer's reply or a timeout."""
        if self._recovery is None:
            return
        sequence, deadline = self._recovery
        if self._exchange.last_completed_sequence >= sequence or now >= deadline:
            self._recovery = None
            self._publish_members()
            self._board.pauses.mark_recovered()

    def _announce_leaving(self) -> None:
        if (
            self._board.lifecycle.is_draining
            and self._membership.own_record.state == "alive"
        ):
            self._membership.announce_leaving()
            self._send_urgent_update()
            self._publish_members()

    def _send_urgent_update(self) -> None:
        """Send recent records to a few members without waiting for a probe."""
        view = self._membership
        for host in self._prober.sample_hosts(view.members, URGENT_UPDATE_FANOUT):
            record = view.members[host]
            fields = self._compose_piggyback(host, record.incarnation)
            self._link.send_to(record.address, ProbeAck(0, "", *fields))

    def _handle_probe(self, delivery: Delivery) -> None:
        probe: Probe = delivery.message
        self._merge_records(probe.news)
        fields = self._compose_piggyback(*delivery.sender)
        ack = ProbeAck(probe.sequence, probe.on_behalf_of, *fields)
        self._link.send_to(delivery.address, ack)

    def _handle_ack(self, delivery: Delivery) -> None:
        ack: ProbeAck = delivery.message
        is_known = delivery.sender.host in self._membership.members
        self._merge_records(ack.news)
        if ack.sequence and not is_known:
            self._exchange.request_comparison(delivery.address)
        own = self._membership.own_record.address
        if ack.on_behalf_of and ack.on_behalf_of != own:
            self._forward_ack(ack)
            return
        host = self._prober.acknowledge(ack.sequence)
        if host is not None:
            self._membership.mark_responsive(host)

    def _forward_ack(self, ack: ProbeAck) -> None:
        """Forward an acknowledgement to the requester of the probe."""
        for record in self._membership.members.values():
            if record.address == ack.on_behalf_of:
                fields = self._compose_piggyback(record.host, record.incarnation)
                relayed = ProbeAck(ack.sequence, record.address, *fields)
                self._link.send_to(record.address, relayed)
                return

    def _handle_probe_request(self, delivery: Delivery) -> None:
        request: ProbeRequest = delivery.message
        target = self._membership.members.get(request.target_host)
        if target is not None and target.address == request.target_address:
            self._send_probe(target, request.sequence, delivery.address)

    def _merge_records(self, records: list[MemberRecord]) -> None:
        if self._membership.merge_records(records, self._clock()):
            self._send_urgent_update()
        host_conflict = self._membership.host_conflict
        if host_conflict is not None:
            logging.log_every_n_seconds(
                logging.ERROR,
                "a newer process at %s uses this router's host name %s: give each"
                " router its own router.host, or correct this host's clock, and"
                " restart",
                NAME_CONFLICT_LOG_PERIOD_SECONDS,
                host_conflict.address,
                host_conflict.host,
            )
        self._publish_members()

    def _publish_members(self) -> None:
        view = self._membership
        if self._published_version == view.version:
            return
        self._published_version = view.version
        self._board.members.replace(
            {
                record.host: Member(
                    record.host,
                    record.incarnation,
                    record.address,
                    record.failure_domain,
                    record.state,
                )
                for record in [view.own_record, *view.members.values()]
            }
        )
