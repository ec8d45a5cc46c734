"""
A scheduler stops granting to an edge that has died.

Until the membership protocol detects a dead router, its demand would draw
grants that hold slots that nothing uses.
"""

from __future__ import annotations

from sycamorehaven.blackboard.server_statuses import ServerStatus
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.scheduling import (
    GRANT_RETRY_DELAY_SECONDS,
    SchedulingController,
)
from sycamorehaven.decisions.unresponsive_edges import LOST_AFTER_SECONDS
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    PermitAck,
    PermitGrant,
    PermitReturn,
)
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

SLOTS = 2


class SchedulerHarness:
    """A scheduler of one engine, and two edges on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network = network
        self.clock = clock
        board = create_board("a1")
        edges = [create_board(host, "b") for host in ("e1", "e2")]
        members = {b.identity.host: b.members.own for b in [board, *edges]}
        board.members.replace(members)
        for edge in edges:
            edge.members.replace(members)
        self.edges = {b.identity.host: MemoryLink(b, network) for b in edges}
        self.link = MemoryLink(board, network)
        self.controller = SchedulingController(board, self.link, clock)
        plan = ServerPlan("engine-1", "assistant", "127.0.0.1:1", SLOTS)
        text = build_configuration_text([plan]).encode()
        board.configuration.replace(accept_text(text, 1))
        clock.advance(0.1)
        status = ServerStatus(reported_slots=SLOTS, reported_at=clock.now)
        board.server_statuses.put("engine-1", status)
        self.board = board

    def send_report(
        self, host: str, age: float, sequence: int = 1, waiting: int = 50
    ) -> None:
        """Send a demand report of an edge whose oldest request has an age."""
        rows = [DemandRow("oakcourt", "interactive", waiting, age, 10.0)]
        report = DemandReport("assistant", sequence, 4.0, rows, [], [])
        self.edges[host].send("a1", report)
        self.network.deliver()

    def list_holders(self) -> list[str]:
        """Return the hosts of the edges that hold a permit."""
        outstanding = self.controller.schedulers["assistant"].outstanding
        return [holding.edge.host for holding in outstanding.values()]

    def return_permit(self, host: str) -> None:
        """Return the first permit that was granted to an edge."""
        grant = next(
            message
            for address, message in self.link.sent_messages
            if isinstance(message, PermitGrant) and address == f"{host}:1"
        )
        message = PermitReturn(
            *self.board.identity,
            permit=grant.permit,
            service="assistant",
            server="engine-1",
            workspace="oakcourt",
            cost=9.0,
            runs=1,
            failed=False,
            accounted=True,
            waiting=0,
        )
        self.edges[host].send("a1", message)
        self.network.deliver()

    def count_grants(self, host: str) -> int:
        """Return how many different permits were granted to an edge."""
        permits = {
            message.permit
            for address, message in self.link.sent_messages
            if isinstance(message, PermitGrant) and address == f"{host}:1"
        }
        return len(permits)

    def resend_grants(self, rounds: int) -> None:
        """Resend unacknowledged grants in a number of rounds."""
        for _ in range(rounds):
            self.clock.advance(1.1 * GRANT_RETRY_DELAY_SECONDS)
            self.controller.resend_grants()
            self.network.deliver()

    def acknowledge_grants(self, host: str) -> None:
        """Acknowledge all grants that were sent to an edge."""
        numbers = [
            message.permit
            for address, message in self.link.sent_messages
            if isinstance(message, PermitGrant) and address == f"{host}:1"
        ]
        self.edges[host].send("a1", PermitAck(*self.board.identity, numbers))
        self.network.deliver()


async def test_silent_edge_gets_no_more_grants_than_there_are_slots(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    scheduler = SchedulerHarness(network, clock)
    scheduler.send_report("e1", age=9.0)
    scheduler.send_report("e2", age=1.0)
    assert scheduler.count_grants("e1") == SLOTS
    assert scheduler.count_grants("e2") == 0
    scheduler.resend_grants(5)
    assert scheduler.count_grants("e1") == SLOTS
    assert scheduler.count_grants("e2") == SLOTS


async def test_permits_of_a_dead_edge_are_reclaimed(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    scheduler = SchedulerHarness(network, clock)
    scheduler.send_report("e2", age=1.0, waiting=1)
    scheduler.acknowledge_grants("e2")
    scheduler.send_report("e1", age=9.0)
    scheduler.acknowledge_grants("e1")
    clock.advance(0.01)
    scheduler.return_permit("e2")
    assert scheduler.list_holders() == ["e1"] * SLOTS
    scheduler.resend_grants(5)
    assert scheduler.list_holders() == ["e1"] * (SLOTS - 1)
    clock.advance(LOST_AFTER_SECONDS)
    scheduler.controller.run_round()
    assert scheduler.list_holders() == []


async def test_edge_that_sends_reports_stays_in_the_backlog(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    scheduler = SchedulerHarness(network, clock)
    scheduler.send_report("e1", age=9.0)
    scheduler.send_report("e2", age=1.0)
    clock.advance(GRANT_RETRY_DELAY_SECONDS)
    scheduler.send_report("e1", age=9.1, sequence=2)
    scheduler.resend_grants(5)
    assert scheduler.count_grants("e2") == 0
