"""Simulate routers that exchange service counters, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.configuration.model import (
    BackendServer,
    Configuration,
    Service,
    Workspace,
)
from sycamorehaven.controllers.counters import CounterController
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard

SERVICE_NAME = "assistant"
LARGEST_COST = 1_000.0
STEP_SECONDS = 0.25


def create_configuration(
    domains: list[str], workspaces: list[str], per_domain: int = 1
) -> Configuration:
    """Return a configuration with ``per_domain`` servers in each domain."""
    servers = {
        f"engine-{domain}{number}": BackendServer(
            f"engine-{domain}{number}",
            "127.0.0.1:1",
            SERVICE_NAME,
            domain,
            8,
            8,
            (),
            (),
            "",
            "",
            False,
        )
        for domain in domains
        for number in range(per_domain)
    }
    return Configuration(
        1,
        "",
        "",
        {name: Workspace(name, "", 1.0, 100) for name in workspaces},
        {SERVICE_NAME: Service(SERVICE_NAME, "model", (), (), 80.0, LARGEST_COST, 0.2)},
        servers,
    )


class CounterSimulation:
    """
    Routers that exchange the service counters of one service.

    The first letter of a host's name is its failure domain.

    :param hosts: host of each router.
    :param workspaces: names of the workspaces.
    :param loss: ratio of the messages that are lost.
    :param per_domain: number of backend servers in each failure domain.
    """

    def __init__(
        self,
        hosts: list[str],
        workspaces: list[str],
        loss: float = 0.0,
        per_domain: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(seed=5, loss=loss)
        domains = sorted({host[0] for host in hosts})
        self.configuration = create_configuration(domains, workspaces, per_domain)
        self.boards: dict[str, Blackboard] = {}
        self.links: dict[str, MemoryLink] = {}
        self.controllers: dict[str, CounterController] = {}
        for host in hosts:
            self._create(host, 1)
        self.update_members()

    def restart(self, host: str) -> None:
        """Replace a router with a new incarnation that has no counters."""
        self._create(host, self.boards[host].identity.incarnation + 1)
        self.update_members()

    def kill(self, host: str) -> None:
        """End a router and remove it from the view of every other."""
        self.network.links.pop(f"{host}:1")
        del self.boards[host], self.controllers[host], self.links[host]
        self.update_members()

    def update_members(self, missing: str = "") -> None:
        """
        Set the membership of every router to the running routers.

        :param missing: host to leave out although it runs.
        """
        view = {
            host: Member(
                host, board.identity.incarnation, f"{host}:1", host[0], "alive"
            )
            for host, board in self.boards.items()
            if host != missing
        }
        for board in self.boards.values():
            board.members.replace(view)

    def run(self, seconds: float) -> None:
        """Run all routers for a period of virtual time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for controller in self.controllers.values():
                controller.run_round()
            while self.network.pending_deliveries:
                self.network.deliver(len(self.network.pending_deliveries))

    def charge(self, host: str, workspace: str, cost: float) -> None:
        """Count service that a router gave to a workspace."""
        self.boards[host].counters.charge(SERVICE_NAME, workspace, cost)

    def sum_service(self, host: str, workspace: str) -> float:
        """Return a workspace's fleet-wide service as one router knows it."""
        return self.boards[host].counters.sum_service(SERVICE_NAME, workspace)

    def _create(self, host: str, incarnation: int) -> None:
        board = create_board(host, host[0], incarnation)
        link = MemoryLink(board, self.network)
        self.boards[host] = board
        self.links[host] = link
        self.controllers[host] = CounterController(board, link, self.clock)
        board.configuration.replace(self.configuration)
