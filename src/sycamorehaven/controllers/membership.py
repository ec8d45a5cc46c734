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
from sycamorehaven.decisions.probing import PROBE_PERIOD, Attempt, Prober
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

TICK = 0.1
"""Seconds between two looks at the clock."""
PAUSE_LIMIT = 1.0
"""Seconds between two ticks that count as a pause of the process."""
RECOVERY_TIMEOUT = 1.0
"""Seconds after a pause in which a peer must refresh the view."""
COMPARISON_PERIOD = 10.0
"""Seconds between two comparisons of views with a random member."""
LOST_PERIOD = 5.0
"""Seconds between two probes of lost addresses."""
JOIN_FANOUT = 8
"""Lost addresses probed in one period by a router without members."""
URGENT_FANOUT = 4
"""Members told at once of urgent news."""
RECOVERY_FANOUT = 3
"""Members asked to refresh the view after a pause."""
RIVAL_LOG_PERIOD = 60


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
        self._exchange = ViewExchange(self._membership, link, self._learn)
        self._published = 0
        self._ticked_at: float | None = None
        self._lost_at = 0.0
        self._compared_at = 0.0
        self._recovery: tuple[int, float] | None = None
        link.subscribe(Probe, self._take_probe)
        link.subscribe(ProbeAck, self._take_ack)
        link.subscribe(ProbeRequest, self._take_request)
        board.lifecycle.changed.subscribe(self._announce_leaving)

    @property
    def membership(self) -> Membership:
        """The view."""
        return self._membership

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK)

    def tick(self) -> None:
        """Do what is due."""
        now = self._clock()
        gap = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        if gap > PAUSE_LIMIT:
            self._resume(now, gap)
        self._probe_members(now)
        self._membership.expire(now)
        self._probe_lost(now)
        self._compare(now)
        self._check_recovery(now)
        self._publish()

    def _probe_members(self, now: float) -> None:
        view = self._membership
        due = self._prober.advance(view.members, view.accused, now)
        for target in due.silent:
            view.suspect(target.host, target.incarnation, now)
        for attempt in due.attempts:
            self._send_attempt(attempt)

    def _send_attempt(self, attempt: Attempt) -> None:
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
        fields = self._compose(target.host, target.incarnation)
        self._link.send_to(target.address, Probe(sequence, on_behalf_of, *fields))

    def _compose(
        self, host: str, incarnation: int
    ) -> tuple[int, str, list[MemberRecord]]:
        current = self._board.configuration.current
        digest = current.digest if current else ""
        first = self._membership.describe(host, incarnation)
        news = self._membership.news.pick(self._membership.count())
        told = {record.host for record in first}
        rest = [record for record in news if record.host not in told]
        return self._board.configuration.revision, digest, [*first, *rest]

    def _probe_lost(self, now: float) -> None:
        alone = not self._membership.members
        if now - self._lost_at < (PROBE_PERIOD if alone else LOST_PERIOD):
            return
        self._lost_at = now
        lost = self._list_lost()
        for address in self._prober.pick(lost, JOIN_FANOUT if alone else 1):
            host, incarnation = lost[address]
            fields = self._compose(host, incarnation)
            self._link.send_to(address, Probe(self._prober.number(), "", *fields))

    def _list_lost(self) -> dict[str, tuple[str, int]]:
        view = self._membership
        lost = dict.fromkeys([*self._seeds, *self._board.seeds.addresses], ("", 0))
        for record in view.dead.values():
            lost[record.address] = record.host, record.incarnation
        for record in [view.own, *view.members.values()]:
            lost.pop(record.address, None)
        return lost

    def _compare(self, now: float) -> None:
        if now - self._compared_at < COMPARISON_PERIOD:
            return
        self._compared_at = now
        self._ask_for_records(1)

    def _ask_for_records(self, count: int) -> None:
        for host in self._prober.pick(self._membership.members, count):
            self._exchange.request(self._membership.members[host].address)

    def _resume(self, now: float, gap: float) -> None:
        logging.warning("the process was paused for %.1f s", gap)
        self._membership.resume(gap)
        self._prober.reset(now)
        self._recovery = self._exchange.sequence + 1, now + RECOVERY_TIMEOUT
        self._board.pauses.record(now, gap)
        self._ask_for_records(RECOVERY_FANOUT)
        self._spread()

    def _check_recovery(self, now: float) -> None:
        if self._recovery is None:
            return
        sequence, deadline = self._recovery
        if self._exchange.completed >= sequence or now >= deadline:
            self._recovery = None
            self._publish()
            self._board.pauses.recover()

    def _announce_leaving(self) -> None:
        if self._board.lifecycle.draining and self._membership.own.state == "alive":
            self._membership.leave()
            self._spread()
            self._publish()

    def _spread(self) -> None:
        view = self._membership
        for host in self._prober.pick(view.members, URGENT_FANOUT):
            record = view.members[host]
            fields = self._compose(host, record.incarnation)
            self._link.send_to(record.address, ProbeAck(0, "", *fields))

    def _take_probe(self, delivery: Delivery) -> None:
        probe: Probe = delivery.message
        self._learn(probe.news)
        fields = self._compose(*delivery.sender)
        ack = ProbeAck(probe.sequence, probe.on_behalf_of, *fields)
        self._link.send_to(delivery.address, ack)

    def _take_ack(self, delivery: Delivery) -> None:
        ack: ProbeAck = delivery.message
        known = delivery.sender.host in self._membership.members
        self._learn(ack.news)
        if ack.sequence and not known:
            self._exchange.request(delivery.address)
        own = self._membership.own.address
        if ack.on_behalf_of and ack.on_behalf_of != own:
            self._relay(ack)
            return
        host = self._prober.acknowledge(ack.sequence)
        if host is not None:
            self._membership.confirm(host)

    def _relay(self, ack: ProbeAck) -> None:
        for record in self._membership.members.values():
            if record.address == ack.on_behalf_of:
                fields = self._compose(record.host, record.incarnation)
                relayed = ProbeAck(ack.sequence, record.address, *fields)
                self._link.send_to(record.address, relayed)
                return

    def _take_request(self, delivery: Delivery) -> None:
        request: ProbeRequest = delivery.message
        target = self._membership.members.get(request.target_host)
        if target is not None and target.address == request.target_address:
            self._send_probe(target, request.sequence, delivery.address)

    def _learn(self, records: list[MemberRecord]) -> None:
        if self._membership.take_news(records, self._clock()):
            self._spread()
        rival = self._membership.rival
        if rival is not None:
            logging.log_every_n_seconds(
                logging.ERROR,
                "a newer process at %s uses this host's name %s: give each router"
                " its own router.host, or set this host's clock, and restart",
                RIVAL_LOG_PERIOD,
                rival.address,
                rival.host,
            )
        self._publish()

    def _publish(self) -> None:
        view = self._membership
        if self._published == view.version:
            return
        self._published = view.version
        self._board.members.replace(
            {
                record.host: Member(
                    record.host,
                    record.incarnation,
                    record.address,
                    record.failure_domain,
                    record.state,
                )
                for record in [view.own, *view.members.values()]
            }
        )
