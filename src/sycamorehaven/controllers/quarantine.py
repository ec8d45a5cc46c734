"""
Quarantine of requests that are suspected of crashing backend servers.

Routers exchange strikes, which record that a server was lost during a run of
a request. A suspect request runs only under a lease, so that it runs once at
a time in the fleet. Each lease key is managed by one router, chosen by
rendezvous hashing.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.quarantine import (
    LEASE_SECONDS,
    STRIKE_LIFETIME_SECONDS,
    LeaseTable,
    ServerLoss,
)
from sycamorehaven.decisions.rendezvous import choose_candidate
from sycamorehaven.transport.messages.suspects import (
    Acquittal,
    Strike,
    SuspectReply,
    SuspectRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

REPLY_TIMEOUT_SECONDS = 0.5
"""Timeout for the reply of the router that manages a lease."""
ROUND_PERIOD_SECONDS = 1.0
"""Interval at which leases are renewed and recent strikes repeated."""
STRIKE_REPEAT_SECONDS = 3.0
"""Time for which a strike is repeated in case messages are lost."""


class Lease:
    """
    A lease that allows a suspect request to run, or reserves a server.

    :param key: hash of the request or of the server, 16 bytes.
    :param number: number of the lease, unique at this router.
    :ivar expires_at: when it is released automatically, monotonic seconds;
        infinite if it is held until the run releases it.
    """

    def __init__(self, key: bytes, number: int) -> None:
        self._key = key
        self._number = number
        self.expires_at = float("inf")

    @property
    def key(self) -> bytes:
        """Hash of the request or of the server, 16 bytes."""
        return self._key

    @property
    def number(self) -> int:
        """Number of the lease, unique at this router."""
        return self._number


class QuarantineController(Service):
    """
    Keeps the strikes of suspect requests and acquires and grants leases.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._lease_numbers = itertools.count(1)
        self._lease_table = LeaseTable()
        self._held_leases: dict[int, Lease] = {}
        self._pending_replies: dict[int, asyncio.Future[bool]] = {}
        self._own_strikes: dict[int, tuple[bytes, float]] = {}
        self._live_incarnations: dict[str, int] = {}
        link.subscribe(Strike, self._handle_strike)
        link.subscribe(Acquittal, self._handle_acquittal)
        link.subscribe(SuspectRequest, self._handle_request)
        link.subscribe(SuspectReply, self._handle_reply)
        board.members.changed.subscribe(self._handle_members_change)
        self._handle_members_change()

    def report_loss(
        self, fingerprint: bytes, server: str, run_seconds: float, *, alone: bool
    ) -> None:
        """
        Record and broadcast that a server was lost while it ran a request.

        :param fingerprint: hash of the request.
        :param server: the backend server.
        :param run_seconds: seconds that the request had run.
        :param alone: whether no other suspect request was on the server.
        """
        now = self._clock()
        strike_number = secrets.randbits(63)
        loss = ServerLoss(server, now, run_seconds, alone)
        self._board.suspect_requests.add_strike(fingerprint, strike_number, loss, now)
        self._own_strikes[strike_number] = fingerprint, now
        self._broadcast(
            Strike(fingerprint, strike_number, 0.0, server, run_seconds, alone)
        )

    def report_success(self, fingerprint: bytes) -> None:
        """Clear the strikes of a request that got a complete answer."""
        if self._board.suspect_requests.clear_strikes(fingerprint, self._clock()):
            self._broadcast(Acquittal(fingerprint, 0.0))

    async def acquire(
        self, key: bytes, isolation_seconds: float | None = None
    ) -> Lease | None:
        """
        Request a lease once.

        :param key: hash of the request or of the server, 16 bytes.
        :param isolation_seconds: seconds after which the lease is released
            automatically, ``None`` for never.
        :returns: the lease, or ``None`` if another run holds it or no reply
            came in time.
        """
        lease = Lease(key, next(self._lease_numbers))
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[lease.number] = reply
        try:
            self._send_lease_request(lease, release=False)
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                allowed = await reply
        except BaseException as error:
            self._send_lease_request(lease, release=True)
            if isinstance(error, TimeoutError):
                return None
            raise
        finally:
            del self._pending_replies[lease.number]
        if not allowed:
            return None
        if isolation_seconds is not None:
            lease.expires_at = self._clock() + isolation_seconds
        self._held_leases[lease.number] = lease
        return lease

    def release(self, lease: Lease) -> None:
        """Release a lease."""
        if self._held_leases.pop(lease.number, None) is not None:
            self._send_lease_request(lease, release=True)

    @Service.task
    async def _run_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(ROUND_PERIOD_SECONDS)
            self.run_round()

    def run_round(self) -> None:
        """Renew leases or release expired ones, and repeat recent strikes."""
        now = self._clock()
        for lease in list(self._held_leases.values()):
            if now >= lease.expires_at:
                self.release(lease)
            else:
                self._send_lease_request(lease, release=False)
        for number, (_, struck_at) in list(self._own_strikes.items()):
            if now - struck_at > STRIKE_REPEAT_SECONDS:
                del self._own_strikes[number]
        for fingerprint, number, loss in self._board.suspect_requests.list_strikes(now):
            if number in self._own_strikes:
                self._broadcast(build_strike(fingerprint, number, loss, now))

    def _send_lease_request(self, lease: Lease, *, release: bool) -> None:
        request = SuspectRequest(lease.key, lease.number, release)
        host = choose_candidate(lease.key.hex(), self._live_incarnations)
        self._link.send(host or self._board.identity.host, request)

    def _broadcast(self, message: Strike | Acquittal) -> None:
        for member in self._board.members.list():
            if member.host != self._board.identity.host:
                self._link.send(member.host, message)

    def _handle_members_change(self) -> None:
        """
        Follow a change of the live members.

        Lease keys may now be managed by other routers, so no new lease is
        granted until leases from the previous ones have expired. New members
        get the strikes.
        """
        incarnations = {
            member.host: member.incarnation
            for member in self._board.members.list()
            if member.state != "leaving"
        }
        if incarnations == self._live_incarnations:
            return
        joined = [
            host
            for host in incarnations
            if incarnations[host] != self._live_incarnations.get(host)
        ]
        self._live_incarnations = incarnations
        self._lease_table.refuse_new_until(self._clock() + LEASE_SECONDS)
        for host in joined:
            self._send_strikes(host)

    def _send_strikes(self, host: str) -> None:
        """Send a new member its share of strikes; others send the rest."""
        own = self._board.identity.host
        if host == own:
            return
        now = self._clock()
        others = [name for name in self._live_incarnations if name != host]
        for fingerprint, number, loss in self._board.suspect_requests.list_strikes(now):
            if choose_candidate(fingerprint.hex(), others) == own:
                self._link.send(host, build_strike(fingerprint, number, loss, now))

    def _handle_strike(self, delivery: Delivery) -> None:
        strike: Strike = delivery.message
        if not (
            0.0 <= strike.age <= STRIKE_LIFETIME_SECONDS
            and 0.0 <= strike.ran < math.inf
        ):
            self._board.control_traffic.count_dropped("malformed")
            return
        now = self._clock()
        loss = ServerLoss(strike.server, now - strike.age, strike.ran, strike.alone)
        self._board.suspect_requests.add_strike(
            strike.fingerprint, strike.strike, loss, now
        )

    def _handle_acquittal(self, delivery: Delivery) -> None:
        acquittal: Acquittal = delivery.message
        if not 0.0 <= acquittal.age <= STRIKE_LIFETIME_SECONDS:
            self._board.control_traffic.count_dropped("malformed")
            return
        cleared_at = self._clock() - acquittal.age
        self._board.suspect_requests.clear_strikes(acquittal.fingerprint, cleared_at)

    def _handle_request(self, delivery: Delivery) -> None:
        request: SuspectRequest = delivery.message
        requester = delivery.sender.format()
        if request.release:
            self._lease_table.release(request.key, requester, request.number)
            return
        allowed = self._lease_table.acquire(
            request.key, requester, request.number, self._clock()
        )
        reply = SuspectReply(request.key, request.number, allowed)
        self._link.send(delivery.sender.host, reply)

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: SuspectReply = delivery.message
        waiter = self._pending_replies.get(reply.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply.allowed)


def build_strike(
    fingerprint: bytes, strike_number: int, loss: ServerLoss, now: float
) -> Strike:
    """Return the message that reports a strike."""
    return Strike(
        fingerprint,
        strike_number,
        now - loss.lost_at,
        loss.server,
        loss.ran_seconds,
        loss.was_isolated,
    )
