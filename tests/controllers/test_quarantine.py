"""Exchange of strikes and leases between routers."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.quarantine import QuarantineController
from sycamorehaven.decisions.quarantine import LEASE_SECONDS
from sycamorehaven.decisions.rendezvous import choose_candidate
from sycamorehaven.transport.messages.suspects import Acquittal, Strike
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from sycamorehaven.controllers.quarantine import Lease
    from tests.support.doubles import ManualClock, MemoryNetwork

HOSTS = ("a1", "a2", "a3", "a4")
KEY = b"k" * 16


class RouterFleet:
    """Quarantine controllers of some routers on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self._network = network
        self._clock = clock
        self.boards = {host: create_board(host) for host in HOSTS}
        self.set_members(HOSTS)
        self.controllers = {
            host: QuarantineController(board, MemoryLink(board, network), clock)
            for host, board in self.boards.items()
        }
        clock.advance(LEASE_SECONDS)

    def set_members(self, hosts: tuple[str, ...]) -> None:
        """Give every router the same view of the members."""
        members = {h: Member(h, 1, f"{h}:1", "a", "alive") for h in hosts}
        for board in self.boards.values():
            board.members.replace(dict(members))

    async def acquire(self, host: str) -> Lease | None:
        """Request the lease of the suspect request at one router."""
        acquisition = asyncio.ensure_future(self.controllers[host].acquire(KEY))
        while not acquisition.done():
            self._network.deliver()
            await asyncio.sleep(0)
        return acquisition.result()

    def run_rounds(self, count: int) -> None:
        """Run rounds of every router, one second apart."""
        for _ in range(count):
            self._clock.advance(1.0)
            for router in self.controllers.values():
                router.run_round()
            self._network.deliver()

    def find_state(self, host: str) -> str:
        """Return the state of the request at one router."""
        return self.boards[host].suspect_requests.assess(KEY, self._clock()).state


async def test_one_router_at_a_time_holds_the_lease(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    held = [lease for host in HOSTS if (lease := await fleet.acquire(host))]
    assert len(held) == 1
    fleet.run_rounds(10)
    assert await fleet.acquire("a2") is None
    fleet.controllers["a1"].release(held[0])
    network.deliver()
    assert await fleet.acquire("a2") is not None


async def test_lease_of_a_dead_router_expires(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    table_host = choose_candidate(KEY.hex(), HOSTS)
    dead, other = [host for host in HOSTS if host != table_host][:2]
    assert await fleet.acquire(dead) is not None
    del fleet.controllers[dead]
    fleet.run_rounds(1)
    assert await fleet.acquire(other) is None
    fleet.run_rounds(int(LEASE_SECONDS) + 1)
    assert await fleet.acquire(other) is not None


async def test_new_lease_table_waits_for_leases_of_the_old_one(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    table_host = choose_candidate(KEY.hex(), HOSTS)
    remaining = tuple(host for host in HOSTS if host != table_host)
    assert await fleet.acquire(remaining[0]) is not None
    fleet.set_members(remaining)
    assert await fleet.acquire(remaining[1]) is None
    fleet.run_rounds(int(LEASE_SECONDS) + 1)
    assert await fleet.acquire(remaining[1]) is None


async def test_strikes_reach_every_router_despite_message_loss(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    network.loss = 0.45
    fleet.controllers["a1"].report_loss(KEY, "s1", 0.1, alone=False)
    fleet.controllers["a2"].report_loss(KEY, "s2", 0.1, alone=True)
    network.deliver()
    fleet.run_rounds(4)
    assert {fleet.find_state(host) for host in HOSTS} == {"quarantined"}
    sent = len(network.links["a1:1"].sent_messages)
    fleet.run_rounds(10)
    assert len(network.links["a1:1"].sent_messages) == sent


async def test_complete_answer_clears_strikes_on_every_router(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.controllers["a1"].report_loss(KEY, "s1", 0.1, alone=False)
    network.deliver()
    assert {fleet.find_state(host) for host in HOSTS} == {"suspect"}
    clock.advance(1.0)
    fleet.controllers["a3"].report_success(KEY)
    network.deliver()
    fleet.run_rounds(3)
    assert {fleet.find_state(host) for host in HOSTS} == {"clear"}


async def test_joining_router_receives_existing_strikes(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.set_members(HOSTS[:3])
    fleet.controllers["a1"].report_loss(KEY, "s1", 0.1, alone=False)
    network.deliver()
    clock.advance(60.0)
    assert fleet.find_state("a4") == "clear"
    fleet.set_members(HOSTS)
    network.deliver()
    assert fleet.find_state("a4") == "suspect"
    sent_messages = sum(len(link.sent_messages) for link in network.links.values())
    assert sent_messages == 2 + 1


def test_malformed_strikes_are_dropped(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    board = create_board("a1")
    link = MemoryLink(board, network)
    QuarantineController(board, link, clock)
    for age, ran in ((math.nan, 1.0), (-1.0, 1.0), (1e9, 1.0), (1.0, math.inf)):
        link.send_to("a1:1", Strike(KEY, 1, age, "s1", ran, True))
    link.send_to("a1:1", Acquittal(KEY, math.nan))
    network.deliver()
    assert len(board.suspect_requests) == 0
    assert board.control_traffic.dropped_messages["malformed"] == 5
