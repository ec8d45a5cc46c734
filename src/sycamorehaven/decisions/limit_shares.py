"""
How the routers of a fleet divide the rate that a server takes from them all.

No router sees what the others send. Each one tells the others how many
requests per second arrive at it for a service, and takes the part of a
server's rate that its own demand is of the demand of all. The views differ,
because news take time. The parts still add up to no more than one: a router
counts its own demand with the least that it has told while the others may
still count by it, and the demand of the others with what they told last.

A router that falls silent keeps its part, since it may only be cut off and
still send. A small part is given to the others after a while, a large one much
later, so that of two sides of a cut at most one takes more than its own.

Each router may save up a request or a few while none arrives, so only some
routers send to a server of a small rate, those with more demand sooner than
others. All routers choose the same ones. What they save together is bounded,
so that they do not exceed the limit when all of them are busy at once.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import NamedTuple

import xxhash

SHORT_AVERAGE_SECONDS = 1.0
"""Time constant of the average that follows a change of the demand."""
LONG_AVERAGE_SECONDS = 15.0
"""Time constant of the average that counts while nothing changes."""
CHANCE_DEVIATIONS = 2.5
"""Standard deviations by which the averages differ by chance."""
TOLD_CHANGE_RATIO = 1.3
"""Factor by which the demand has to change to be told anew; each small change
would cost a router the difference until all others know it."""
IDLE_FLEET_DEMAND = 0.5
"""Requests per second that all routers together count at least, so that the
routers of an idle fleet have even parts."""
SAVED_SECONDS = 2.0
"""Seconds of a server's rate that all routers together may save up."""
SAVED_REQUESTS = 4.0
"""Requests to a server that they may save up in addition."""
MAX_SAVED_BY_ONE = 3.0
"""Requests to a server that one router may save up."""
RATE_LIFETIME_RATIO = 0.25
"""Time for which a computed part is used again, as a part of the time in which
all others hear what a router tells."""
MAX_RECLAIMED_RATIO = 0.25
"""Largest part of silent routers that the others take over soon; at most one
side of a cut can do so."""
SILENT_PART_SECONDS = 30.0
"""Time after which the part of silent routers goes to the others in any
case, longer than routers are usually cut off."""
MAX_KNOWN_SERVERS = 1_024
"""Number of servers whose order of routers is remembered."""
HASH_COUNT = 2.0**64
"""Number of the values of a hash."""


class Allowance(NamedTuple):
    """
    What one router may send to one server.

    :ivar rate: requests per second.
    :ivar saved: requests that may be saved up.
    """

    rate: float
    saved: float


NO_ALLOWANCE = Allowance(0.0, 0.0)


class ToldDemand(NamedTuple):
    """
    The demand of another router.

    :ivar rate: requests per second.
    :ivar heard_at: when it was last heard, in monotonic seconds.
    """

    rate: float
    heard_at: float


class MovingRate:
    """
    Moving average of events per second.

    :param time_constant: its time constant, in seconds.
    """

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._sum = 0.0
        self._weight = 0.0
        self._updated_at: float | None = None

    def record(self, now: float) -> None:
        """Record an event."""
        self._advance(now)
        self._sum += 1.0

    def get(self, now: float) -> float:
        """Return the events per second, 0 if nothing was recorded."""
        self._advance(now)
        return self._sum / self._weight if self._weight else 0.0

    def _advance(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        elapsed = max(now - self._updated_at, 0.0)
        decay = math.exp(-elapsed / self._time_constant)
        self._updated_at = now
        self._sum *= decay
        self._weight = self._weight * decay + self._time_constant * (1.0 - decay)


class ArrivalRate:
    """
    Requests per second that arrive for a service.

    A long average is steady where requests are rare; a short one replaces it
    once it differs by more than chance explains.
    """

    def __init__(self) -> None:
        self._short = MovingRate(SHORT_AVERAGE_SECONDS)
        self._long = MovingRate(LONG_AVERAGE_SECONDS)

    def record(self, now: float) -> None:
        """Record an arrival."""
        self._short.record(now)
        self._long.record(now)

    def get(self, now: float) -> float:
        """Return the requests per second."""
        short, long = self._short.get(now), self._long.get(now)
        deviation = math.sqrt(long / (2.0 * SHORT_AVERAGE_SECONDS))
        return short if abs(short - long) > CHANCE_DEVIATIONS * deviation else long


class ServiceShares:
    """
    The parts of the rates of one service's servers.

    :param host: host of this router.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._arrivals = ArrivalRate()
        # When each demand was told first; the last one still holds.
        self._told: deque[tuple[float, float]] = deque()
        self._told_at = -math.inf
        self._has_gap = False
        self._others: dict[str, ToldDemand] = {}
        self._demands: dict[str, float] = {}
        self._counted_at = -math.inf
        self._allowances: dict[tuple[str, float], Allowance] = {}
        self._distances: dict[str, dict[str, float]] = {}

    def record_arrival(self, now: float) -> None:
        """Record that a request for the service has arrived."""
        self._arrivals.record(now)

    def tell_demand(self, settle_seconds: float, members: int, now: float) -> float:
        """
        Return the demand to tell the others, which counts as told.

        :param settle_seconds: time in which all others hear what is told.
        :param members: number of routers.
        """
        if self._told and now - self._told_at > settle_seconds:
            # The others may have stopped counting by what was told before.
            self._told.clear()
            self._has_gap = True
        floor = IDLE_FLEET_DEMAND / members
        demand = max(self._arrivals.get(now), floor)
        if not self._told or _differs(demand, self._told[-1][1]):
            self._told.append((now, demand))
        self._told_at = now
        return self._told[-1][1]

    def forget_demands(self) -> None:
        """Forget what was told, because no server names a limit any more."""
        self._told.clear()
        self._others.clear()
        self._has_gap = False
        self._counted_at = -math.inf

    def record_demand(self, host: str, rate: float, now: float) -> None:
        """Record the demand that another router has told."""
        self._others[host] = ToldDemand(rate, now)

    def record_heard(self, host: str, now: float) -> None:
        """Record that another router was heard, whose demand is unchanged."""
        if host in self._others:
            self._others[host] = self._others[host]._replace(heard_at=now)

    def get_allowance(
        self,
        server: str,
        limit: float,
        settle_seconds: float,
        now: float,
        *,
        even_part: float = 0.0,
    ) -> Allowance:
        """
        Return what this router may send to a server.

        :param server: the server's incarnation.
        :param limit: requests per second that it takes from all routers.
        :param settle_seconds: time in which all others hear what is told.
        :param even_part: part of the limit until the demands of the others
            are known.
        """
        if not self._has_settled(settle_seconds, now):
            return NO_ALLOWANCE if self._has_gap else Allowance(limit * even_part, 1.0)
        if now - self._counted_at >= RATE_LIFETIME_RATIO * settle_seconds:
            self._count_demands(settle_seconds, now)
        if self._host not in self._demands:
            return NO_ALLOWANCE
        known = self._allowances.get((server, limit))
        if known is None:
            known = self._allowances[server, limit] = self._divide(server, limit)
        return known

    def _has_settled(self, settle_seconds: float, now: float) -> bool:
        """Return whether all others have heard what this router has told."""
        needed = settle_seconds * (1.0 + RATE_LIFETIME_RATIO)
        return bool(self._told) and self._told[0][0] <= now - needed

    def _count_demands(self, settle_seconds: float, now: float) -> None:
        """Count the demand of all routers anew."""
        self._counted_at = now
        self._allowances.clear()
        settle_seconds *= 1.0 + RATE_LIFETIME_RATIO
        self._demands = self._count_others(settle_seconds, now)
        if own := self._count_own(settle_seconds, now):
            self._demands[self._host] = own

    def _divide(self, server: str, limit: float) -> Allowance:
        saved = SAVED_SECONDS * limit + SAVED_REQUESTS
        demands = self._choose_heaviest(server, int(saved))
        if self._host not in demands:
            return NO_ALLOWANCE
        return Allowance(
            limit * demands[self._host] / sum(demands.values()),
            min(saved / len(demands), MAX_SAVED_BY_ONE),
        )

    def _choose_heaviest(self, server: str, count: int) -> dict[str, float]:
        """
        Return the routers that send to a server, with their demands.

        Weighted rendezvous hashing: all routers choose the same ones, each
        with a probability that grows with its demand.
        """
        demands = self._demands
        if len(demands) <= count:
            return demands
        if len(self._distances) >= MAX_KNOWN_SERVERS:
            self._distances.clear()
        distances = self._distances.setdefault(server, {})
        for host in demands.keys() - distances.keys():
            digest = xxhash.xxh3_64_intdigest(f"{server}\0{host}".encode())
            distances[host] = -math.log((digest + 0.5) / HASH_COUNT)
        chosen = heapq.nsmallest(
            count, demands, key=lambda host: distances[host] / demands[host]
        )
        return {host: demands[host] for host in chosen}

    def _count_own(self, settle_seconds: float, now: float) -> float:
        """Return the least demand by which others may count this router."""
        if not self._told or now - self._told_at > settle_seconds:
            return 0.0
        oldest_heard_at = min(
            (demand.heard_at for demand in self._others.values()), default=now
        )
        since = now - settle_seconds
        if now - oldest_heard_at > settle_seconds:
            since = oldest_heard_at - settle_seconds
        if self._told[0][0] > since:
            return 0.0
        while len(self._told) > 1 and self._told[1][0] <= since:
            self._told.popleft()
        return min(rate for _, rate in self._told)

    def _count_others(self, settle_seconds: float, now: float) -> dict[str, float]:
        """Return the demand of the other routers that may send."""
        for host, demand in list(self._others.items()):
            if now - demand.heard_at > SILENT_PART_SECONDS:
                del self._others[host]
        silent = {
            host
            for host, demand in self._others.items()
            if now - demand.heard_at > 2.0 * settle_seconds
        }
        if silent:
            silent_rate = sum(self._others[host].rate for host in silent)
            total = sum(demand.rate for demand in self._others.values())
            total += self._told[-1][1] if self._told else 0.0
            if silent_rate <= MAX_RECLAIMED_RATIO * total:
                for host in silent:
                    del self._others[host]
        return {host: demand.rate for host, demand in self._others.items()}


def _differs(demand: float, told: float) -> bool:
    """Return whether a demand differs much from what was told."""
    return not told / TOLD_CHANGE_RATIO <= demand <= told * TOLD_CHANGE_RATIO
