"""Keeps the view of live routers: probes, news, suspicions, rejoining."""

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
"""Seconds between two looks at the clock."""
PAUSE_THRESHOLD_SECONDS = 1.0
"""Seconds between two ticks that count as a pause of the process."""
RECOVERY_TIMEOUT_SECONDS = 1.0
"""Seconds after a pause in which a peer must refresh the view."""
VIEW_COMPARISON_PERIOD_SECONDS = 10.0
"""Seconds between two comparisons of views with a random member."""
LOST_ADDRESS_PROBE_PERIOD_SECONDS = 5.0
"""Seconds between two probes of lost addresses."""
JOIN_FANOUT = 8
"""Lost addresses probed in one period by a router without members."""
URGENT_UPDATE_FANOUT = 4
"""Members told at once of urgent news."""
RECOVERY_FANOUT = 3
"""Members asked to refresh the view after a pause."""
NAME_CONFLICT_LOG_PERIOD_SECONDS = 60


class MembershipController(Service):
    """
    Runs the membership protocol on a clock and a network.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param settings: settings of this process.
    :param clock: monotonic seconds.
    :param randomness: order of probes and choice of peers.
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
        self._membership = Membership(record)
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
        """The view."""
        return self._membership

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_PERIOD_SECONDS)

    def tick(self) -> None:
        """Do what is due."""
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
            self._exchange.last_requested + 1,
            now + RECOVERY_TIMEOUT_SECONDS,
        )
        self._board.pauses.record(now, pause_seconds)
        self._request_comparisons(RECOVERY_FANOUT)
        self._send_urgent_update()

    def _check_recovery(self, now: float) -> None:
        if self._recovery is None:
            return
        sequence, deadline = self._recovery
        if self._exchange.last_completed >= sequence or now >= deadline:
            self._recovery = None
            self._publish_members()
            self._board.pauses.recover()

    def _announce_leaving(self) -> None:
        if (
            self._board.lifecycle.draining
            and self._membership.own_record.state == "alive"
        ):
            self._membership.announce_leaving()
            self._send_urgent_update()
            self._publish_members()

    def _send_urgent_update(self) -> None:
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
        rival = self._membership.host_conflict
        if rival is not None:
            logging.log_every_n_seconds(
                logging.ERROR,
                "a newer process at %s uses this host's name %s: give each router"
                " its own router.host, or set this host's clock, and restart",
                NAME_CONFLICT_LOG_PERIOD_SECONDS,
                rival.address,
                rival.host,
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
