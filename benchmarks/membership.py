"""
Cost and speed of the membership: ``python -m benchmarks.membership [SIZE]``.

Fleets run on a network in memory and a given clock; bytes are those of the
encoded messages. For each size and loss: traffic of one router at rest, the
time until every view has dropped a killed member, and members that were
suspected or dropped while they ran.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import NamedTuple

from sycamorehaven.transport.codec import Codec
from tests.support.membership_simulation import SimulatedCluster

SIZES = (6, 60, 420)
LOSSES = (0.0, 0.05, 0.20)
SETTLE = 5.0
"""Seconds before anything is counted."""
REST = 20.0
"""Seconds over which traffic is counted."""
LONGEST_DETECTION = 120.0
NAME_PADDING = 40
"""Bytes that a host of 20 characters, its address and its incarnation add."""
DIGEST_PADDING = 32
BYTES_PER_SECOND = 21_000
"""Control traffic that a router may cause, bytes a second."""


class Figures(NamedTuple):
    """
    What one fleet showed.

    :ivar size: how many routers.
    :ivar loss: part of the messages lost.
    :ivar bytes_per_second: sent by one router at rest.
    :ivar messages_per_second: sent by one router at rest.
    :ivar largest: largest message, bytes.
    :ivar suspicions: false ones in the fleet, a minute.
    :ivar drops: views that dropped a running member, in all.
    :ivar detection: seconds until all views had dropped a killed member.
    :ivar peak: bytes a second sent by one router during that.
    """

    size: int
    loss: float
    bytes_per_second: float
    messages_per_second: float
    largest: int
    suspicions: float
    drops: int
    detection: float
    peak: float


class Meter:
    """
    Counts what a fleet sends.

    :param swarm: the fleet.
    """

    def __init__(self, swarm: SimulatedCluster) -> None:
        self._swarm = swarm
        self._codecs = {
            host: Codec(node.board.identity, node.board.members.own.address)
            for host, node in swarm.routers.items()
        }
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.largest = 0
        self.suspected: set[tuple[str, int]] = set()
        self.drops = 0

    def run(self, seconds: float, expected: set[str]) -> None:
        """Let time pass and count."""
        for _ in range(round(seconds * 10)):
            self.step(expected)

    def step(self, expected: set[str]) -> None:
        """Let one tick pass and count."""
        self._swarm.step()
        for host, node in self._swarm.routers.items():
            for _, message in node.link.sent_messages:
                size = len(self._codecs[host].encode(message)) + pad(message)
                self.messages[type(message).__name__] += 1
                self.bytes[type(message).__name__] += size
                self.largest = max(self.largest, size)
            node.link.sent_messages.clear()
            view = node.controller.membership
            self.suspected.update(
                (record.host, record.refutation)
                for record in view.members.values()
                if record.state == "suspect" and record.host in expected
            )
            self.drops += len(expected & view.dead_members.keys())

    def reset(self) -> None:
        """Count from zero."""
        self.messages.clear()
        self.bytes.clear()
        self.suspected.clear()


def introduce(swarm: SimulatedCluster) -> None:
    """Make every node know every other, with no news left to spread."""
    records = [node.controller.membership.own_record for node in swarm.routers.values()]
    for node in swarm.routers.values():
        view = node.controller.membership
        for record in records:
            view.merge_record(record, swarm.clock.now)
            view.gossip_queue.remove(record.host)


def pad(message: object) -> int:
    """Return what names and addresses of production length add, bytes."""
    records: list[object] = getattr(message, "news", getattr(message, "records", []))
    digest = DIGEST_PADDING if hasattr(message, "digest") else 0
    return NAME_PADDING * (1 + len(records)) + digest


def measure(size: int, loss: float) -> Figures:
    """Run one fleet."""
    swarm = SimulatedCluster(size, loss)
    introduce(swarm)
    meter = Meter(swarm)
    hosts = set(swarm.routers)
    meter.run(SETTLE, hosts)
    meter.reset()
    meter.run(REST, hosts)
    rest = meter.bytes.total() / size / REST
    messages = meter.messages.total() / size / REST
    suspicions = len(meter.suspected) * 60 / REST
    meter.reset()
    swarm.kill("m3")
    left = hosts - {"m3"}
    started = swarm.clock.now
    while any(
        "m3" in n.board.members.map_failure_domains() for n in swarm.routers.values()
    ):
        meter.step(left)
        if swarm.clock.now - started > LONGEST_DETECTION:
            break
    detection = swarm.clock.now - started
    peak = meter.bytes.total() / size / detection
    return Figures(
        size,
        loss,
        rest,
        messages,
        meter.largest,
        suspicions,
        meter.drops,
        detection,
        peak,
    )


def main() -> int:
    """Print a line a fleet; return 1 if one spends too much."""
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    print(
        "| routers | loss | B/s | messages/s | largest B | false suspicions/min |"
        " drops | detection s | B/s then |"
    )
    print("| --: " * 9 + "|")
    worst = 0.0
    for size in sizes:
        for loss in LOSSES:
            found = measure(size, loss)
            worst = max(worst, found.bytes_per_second, found.peak)
            print(
                f"| {size} | {loss:.0%} | {found.bytes_per_second:.0f}"
                f" | {found.messages_per_second:.1f} | {found.largest}"
                f" | {found.suspicions:.0f} | {found.drops}"
                f" | {found.detection:.1f} | {found.peak:.0f} |",
                flush=True,
            )
    return int(worst > BYTES_PER_SECOND)


if __name__ == "__main__":
    sys.exit(main())
