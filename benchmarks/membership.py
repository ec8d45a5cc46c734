"""
Cost and speed of membership: ``python -m benchmarks.membership [SIZE ...]``.

Each fleet runs on an in-memory network and a virtual clock; bytes are those
of the encoded messages. For each fleet size and loss ratio, the benchmark
measures the traffic of one router while nothing changes, the time until every
router has dropped a killed member from its view, and how many members were
suspected or dropped although they were running. The exit status is 1 if a
router sends more than ``MAX_BYTES_PER_SECOND``.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import NamedTuple

from sycamorehaven.transport.codec import Codec
from tests.support.membership_simulation import SimulatedCluster

FLEET_SIZES = (6, 60, 420)
LOSS_RATIOS = (0.0, 0.05, 0.20)
SETTLE_SECONDS = 5.0
"""Time before the measurement starts."""
REST_SECONDS = 20.0
"""Time over which the traffic of an unchanging fleet is counted."""
MAX_DETECTION_SECONDS = 120.0
NAME_PADDING_BYTES = 40
"""
Bytes that names of production length add for the sender and each record.

They are those of a host name of 20 characters, its address and its
incarnation.
"""
DIGEST_PADDING_BYTES = 32
"""Bytes that a digest of production length adds to a message."""
MAX_BYTES_PER_SECOND = 21_000
"""Bound on the control traffic that one router sends."""


class MembershipFigures(NamedTuple):
    """
    Measured figures of one fleet.

    :ivar size: number of routers.
    :ivar loss_ratio: ratio of messages that are lost.
    :ivar bytes_per_second: mean bytes that one router sends per second while
        no member fails.
    :ivar messages_per_second: mean messages that one router sends per second
        while no member fails.
    :ivar largest_message_bytes: size of the largest message.
    :ivar suspicions_per_minute: suspicions of running members per minute, in
        the whole fleet.
    :ivar wrong_drops: how often a view was seen without a running member
        because it had dropped that member, in the whole fleet.
    :ivar detection_seconds: time until all views had dropped a killed member.
    :ivar detection_bytes_per_second: mean bytes that one router sends per
        second during the detection.
    """

    size: int
    loss_ratio: float
    bytes_per_second: float
    messages_per_second: float
    largest_message_bytes: int
    suspicions_per_minute: float
    wrong_drops: int
    detection_seconds: float
    detection_bytes_per_second: float


class TrafficMeter:
    """
    Counts the messages, false suspicions and wrong drops of a fleet.

    :param swarm: the fleet.
    """

    def __init__(self, swarm: SimulatedCluster) -> None:
        self._swarm = swarm
        self._codecs = {
            host: Codec(node.board.identity, node.board.members.own.address)
            for host, node in swarm.routers.items()
        }
        self.messages_by_kind: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.largest_message_bytes = 0
        self.suspected: set[tuple[str, int]] = set()
        self.wrong_drops = 0

    def run(self, seconds: float, live_hosts: set[str]) -> None:
        """
        Advance the virtual time and count.

        :param seconds: how long to run.
        :param live_hosts: hosts whose suspicion or drop is wrong.
        """
        for _ in range(round(seconds * 10)):
            self.step(live_hosts)

    def step(self, live_hosts: set[str]) -> None:
        """
        Advance the virtual time by one tick and count.

        :param live_hosts: hosts whose suspicion or drop is wrong.
        """
        self._swarm.step()
        for host, node in self._swarm.routers.items():
            for _, message in node.link.sent_messages:
                size = len(self._codecs[host].encode(message)) + count_padding(message)
                self.messages_by_kind[type(message).__name__] += 1
                self.bytes_by_kind[type(message).__name__] += size
                self.largest_message_bytes = max(self.largest_message_bytes, size)
            node.link.sent_messages.clear()
            view = node.controller.membership
            self.suspected.update(
                (record.host, record.refutation)
                for record in view.members.values()
                if record.state == "suspect" and record.host in live_hosts
            )
            self.wrong_drops += len(live_hosts & view.dead_members.keys())

    def reset(self) -> None:
        """Reset the counts of messages, bytes and suspicions to zero."""
        self.messages_by_kind.clear()
        self.bytes_by_kind.clear()
        self.suspected.clear()


def fill_views(swarm: SimulatedCluster) -> None:
    """Make every node know all others, with empty gossip queues."""
    records = [node.controller.membership.own_record for node in swarm.routers.values()]
    for node in swarm.routers.values():
        view = node.controller.membership
        for record in records:
            view.merge_record(record, swarm.clock.now)
            view.gossip_queue.remove(record.host)


def count_padding(message: object) -> int:
    """Return the bytes that names of production length add to a message."""
    records: list[object] = getattr(message, "news", getattr(message, "records", []))
    digest = DIGEST_PADDING_BYTES if hasattr(message, "digest") else 0
    return NAME_PADDING_BYTES * (1 + len(records)) + digest


def measure(size: int, loss: float) -> MembershipFigures:
    """Run one fleet and return its figures."""
    swarm = SimulatedCluster(size, loss)
    fill_views(swarm)
    meter = TrafficMeter(swarm)
    hosts = set(swarm.routers)
    meter.run(SETTLE_SECONDS, hosts)
    meter.reset()
    meter.run(REST_SECONDS, hosts)
    rest_bytes_per_second = meter.bytes_by_kind.total() / size / REST_SECONDS
    messages = meter.messages_by_kind.total() / size / REST_SECONDS
    suspicions = len(meter.suspected) * 60 / REST_SECONDS
    meter.reset()
    swarm.kill("m3")
    remaining_hosts = hosts - {"m3"}
    started = swarm.clock.now
    while any(
        "m3" in n.board.members.map_failure_domains() for n in swarm.routers.values()
    ):
        meter.step(remaining_hosts)
        if swarm.clock.now - started > MAX_DETECTION_SECONDS:
            break
    detection = swarm.clock.now - started
    detection_bytes_per_second = meter.bytes_by_kind.total() / size / detection
    return MembershipFigures(
        size,
        loss,
        rest_bytes_per_second,
        messages,
        meter.largest_message_bytes,
        suspicions,
        meter.wrong_drops,
        detection,
        detection_bytes_per_second,
    )


def main() -> int:
    """Print a row for each fleet; return 1 if one exceeds the bound."""
    sizes = [int(text) for text in sys.argv[1:]] or FLEET_SIZES
    print(
        "| routers | loss | B/s | messages/s | largest B | false suspicions/min |"
        " drops | detection s | B/s then |"
    )
    print("| --: " * 9 + "|")
    worst = 0.0
    for size in sizes:
        for loss in LOSS_RATIOS:
            figures = measure(size, loss)
            worst = max(
                worst, figures.bytes_per_second, figures.detection_bytes_per_second
            )
            print(
                f"| {size} | {loss:.0%} | {figures.bytes_per_second:.0f}"
                f" | {figures.messages_per_second:.1f}"
                f" | {figures.largest_message_bytes}"
                f" | {figures.suspicions_per_minute:.0f} | {figures.wrong_drops}"
                f" | {figures.detection_seconds:.1f}"
                f" | {figures.detection_bytes_per_second:.0f} |",
                flush=True,
            )
    return int(worst > MAX_BYTES_PER_SECOND)


if __name__ == "__main__":
    sys.exit(main())
