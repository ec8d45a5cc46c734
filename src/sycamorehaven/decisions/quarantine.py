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

STRIKE_LIFETIME = 600.0
"""Seconds after its last strike in which a request stays suspect."""
SAME_LOSS = 5.0
"""Seconds in which strikes by one server's loss count once."""
MOST_SUSPECTS = 4_096
"""Suspect requests remembered by one router."""
MOST_STRIKES = 8
"""Strikes remembered for one request."""
LEASE_TIME = 3.0
"""Seconds that an unrenewed lease on a suspect run lasts."""
MOST_LEASES = 8_192
PROBATION = 1.0
"""Seconds that a suspect has a server to itself, beside twice the time that
it ran before."""


class Loss(NamedTuple):
    """
    A server lost while it ran a request.

    :ivar server: the backend server.
    :ivar at: when, monotonic seconds.
    :ivar ran: seconds that the request had run.
    :ivar alone: whether no other suspect was on the server.
    """

    server: str
    at: float
    ran: float
    alone: bool


class Judgement(NamedTuple):
    """
    How a request is treated.

    :ivar state: ``"clear"``, ``"suspect"`` or ``"quarantined"``.
    :ivar left: seconds until the strikes are forgotten.
    :ivar probation: seconds for which it has a server to itself.
    """

    state: Literal["clear", "suspect", "quarantined"]
    left: float = 0.0
    probation: float = 0.0


CLEAR = Judgement("clear")


class Suspicion:
    """Strikes of one request."""

    def __init__(self) -> None:
        self._losses: dict[int, Loss] = {}
        self._cleared_at = float("-inf")

    @property
    def losses(self) -> dict[int, Loss]:
        """Losses by strike number."""
        return self._losses

    @property
    def newest(self) -> float:
        """When the last strike or clearance was, monotonic seconds."""
        return max([self._cleared_at, *(loss.at for loss in self._losses.values())])

    def add(self, strike: int, loss: Loss) -> bool:
        """Add a strike; return whether it is new."""
        if strike in self._losses or loss.at <= self._cleared_at:
            return False
        self._losses[strike] = loss
        if len(self._losses) > MOST_STRIKES:
            del self._losses[self._find_dispensable()]
        return True

    def clear(self, at: float) -> bool:
        """Forget strikes up to a time; return whether any was forgotten."""
        self._cleared_at = max(self._cleared_at, at)
        kept = {n: loss for n, loss in self._losses.items() if loss.at > at}
        forgotten = len(kept) < len(self._losses)
        self._losses = kept
        return forgotten

    def count(self) -> int:
        """Return how many servers were lost, each loss once."""
        alone = sum(loss.alone for loss in self._losses.values())
        shared = sorted(
            (loss.server, loss.at) for loss in self._losses.values() if not loss.alone
        )
        groups, previous = 0, ("", float("-inf"))
        for server, at in shared:
            if server != previous[0] or at - previous[1] > SAME_LOSS:
                groups += 1
            previous = server, at
        return alone + groups

    def judge(self, now: float) -> Judgement:
        """Return how the request is treated."""
        left = self.newest + STRIKE_LIFETIME - now
        if not self._losses or left <= 0.0:
            return CLEAR
        longest = max(loss.ran for loss in self._losses.values())
        proven = any(loss.alone for loss in self._losses.values())
        state: Literal["suspect", "quarantined"] = "suspect"
        if proven and self.count() > 1:
            state = "quarantined"
        return Judgement(state, left, PROBATION + 2.0 * longest)

    def _find_dispensable(self) -> int:
        return min(
            self._losses,
            key=lambda n: (self._losses[n].alone, self._losses[n].at),
        )


class SuspectTable:
    """Suspect requests by fingerprint, in bounded memory."""

    def __init__(self, most: int = MOST_SUSPECTS) -> None:
        self._most = most
        self._suspicions: OrderedDict[bytes, Suspicion] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspicions)

    def add(self, fingerprint: bytes, strike: int, loss: Loss, now: float) -> bool:
        """Add a strike; return whether it is new."""
        if now - loss.at > STRIKE_LIFETIME:
            return False
        suspicion = self._suspicions.setdefault(fingerprint, Suspicion())
        self._suspicions.move_to_end(fingerprint)
        added = suspicion.add(strike, loss)
        self._expire(now)
        return added

    def clear(self, fingerprint: bytes, at: float) -> bool:
        """Forget strikes of a request; return whether it had any."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and suspicion.clear(at)

    def judge(self, fingerprint: bytes, now: float) -> Judgement:
        """Return how a request is treated."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion.judge(now) if suspicion else CLEAR

    def list(self, now: float) -> list[tuple[bytes, int, Loss]]:
        """Return every strike that counts: fingerprint, number and loss."""
        self._expire(now)
        return [
            (fingerprint, strike, loss)
            for fingerprint, suspicion in self._suspicions.items()
            for strike, loss in suspicion.losses.items()
        ]

    def _expire(self, now: float) -> None:
        while self._suspicions:
            oldest = next(iter(self._suspicions.values()))
            fits = len(self._suspicions) <= self._most
            if fits and now - oldest.newest <= STRIKE_LIFETIME:
                return
            self._suspicions.popitem(last=False)


class LeaseHolder(NamedTuple):
    """
    Who holds a lease.

    :ivar router: the router, ``host/incarnation``.
    :ivar number: the lease's number there.
    :ivar expires_at: when it ends unless renewed, monotonic seconds.
    """

    router: str
    number: int
    expires_at: float


class LeaseTable:
    """Leases that one router gives out; each key has one holder at a time."""

    def __init__(self) -> None:
        self._holders: OrderedDict[bytes, LeaseHolder] = OrderedDict()
        self._closed_until = float("-inf")

    def __len__(self) -> int:
        return len(self._holders)

    def close_until(self, moment: float) -> None:
        """Give no new lease until a time: a former table's may still run."""
        self._closed_until = max(self._closed_until, moment)

    def take(self, key: bytes, router: str, number: int, now: float) -> bool:
        """Give or renew a lease; return whether the asker holds it."""
        self._expire(now)
        held = self._holders.get(key)
        if held is not None and held[:2] != (router, number):
            return False
        if held is None and (
            now < self._closed_until or len(self._holders) >= MOST_LEASES
        ):
            return False
        self._holders[key] = LeaseHolder(router, number, now + LEASE_TIME)
        self._holders.move_to_end(key)
        return True

    def release(self, key: bytes, router: str, number: int) -> None:
        """End a lease; another's is left alone."""
        held = self._holders.get(key)
        if held is not None and held[:2] == (router, number):
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
