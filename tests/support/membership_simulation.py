"""Simulate a cluster of membership controllers in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sycamorehaven.controllers.membership import (
    TICK_PERIOD_SECONDS,
    MembershipController,
)
from sycamorehaven.settings import RouterSettings
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.transport.codec import Delivery

FAILURE_DOMAINS = ("a", "b", "c", "d")


def create_settings(host: str, domain: str, seeds: tuple[str, ...]) -> RouterSettings:
    """Return the settings of a router whose peer address is ``host:1``."""
    values = dict.fromkeys(RouterSettings._fields, "")
    settings = RouterSettings(**values)  # type: ignore[arg-type]
    return settings._replace(
        host=host, failure_domain=domain, seeds=seeds, gateway=None
    )


class SimulatedRouter:
    """
    The membership controller of one router.

    :param cluster: the cluster that the router belongs to.
    :param host: name of the router's host, ``m`` and a number.
    :param incarnation: incarnation of the router's process.
    """

    def __init__(self, cluster: SimulatedCluster, host: str, incarnation: int) -> None:
        domain = FAILURE_DOMAINS[int(host[1:]) % len(FAILURE_DOMAINS)]
        self.board: Blackboard = create_board(host, domain, incarnation)
        self.link = MemoryLink(self.board, cluster.network)
        settings = create_settings(host, domain, cluster.seeds)
        settings = settings._replace(gateway=cluster.gateway_settings)
        self.controller = MembershipController(
            self.board,
            self.link,
            settings,
            cluster.clock,
            random.Random(f"{host}/{incarnation}"),
        )

    def list_hosts(self) -> list[str]:
        """Return the hosts in the router's view of the membership."""
        return [member.host for member in self.board.members.list()]


class SimulatedCluster:
    """
    A cluster of simulated routers on the hosts ``m0``, ``m1`` and so on.

    :param size: number of routers to start.
    :param loss: ratio of the messages that are lost.
    :param seeds: number of routers that the others join through.
    :param gateway_settings: the ``[gateway]`` table of all routers, if any.
    :ivar paused_deliveries: messages that wait for each paused host.
    """

    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        seeds: int = 3,
        gateway_settings: GatewaySettings | None = None,
    ) -> None:
        self.gateway_settings = gateway_settings
        self.clock = ManualClock()
        self.network = MemoryNetwork(seed=7, loss=loss)
        self.seeds = tuple(f"m{number}:1" for number in range(seeds))
        self.routers: dict[str, SimulatedRouter] = {}
        self.paused_deliveries: dict[str, list[tuple[str, Delivery]]] = {}
        for number in range(size):
            self.start(f"m{number}")

    def start(self, host: str, incarnation: int = 1) -> SimulatedRouter:
        """Start a router on a host, in place of its former process if any."""
        self.routers[host] = SimulatedRouter(self, host, incarnation)
        return self.routers[host]

    def kill(self, host: str) -> None:
        """End a router without notifying the others."""
        del self.routers[host]
        self.network.links.pop(f"{host}:1")

    def pause(self, host: str) -> None:
        """Pause a router; messages to it are kept until it resumes."""
        self.paused_deliveries[host] = []

    def resume(self, host: str) -> None:
        """Resume a paused router and deliver the messages kept for it."""
        self.network.pending_deliveries += self.paused_deliveries.pop(host)

    def isolate_hosts(self, isolated: set[str]) -> None:
        """Disconnect some hosts from all others."""
        self.network.disconnected_pairs = {
            frozenset({f"{inner}:1", f"{outer}:1"})
            for inner in isolated
            for outer in self.routers.keys() - isolated
        }

    def restore_connections(self) -> None:
        """Restore all connections."""
        self.network.disconnected_pairs = set()

    def run(self, seconds: float) -> None:
        """Run the cluster for a period of virtual time."""
        for _ in range(round(seconds / TICK_PERIOD_SECONDS)):
            self.step()

    def step(self) -> None:
        """Run one tick of every router that is not paused."""
        self.clock.advance(TICK_PERIOD_SECONDS)
        for host, router in list(self.routers.items()):
            if host not in self.paused_deliveries:
                router.controller.tick()
        self._deliver()

    def _deliver(self) -> None:
        while self.network.pending_deliveries:
            batch, self.network.pending_deliveries = self.network.pending_deliveries, []
            for address, delivery in batch:
                held = self.paused_deliveries.get(address.rpartition(":")[0])
                target = self.network.pending_deliveries if held is None else held
                target.append((address, delivery))
            if not self.network.pending_deliveries:
                return
            self.network.deliver(len(self.network.pending_deliveries))

    def run_until_views_agree(self, hosts: set[str], limit: float) -> float:
        """
        Run the cluster until the view of every running host is ``hosts``.

        :param limit: virtual seconds after which to fail.
        :returns: virtual seconds that it took.
        :raises AssertionError: if the views do not agree in time.
        """
        started = self.clock.now
        while not self.views_agree(hosts):
            passed = self.clock.now - started
            views = {host: router.list_hosts() for host, router in self.routers.items()}
            assert passed < limit, views
            self.step()
        return self.clock.now - started

    def views_agree(self, hosts: set[str]) -> bool:
        """Return whether every view is ``hosts`` and holds no suspect."""
        return all(
            set(router.list_hosts()) == hosts
            and all(m.state != "suspect" for m in router.board.members.list())
            for host, router in self.routers.items()
            if host in hosts and host not in self.paused_deliveries
        )
