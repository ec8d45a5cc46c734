"""
Which requests are suspected of crashing backend servers.

A strike is the loss of a server while it ran a request. Many innocent
requests run beside the one that crashes a server, so a request is quarantined
only after a loss during a run in which no other suspect shared the server. A
whole answer clears a request.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

import xxhash

STRIKE_LIFETIME_SECONDS = 600.0
"""Seconds after its last strike in which a request stays suspect."""
LOSS_GROUPING_SECONDS = 5.0
"""Seconds in which strikes by one server's loss count once."""
MAX_SUSPECTS = 4_096
"""Suspect requests remembered by one router."""
MAX_STRIKES = 8
"""Strikes remembered for one request."""
LEASE_SECONDS = 3.0
"""Seconds that an unrenewed lease on a suspect run lasts."""
MAX_LEASES = 8_192
MIN_ISOLATION_SECONDS = 1.0
"""Seconds that a suspect has a server to itself, beside twice the time that
it ran before."""


class ServerLoss(NamedTuple):
    """
    A server lost while it ran a request.

    :ivar server: the backend server.
    :ivar at: when, monotonic seconds.
    :ivar ran: seconds that the request had run.
    :ivar alone: whether no other suspect was on the server.
    """

    server: str
    lost_at: float
    ran_seconds: float
    was_isolated: bool


class QuarantineStatus(NamedTuple):
    """
    How a request is treated.

    :ivar state: ``"clear"``, ``"suspect"`` or ``"quarantined"``.
    :ivar left: seconds until the strikes are forgotten.
    :ivar probation: seconds for which it has a server to itself.
    """

    state: Literal["clear", "suspect", "quarantined"]
    remaining_seconds: float = 0.0
    isolation_seconds: float = 0.0


CLEAR_STATUS = QuarantineStatus("clear")


class RequestStrikes:
    """Strikes of one request."""

    def __init__(self) -> None:
        self._losses: dict[int, ServerLoss] = {}
        self._cleared_at = float("-inf")

    @property
    def losses(self) -> dict[int, ServerLoss]:
        """Losses by strike number."""
        return self._losses

    @property
    def changed_at(self) -> float:
        """When the last strike or clearance was, monotonic seconds."""
        return max(
            [self._cleared_at, *(loss.lost_at for loss in self._losses.values())]
        )

    def add_strike(self, strike: int, loss: ServerLoss) -> bool:
        """Add a strike; return whether it is new."""
        if strike in self._losses or loss.lost_at <= self._cleared_at:
            return False
        self._losses[strike] = loss
        if len(self._losses) > MAX_STRIKES:
            del self._losses[self._choose_evicted_strike()]
        return True

    def clear_until(self, moment: float) -> bool:
        """Forget strikes up to a time; return whether any was forgotten."""
        self._cleared_at = max(self._cleared_at, moment)
        kept = {n: loss for n, loss in self._losses.items() if loss.lost_at > moment}
        forgotten = len(kept) < len(self._losses)
        self._losses = kept
        return forgotten

    def count_losses(self) -> int:
        """Return how many servers were lost, each loss once."""
        alone = sum(loss.was_isolated for loss in self._losses.values())
        shared = sorted(
            (loss.server, loss.lost_at)
            for loss in self._losses.values()
            if not loss.was_isolated
        )
        groups, previous = 0, ("", float("-inf"))
        for server, at in shared:
            if server != previous[0] or at - previous[1] > LOSS_GROUPING_SECONDS:
                groups += 1
            previous = server, at
        return alone + groups

    def assess(self, now: float) -> QuarantineStatus:
        """Return how the request is treated."""
        remaining = self.changed_at + STRIKE_LIFETIME_SECONDS - now
        if not self._losses or remaining <= 0.0:
            return CLEAR_STATUS
        longest = max(loss.ran_seconds for loss in self._losses.values())
        has_isolated_loss = any(loss.was_isolated for loss in self._losses.values())
        state: Literal["suspect", "quarantined"] = "suspect"
        if has_isolated_loss and self.count_losses() > 1:
            state = "quarantined"
        return QuarantineStatus(state, remaining, MIN_ISOLATION_SECONDS + 2.0 * longest)

    def _choose_evicted_strike(self) -> int:
        return min(
            self._losses,
            key=lambda n: (self._losses[n].was_isolated, self._losses[n].lost_at),
        )


class SuspectTable:
    """Suspect requests by fingerprint, in bounded memory."""

    def __init__(self, max_suspects: int = MAX_SUSPECTS) -> None:
        self._max_suspects = max_suspects
        self._strikes_by_request: OrderedDict[bytes, RequestStrikes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._strikes_by_request)

    def add_strike(
        self, fingerprint: bytes, strike: int, loss: ServerLoss, now: float
    ) -> bool:
        """Add a strike; return whether it is new."""
        if now - loss.lost_at > STRIKE_LIFETIME_SECONDS:
            return False
        strikes = self._strikes_by_request.setdefault(fingerprint, RequestStrikes())
        self._strikes_by_request.move_to_end(fingerprint)
        added = strikes.add_strike(strike, loss)
        self._expire(now)
        return added

    def clear_strikes(self, fingerprint: bytes, moment: float) -> bool:
        """Forget strikes of a request; return whether it had any."""
        strikes = self._strikes_by_request.get(fingerprint)
        return strikes is not None and strikes.clear_until(moment)

    def assess(self, fingerprint: bytes, now: float) -> QuarantineStatus:
        """Return how a request is treated."""
        strikes = self._strikes_by_request.get(fingerprint)
        return strikes.assess(now) if strikes else CLEAR_STATUS

    def list_strikes(self, now: float) -> list[tuple[bytes, int, ServerLoss]]:
        """Return every strike that counts: fingerprint, number and loss."""
        self._expire(now)
        return [
            (fingerprint, strike, loss)
            for fingerprint, suspicion in self._strikes_by_request.items()
            for strike, loss in suspicion.losses.items()
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
    Who holds a lease.

    :ivar router: the router, ``host/incarnation``.
    :ivar number: the lease's number there.
    :ivar expires_at: when it ends unless renewed, monotonic seconds.
    """

    router: str
    lease_number: int
    expires_at: float


class LeaseTable:
    """Leases that one router gives out; each key has one holder at a time."""

    def __init__(self) -> None:
        self._holders: OrderedDict[bytes, LeaseHolder] = OrderedDict()
        self._refused_until = float("-inf")

    def __len__(self) -> int:
        return len(self._holders)

    def refuse_new_until(self, moment: float) -> None:
        """Give no new lease until a time: a former table's may still run."""
        self._refused_until = max(self._refused_until, moment)

    def acquire(self, key: bytes, router: str, lease_number: int, now: float) -> bool:
        """Give or renew a lease; return whether the asker holds it."""
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
        """End a lease; another's is left alone."""
        holder = self._holders.get(key)
        if holder is not None and holder[:2] == (router, lease_number):
            del self._holders[key]

    def _expire(self, now: float) -> None:
        while self._holders:
            key, oldest = next(iter(self._holders.items()))
            if oldest.expires_at > now:
                return
            del self._holders[key]


def hash_request(
    workspace: str, service: str, method: str, path: str, body: bytes
) -> bytes:
    """Return the fingerprint of a request, 16 bytes of xxh3-128."""
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
