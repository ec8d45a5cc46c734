"""Exchange of configuration texts with other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash
from absl import logging

from sycamorehaven.configuration.delta import (
    DeltaError,
    apply_delta,
    unpack_delta,
    unpack_text,
)
from sycamorehaven.configuration.history import TextHistory
from sycamorehaven.configuration.model import Version
from sycamorehaven.decisions.configuration_polling import (
    GOSSIP_FANOUT,
    choose_gossip_targets,
    is_conflict,
)
from sycamorehaven.transport.messages.configuration import (
    ConfigurationNotice,
    ConfigurationReply,
    ConfigurationRequest,
)
from sycamorehaven.transport.messages.membership import Probe, ProbeAck

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

FETCH_TIMEOUT_SECONDS = 0.5
"""Seconds after which another peer is asked for the text."""
SECOND_ANNOUNCEMENT_DELAY_SECONDS = 0.5
"""Seconds between the two rounds in which a new text is announced."""
MAX_TEXT_HOLDERS = 8
"""Peers remembered as holders of the newest text."""
MAX_REJECTED_VERSIONS = 64
"""Versions remembered as not acceptable."""


class TextAcceptor(Protocol):
    """Takes texts that have come from peers."""

    def submit(self, raw: bytes, version: Version) -> None:
        """Accept a text and put it in force, if it is valid and newer."""
        ...


class PendingFetch(NamedTuple):
    """
    A request for a text that is not answered yet.

    :ivar version: what was asked for.
    :ivar requested_at: when, monotonic seconds.
    """

    version: Version
    requested_at: float


class ConfigurationExchange:
    """
    Tells peers of new texts, asks them for newer ones and answers them.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param acceptor: takes the texts.
    :param clock: monotonic seconds.
    :param random: draws the members that are told.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        acceptor: TextAcceptor,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._board = board
        self._link = link
        self._acceptor = acceptor
        self._clock = clock
        self._random = random
        self._history = TextHistory()
        self._newest_peer_version = Version(0, "")
        self._text_holders: list[str] = []
        self._pending_fetch = PendingFetch(Version(0, ""), 0.0)
        self._needs_whole_text = False
        self._second_announcement_at: float | None = None
        self._rejected_versions: dict[Version, None] = {}
        self._heard_hosts: set[str] = set()
        self._heard_at = 0.0
        for message_type in (Probe, ProbeAck, ConfigurationNotice):
            link.subscribe(message_type, self._handle_version)
        link.subscribe(ConfigurationRequest, self._handle_request)
        link.subscribe(ConfigurationReply, self._handle_reply)

    @property
    def heard_hosts(self) -> set[str]:
        """Hosts that have told their version."""
        return self._heard_hosts

    @property
    def heard_at(self) -> float:
        """When a peer last told its version, monotonic s, 0 for never."""
        return self._heard_at

    @property
    def newest_peer_version(self) -> Version:
        """The largest version that a peer has told."""
        return self._newest_peer_version

    def announce(self, configuration: Configuration) -> None:
        """Tell members of a text that has just taken force."""
        self._history.add(configuration)
        self._second_announcement_at = self._clock() + SECOND_ANNOUNCEMENT_DELAY_SECONDS
        self._send_announcement()

    def reject(self, version: Version) -> None:
        """Ask no peer again for a text that is not acceptable."""
        self._rejected_versions[version] = None
        if len(self._rejected_versions) > MAX_REJECTED_VERSIONS:
            del self._rejected_versions[next(iter(self._rejected_versions))]

    def tick(self) -> None:
        """Carry out what has become due."""
        now = self._clock()
        if (
            self._second_announcement_at is not None
            and now >= self._second_announcement_at
        ):
            self._second_announcement_at = None
            self._send_announcement()
        if (
            now - self._pending_fetch.requested_at > FETCH_TIMEOUT_SECONDS
            and self._is_behind()
        ):
            self._request_from_next_holder()

    def _is_behind(self) -> bool:
        newest = self._newest_peer_version
        return newest > self._board.configuration.version and (
            newest not in self._rejected_versions
        )

    def _send_announcement(self) -> None:
        own = self._board.identity.host
        hosts = [m.host for m in self._board.members.list() if m.host != own]
        notice = ConfigurationNotice(*self._board.configuration.version)
        for host in choose_gossip_targets(hosts, GOSSIP_FANOUT, self._random):
            self._link.send(host, notice)

    def _handle_version(self, delivery: Delivery) -> None:
        if delivery.sender.host == self._board.identity.host:
            return
        self._heard_hosts.add(delivery.sender.host)
        self._heard_at = self._clock()
        peer_version = Version(delivery.message.revision, delivery.message.digest)
        own_version = self._board.configuration.version
        if is_conflict(peer_version, own_version):
            self._report_conflict(peer_version, delivery)
        if peer_version <= own_version or peer_version in self._rejected_versions:
            return
        self._record_text_holder(peer_version, delivery.address)
        is_pending = (
            self._clock() - self._pending_fetch.requested_at <= FETCH_TIMEOUT_SECONDS
        )
        if not (is_pending and self._pending_fetch.version >= peer_version):
            self._request_text(delivery.address)

    def _report_conflict(self, peer_version: Version, delivery: Delivery) -> None:
        self._board.configuration.count_conflict()
        logging.log_every_n_seconds(
            logging.ERROR,
            "revision %d stands for two texts, %s here and %s at %s; the larger "
            "digest stays in force [revision_conflict]; remedy: publish the "
            "intended text again under a new revision",
            10,
            peer_version.revision,
            self._board.configuration.version.digest,
            peer_version.digest,
            delivery.sender.host,
        )

    def _record_text_holder(self, peer_version: Version, address: str) -> None:
        if peer_version > self._newest_peer_version:
            self._newest_peer_version = peer_version
            self._text_holders = []
        if (
            peer_version == self._newest_peer_version
            and address not in self._text_holders
        ):
            self._text_holders = [address, *self._text_holders][:MAX_TEXT_HOLDERS]

    def _request_from_next_holder(self) -> None:
        if self._text_holders:
            self._text_holders.append(self._text_holders.pop(0))
            self._request_text(self._text_holders[0])

    def _request_text(self, address: str) -> None:
        self._pending_fetch = PendingFetch(self._newest_peer_version, self._clock())
        own_version = self._board.configuration.version
        self._link.send_to(
            address, ConfigurationRequest(*own_version, self._needs_whole_text)
        )

    def _handle_request(self, delivery: Delivery) -> None:
        request: ConfigurationRequest = delivery.message
        current = self._board.configuration.current
        peer_version = Version(request.revision, request.digest)
        if current is None or current.version <= peer_version:
            return
        base = "" if request.whole else request.digest
        reply = self._history.build_reply(current, base)
        self._link.send_to(delivery.address, reply)

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: ConfigurationReply = delivery.message
        version = Version(reply.revision, reply.digest)
        if version <= self._board.configuration.version:
            return
        try:
            raw = self._unpack_reply(reply)
        except DeltaError as error:
            self._board.traffic.count_dropped("malformed")
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            self._needs_whole_text = True
            return
        self._needs_whole_text = False
        self._acceptor.submit(raw, version)

    def _unpack_reply(self, reply: ConfigurationReply) -> bytes:
        current = self._board.configuration.current
        if not reply.base:
            raw = unpack_text(reply.compressed)
        elif current is not None and current.digest == reply.base:
            raw = apply_delta(current.text, unpack_delta(reply.compressed)).encode()
        else:
            raise DeltaError("the difference is to another text than the one held")
        if xxhash.xxh3_128_hexdigest(raw) != reply.digest:
            raise DeltaError("the text does not have the digest that came with it")
        return raw
