"""Servers whose process has ended, as all routers learn it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.gone_servers import (
    REPORT_PERIOD_SECONDS,
    GoneServerExchange,
)
from sycamorehaven.decisions.outlier_detection import REFUSED_EJECTION_SECONDS
from sycamorehaven.exceptions.backends import (
    ConnectFailed,
    ConnectRefused,
    ServerLost,
    ServerReplaced,
)
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.telemetry.decision_log import DecisionLog
from tests.support.doubles import MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock

HOSTS = ("a1", "a2", "a3")
SERVER = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
RESTARTED_SERVER = ServerRecord("s1", 2, "model", "s1:80", "a", 16, draining=False)


class SimulatedFleet:
    """Routers that know one server."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.network = MemoryNetwork()
        members = {host: Member(host, 1, f"{host}:1", "a", "alive") for host in HOSTS}
        self.boards: list[Blackboard] = []
        self.exchanges: list[GoneServerExchange] = []
        for host in HOSTS:
            board = create_board(host)
            board.members.replace(dict(members))
            board.routing.apply_snapshot(Snapshot(1, None, (SERVER,)), clock())
            link = MemoryLink(board, self.network)
            log = DecisionLog(host, None)
            self.boards.append(board)
            self.exchanges.append(GoneServerExchange(board, link, log, clock))

    def list_ejection_seconds(self) -> list[float]:
        """Return how long each router avoids the server from now on."""
        now = self._clock()
        return [
            max(board.fleet_load.find_model("s1").health.ejected_until - now, 0.0)
            for board in self.boards
        ]


async def test_one_refused_connection_spares_all_routers_their_attempts(
    clock: ManualClock,
) -> None:
    for error in (
        ConnectRefused("refused", was_sent=False),
        ServerReplaced("status 421", was_sent=False),
    ):
        fleet = SimulatedFleet(clock)
        fleet.exchanges[0].record_failure(SERVER, error)
        fleet.network.deliver()
        assert fleet.list_ejection_seconds()[1:] == [REFUSED_EJECTION_SECONDS] * 2


async def test_failures_that_a_cut_explains_are_told_to_nobody(
    clock: ManualClock,
) -> None:
    fleet = SimulatedFleet(clock)
    for error in (
        ConnectFailed("timeout", was_sent=False),
        ServerLost("reset", was_sent=True),
    ):
        fleet.exchanges[0].record_failure(SERVER, error)
    assert not fleet.network.pending_deliveries


async def test_report_of_an_earlier_start_does_not_eject_a_restarted_server(
    clock: ManualClock,
) -> None:
    fleet = SimulatedFleet(clock)
    fleet.boards[1].routing.apply_snapshot(
        Snapshot(2, None, (RESTARTED_SERVER,)), clock()
    )
    fleet.exchanges[0].record_failure(SERVER, ConnectRefused("x", was_sent=False))
    fleet.network.deliver()
    assert fleet.list_ejection_seconds()[1] == 0.0


async def test_server_that_is_known_to_be_gone_is_not_reported_again(
    clock: ManualClock,
) -> None:
    fleet = SimulatedFleet(clock)
    for exchange in fleet.exchanges:
        exchange.record_failure(SERVER, ConnectRefused("x", was_sent=False))
        fleet.network.deliver()
    links = [fleet.network.links[f"{host}:1"] for host in HOSTS]
    assert [len(link.sent_messages) for link in links] == [2, 0, 0]
    clock.advance(REPORT_PERIOD_SECONDS)
    fleet.exchanges[1].record_failure(SERVER, ConnectRefused("x", was_sent=False))
    assert len(links[1].sent_messages) == 2
