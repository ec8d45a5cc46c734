"""
Ways to share totals of service: ``python -m benchmarks.sharing [NAME]``.

Five servers of unequal speed, each with a scheduler of its own, serve sixteen
workspaces that always wait. Five of them reach the three slow servers only,
five the two fast ones only, six all of them, so that shares are equal only if
schedulers know what the others gave. Costs have a heavy tail. Every way to
share runs with the same seeds; bytes are those of the encoded messages.
"""

from __future__ import annotations

import functools
import math
import random
import sys
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.events import EventQueue
from benchmarks.meter import Meter
from benchmarks.workload import Flow, Request, Server
from sycamorehaven.controllers.counters import SHARING_POLICY
from sycamorehaven.decisions.counter_updates import (
    PeerUpdateTracker,
    TotalKey,
    TotalSample,
    UpdatePolicy,
)
from sycamorehaven.decisions.grants import Grant, ServiceParameters
from sycamorehaven.decisions.scheduler import ServiceScheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.counters import (
    CounterAck,
    CounterRow,
    CounterUpdate,
)
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    HeldPermit,
    PermitReturn,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

SERVICE = "assistant"
SPEEDS = (20.0, 30.0, 40.0, 60.0, 80.0)
SLOTS = 8
LARGEST = 1_000.0
SLOW, FAST, ALL = (0, 1, 2), (3, 4), (0, 1, 2, 3, 4)
REACHES = (SLOW,) * 5 + (FAST,) * 5 + (ALL,) * 6
WAITING = 6
"""Requests of a workspace that always wait."""
REPORT_PERIOD = 0.5
ROUND = 0.25
DELAY = 0.002
"""One way, seconds."""
RATE_MEMORY = 5.0
"""Seconds over which rates are averaged."""
RATE_BYTES = 9
"""Bytes that a rate adds to a row."""
SETTLE = 60.0
LENGTH = 150.0
BUDGET = 4
"""Rows in one update of the ways that have a budget."""
LOSSES = (0.0, 0.05, 0.20, 0.45)
SEEDS = (1, 2)


class Way(NamedTuple):
    """
    A way to share.

    :ivar name: for the table.
    :ivar policy: the policy, ``None`` to share nothing.
    """

    name: str
    policy: UpdatePolicy | None


class RateMeter:
    """
    Moving rates of totals.

    :param memory: seconds over which a rate is averaged; it is 0 after three
        times as long without growth.
    """

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._readings: dict[TotalKey, TotalSample] = {}
        self._grown_at: dict[TotalKey, float] = {}

    def read(self, place: TotalKey, total: float, now: float) -> TotalSample:
        """Return the total with its rate."""
        known = self._readings.get(place)
        if known is None or total > known.total:
            self._grown_at[place] = now
        if known is None:
            reading = TotalSample(total, 0.0, now)
        elif now <= known.sampled_at:
            return known
        else:
            reading = TotalSample(total, self._average(place, known, total, now), now)
        self._readings[place] = reading
        return reading

    def _average(
        self, place: TotalKey, known: TotalSample, total: float, now: float
    ) -> float:
        if now - self._grown_at[place] > 3.0 * self._memory:
            return 0.0
        weight = 1.0 - math.exp(-(now - known.sampled_at) / self._memory)
        current = (total - known.total) / (now - known.sampled_at)
        return known.rate + weight * (current - known.rate)


class Told(NamedTuple):
    """
    An update on its way.

    :ivar sequence: its number.
    :ivar readings: totals with the rates that some ways send.
    """

    sequence: int
    readings: dict[TotalKey, TotalSample]


class SharedLedger:
    """
    Totals of all schedulers as one of them knows them.

    :param events: the clock.
    :param extrapolate: whether totals of others are extrapolated.
    """

    def __init__(self, events: EventQueue, extrapolate: bool) -> None:
        self._events = events
        self._extrapolate = extrapolate
        self.own: dict[TotalKey, float] = {}
        self._heard: dict[tuple[str, TotalKey], TotalSample] = {}

    def charge(self, workspace: str, cost: float) -> None:
        """Add service given here."""
        place = TotalKey(SERVICE, workspace)
        self.own[place] = self.own.get(place, 0.0) + cost

    def merge(self, host: str, place: TotalKey, reading: TotalSample) -> None:
        """Take a total of another scheduler."""
        known = self._heard.get((host, place))
        if known is None or reading.total >= known.total:
            self._heard[host, place] = reading._replace(sampled_at=self._events.now)

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received."""
        place = TotalKey(service, workspace)
        total = self.own.get(place, 0.0)
        now = self._events.now
        for host in HOSTS:
            reading = self._heard.get((host, place))
            if reading is None:
                continue
            until = now if self._extrapolate else reading.sampled_at
            total += reading.extrapolate(until)
        return total

    def sum_reserved(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return 0; only totals are shared here."""
        return 0.0


HOSTS = tuple(f"router-{index}" for index in range(len(SPEEDS)))


class Node:
    """
    The scheduler of one server and the edge before it.

    :param index: which server.
    :param bench: the run that it is part of.
    """

    def __init__(self, index: int, bench: Bench) -> None:
        self.index = index
        self._bench = bench
        self._events = bench.events
        self.identity = RouterId(HOSTS[index], (1 << 60) + index)
        self._codec = Codec(self.identity, f"10.0.0.{index}:7000")
        policy = bench.policy
        self.ledger = SharedLedger(self._events, bool(policy and policy.extrapolate))
        self._scheduler = ServiceScheduler(self.identity, SERVICE, self.ledger)
        self._scheduler.set_parameters(
            ServiceParameters(LARGEST, False, 80.0, 0.2, len(SPEEDS))
        )
        self._scheduler.set_weights(dict.fromkeys(bench.reaches, 1.0))
        self._rates = RateMeter(RATE_MEMORY)
        self._feeds = {
            h: PeerUpdateTracker(policy) for h in HOSTS if policy and h != HOSTS[index]
        }
        self._held: dict[int, tuple[Grant, Request]] = {}
        self._sequence = 0
        self._update = 0
        offset = 0.01 * (index + 1)
        self._events.call_after(offset, self._begin)

    def _begin(self) -> None:
        name = self._bench.servers[self.index].name
        self._scheduler.set_servers({name: SLOTS}, self._events.now)
        self._report()
        self._run_round()
        self._events.repeat(REPORT_PERIOD, self._report)
        self._events.repeat(ROUND, self._run_round)
        if self._bench.policy is not None:
            self._events.repeat(self._bench.policy.period, self._share)

    def _report(self) -> None:
        now = self._events.now
        self._sequence += 1
        rows = [
            DemandRow(name, "interactive", WAITING, 1.0, 80.0)
            for name, reach in self._bench.reaches.items()
            if self.index in reach
        ]
        held = [
            HeldPermit(
                *self.identity,
                number,
                grant.server,
                grant.workspace,
                grant.priority,
                request.measure(now),
                False,
                True,
            )
            for number, (grant, request) in self._held.items()
        ]
        report = DemandReport(SERVICE, self._sequence, 3.0, rows, held, [])
        for charge in self._scheduler.apply_report(self.identity, report, now):
            self.ledger.charge(charge.workspace, charge.cost)
        self._grant()

    def _run_round(self) -> None:
        self._scheduler.expire(self._events.now)
        self._grant()

    def _grant(self) -> None:
        for grant in self._scheduler.grant(self._events.now):
            request = self._bench.take(grant.workspace)
            self._held[grant.number] = grant, request
            finish = functools.partial(self._finish, grant.number)
            self._bench.servers[self.index].admit(request, finish)

    def _finish(self, number: int) -> None:
        grant, request = self._held.pop(number)
        self._bench.meter.finish(request)
        message = PermitReturn(
            *self.identity,
            number,
            SERVICE,
            grant.server,
            grant.workspace,
            request.cost,
            1,
            False,
            True,
            WAITING,
        )
        now = self._events.now
        charge = self._scheduler.apply_return(self.identity, message, now)
        if charge is not None:
            self.ledger.charge(charge.workspace, charge.cost)
        self._grant()

    def _share(self) -> None:
        now = self._events.now
        readings = {
            place: self._rates.read(place, total, now)
            for place, total in self.ledger.own.items()
        }
        for host, feed in self._feeds.items():
            feed.expire_unacknowledged(now)
            if not self._bench.policy.acknowledge:  # type: ignore[union-attr]
                feed.set_loss_ratio(self._bench.loss)
            places = feed.choose_rows(readings, {SERVICE: LARGEST}, now)
            if places:
                self._tell(host, feed, {place: readings[place] for place in places})

    def _tell(
        self, host: str, feed: PeerUpdateTracker, told: Mapping[TotalKey, TotalSample]
    ) -> None:
        self._update += 1
        feed.record_sent(self._update, told, self._events.now)
        rows = [
            CounterRow("", 0, "", place.workspace, reading.total)
            for place, reading in told.items()
        ]
        size = len(self._codec.encode(CounterUpdate(self._update, rows)))
        if self._bench.policy and self._bench.policy.extrapolate:
            size += RATE_BYTES * len(rows)
        self._bench.send(self, host, Told(self._update, dict(told)), size)

    def take(self, sender: Node, message: Told | CounterAck) -> None:
        """Take a message of another scheduler."""
        if isinstance(message, CounterAck):
            self._feeds[sender.identity.host].acknowledge(message.sequence)
            return
        for place, reading in message.readings.items():
            self.ledger.merge(sender.identity.host, place, reading)
        if self._bench.policy and self._bench.policy.acknowledge:
            ack = CounterAck(message.sequence)
            size = len(self._codec.encode(ack))
            self._bench.send(self, sender.identity.host, ack, size)


class Result(NamedTuple):
    """
    What one run showed.

    :ivar gap: fairness gap, in largest requests.
    :ivar traffic: bytes per second that one router sent.
    :ivar utilisation: busy slot time per slot time.
    """

    gap: float
    traffic: float
    utilisation: float


class Bench:
    """
    One run.

    :param policy: how totals are shared, ``None`` for not at all.
    :param loss: part of the messages that is lost.
    :param seed: of costs and losses.
    """

    def __init__(self, policy: UpdatePolicy | None, loss: float, seed: int) -> None:
        self.policy = policy
        self.loss = loss
        self.events = EventQueue()
        self._costs = random.Random(seed)
        self._losses = random.Random(seed + 1_000)
        self.reaches = {f"workspace-{n}": reach for n, reach in enumerate(REACHES)}
        self._flow = Flow("", ())
        self.servers = [
            Server(f"engine-{index}", SLOTS, speed, self.events)
            for index, speed in enumerate(SPEEDS)
        ]
        settling = LARGEST / min(SPEEDS)
        weights = dict.fromkeys(self.reaches, 1.0)
        self.meter = Meter(self.events, self.servers, weights, LARGEST, settling)
        self._sizes: Counter[str] = Counter()
        for name in self.reaches:
            self.meter.join(Request(name, 0.0, 0.0, 0.0))
        self.nodes = {host: Node(index, self) for index, host in enumerate(HOSTS)}

    def take(self, workspace: str) -> Request:
        """Return a request of a workspace; more of them wait."""
        cost = self._flow.draw_cost(self._costs)
        return Request(workspace, cost, cost, self.events.now)

    def send(
        self, sender: Node, host: str, message: Told | CounterAck, size: int
    ) -> None:
        """Carry a message, or lose it."""
        self._sizes[sender.identity.host] += size
        if self._losses.random() < self.loss:
            return
        deliver = functools.partial(self.nodes[host].take, sender, message)
        self.events.call_after(DELAY, deliver)

    def run(self) -> Result:
        """Let virtual time pass and return the figures."""
        self.events.run_until(self.events.now + SETTLE)
        self.meter.reset()
        self._sizes.clear()
        self.events.run_until(self.events.now + LENGTH)
        self.meter.integrate()
        traffic = self._sizes.total() / len(HOSTS) / LENGTH
        return Result(self.meter.gap, traffic, self.meter.utilisation)


def list_ways() -> list[Way]:
    """Return the ways to compare."""
    plain = UpdatePolicy(acknowledge=False)
    ways = [Way("nothing shared", None)]
    ways += [
        Way(f"period {period:g} s", plain._replace(period=period))
        for period in (0.25, 1.0, 4.0)
    ]
    ways += add_repairs("period 1 s", plain)
    for period, threshold in ((0.25, 0.05), (1.0, 0.05), (0.25, 0.2)):
        drift = plain._replace(period=period, threshold=threshold, extrapolate=True)
        name = f"{threshold:g} checked each {period:g} s"
        ways += [Way(name, drift), *add_repairs(name, drift)]
        if period < 1.0:
            paper = drift._replace(compensate=True, max_rows=BUDGET)
            name += ", compensated"
            ways += [Way(name, paper), *add_repairs(name, paper)]
    still = plain._replace(period=0.25, threshold=0.05)
    ways += add_repairs("0.05 checked each 0.25 s without rates", still)
    return [
        *ways,
        Way("in use: 0.05 checked each 0.05 s without rates", SHARING_POLICY),
    ]


def add_repairs(name: str, policy: UpdatePolicy) -> list[Way]:
    """Return a way with each of the two repairs of lost updates."""
    return [
        Way(f"{name}, acknowledged", policy._replace(acknowledge=True)),
        Way(f"{name}, refresh 5 s", policy._replace(refresh=5.0)),
    ]


def measure(way: Way, loss: float) -> Result:
    """Return the mean traffic and the largest gap over the seeds."""
    results = [Bench(way.policy, loss, seed).run() for seed in SEEDS]
    return Result(
        max(result.gap for result in results),
        math.fsum(result.traffic for result in results) / len(results),
        min(result.utilisation for result in results),
    )


def main() -> int:
    """Print a line a way: bytes per second and gap at each loss."""
    print("| way | " + " | ".join(f"{loss:.0%} loss" for loss in LOSSES) + " |")
    print("| --- | " + "--: | " * len(LOSSES))
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    for way in (way for way in list_ways() if pattern in way.name):
        found = [measure(way, loss) for loss in LOSSES]
        cells = [f"{r.traffic:.0f} B/s, {r.gap:.2f}" for r in found]
        print(f"| {way.name} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
