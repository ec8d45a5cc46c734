"""
What the membership spends on a cut, a loss and a rolling replacement.

``python -m benchmarks.upheavals [ROUTERS]`` runs the real membership
controllers on a given clock and a network in memory and prints, for each
upheaval, the time until every view is right, and what one router sent.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.membership import SETTLE, Meter, introduce
from benchmarks.target import TARGET
from tests.support.membership_simulation import FAILURE_DOMAINS, SimulatedCluster

if TYPE_CHECKING:
    from collections.abc import Callable

LONGEST = 180.0
"""Virtual seconds after which an upheaval is given up."""
STEP = 1.0
"""Virtual seconds between two looks at the views."""
REPLACED = TARGET.replaced
REPLACEMENT_PERIOD = 1.0
"""Virtual seconds between two replacements."""


class Upheaval(NamedTuple):
    """
    What an upheaval cost.

    :ivar name: what happened.
    :ivar settled: virtual seconds until every view was right, -1 if not.
    :ivar messages: sent by one router meanwhile, on average.
    :ivar sizes: bytes a second sent by one router meanwhile, on average.
    """

    name: str
    settled: float
    messages: float
    sizes: float


class Fleet:
    """
    Memberships of a fleet that know each other.

    :param size: how many routers.
    """

    def __init__(self, size: int) -> None:
        self.swarm = SimulatedCluster(size)
        introduce(self.swarm)
        self._meter = Meter(self.swarm)
        self._meter.run(SETTLE, set())

    def sides(self) -> list[set[str]]:
        """Return the hosts of each half of the failure domains."""
        half = FAILURE_DOMAINS[: len(FAILURE_DOMAINS) // 2]
        near = {
            host
            for host, node in self.swarm.routers.items()
            if node.board.members.own.failure_domain in half
        }
        return [near, set(self.swarm.routers) - near]

    def measure(self, name: str, is_right: Callable[[], bool]) -> Upheaval:
        """Let time pass until every view is right."""
        self._meter.reset()
        started = self.swarm.clock.now
        while self.swarm.clock.now - started < LONGEST and not is_right():
            self._meter.run(STEP, set())
        elapsed = max(self.swarm.clock.now - started, STEP)
        size = len(self.swarm.routers)
        settled = elapsed if is_right() else -1.0
        return Upheaval(
            name,
            settled,
            self._meter.messages.total() / size,
            self._meter.bytes.total() / size / elapsed,
        )

    def sees(self, groups: list[set[str]]) -> bool:
        """Return whether each host sees its own group and no other."""
        return all(
            node.board.members.map_failure_domains().keys() == group
            for group in groups
            for host, node in self.swarm.routers.items()
            if host in group
        )


def cut_regions(size: int) -> list[Upheaval]:
    """Cut one half of the failure domains off, then heal."""
    fleet = Fleet(size)
    near, far = fleet.sides()
    fleet.swarm.isolate_hosts(near)
    cut = fleet.measure("regions cut", lambda: fleet.sees([near, far]))
    fleet.swarm.restore_connections()
    healed = fleet.measure("regions joined", lambda: fleet.sees([near | far]))
    return [cut, healed]


def lose_domain(size: int) -> list[Upheaval]:
    """Kill every router of one failure domain at once."""
    fleet = Fleet(size)
    for host, node in list(fleet.swarm.routers.items()):
        if node.board.members.own.failure_domain == FAILURE_DOMAINS[-1]:
            fleet.swarm.kill(host)
    left = set(fleet.swarm.routers)
    return [fleet.measure("domain lost", lambda: fleet.sees([left]))]


def replace_hosts(size: int) -> list[Upheaval]:
    """Kill and start one router after the other."""
    fleet = Fleet(size)
    hosts = list(fleet.swarm.routers)
    left = iter(hosts[3 : 3 + min(REPLACED, size - 3)])

    def replace_next() -> bool:
        host = next(left, None)
        if host is None:
            return fleet.sees([set(hosts)])
        fleet.swarm.kill(host)
        fleet.swarm.start(host, 2)
        return False

    return [fleet.measure("hosts replaced", replace_next)]


def main() -> None:
    """Print a row for each upheaval."""
    size = int(sys.argv[1]) if len(sys.argv) > 1 else TARGET.nodes
    print(f"{size} routers: settled after, messages and B/s of one router")
    for upheaval in [*cut_regions(size), *lose_domain(size), *replace_hosts(size)]:
        print(
            f"{upheaval.name}: {upheaval.settled:.0f} s,"
            f" {upheaval.messages:.0f} messages, {upheaval.sizes:.0f} B/s"
        )


if __name__ == "__main__":
    main()
