"""Routers of a failure domain that tell each other the load of a flood."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.lifecycle import LifecycleSection
from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.rotation import RotationController
from sycamorehaven.decisions.rotation import (
    MIN_ABSENCE_SECONDS,
    RotationControl,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.routing.model import (
    EngineCapacity,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.transport.codec import Codec
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Mapping

DOMAINS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
"""Failure domain of each host."""
CORES = {"a1": 0.4, "a2": 0.4, "a3": 2.0, "b1": 0.4}
SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "a", 4, draining=False)
SERVICES = {"model": RoutedService("model", 64, EngineCapacity(4, 0, 0.0))}
LIMITS = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
SNAPSHOT = Snapshot(
    1, RoutingConfiguration(1, 1, (STREAMING_ROUTE,), SERVICES, LIMITS, None), (SERVER,)
)
"""What makes a router ready."""
FLOOD_RATE = 300
"""Requests per second of the flood."""
PERIOD_SECONDS = 0.5
LARGE_DOMAIN = {f"a{number}": "a" for number in range(1, 71)}
"""Hosts of a failure domain of the target size."""
MESSAGE_BYTES = 150
"""Bytes of a message with its envelope, at most."""
MAX_BYTES_PER_SECOND = 21_000
"""Bytes that control may cost a node."""


class Router(NamedTuple):
    """
    A router of the fleet.

    :ivar link: its messages.
    :ivar rotation: its decisions.
    :ivar controller: its controller.
    :ivar lifecycle: whether it drains.
    """

    link: MemoryLink
    rotation: RotationControl
    controller: RotationController
    lifecycle: LifecycleSection


class Fleet:
    """
    Routers that are in touch.

    :ivar routers: the routers by host.
    """

    def __init__(
        self,
        clock: ManualClock,
        network: MemoryNetwork,
        domains: Mapping[str, str] = DOMAINS,
    ) -> None:
        self._clock = clock
        self._network = network
        members = {
            host: Member(host, 1, f"{host}:1", domain, "alive")
            for host, domain in domains.items()
        }
        self.routers: dict[str, Router] = {}
        for host, domain in domains.items():
            board = create_board(host, domain)
            board.members.replace(members)
            board.routing.apply_snapshot(SNAPSHOT, clock())
            link = MemoryLink(board, network)
            rotation = RotationControl(CORES.get(host, 0.4))
            log = DecisionLog(host, None)
            controller = RotationController(board, link, rotation, log, clock)
            self.routers[host] = Router(link, rotation, controller, board.lifecycle)

    def run(self, seconds: float) -> None:
        """Let all routers do their part for some time."""
        for _ in range(int(seconds / PERIOD_SECONDS)):
            for router in self.routers.values():
                router.controller.update()
            self._network.deliver()
            self._clock.advance(PERIOD_SECONDS)

    def flood(self, host: str, seconds: float, *, accepted: bool) -> None:
        """Send the flood to one router for some time."""
        for _ in range(int(seconds / PERIOD_SECONDS)):
            for _ in range(int(FLOOD_RATE * PERIOD_SECONDS)):
                now = self._clock()
                self.routers[host].rotation.record("w1", now, accepted=accepted)
            self.run(PERIOD_SECONDS)

    def count_messages(self) -> int:
        """Return how many messages were sent."""
        return sum(len(router.link.sent_messages) for router in self.routers.values())


def test_calm_routers_send_each_other_nothing(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network)
    fleet.run(5.0)
    assert fleet.count_messages() == 0


def test_overloaded_router_asks_its_own_failure_domain_alone(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network)
    fleet.flood("a1", 1.0, accepted=False)
    receivers = {address for address, _ in fleet.routers["a1"].link.sent_messages}
    assert receivers == {"a2:1", "a3:1"}


def test_flood_stays_at_the_host_that_carries_it(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network)
    small, large = fleet.routers["a1"].rotation, fleet.routers["a3"].rotation
    fleet.flood("a1", 1.0, accepted=False)
    assert small.is_absent
    fleet.flood("a3", 20.0, accepted=True)
    assert small.is_absent
    # Smaller hosts could not serve either what the larger one rejects.
    fleet.flood("a3", 2.0, accepted=False)
    assert not large.is_absent
    fleet.run(5.0)
    assert not small.is_absent


def test_router_that_hears_nobody_comes_back(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network)
    network.disconnected_pairs = {
        frozenset({"a1:1", f"{host}:1"}) for host in DOMAINS if host != "a1"
    }
    fleet.flood("a1", 1.0, accepted=False)
    rotation = fleet.routers["a1"].rotation
    assert rotation.is_absent
    fleet.flood("a3", MIN_ABSENCE_SECONDS + 1.0, accepted=True)
    assert not rotation.is_absent


def test_draining_routers_do_not_count_as_ready(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network)
    for host in ("a2", "a3"):
        fleet.routers[host].lifecycle.begin_draining()
    fleet.flood("a1", 2.0, accepted=False)
    assert not fleet.routers["a1"].rotation.is_absent


def test_absent_router_keeps_the_budget_in_a_large_failure_domain(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    fleet = Fleet(clock, network, LARGE_DOMAIN)
    fleet.flood("a1", 10.0, accepted=False)
    assert fleet.routers["a1"].rotation.is_absent
    request = fleet.routers["a1"].link.sent_messages[0][1]
    reply = fleet.routers["a2"].link.sent_messages[0][1]
    codec = Codec(RouterId("edge-gulf-east-a-1", 2**60), "10.100.100.100:8785")
    assert max(len(codec.encode(message)) for message in (request, reply)) <= (
        MESSAGE_BYTES
    )
    # The absent router sends the requests and gets the replies.
    assert fleet.count_messages() / 10.0 * MESSAGE_BYTES <= MAX_BYTES_PER_SECOND
