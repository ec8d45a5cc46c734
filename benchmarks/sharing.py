"""
Methods to share service totals: ``python -m benchmarks.sharing [NAME]``.

Five servers of unequal speed, each with a scheduler of its own, serve sixteen
workspaces that always have requests waiting. Five workspaces can use only the
three slow servers, five only the two fast ones, and six can use all of them.
The shares are therefore equal only if each scheduler knows the service that
the others have given. Costs have a heavy tail. All methods run with the same
seeds; bytes are those of the encoded messages. With ``NAME``, only the methods
whose name contains it run.
"""

from __future__ import annotations

import functools
import math
import random
import sys
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.event_queue import EventQueue
from benchmarks.fairness_meter import FairnessMeter
from benchmarks.workload import Flow, Request, SimulatedServer
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
SERVER_SPEEDS = (20.0, 30.0, 40.0, 60.0, 80.0)
SLOTS_PER_SERVER = 8
LARGEST_COST = 1_000.0
SLOW_SERVERS, FAST_SERVERS, ALL_SERVERS = (0, 1, 2), (3, 4), (0, 1, 2, 3, 4)
REACHABLE_SERVERS = (SLOW_SERVERS,) * 5 + (FAST_SERVERS,) * 5 + (ALL_SERVERS,) * 6
"""Indices of the servers that each workspace can use."""
WAITING_REQUESTS = 6
"""Requests of each workspace that wait at all times."""
REPORT_PERIOD_SECONDS = 0.5
EXPIRY_ROUND_SECONDS = 0.25
MESSAGE_DELAY_SECONDS = 0.002
"""One-way delay of a message."""
RATE_WINDOW_SECONDS = 5.0
"""Time over which the rates of totals are averaged."""
RATE_FIELD_BYTES = 9
"""Bytes that a rate adds to a row of an update."""
SETTLE_SECONDS = 60.0
MEASUREMENT_SECONDS = 150.0
MAX_UPDATE_ROWS = 4
"""Bound on the rows of one update, for the methods that limit them."""
LOSS_RATIOS = (0.0, 0.05, 0.20, 0.45)
SEEDS = (1, 2)


class SharingMethod(NamedTuple):
    """
    A method to share service totals among schedulers.

    :ivar name: name in the table.
    :ivar policy: policy for sending updates, ``None`` to share nothing.
    """

    name: str
    policy: UpdatePolicy | None


class RateMeter:
    """
    Keeps the moving averages of the growth rates of totals.

    :param window_seconds: time over which a rate is averaged; a rate is 0
        after three times as long without growth.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._samples: dict[TotalKey, TotalSample] = {}
        self._grown_at: dict[TotalKey, float] = {}

    def update(self, key: TotalKey, total: float, now: float) -> TotalSample:
        """Record a total and return it with its rate."""
        known = self._samples.get(key)
        if known is None or total > known.total:
            self._grown_at[key] = now
        if known is None:
            sample = TotalSample(total, 0.0, now)
        elif now <= known.sampled_at:
            return known
        else:
            sample = TotalSample(total, self._average(key, known, total, now), now)
        self._samples[key] = sample
        return sample

    def _average(
        self, key: TotalKey, known: TotalSample, total: float, now: float
    ) -> float:
        if now - self._grown_at[key] > 3.0 * self._window_seconds:
            return 0.0
        weight = 1.0 - math.exp(-(now - known.sampled_at) / self._window_seconds)
        current = (total - known.total) / (now - known.sampled_at)
        return known.rate + weight * (current - known.rate)


class SentUpdate(NamedTuple):
    """
    A counter update in transit.

    :ivar sequence: sequence number of the update.
    :ivar samples: totals, with the rates that some methods send along.
    """

    sequence: int
    samples: dict[TotalKey, TotalSample]


class SharedLedger:
    """
    Service totals of all schedulers, as known to one of them.

    :param events: the virtual clock.
    :param extrapolate: whether the totals of other schedulers are
        extrapolated by their rates.
    """

    def __init__(self, events: EventQueue, extrapolate: bool) -> None:
        self._events = events
        self._extrapolate = extrapolate
        self.own: dict[TotalKey, float] = {}
        self._received: dict[tuple[str, TotalKey], TotalSample] = {}

    def charge(self, workspace: str, cost: float) -> None:
        """Add service that this scheduler has given."""
        key = TotalKey(SERVICE, workspace)
        self.own[key] = self.own.get(key, 0.0) + cost

    def merge(self, host: str, key: TotalKey, sample: TotalSample) -> None:
        """Store another scheduler's total, unless a higher one is known."""
        known = self._received.get((host, key))
        if known is None or sample.total >= known.total:
            self._received[host, key] = sample._replace(sampled_at=self._events.now)

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service that a workspace received from all schedulers."""
        key = TotalKey(service, workspace)
        total = self.own.get(key, 0.0)
        now = self._events.now
        for host in HOSTS:
            sample = self._received.get((host, key))
            if sample is None:
                continue
            until = now if self._extrapolate else sample.sampled_at
            total += sample.extrapolate(until)
        return total

    def sum_reserved(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return 0: this benchmark shares totals only, no reservations."""
        return 0.0


HOSTS = tuple(f"router-{index}" for index in range(len(SERVER_SPEEDS)))


class SchedulerNode:
    """
    The scheduler of one server, with the edge that requests its permits.

    :param index: index of the server.
    :param run: the run that the node is part of.
    """

    def __init__(self, index: int, run: SharingRun) -> None:
        self.index = index
        self._run = run
        self._events = run.events
        self.identity = RouterId(HOSTS[index], (1 << 60) + index)
        self._codec = Codec(self.identity, f"10.0.0.{index}:7000")
        policy = run.policy
        self.ledger = SharedLedger(self._events, bool(policy and policy.extrapolate))
        self._scheduler = ServiceScheduler(self.identity, SERVICE, self.ledger)
        self._scheduler.set_parameters(
            ServiceParameters(LARGEST_COST, False, 80.0, 0.2, len(SERVER_SPEEDS))
        )
        self._scheduler.set_weights(dict.fromkeys(run.reachable_servers, 1.0))
        self._rates = RateMeter(RATE_WINDOW_SECONDS)
        self._trackers = {
            h: PeerUpdateTracker(policy) for h in HOSTS if policy and h != HOSTS[index]
        }
        self._running: dict[int, tuple[Grant, Request]] = {}
        self._sequence = 0
        self._update_sequence = 0
        offset = 0.01 * (index + 1)
        self._events.call_after(offset, self._start)

    def _start(self) -> None:
        name = self._run.servers[self.index].name
        self._scheduler.set_servers({name: SLOTS_PER_SERVER}, self._events.now)
        self._report()
        self._run_round()
        self._events.call_every(REPORT_PERIOD_SECONDS, self._report)
        self._events.call_every(EXPIRY_ROUND_SECONDS, self._run_round)
        if self._run.policy is not None:
            self._events.call_every(self._run.policy.period, self._share_totals)

    def _report(self) -> None:
        now = self._events.now
        self._sequence += 1
        rows = [
            DemandRow(name, "interactive", WAITING_REQUESTS, 1.0, 80.0)
            for name, servers in self._run.reachable_servers.items()
            if self.index in servers
        ]
        held = [
            HeldPermit(
                *self.identity,
                number,
                grant.server,
                grant.workspace,
                grant.priority,
                request.compute_service(now),
                False,
                True,
            )
            for number, (grant, request) in self._running.items()
        ]
        report = DemandReport(SERVICE, self._sequence, 3.0, rows, held, [])
        for charge in self._scheduler.apply_demand_report(self.identity, report, now):
            self.ledger.charge(charge.workspace, charge.cost)
        self._grant()

    def _run_round(self) -> None:
        self._scheduler.expire(self._events.now)
        self._grant()

    def _grant(self) -> None:
        for grant in self._scheduler.grant(self._events.now):
            request = self._run.create_request(grant.workspace)
            self._running[grant.number] = grant, request
            finish = functools.partial(self._finish, grant.number)
            self._run.servers[self.index].admit(request, finish)

    def _finish(self, number: int) -> None:
        grant, request = self._running.pop(number)
        self._run.meter.record_finish(request)
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
            WAITING_REQUESTS,
        )
        now = self._events.now
        charge = self._scheduler.apply_return(self.identity, message, now)
        if charge is not None:
            self.ledger.charge(charge.workspace, charge.cost)
        self._grant()

    def _share_totals(self) -> None:
        now = self._events.now
        samples = {
            key: self._rates.update(key, total, now)
            for key, total in self.ledger.own.items()
        }
        for host, tracker in self._trackers.items():
            tracker.expire_unacknowledged(now)
            if not self._run.policy.acknowledge:  # type: ignore[union-attr]
                tracker.set_loss_ratio(self._run.loss)
            keys = tracker.choose_rows(samples, {SERVICE: LARGEST_COST}, now)
            if keys:
                self._send_update(host, tracker, {key: samples[key] for key in keys})

    def _send_update(
        self,
        host: str,
        tracker: PeerUpdateTracker,
        samples: Mapping[TotalKey, TotalSample],
    ) -> None:
        self._update_sequence += 1
        tracker.record_sent(self._update_sequence, samples, self._events.now)
        rows = [
            CounterRow("", 0, "", key.workspace, sample.total)
            for key, sample in samples.items()
        ]
        size = len(self._codec.encode(CounterUpdate(self._update_sequence, rows)))
        if self._run.policy and self._run.policy.extrapolate:
            size += RATE_FIELD_BYTES * len(rows)
        self._run.send(
            self, host, SentUpdate(self._update_sequence, dict(samples)), size
        )

    def handle_message(
        self, sender: SchedulerNode, message: SentUpdate | CounterAck
    ) -> None:
        """Process a message received from another scheduler."""
        if isinstance(message, CounterAck):
            self._trackers[sender.identity.host].acknowledge(message.sequence)
            return
        for key, sample in message.samples.items():
            self.ledger.merge(sender.identity.host, key, sample)
        if self._run.policy and self._run.policy.acknowledge:
            ack = CounterAck(message.sequence)
            size = len(self._codec.encode(ack))
            self._run.send(self, sender.identity.host, ack, size)


class SharingResult(NamedTuple):
    """
    Measured figures of a run.

    :ivar gap: fairness gap, in units of the largest request.
    :ivar bytes_per_second: mean bytes per second that one router sends.
    :ivar utilisation: ratio of slot time that was busy.
    """

    gap: float
    bytes_per_second: float
    utilisation: float


class SharingRun:
    """
    One run of a method.

    :param policy: policy for sending updates, ``None`` to share nothing.
    :param loss: ratio of messages that are lost.
    :param seed: seed of the random costs and losses.
    """

    def __init__(self, policy: UpdatePolicy | None, loss: float, seed: int) -> None:
        self.policy = policy
        self.loss = loss
        self.events = EventQueue()
        self._costs = random.Random(seed)
        self._losses = random.Random(seed + 1_000)
        self.reachable_servers = {
            f"workspace-{n}": reach for n, reach in enumerate(REACHABLE_SERVERS)
        }
        self._flow = Flow("", ())
        self.servers = [
            SimulatedServer(f"engine-{index}", SLOTS_PER_SERVER, speed, self.events)
            for index, speed in enumerate(SERVER_SPEEDS)
        ]
        settling = LARGEST_COST / min(SERVER_SPEEDS)
        weights = dict.fromkeys(self.reachable_servers, 1.0)
        self.meter = FairnessMeter(
            self.events, self.servers, weights, LARGEST_COST, settling
        )
        self._sizes: Counter[str] = Counter()
        for name in self.reachable_servers:
            self.meter.record_arrival(Request(name, 0.0, 0.0, 0.0))
        self.nodes = {
            host: SchedulerNode(index, self) for index, host in enumerate(HOSTS)
        }

    def create_request(self, workspace: str) -> Request:
        """Return the next of a workspace's requests, which never run out."""
        cost = self._flow.draw_cost(self._costs)
        return Request(workspace, cost, cost, self.events.now)

    def send(
        self,
        sender: SchedulerNode,
        host: str,
        message: SentUpdate | CounterAck,
        size: int,
    ) -> None:
        """Count a message and deliver it after a delay, or lose it."""
        self._sizes[sender.identity.host] += size
        if self._losses.random() < self.loss:
            return
        deliver = functools.partial(self.nodes[host].handle_message, sender, message)
        self.events.call_after(MESSAGE_DELAY_SECONDS, deliver)

    def run(self) -> SharingResult:
        """Run for the settling and measurement times, return the figures."""
        self.events.run_until(self.events.now + SETTLE_SECONDS)
        self.meter.reset()
        self._sizes.clear()
        self.events.run_until(self.events.now + MEASUREMENT_SECONDS)
        self.meter.integrate()
        traffic = self._sizes.total() / len(HOSTS) / MEASUREMENT_SECONDS
        return SharingResult(self.meter.gap, traffic, self.meter.utilisation)


def list_methods() -> list[SharingMethod]:
    """Return the methods to compare."""
    unacknowledged = UpdatePolicy(acknowledge=False)
    methods = [SharingMethod("nothing shared", None)]
    methods += [
        SharingMethod(f"period {period:g} s", unacknowledged._replace(period=period))
        for period in (0.25, 1.0, 4.0)
    ]
    methods += list_repaired_methods("period 1 s", unacknowledged)
    for period, threshold in ((0.25, 0.05), (1.0, 0.05), (0.25, 0.2)):
        extrapolated = unacknowledged._replace(
            period=period, threshold=threshold, extrapolate=True
        )
        name = f"{threshold:g} checked each {period:g} s"
        methods += [
            SharingMethod(name, extrapolated),
            *list_repaired_methods(name, extrapolated),
        ]
        if period < 1.0:
            compensated = extrapolated._replace(
                compensate=True, max_rows=MAX_UPDATE_ROWS
            )
            name += ", compensated"
            methods += [
                SharingMethod(name, compensated),
                *list_repaired_methods(name, compensated),
            ]
    without_rates = unacknowledged._replace(period=0.25, threshold=0.05)
    methods += list_repaired_methods(
        "0.05 checked each 0.25 s without rates", without_rates
    )
    return [
        *methods,
        SharingMethod("in use: 0.05 checked each 0.05 s without rates", SHARING_POLICY),
    ]


def list_repaired_methods(name: str, policy: UpdatePolicy) -> list[SharingMethod]:
    """Return the method with each of two repairs of lost updates."""
    return [
        SharingMethod(f"{name}, acknowledged", policy._replace(acknowledge=True)),
        SharingMethod(f"{name}, refresh 5 s", policy._replace(refresh=5.0)),
    ]


def measure(method: SharingMethod, loss: float) -> SharingResult:
    """
    Return the figures of a method over all seeds.

    They are the largest gap, the mean traffic and the least utilisation.
    """
    results = [SharingRun(method.policy, loss, seed).run() for seed in SEEDS]
    return SharingResult(
        max(result.gap for result in results),
        math.fsum(result.bytes_per_second for result in results) / len(results),
        min(result.utilisation for result in results),
    )


def main() -> int:
    """Print the traffic and the gap of each method at each loss ratio."""
    print("| way | " + " | ".join(f"{loss:.0%} loss" for loss in LOSS_RATIOS) + " |")
    print("| --- | " + "--: | " * len(LOSS_RATIOS))
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    for method in (method for method in list_methods() if pattern in method.name):
        results = [measure(method, loss) for loss in LOSS_RATIOS]
        cells = [f"{r.bytes_per_second:.0f} B/s, {r.gap:.2f}" for r in results]
        print(f"| {method.name} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
