"""Exchanges strikes against requests of published routes between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from sycamorehaven.decisions.strikes import STRIKE_LIFETIME_SECONDS, StrikeTable
from sycamorehaven.transport.messages.suspects import Acquittal, Strike

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

MAX_OWN_STRIKES = 1_000
"""Number of own strikes that are kept for routers that join."""


class OwnStrike(NamedTuple):
    """
    A strike that this router reported.

    :ivar fingerprint: hash that identifies the request.
    :ivar server: id of the lost server together with its start.
    :ivar struck_at: time of the loss, in monotonic seconds.
    :ivar run_seconds: how long the request had been running.
    """

    fingerprint: bytes
    server: str
    struck_at: float
    run_seconds: float


class StrikeExchange:
    """
    Reports strikes to the other routers and merges theirs.

    A router that joins is sent those that are still in force.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, board: Blackboard, link: PeerLink, clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._link = link
        self._clock = clock
        self._strike_table = StrikeTable()
        self._own_strikes: list[OwnStrike] = []
        self._known_members = self._map_members()
        link.subscribe(Strike, self._handle_strike)
        link.subscribe(Acquittal, self._handle_acquittal)
        board.members.changed.subscribe(self._handle_members_change)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request has crashed too many servers."""
        return self._strike_table.is_blocked(fingerprint, self._clock())

    def report_loss(
        self, fingerprint: bytes, incarnation_id: str, run_seconds: float
    ) -> None:
        """
        Record that a server was lost while it ran a request.

        :param fingerprint: hash that identifies the request.
        :param incarnation_id: identifies the server together with its start,
            so that each crash counts once.
        :param run_seconds: how long the request had been running.
        """
        now = self._clock()
        self._strike_table.add_strike(fingerprint, incarnation_id, now)
        strike = OwnStrike(fingerprint, incarnation_id, now, run_seconds)
        self._own_strikes = [*self._list_own_strikes(now), strike][-MAX_OWN_STRIKES:]
        self._link.broadcast(_build_message(strike, now))

    def report_success(self, fingerprint: bytes) -> None:
        """Clear the strikes of a served request on all routers."""
        if self._clear_strikes(fingerprint):
            self._link.broadcast(Acquittal(fingerprint, 0.0))

    def _list_own_strikes(self, now: float) -> list[OwnStrike]:
        return [
            strike
            for strike in self._own_strikes
            if now - strike.struck_at < STRIKE_LIFETIME_SECONDS
        ]

    def _clear_strikes(self, fingerprint: bytes) -> bool:
        self._own_strikes = [
            strike for strike in self._own_strikes if strike.fingerprint != fingerprint
        ]
        return self._strike_table.clear_strikes(fingerprint)

    def _map_members(self) -> dict[str, int]:
        """Return the incarnation of each member by host."""
        return {
            member.host: member.incarnation for member in self._board.members.list()
        }

    def _handle_members_change(self) -> None:
        previous, self._known_members = self._known_members, self._map_members()
        now = self._clock()
        messages = [
            _build_message(strike, now) for strike in self._list_own_strikes(now)
        ]
        for host, incarnation in self._known_members.items():
            if previous.get(host) == incarnation:
                continue
            for message in messages:
                self._link.send(host, message)

    def _handle_strike(self, delivery: Delivery) -> None:
        strike: Strike = delivery.message
        struck_at = self._clock() - strike.age
        self._strike_table.add_strike(strike.fingerprint, strike.server, struck_at)

    def _handle_acquittal(self, delivery: Delivery) -> None:
        acquittal: Acquittal = delivery.message
        self._clear_strikes(acquittal.fingerprint)


def _build_message(strike: OwnStrike, now: float) -> Strike:
    return Strike(
        strike.fingerprint,
        xxhash.xxh3_64_intdigest(strike.server.encode()),
        now - strike.struck_at,
        strike.server,
        strike.run_seconds,
        alone=False,
    )
