"""A fleet that divides the rate of servers, on a simulated clock."""

from __future__ import annotations

import bisect
import random
from typing import NamedTuple

from sycamorehaven.decisions.limit_shares import ServiceShares
from sycamorehaven.decisions.news_routes import (
    choose_broadcast_period_seconds,
    choose_settle_seconds,
    uses_collectors,
)
from sycamorehaven.decisions.pacing import Pacer

STEP_SECONDS = 0.05
"""Simulated time between two looks at what is due."""
WARM_UP_SECONDS = 10.0
"""Time for which requests arrive before the servers name their limits."""
MAX_WAIT_SECONDS = 0.3
"""Time for which a request waits at a router before it is refused."""
MIN_TELL_SECONDS = 0.2
"""Least time between two messages of a router."""


class Fault(NamedTuple):
    """
    A fault that befalls routers.

    :ivar kind: ``"kill"`` (it comes back knowing nothing), ``"freeze"``,
        ``"cut"`` (it hears only others that are cut, and they only it) or
        ``"join"`` (it is not there before).
    :ivar routers: numbers of the routers.
    :ivar begins_at: when it begins, in seconds.
    :ivar ends_at: when it ends.
    """

    kind: str
    routers: frozenset[int]
    begins_at: float
    ends_at: float


class FleetPlan(NamedTuple):
    """
    What happens to a fleet.

    :ivar routers: number of routers.
    :ivar limits: requests per second of each server; all are of one service.
    :ivar demand: requests per second of all routers together, as a multiple of
        the limits.
    :ivar skew: exponent of the demand of routers by their rank; 0 for even.
    :ivar shift_seconds: time after which the demand moves to other routers.
    :ivar faults: the faults.
    :ivar seconds: length of the simulation.
    :ivar seed: seed of everything random.
    """

    routers: int
    limits: tuple[float, ...]
    demand: float = 1.5
    skew: float = 0.0
    shift_seconds: float = 1e9
    faults: tuple[Fault, ...] = ()
    seconds: float = 30.0
    seed: int = 1


class SimulatedRouter:
    """
    A router that sends to servers of one service within its part of each.

    :param number: its number in the fleet.
    :param servers: names of the servers.
    """

    def __init__(self, number: int, servers: list[str], now: float) -> None:
        self.host = f"r{number}"
        self.shares = ServiceShares(self.host)
        self.pacers = {name: Pacer(now) for name in servers}
        self.waiting: list[float] = []
        self.next_tell_at = now


class LimitedFleet:
    """
    Routers whose requests all want the limited servers.

    :param plan: what happens.
    :ivar arrivals: times at which requests reach each server.
    :ivar refused: number of requests that found no server in time.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._limits = {f"s{n}": limit for n, limit in enumerate(plan.limits)}
        period = choose_broadcast_period_seconds(plan.routers)
        self._period = max(period, MIN_TELL_SECONDS)
        self._settle_seconds = choose_settle_seconds(plan.routers)
        self._longest_delay = 1.0 if uses_collectors(plan.routers) else 0.1
        self._routers = [
            SimulatedRouter(n, list(self._limits), 0.0) for n in range(plan.routers)
        ]
        for router in self._routers:
            router.next_tell_at = self._random.uniform(0.0, self._period)
        self._messages: list[tuple[float, int, int, float]] = []
        self._down: set[int] = set()
        self.arrivals: dict[str, list[float]] = {name: [] for name in self._limits}
        self.refused = 0

    def run(self) -> None:
        """Simulate the plan; requests arrive also before the limits."""
        weights = self._draw_weights(0.0)
        for router, weight in zip(self._routers, weights, strict=True):
            for step in range(-int(WARM_UP_SECONDS / STEP_SECONDS), 0):
                self._receive_requests(router, weight, step * STEP_SECONDS)
            router.waiting.clear()
        for step in range(int(self._plan.seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._apply_faults(now)
            self._deliver(now)
            weights = self._draw_weights(now)
            for number, router in enumerate(self._routers):
                if number in self._down or self._is_in("freeze", number, now):
                    continue
                self._tell(number, router, now)
                self._receive_requests(router, weights[number], now)
                self._send_requests(router, now)

    def get_usage(self, server: str, begin: float, end: float) -> float:
        """Return the part of its limit that a server got between two times."""
        count = sum(begin <= time < end for time in self.arrivals[server])
        return count / (self._limits[server] * (end - begin))

    def count_excess(self, server: str, begin: float) -> float:
        """
        Return by how much the fullest window exceeds the allowance.

        :param begin: when windows begin at the earliest, in seconds.
        """
        times = sorted(time for time in self.arrivals[server] if time >= begin)
        most = max(
            (bisect.bisect_left(times, t + 4.0) - n for n, t in enumerate(times)),
            default=0,
        )
        return most - (1.5 * 4.0 * self._limits[server] + 5.0)

    def _is_in(self, kind: str, number: int, now: float) -> bool:
        return any(
            fault.kind == kind
            and number in fault.routers
            and fault.begins_at <= now < fault.ends_at
            for fault in self._plan.faults
        )

    def _apply_faults(self, now: float) -> None:
        for number in range(self._plan.routers):
            is_down = self._is_in("kill", number, now) or self._is_in(
                "join", number, now
            )
            if is_down:
                self._down.add(number)
            elif number in self._down:
                self._down.remove(number)
                self._routers[number] = SimulatedRouter(number, list(self._limits), now)

    def _draw_weights(self, now: float) -> list[float]:
        """Return the part of the demand that arrives at each router."""
        routers, plan = self._plan.routers, self._plan
        shift = int(now / plan.shift_seconds) * 7
        raw = [
            (1.0 + (number + shift) % routers) ** -plan.skew
            for number in range(routers)
        ]
        total = sum(raw)
        return [weight / total for weight in raw]

    def _tell(self, number: int, router: SimulatedRouter, now: float) -> None:
        if now < router.next_tell_at:
            return
        router.next_tell_at = now + self._period
        demand = router.shares.tell_demand(
            self._settle_seconds, self._plan.routers, now
        )
        is_cut = self._is_in("cut", number, now)
        # Collectors pass a report on to all routers at about the same time.
        delay = self._random.uniform(0.0, self._longest_delay)
        for other in range(self._plan.routers):
            if other != number and self._is_in("cut", other, now) == is_cut:
                self._messages.append((now + delay, number, other, demand))

    def _deliver(self, now: float) -> None:
        waiting = []
        for message in self._messages:
            due, sender, receiver, demand = message
            if due > now or self._is_in("freeze", receiver, now):
                waiting.append(message)
            elif receiver not in self._down:
                shares = self._routers[receiver].shares
                shares.record_demand(f"r{sender}", demand, now)
        self._messages = waiting

    def _receive_requests(
        self, router: SimulatedRouter, weight: float, now: float
    ) -> None:
        rate = self._plan.demand * sum(self._limits.values()) * weight
        due = self._random.expovariate(rate)
        while due < STEP_SECONDS:
            router.shares.record_arrival(now + due)
            router.waiting.append(now + due)
            due += self._random.expovariate(rate)

    def _send_requests(self, router: SimulatedRouter, now: float) -> None:
        kept = [time for time in router.waiting if now - time < MAX_WAIT_SECONDS]
        self.refused += len(router.waiting) - len(kept)
        router.waiting = kept
        if not kept:
            return
        names = list(self._limits)
        self._random.shuffle(names)
        for name in names:
            pacer = router.pacers[name]
            allowance = router.shares.get_allowance(
                name, self._limits[name], self._settle_seconds, now
            )
            pacer.set_rate(allowance.rate, allowance.saved, now)
            while router.waiting and pacer.get_opening(now) <= now:
                pacer.take()
                router.waiting.pop(0)
                self.arrivals[name].append(now)
