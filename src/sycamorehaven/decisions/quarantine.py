"""
Detection of requests that crash backend servers.

A request receives a strike when a server is lost while it runs the request. A
crash also strikes the innocent requests that run on the same server. A request
is therefore quarantined only after a loss during a run in which no other
suspect request shared the server. A complete answer clears the request.

Leases keep two runs of one suspect request, and two suspect requests on one
server, from running at the same time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

import xxhash

STRIKE_LIFETIME_SECONDS = 600.0
"""Time after its last strike for which a request stays suspect."""
LOSS_GROUPING_SECONDS = 5.0
"""Time within which strikes from the loss of one server count once."""
MAX_SUSPECTS = 4_096
"""Limit on the suspect requests that one router remembers."""
MAX_STRIKES = 8
"""Limit on the strikes that are remembered per request."""
LEASE_SECONDS = 3.0
"""Time after which a lease expires unless it is renewed."""
MAX_LEASES = 8_192
"""Limit on the leases that one router grants at a time."""
BASE_ISOLATION_SECONDS = 1.0
"""Time that a suspect request has a server to itself, in addition to twice the
duration of its longest run before a loss."""


class ServerLoss(NamedTuple):
    """
    Loss of a server while it ran a request.

    :ivar server: name of the backend server.
    :ivar lost_at: when it was lost, monotonic seconds.
    :ivar ran_seconds: how long the request had run.
    :ivar was_isolated: whether no other suspect request ran on the server.
    """

    server: str
    lost_at: float
    ran_seconds: float
    was_isolated: bool


class QuarantineStatus(NamedTuple):
    """
    Assessment of a request by its strikes.

    :ivar state: ``"clear"``, ``"suspect"`` or ``"quarantined"``.
    :ivar remaining_seconds: time until the strikes expire.
    :ivar isolation_seconds: time for which a suspect request has a server
        without other suspect requests.
    """

    state: Literal["clear", "suspect", "quarantined"]
    remaining_seconds: float = 0.0
    isolation_seconds: float = 0.0


CLEAR_STATUS = QuarantineStatus("clear")
"""Status of a request without strikes."""


class RequestStrikes:
    """Strikes of one request, each for the loss of a server."""

    def __init__(self) -> None:
        self._losses: dict[int, ServerLoss] = {}
        self._cleared_at = float("-inf")

    @property
    def losses(self) -> dict[int, ServerLoss]:
        """Losses by strike number."""
        return self._losses

    @property
    def changed_at(self) -> float:
        """Time of the last strike or clearance, monotonic seconds."""
        return max(
            [self._cleared_at, *(loss.lost_at for loss in self._losses.values())]
        )

    def add_strike(self, strike_number: int, loss: ServerLoss) -> bool:
        """
        Add a strike unless it is known or older than the last clearance.

        :param strike_number: random number that identifies the strike.
        :param loss: the loss of the server.
        :returns: whether the strike was added.
        """
        if strike_number in self._losses or loss.lost_at <= self._cleared_at:
            return False
        self._losses[strike_number] = loss
        if len(self._losses) > MAX_STRIKES:
            del self._losses[self._choose_evicted_strike()]
        return True

    def clear_until(self, moment: float) -> bool:
        """
        Remove strikes up to ``moment``; return whether there were any.

        :param moment: monotonic seconds.
        """
        self._cleared_at = max(self._cleared_at, moment)
        kept = {
            number: loss
            for number, loss in self._losses.items()
            if loss.lost_at > moment
        }
        has_removed = len(kept) < len(self._losses)
        self._losses = kept
        return has_removed

    def count_losses(self) -> int:
        """Return how many servers were lost, counting each loss once."""
        isolated_losses = sum(loss.was_isolated for loss in self._losses.values())
        shared = sorted(
            (loss.server, loss.lost_at)
            for loss in self._losses.values()
            if not loss.was_isolated
        )
        shared_losses, previous = 0, ("", float("-inf"))
        for server, lost_at in shared:
            if server != previous[0] or lost_at - previous[1] > LOSS_GROUPING_SECONDS:
                shared_losses += 1
            previous = server, lost_at
        return isolated_losses + shared_losses

    def assess(self, now: float) -> QuarantineStatus:
        """Return the status of the request."""
        remaining = self.changed_at + STRIKE_LIFETIME_SECONDS - now
        if not self._losses or remaining <= 0.0:
            return CLEAR_STATUS
        longest_run = max(loss.ran_seconds for loss in self._losses.values())
        has_isolated_loss = any(loss.was_isolated for loss in self._losses.values())
        state: Literal["suspect", "quarantined"] = "suspect"
        if has_isolated_loss and self.count_losses() > 1:
            state = "quarantined"
        return QuarantineStatus(
            state, remaining, BASE_ISOLATION_SECONDS + 2.0 * longest_run
        )

    def _choose_evicted_strike(self) -> int:
        return min(
            self._losses,
            key=lambda number: (
                self._losses[number].was_isolated,
                self._losses[number].lost_at,
            ),
        )


class SuspectTable:
    """Strikes of suspect requests by fingerprint, in bounded memory."""

    def __init__(self, max_suspects: int = MAX_SUSPECTS) -> None:
        self._max_suspects = max_suspects
        self._strikes_by_request: OrderedDict[bytes, RequestStrikes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._strikes_by_request)

    def add_strike(
        self, fingerprint: bytes, strike_number: int, loss: ServerLoss, now: float
    ) -> bool:
        """Add a strike to a request; return whether it was added."""
        if now - loss.lost_at > STRIKE_LIFETIME_SECONDS:
            return False
        strikes = self._strikes_by_request.setdefault(fingerprint, RequestStrikes())
        self._strikes_by_request.move_to_end(fingerprint)
        is_new = strikes.add_strike(strike_number, loss)
        self._expire(now)
        return is_new

    def clear_strikes(self, fingerprint: bytes, moment: float) -> bool:
        """
        Remove strikes up to ``moment``; return whether there were any.

        :param moment: monotonic seconds.
        """
        strikes = self._strikes_by_request.get(fingerprint)
        return strikes is not None and strikes.clear_until(moment)

    def assess(self, fingerprint: bytes, now: float) -> QuarantineStatus:
        """Return the status of a request."""
        strikes = self._strikes_by_request.get(fingerprint)
        return strikes.assess(now) if strikes else CLEAR_STATUS

    def list_strikes(self, now: float) -> list[tuple[bytes, int, ServerLoss]]:
        """Return all unexpired strikes as fingerprint, number and loss."""
        self._expire(now)
        return [
            (fingerprint, strike_number, loss)
            for fingerprint, strikes in self._strikes_by_request.items()
            for strike_number, loss in strikes.losses.items()
        ]

    def _expire(self, now: float) -> None:
        while self._strikes_by_request:
            oldest = next(iter(self._strikes_by_request.values()))
            fits = len(self._strikes_by_request) <= self._max_suspects
            if fits and now - oldest.changed_at <= STRIKE_LIFETIME_SECONDS:
                return
            self._strikes_by_request.popitem(last=False)


class LeaseHolder(NamedTuple):
    """
    Holder of a lease.

    :ivar router: identity of the router, ``host/incarnation``.
    :ivar lease_number: number that this router gave the lease.
    :ivar expires_at: when the lease expires unless renewed, monotonic seconds.
    """

    router: str
    lease_number: int
    expires_at: float


class LeaseTable:
    """Leases that one router grants; each key has one holder at a time."""

    def __init__(self) -> None:
        self._holders: OrderedDict[bytes, LeaseHolder] = OrderedDict()
        self._refused_until = float("-inf")

    def __len__(self) -> int:
        return len(self._holders)

    def refuse_new_until(self, moment: float) -> None:
        """
        Grant no new lease until ``moment``, in monotonic seconds.

        Until then, leases that another router granted before may be valid.
        """
        self._refused_until = max(self._refused_until, moment)

    def acquire(self, key: bytes, router: str, lease_number: int, now: float) -> bool:
        """Grant or renew a lease; return whether the router holds it."""
        self._expire(now)
        holder = self._holders.get(key)
        if holder is not None and holder[:2] != (router, lease_number):
            return False
        if holder is None and (
            now < self._refused_until or len(self._holders) >= MAX_LEASES
        ):
            return False
        self._holders[key] = LeaseHolder(router, lease_number, now + LEASE_SECONDS)
        self._holders.move_to_end(key)
        return True

    def release(self, key: bytes, router: str, lease_number: int) -> None:
        """Release a lease if the router holds it under this number."""
        holder = self._holders.get(key)
        if holder is not None and holder[:2] == (router, lease_number):
            del self._holders[key]

    def _expire(self, now: float) -> None:
        while self._holders:
            key, oldest = next(iter(self._holders.items()))
            if oldest.expires_at > now:
                return
            del self._holders[key]


def fingerprint_request(
    workspace: str, service: str, method: str, path: str, body: bytes
) -> bytes:
    """Return the fingerprint of a request, a 16-byte xxh3-128 hash."""
    state = xxhash.xxh3_128()
    for part in (workspace, service, method, path):
        data = part.encode("utf-8", "surrogateescape")
        state.update(len(data).to_bytes(4))
        state.update(data)
    state.update(body)
    return state.digest()


def hash_server(server: str) -> bytes:
    """Return the lease key of a backend server, 16 bytes."""
    return xxhash.xxh3_128_digest(f"server\0{server}".encode())
