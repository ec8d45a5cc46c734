"""Keeps the view of live routers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.members import Member
from sycamorehaven.transport.messages import MemberRecord, Probe, ProbeAck

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.links import PeerLink

PROBE_PERIOD = 0.5
"""Seconds between rounds of probes."""
SILENCE_LIMIT = 3.0
"""Seconds without an answer after which a member is dropped."""


class MembershipController(Service):
    """
    Probes seeds and members and drops the silent.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param settings: settings of this process.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        settings: RouterSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._seeds = settings.seeds
        self._clock = clock
        self._heard: dict[str, float] = {}
        self._records: dict[str, MemberRecord] = {}
        self._sequence = 0
        link.subscribe(Probe, self._take_probe)
        link.subscribe(ProbeAck, self._take_ack)

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            self._probe_all()
            self._publish()
            await self.sleep(PROBE_PERIOD)

    def _probe_all(self) -> None:
        self._sequence += 1
        own = self._board.members.own.address
        addresses = {m.address for m in self._board.members.list()}
        addresses.update(self._seeds, self._board.seeds.addresses)
        for address in sorted(addresses - {own}):
            self._link.send_to(address, Probe(*self._describe(self._sequence)))

    def _describe(self, sequence: int) -> tuple[int, str, int, str, list[MemberRecord]]:
        current = self._board.configuration.current
        own = self._board.members.own
        state = "leaving" if self._board.lifecycle.draining else "alive"
        record = MemberRecord(
            own.host, own.incarnation, 0, own.address, own.failure_domain, state
        )
        digest = current.digest if current else ""
        return sequence, "", self._board.configuration.revision, digest, [record]

    def _take_probe(self, delivery: Delivery) -> None:
        self._learn(delivery)
        ack = ProbeAck(*self._describe(delivery.message.sequence))
        self._link.send_to(delivery.address, ack)

    def _take_ack(self, delivery: Delivery) -> None:
        self._learn(delivery)

    def _learn(self, delivery: Delivery) -> None:
        for record in delivery.message.news:
            known = self._records.get(record.host)
            if known is None or known.incarnation <= record.incarnation:
                self._records[record.host] = record
        self._heard[delivery.sender.host] = self._clock()
        self._publish()

    def _publish(self) -> None:
        now = self._clock()
        members = {
            host: Member(
                host,
                record.incarnation,
                record.address,
                record.failure_domain,
                record.state,
            )
            for host, record in self._records.items()
            if now - self._heard.get(host, 0.0) <= SILENCE_LIMIT
        }
        members.pop(self._board.identity.host, None)
        self._board.members.replace(members)
