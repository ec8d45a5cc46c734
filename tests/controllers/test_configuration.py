"""The configuration spreads, only rises and survives bad replies."""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import TYPE_CHECKING

import xxhash

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.model import Version
from sycamorehaven.controllers.configuration import ConfigurationController
from sycamorehaven.controllers.configuration_exchange import MOST_TELLERS
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
from tests.support.large_texts import write_large_configuration, write_workspace

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard

OLD = write_large_configuration(30, 10, 2)
NEW = OLD.replace(write_workspace(7), write_workspace(7, 2.0))


class DownSource:
    """A configuration service that does not answer."""

    async def read(self) -> ConfigurationText | None:
        """Fail."""
        raise PlatformUnavailable("down")

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Fail."""
        raise PlatformUnavailable(f"down after {revision} for {wait}")


class Routers:
    """Configuration controllers of a fleet on a memory network."""

    def __init__(self, count: int, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network, self.clock = network, clock
        self.boards = [create_board(f"r{n}", f"d{n % 6}", n + 1) for n in range(count)]
        members = {b.identity.host: b.members.own for b in self.boards}
        self.links = []
        self.controllers = []
        for board in self.boards:
            board.members.replace(members)
            link = MemoryLink(board, network)
            controller = ConfigurationController(board, link, DownSource(), clock=clock)
            self.links.append(link)
            self.controllers.append(controller)

    def submit(self, index: int, text: str, revision: int) -> None:
        """Hand a text to one router as if its service gave it."""
        self.controllers[index].submit(
            text.encode(), Version(revision, xxhash.xxh3_128_hexdigest(text.encode()))
        )

    def settle(self, seconds: float, step: float = 0.1) -> None:
        """Deliver messages and move the clock on; one step is one trip."""
        for _ in range(round(seconds / step)):
            pending, self.network.pending = self.network.pending, []
            batch, self.network.pending = self.network.pending, pending
            self.network.deliver(len(pending))
            self.network.pending += batch
            self.clock.advance(step)
            for controller in self.controllers:
                controller._exchange.tick()

    def list_revisions(self) -> list[int]:
        """Return the revision in force at each router."""
        return [board.configuration.revision for board in self.boards]


def test_a_change_reaches_420_routers_in_two_seconds(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(420, network, clock)
    for index in range(420):
        routers.submit(index, OLD, 1)
    network.pending.clear()
    clock.advance(10.0)
    for link in routers.links:
        link.sent.clear()
    routers.submit(0, NEW, 2)
    routers.settle(2.0)
    assert routers.list_revisions() == [2] * 420
    sent = [message for link in routers.links for _, message in link.sent]
    replies = [m for m in sent if isinstance(m, ConfigurationReply)]
    assert len(replies) <= 2 * 420
    assert all(reply.base for reply in replies)
    assert len(sent) <= 420 * 20
    assert max(len(link.sent) for link in routers.links) <= 60


def test_lost_messages_delay_a_change_and_lose_none(clock: ManualClock) -> None:
    network = MemoryNetwork(seed=3, loss=0.2)
    routers = Routers(60, network, clock)
    for index in range(60):
        routers.submit(index, OLD, 1)
    network.pending.clear()
    routers.submit(0, NEW, 2)
    routers.settle(6.0)
    behind = [b for b in routers.boards if b.configuration.revision < 2]
    assert len(behind) <= 1
    for board in behind:
        link = network.links[board.members.own.address]
        own = routers.boards[0].configuration.version
        routers.links[0].send_to(link._address, ConfigurationNotice(*own))
    network.loss = 0.0
    routers.settle(1.0)
    assert routers.list_revisions() == [2] * 60


def test_revisions_only_rise_in_whatever_order_they_come(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(4, network, clock)
    texts = {r: OLD.replace("slots = 16", f"slots = {r}", 1) for r in range(1, 9)}
    for seed in range(20):
        order = list(texts)
        random.Random(seed).shuffle(order)
        held = routers.boards[seed % 4].configuration.revision
        for revision in order:
            routers.submit(seed % 4, texts[revision], revision)
            now = routers.boards[seed % 4].configuration.revision
            assert now >= held
            held = now
    routers.settle(3.0)
    assert routers.list_revisions() == [8] * 4


def test_one_revision_with_two_texts_is_decided_alike_and_reported(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(6, network, clock)
    routers.submit(0, OLD, 3)
    routers.submit(5, NEW, 3)
    routers.settle(3.0)
    versions = {board.configuration.version for board in routers.boards}
    digests = [accept_text(t.encode(), 3).digest for t in (OLD, NEW)]
    assert versions == {Version(3, max(digests))}
    assert sum(board.configuration.conflicts for board in routers.boards) > 0


def test_invalid_text_never_takes_force_and_a_newer_valid_one_does(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(3, network, clock)
    routers.submit(0, OLD, 1)
    routers.submit(0, "[oops]\n", 2)
    refused = routers.boards[0].configuration.refused
    assert refused is not None
    assert refused[0] == 2
    assert refused[1].faults[0].code == "unknown_key"
    routers.settle(1.0)
    assert routers.list_revisions() == [1, 1, 1]
    routers.submit(0, NEW, 3)
    routers.settle(1.0)
    assert routers.list_revisions() == [3, 3, 3]
    assert routers.boards[0].configuration.refused is None


def reply_to(board: Blackboard, network: MemoryNetwork, reply: object) -> None:
    """Hand a router a message of a peer."""
    peer = MemoryLink(create_board("peer", "a"), network)
    peer.send_to(board.members.own.address, reply)
    network.deliver()


def test_malformed_replies_are_counted_and_dropped(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(1, network, clock)
    board = routers.boards[0]
    routers.submit(0, OLD, 1)
    held = board.configuration.version.digest
    bad = zlib.compress(b"[a]\n\xff")
    replies = [
        ConfigurationReply(9, "d", "", b"not zlib"),
        ConfigurationReply(9, "d", "", zlib.compress(b"x" * 3_000_000)),
        ConfigurationReply(9, "d", "", zlib.compress(NEW.encode())),
        ConfigurationReply(9, "d", "unknown", zlib.compress(NEW.encode())),
        ConfigurationReply(9, "d", held, zlib.compress(NEW.encode())),
    ]
    for reply in replies:
        reply_to(board, network, reply)
    assert board.traffic.dropped["malformed"] == len(replies)
    digest = xxhash.xxh3_128_hexdigest(b"[a]\n\xff")
    reply_to(board, network, ConfigurationReply(9, digest, "", bad))
    refused = board.configuration.refused
    assert refused is not None
    assert refused[1].faults[0].code == "not_utf8"
    assert board.configuration.revision == 1


def test_a_difference_that_does_not_apply_is_replaced_by_the_whole_text(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(2, network, clock)
    for index in (0, 1):
        routers.submit(index, OLD, 1)
    network.pending.clear()
    reply = ConfigurationReply(2, "d", "unknown", b"")
    reply_to(routers.boards[1], network, reply)
    routers.submit(0, NEW, 2)
    routers.settle(1.0)
    requests = [
        message
        for _, message in routers.links[1].sent
        if isinstance(message, ConfigurationRequest)
    ]
    assert requests[-1].whole
    assert routers.list_revisions() == [2, 2]


def test_holders_of_a_text_are_remembered_within_a_bound(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(1, network, clock)
    board = routers.boards[0]
    for number in range(50):
        peer = MemoryLink(create_board(f"p{number}", "a"), network)
        peer.send_to(board.members.own.address, ConfigurationNotice(7, "d"))
    network.deliver()
    assert len(routers.controllers[0]._exchange._tellers) == MOST_TELLERS


async def test_a_large_text_does_not_hold_up_the_event_loop(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = Routers(1, network, clock)
    text = write_large_configuration()
    routers.submit(0, text, 1)
    assert routers.list_revisions() == [0]
    turns = 0
    while routers.list_revisions() == [0]:
        await asyncio.sleep(0)
        turns += 1
    assert turns > 1
