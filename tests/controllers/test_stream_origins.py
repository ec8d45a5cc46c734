"""Where streams began, remembered by other routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import TestCase

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.stream_origins import StreamOriginExchange
from sycamorehaven.decisions.software_versions import VERSION_MEMORY_SECONDS
from sycamorehaven.decisions.stream_origins import StreamOrigin
from sycamorehaven.exceptions.refusals import StreamOriginUnknown
from sycamorehaven.routing.model import (
    Route,
    ServerRecord,
    Snapshot,
    WeightedService,
)
from sycamorehaven.routing.requests import RequestHead, RoutedRequest
from sycamorehaven.transport.messages.streams import StreamOriginNotice
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock, MemoryNetwork

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
V1, V2 = (
    ServerRecord(f"s{number}", 1, "model", f"10.0.0.{number}:80", "a", 4, False, name)  # noqa: FBT003
    for number, name in enumerate(("v1", "v2"))
)
ROUTE = Route(
    name="stream",
    host="h",
    path_prefix="/",
    kind="streaming",
    timeout=10.0,
    latency_target=0.8,
    event_gap_target=0.4,
    weighted_services=(WeightedService("model", 1.0),),
    max_attempts=2,
    priority=0,
    public=False,
    resumable=True,
)


def build_request(
    attempt: str, resumes: str = "", received_at: float = 0.0
) -> RoutedRequest:
    """Return a request for a stream, or one that takes a stream up."""
    last_event_id = 2 if resumes else None
    head = RequestHead(attempt, None, "", "m", (), 0, 0, last_event_id, resumes)
    return RoutedRequest(
        head, "POST", "/", (), b"", ROUTE, "model", "", received_at, 10.0
    )


class OriginFleet:
    """Routers that tell each other where streams began."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network, self._clock = network, clock
        self.boards = {host: create_board(host, HOSTS[host]) for host in HOSTS}
        self.links = {
            host: MemoryLink(board, network) for host, board in self.boards.items()
        }
        self.exchanges = {
            host: StreamOriginExchange(self.boards[host], self.links[host], clock)
            for host in HOSTS
        }
        members = {
            host: Member(host, 1, board.members.own.address, HOSTS[host], "alive")
            for host, board in self.boards.items()
        }
        for board in self.boards.values():
            board.members.replace(dict(members))
        self._revision = 0
        self.register(V1)

    def register(self, *servers: ServerRecord, without: str = "") -> None:
        """Make the servers known to all routers, or to all but one."""
        self._revision += 1
        for host, board in self.boards.items():
            if host == without:
                continue
            snapshot = Snapshot(self._revision, None, servers)
            board.routing.apply_snapshot(snapshot, self._clock())
        self.network.deliver()

    def start_stream(self, host: str, attempt: str, server: ServerRecord) -> None:
        """Start a stream at a router."""
        self.exchanges[host].record_start(build_request(attempt), server)
        self.network.deliver()

    def kill(self, host: str) -> None:
        """End a router without the others noticing."""
        del self.network.links[f"{host}:1"]

    def cut(self, *hosts: str) -> None:
        """Cut some routers off from the others."""
        for inside in hosts:
            for outside in set(HOSTS) - set(hosts):
                self.network.disconnected_pairs.add(
                    frozenset({f"{inside}:1", f"{outside}:1"})
                )

    async def find(self, host: str, resumes: str) -> StreamOrigin | None:
        """Ask a router where a stream may go on."""
        lookup = asyncio.ensure_future(
            self.exchanges[host].find(build_request("later", resumes, self._clock()))
        )
        while not lookup.done():
            await asyncio.sleep(0.01)
            self.network.deliver()
        return lookup.result()

    def count_notices(self) -> int:
        """Return the number of notices that were sent."""
        return sum(
            isinstance(message, StreamOriginNotice)
            for link in self.links.values()
            for _, message in link.sent_messages
        )


async def test_origin_is_known_after_the_first_router_was_killed(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.register(V1, V2)
    streams = {f"x{number}": (V1, V2)[number % 2] for number in range(20)}
    for attempt, server in streams.items():
        fleet.start_stream("a1", attempt, server)
    fleet.kill("a1")
    for attempt, server in streams.items():
        for host in ("a2", "b1", "c2"):
            expected = StreamOrigin("model", server.software_version)
            assert await fleet.find(host, attempt) == expected


async def test_origin_is_known_on_both_sides_of_a_cut(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.register(V1, V2)
    for number in range(10):
        fleet.start_stream("a1", f"x{number}", V2)
    fleet.kill("a1")
    fleet.cut("a1", "a2")
    for number in range(10):
        for host in ("a2", "b1", "c2"):
            assert await fleet.find(host, f"x{number}") == StreamOrigin("model", "v2")


async def test_streams_that_began_before_the_second_version_are_told(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.start_stream("a1", "x", V1)
    fleet.start_stream("a1", "ended", V1)
    fleet.exchanges["a1"].record_end(build_request("ended"))
    assert fleet.count_notices() == 0
    fleet.register(V1, V2)
    assert fleet.count_notices() == 2
    fleet.kill("a1")
    assert await fleet.find("b1", "x") == StreamOrigin("model", "v1")


async def test_origin_is_known_after_its_version_has_left(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.register(V1, V2)
    fleet.start_stream("a1", "x", V1)
    fleet.register(V2)
    assert await fleet.find("b1", "x") == StreamOrigin("model", "v1")


async def test_lost_replies_are_asked_for_again(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.register(V1, V2)
    fleet.start_stream("a1", "x", V2)
    fleet.kill("a1")
    network.loss = 0.2
    assert await fleet.find("b1", "x") == StreamOrigin("model", "v2")


async def test_unknown_origin_is_refused_only_while_two_versions_serve(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    assert await fleet.find("b1", "unknown") is None
    fleet.register(V1, V2)
    try:
        origin = await fleet.find("b1", "unknown")
    except StreamOriginUnknown:
        pass
    else:
        raise AssertionError(f"a stream of unknown origin may go on at {origin}")


async def test_router_that_is_cut_off_from_everything_takes_no_stream_up(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.cut("b1")
    assert await fleet.find("b1", "unknown") is None
    clock.advance(VERSION_MEMORY_SECONDS)
    assert await fleet.find("a1", "unknown") is None
    try:
        origin = await fleet.find("b1", "unknown")
    except StreamOriginUnknown:
        return
    raise AssertionError(f"a stream of unknown origin may go on at {origin}")


async def test_no_router_is_asked_while_one_version_has_served_for_long(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    clock.advance(VERSION_MEMORY_SECONDS)
    fleet.register(V1)
    assert await fleet.find("b1", "unknown") is None
    assert not fleet.links["b1"].sent_messages


def start_at_unseen_version(fleet: OriginFleet, clock: ManualClock) -> None:
    """Start a stream at a server that one router, ``b1``, has not seen yet."""
    clock.advance(VERSION_MEMORY_SECONDS)
    fleet.register(V1)
    clock.advance(0.5)
    fleet.register(V1, V2, without="b1")
    fleet.start_stream("a1", "x", V2)


async def test_router_that_has_not_seen_a_new_version_joins_no_stream_of_it(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    start_at_unseen_version(fleet, clock)
    assert await fleet.find("b1", "x") == StreamOrigin("model", "v2")


async def test_router_cut_off_before_a_new_version_joins_no_stream_of_it(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.cut("b1")
    start_at_unseen_version(fleet, clock)
    with TestCase().assertRaises(StreamOriginUnknown):
        await fleet.find("b1", "x")


async def test_router_that_reads_the_list_in_time_takes_a_stream_up(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = OriginFleet(network, clock)
    fleet.cut("b1")
    clock.advance(VERSION_MEMORY_SECONDS)
    fleet.register(V1)
    clock.advance(0.5)
    lookup = asyncio.ensure_future(fleet.find("b1", "x"))
    await asyncio.sleep(0.1)
    assert not lookup.done()
    fleet.register(V1)
    assert await lookup is None
