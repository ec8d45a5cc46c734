"""
Cost of membership during disruptions of a large part of the fleet.

``python -m benchmarks.upheavals [ROUTERS]`` runs the real membership
controllers on a virtual clock and an in-memory network. The disruptions are a
network partition, the loss of a failure domain, and the replacement of many
routers in turn. For each of them the benchmark prints the time until every
router's view of the members is correct, and the traffic of one router.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.membership import SETTLE_SECONDS, TrafficMeter, fill_views
from benchmarks.target_size import TARGET
from tests.support.membership_simulation import FAILURE_DOMAINS, SimulatedCluster

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SETTLE_SECONDS = 180.0
"""Virtual time after which the wait for correct views is given up."""
CHECK_PERIOD_SECONDS = 1.0
"""Virtual time between two checks of the views."""
REPLACED_ROUTERS = TARGET.replaced_routers_per_day
"""Bound on the number of routers that are replaced in turn."""
REPLACEMENT_PERIOD_SECONDS = 1.0
"""Virtual time between two replacements."""


class Disruption(NamedTuple):
    """
    Cost of a disruption.

    :ivar name: name of the disruption.
    :ivar settled_seconds: virtual time until every view was correct, -1 if
        some view never was.
    :ivar messages_per_router: mean number of messages that one router sent
        during that time.
    :ivar bytes_per_second: mean bytes that one router sent per second during
        that time.
    """

    name: str
    settled_seconds: float
    messages_per_router: float
    bytes_per_second: float


class MembershipFleet:
    """
    The membership controllers of a fleet in which all know each other.

    :param size: number of routers.
    """

    def __init__(self, size: int) -> None:
        self.swarm = SimulatedCluster(size)
        fill_views(self.swarm)
        self._meter = TrafficMeter(self.swarm)
        self._meter.run(SETTLE_SECONDS, set())

    def split_hosts(self) -> list[set[str]]:
        """Return the hosts of each of two halves of the failure domains."""
        half = FAILURE_DOMAINS[: len(FAILURE_DOMAINS) // 2]
        near = {
            host
            for host, node in self.swarm.routers.items()
            if node.board.members.own.failure_domain in half
        }
        return [near, set(self.swarm.routers) - near]

    def measure(self, name: str, has_settled: Callable[[], bool]) -> Disruption:
        """
        Run until all views are correct and return the cost.

        :param name: name of the disruption.
        :param has_settled: tells whether all views are correct; it is called
            at each check and may carry out the next step of the disruption.
        """
        self._meter.reset()
        started = self.swarm.clock.now
        while self.swarm.clock.now - started < MAX_SETTLE_SECONDS and not has_settled():
            self._meter.run(CHECK_PERIOD_SECONDS, set())
        elapsed = max(self.swarm.clock.now - started, CHECK_PERIOD_SECONDS)
        size = len(self.swarm.routers)
        settled = elapsed if has_settled() else -1.0
        return Disruption(
            name,
            settled,
            self._meter.messages_by_kind.total() / size,
            self._meter.bytes_by_kind.total() / size / elapsed,
        )

    def has_views(self, groups: list[set[str]]) -> bool:
        """Return whether each view holds exactly the hosts of its group."""
        return all(
            node.board.members.map_failure_domains().keys() == group
            for group in groups
            for host, node in self.swarm.routers.items()
            if host in group
        )


def measure_partition(size: int) -> list[Disruption]:
    """Cut the network between two halves of the fleet, then heal it."""
    fleet = MembershipFleet(size)
    near, far = fleet.split_hosts()
    fleet.swarm.isolate_hosts(near)
    cut = fleet.measure("regions cut", lambda: fleet.has_views([near, far]))
    fleet.swarm.restore_connections()
    healed = fleet.measure("regions joined", lambda: fleet.has_views([near | far]))
    return [cut, healed]


def measure_domain_loss(size: int) -> list[Disruption]:
    """Kill every router of one failure domain at once."""
    fleet = MembershipFleet(size)
    for host, node in list(fleet.swarm.routers.items()):
        if node.board.members.own.failure_domain == FAILURE_DOMAINS[-1]:
            fleet.swarm.kill(host)
    remaining_hosts = set(fleet.swarm.routers)
    return [fleet.measure("domain lost", lambda: fleet.has_views([remaining_hosts]))]


def measure_replacement(size: int) -> list[Disruption]:
    """Kill routers one after the other and start each of them again."""
    fleet = MembershipFleet(size)
    hosts = list(fleet.swarm.routers)
    replaced_hosts = iter(hosts[3 : 3 + min(REPLACED_ROUTERS, size - 3)])

    def replace_next() -> bool:
        host = next(replaced_hosts, None)
        if host is None:
            return fleet.has_views([set(hosts)])
        fleet.swarm.kill(host)
        fleet.swarm.start(host, 2)
        return False

    return [fleet.measure("hosts replaced", replace_next)]


def main() -> None:
    """Print a row for each disruption."""
    size = int(sys.argv[1]) if len(sys.argv) > 1 else TARGET.nodes
    print(f"{size} routers: settled after, messages and B/s of one router")
    for disruption in [
        *measure_partition(size),
        *measure_domain_loss(size),
        *measure_replacement(size),
    ]:
        print(
            f"{disruption.name}: {disruption.settled_seconds:.0f} s,"
            f" {disruption.messages_per_router:.0f} messages, "
            f"{disruption.bytes_per_second:.0f} B/s"
        )


if __name__ == "__main__":
    main()
