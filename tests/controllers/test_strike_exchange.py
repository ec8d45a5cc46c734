"""Strikes against requests that crash servers, told to other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.strike_exchange import StrikeExchange
from sycamorehaven.decisions.crash_blame import MIN_CRASHES
from sycamorehaven.decisions.strikes import STRIKE_LIFETIME_SECONDS, SuspectKeys
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock, MemoryNetwork

KEYS = SuspectKeys(1)


class RouterPair:
    """Two routers that do not know each other at first."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self._network = network
        self.boards: dict[str, Blackboard] = {}
        self.exchanges: dict[str, StrikeExchange] = {}
        for host in ("a1", "a2"):
            board = create_board(host)
            self.boards[host] = board
            self.exchanges[host] = StrikeExchange(
                board,
                MemoryLink(board, network),
                DecisionLog(host, None),
                GatewayMetrics(),
                clock,
            )

    def join(self) -> None:
        """Make each router a member for the other."""
        members = {
            host: Member(host, 1, board.members.own.address, "a", "alive")
            for host, board in self.boards.items()
        }
        for board in self.boards.values():
            board.members.replace(dict(members))
        self._network.deliver()

    def lose_servers(self, count: int) -> None:
        """Report losses of servers at the first router."""
        for number in range(count):
            self.exchanges["a1"].report_loss(KEYS, f"s{number}/1")
        self._network.deliver()

    def is_quarantined(self) -> bool:
        """Return whether the second router has quarantined the request."""
        return self.exchanges["a2"].is_blocked(KEYS)


def test_router_that_joins_after_the_losses_blocks_the_request(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterPair(network, clock)
    routers.lose_servers(MIN_CRASHES)
    assert not routers.is_quarantined()
    routers.join()
    assert routers.is_quarantined()


def test_expired_strikes_are_not_sent(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterPair(network, clock)
    routers.lose_servers(MIN_CRASHES)
    clock.advance(STRIKE_LIFETIME_SECONDS)
    routers.join()
    assert not routers.is_quarantined()


def test_served_request_is_blocked_nowhere(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterPair(network, clock)
    routers.join()
    routers.lose_servers(MIN_CRASHES)
    assert routers.is_quarantined()
    routers.exchanges["a1"].report_success(KEYS)
    routers.join()
    assert not routers.is_quarantined()
