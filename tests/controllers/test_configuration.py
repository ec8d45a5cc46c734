"""
Distribution of configuration texts between routers.

A new text must reach every router in time, a revision must never be replaced
by an older one, and malformed replies must not stop the distribution.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import TYPE_CHECKING

import xxhash

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.model import ConfigurationVersion
from sycamorehaven.controllers.configuration import ConfigurationController
from sycamorehaven.controllers.configuration_exchange import MAX_TEXT_HOLDERS
from sycamorehaven.transport.messages.configuration import (
    ConfigurationNotice,
    ConfigurationReply,
    ConfigurationRequest,
)
from sycamorehaven.transport.platform_client import (
    ConfigurationText,
    PlatformUnavailable,
)
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard

OLD_TEXT = build_large_configuration(30, 10, 2)
NEW_TEXT = OLD_TEXT.replace(build_workspace_table(7), build_workspace_table(7, 2.0))


class UnavailableSource:
    """A configuration service that cannot be reached."""

    async def read(self) -> ConfigurationText | None:
        """Raise ``PlatformUnavailable``."""
        raise PlatformUnavailable("down")

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Raise ``PlatformUnavailable``."""
        raise PlatformUnavailable(f"down after {revision} for {wait}")


class RouterFleet:
    """Configuration controllers of a fleet on a network in memory."""

    def __init__(self, count: int, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network, self.clock = network, clock
        self.boards = [create_board(f"r{n}", f"d{n % 6}", n + 1) for n in range(count)]
        members = {b.identity.host: b.members.own for b in self.boards}
        self.links = []
        self.controllers = []
        for board in self.boards:
            board.members.replace(members)
            link = MemoryLink(board, network)
            controller = ConfigurationController(
                board, link, UnavailableSource(), clock=clock
            )
            self.links.append(link)
            self.controllers.append(controller)

    def submit(self, index: int, text: str, revision: int) -> None:
        """Submit a text to one router, as if it had just received it."""
        self.controllers[index].submit(
            text.encode(),
            ConfigurationVersion(revision, xxhash.xxh3_128_hexdigest(text.encode())),
        )

    def run_for(self, seconds: float, step: float = 0.1) -> None:
        """Advance the clock; messages of one step arrive in the next."""
        for _ in range(round(seconds / step)):
            pending, self.network.pending_deliveries = (
                self.network.pending_deliveries,
                [],
            )
            batch, self.network.pending_deliveries = (
                self.network.pending_deliveries,
                pending,
            )
            self.network.deliver(len(pending))
            self.network.pending_deliveries += batch
            self.clock.advance(step)
            for controller in self.controllers:
                controller._exchange.tick()

    def list_revisions(self) -> list[int]:
        """Return the revision in force at each router, in order."""
        return [board.configuration.revision for board in self.boards]


def test_a_change_reaches_420_routers_in_two_seconds(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(420, network, clock)
    for index in range(420):
        fleet.submit(index, OLD_TEXT, 1)
    network.pending_deliveries.clear()
    clock.advance(10.0)
    for link in fleet.links:
        link.sent_messages.clear()
    fleet.submit(0, NEW_TEXT, 2)
    fleet.run_for(2.0)
    assert fleet.list_revisions() == [2] * 420
    sent = [message for link in fleet.links for _, message in link.sent_messages]
    replies = [m for m in sent if isinstance(m, ConfigurationReply)]
    assert len(replies) <= 2 * 420
    assert all(reply.base for reply in replies)
    assert len(sent) <= 420 * 20
    assert max(len(link.sent_messages) for link in fleet.links) <= 60


def test_message_loss_delays_a_change_but_loses_none(clock: ManualClock) -> None:
    network = MemoryNetwork(seed=3, loss=0.2)
    fleet = RouterFleet(60, network, clock)
    for index in range(60):
        fleet.submit(index, OLD_TEXT, 1)
    network.pending_deliveries.clear()
    fleet.submit(0, NEW_TEXT, 2)
    fleet.run_for(6.0)
    behind = [b for b in fleet.boards if b.configuration.revision < 2]
    assert len(behind) <= 1
    for board in behind:
        link = network.links[board.members.own.address]
        own = fleet.boards[0].configuration.version
        fleet.links[0].send_to(link._address, ConfigurationNotice(*own))
    network.loss = 0.0
    fleet.run_for(1.0)
    assert fleet.list_revisions() == [2] * 60


def test_revisions_never_decrease_whatever_the_order_of_arrival(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(4, network, clock)
    texts = {r: OLD_TEXT.replace("slots = 16", f"slots = {r}", 1) for r in range(1, 9)}
    for seed in range(20):
        order = list(texts)
        random.Random(seed).shuffle(order)
        previous = fleet.boards[seed % 4].configuration.revision
        for revision in order:
            fleet.submit(seed % 4, texts[revision], revision)
            now = fleet.boards[seed % 4].configuration.revision
            assert now >= previous
            previous = now
    fleet.run_for(3.0)
    assert fleet.list_revisions() == [8] * 4


def test_routers_resolve_a_revision_conflict_alike_and_report_it(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(6, network, clock)
    fleet.submit(0, OLD_TEXT, 3)
    fleet.submit(5, NEW_TEXT, 3)
    fleet.run_for(3.0)
    versions = {board.configuration.version for board in fleet.boards}
    digests = [accept_text(t.encode(), 3).digest for t in (OLD_TEXT, NEW_TEXT)]
    assert versions == {ConfigurationVersion(3, max(digests))}
    assert sum(board.configuration.conflicts for board in fleet.boards) > 0


def test_invalid_text_is_refused_and_a_newer_valid_one_is_applied(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(3, network, clock)
    fleet.submit(0, OLD_TEXT, 1)
    fleet.submit(0, "[oops]\n", 2)
    refused = fleet.boards[0].configuration.latest_refusal
    assert refused is not None
    assert refused[0] == 2
    assert refused[1].faults[0].code == "unknown_key"
    fleet.run_for(1.0)
    assert fleet.list_revisions() == [1, 1, 1]
    fleet.submit(0, NEW_TEXT, 3)
    fleet.run_for(1.0)
    assert fleet.list_revisions() == [3, 3, 3]
    assert fleet.boards[0].configuration.latest_refusal is None


def deliver_from_peer(board: Blackboard, network: MemoryNetwork, reply: object) -> None:
    """Deliver a message from a peer to a router."""
    peer = MemoryLink(create_board("peer", "a"), network)
    peer.send_to(board.members.own.address, reply)
    network.deliver()


def test_malformed_replies_are_counted_and_dropped(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(1, network, clock)
    board = fleet.boards[0]
    fleet.submit(0, OLD_TEXT, 1)
    held = board.configuration.version.digest
    invalid_utf8 = zlib.compress(b"[a]\n\xff")
    replies = [
        ConfigurationReply(9, "d", "", b"not zlib"),
        ConfigurationReply(9, "d", "", zlib.compress(b"x" * 3_000_000)),
        ConfigurationReply(9, "d", "", zlib.compress(NEW_TEXT.encode())),
        ConfigurationReply(9, "d", "unknown", zlib.compress(NEW_TEXT.encode())),
        ConfigurationReply(9, "d", held, zlib.compress(NEW_TEXT.encode())),
    ]
    for reply in replies:
        deliver_from_peer(board, network, reply)
    assert board.control_traffic.dropped_messages["malformed"] == len(replies)
    digest = xxhash.xxh3_128_hexdigest(b"[a]\n\xff")
    deliver_from_peer(board, network, ConfigurationReply(9, digest, "", invalid_utf8))
    refused = board.configuration.latest_refusal
    assert refused is not None
    assert refused[1].faults[0].code == "not_utf8"
    assert board.configuration.revision == 1


def test_a_delta_that_does_not_apply_is_replaced_by_the_whole_text(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(2, network, clock)
    for index in (0, 1):
        fleet.submit(index, OLD_TEXT, 1)
    network.pending_deliveries.clear()
    reply = ConfigurationReply(2, "d", "unknown", b"")
    deliver_from_peer(fleet.boards[1], network, reply)
    fleet.submit(0, NEW_TEXT, 2)
    fleet.run_for(1.0)
    requests = [
        message
        for _, message in fleet.links[1].sent_messages
        if isinstance(message, ConfigurationRequest)
    ]
    assert requests[-1].whole
    assert fleet.list_revisions() == [2, 2]


def test_number_of_remembered_text_holders_is_bounded(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(1, network, clock)
    board = fleet.boards[0]
    for number in range(50):
        peer = MemoryLink(create_board(f"p{number}", "a"), network)
        peer.send_to(board.members.own.address, ConfigurationNotice(7, "d"))
    network.deliver()
    assert len(fleet.controllers[0]._exchange._text_holders) == MAX_TEXT_HOLDERS


async def test_a_large_text_does_not_block_the_event_loop(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(1, network, clock)
    text = build_large_configuration()
    fleet.submit(0, text, 1)
    assert fleet.list_revisions() == [0]
    turns = 0
    while fleet.list_revisions() == [0]:
        await asyncio.sleep(0)
        turns += 1
    assert turns > 1
