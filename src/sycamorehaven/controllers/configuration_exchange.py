"""
Distributes configuration texts between routers.

A router announces each new text to a few members. Members that are behind
request it and get either the whole text or a delta to the text they have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash
from absl import logging

from sycamorehaven.configuration.delta import (
    DeltaError,
    apply_delta,
    decode_delta,
    decompress_text,
)
from sycamorehaven.configuration.history import ConfigurationHistory
from sycamorehaven.configuration.model import ConfigurationVersion
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
"""Time without a reply after which another peer is asked for the text."""
SECOND_ANNOUNCEMENT_DELAY_SECONDS = 0.5
"""Time from the first to the second announcement of a new text."""
MAX_TEXT_HOLDERS = 8
"""Peers remembered as having the newest text."""
MAX_REJECTED_VERSIONS = 64
"""Invalid versions remembered; the oldest are forgotten first."""


class TextAcceptor(Protocol):
    """Receives the texts of peers; the configuration controller is one."""

    def submit(self, raw: bytes, version: ConfigurationVersion) -> None:
        """Validate a text and put it in force if it is valid and newer."""
        ...


class FetchAttempt(NamedTuple):
    """
    The last request for a text.

    :ivar version: the newest version known when it was sent.
    :ivar requested_at: when it was sent, monotonic seconds.
    """

    version: ConfigurationVersion
    requested_at: float


class ConfigurationExchange:
    """
    Announces new texts to peers, requests newer ones and answers requests.

    The version of each peer comes with its probes, acknowledgements and
    configuration notices.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param acceptor: validates the texts received and puts them in force.
    :param clock: returns the monotonic time in seconds.
    :param random: draws the members that are notified.
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
        self._history = ConfigurationHistory()
        self._newest_peer_version = ConfigurationVersion(0, "")
        self._text_holders: list[str] = []
        self._last_fetch = FetchAttempt(ConfigurationVersion(0, ""), 0.0)
        self._needs_whole_text = False
        self._second_announcement_at: float | None = None
        self._rejected_versions: dict[ConfigurationVersion, None] = {}
        self._heard_hosts: set[str] = set()
        self._peer_heard_at = 0.0
        for message_type in (Probe, ProbeAck, ConfigurationNotice):
            link.subscribe(message_type, self._handle_version)
        link.subscribe(ConfigurationRequest, self._handle_request)
        link.subscribe(ConfigurationReply, self._handle_reply)

    @property
    def heard_hosts(self) -> set[str]:
        """Hosts whose configuration version was received."""
        return self._heard_hosts

    @property
    def peer_heard_at(self) -> float:
        """When a peer's version last came, monotonic seconds, 0 for never."""
        return self._peer_heard_at

    @property
    def newest_peer_version(self) -> ConfigurationVersion:
        """The largest version received from a peer."""
        return self._newest_peer_version

    def announce(self, configuration: Configuration) -> None:
        """Announce a text that has just been put in force, in two rounds."""
        self._history.add(configuration)
        self._second_announcement_at = self._clock() + SECOND_ANNOUNCEMENT_DELAY_SECONDS
        self._send_announcement()

    def reject(self, version: ConfigurationVersion) -> None:
        """Remember an invalid version so that it is not requested again."""
        self._rejected_versions[version] = None
        if len(self._rejected_versions) > MAX_REJECTED_VERSIONS:
            del self._rejected_versions[next(iter(self._rejected_versions))]

    def tick(self) -> None:
        """Send the second announcement and repeated requests that are due."""
        now = self._clock()
        if (
            self._second_announcement_at is not None
            and now >= self._second_announcement_at
        ):
            self._second_announcement_at = None
            self._send_announcement()
        if (
            now - self._last_fetch.requested_at > FETCH_TIMEOUT_SECONDS
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
        """Request a peer's text if the peer announces a newer version."""
        if delivery.sender.host == self._board.identity.host:
            return
        self._heard_hosts.add(delivery.sender.host)
        self._peer_heard_at = self._clock()
        peer_version = ConfigurationVersion(
            delivery.message.revision, delivery.message.digest
        )
        own_version = self._board.configuration.version
        if is_conflict(peer_version, own_version):
            self._report_conflict(peer_version, delivery)
        if peer_version <= own_version or peer_version in self._rejected_versions:
            return
        self._record_text_holder(peer_version, delivery.address)
        is_pending = (
            self._clock() - self._last_fetch.requested_at <= FETCH_TIMEOUT_SECONDS
        )
        if not (is_pending and self._last_fetch.version >= peer_version):
            self._request_text(delivery.address)

    def _report_conflict(
        self, peer_version: ConfigurationVersion, delivery: Delivery
    ) -> None:
        self._board.configuration.count_conflict()
        logging.log_every_n_seconds(
            logging.ERROR,
            "revision %d has two different texts, digest %s here and digest %s at "
            "%s; the text with the larger digest stays in force "
            "[revision_conflict]; remedy: publish the intended text again "
            "under a new revision",
            10,
            peer_version.revision,
            self._board.configuration.version.digest,
            peer_version.digest,
            delivery.sender.host,
        )

    def _record_text_holder(
        self, peer_version: ConfigurationVersion, address: str
    ) -> None:
        if peer_version > self._newest_peer_version:
            self._newest_peer_version = peer_version
            self._text_holders = []
        if (
            peer_version == self._newest_peer_version
            and address not in self._text_holders
        ):
            self._text_holders = [address, *self._text_holders][:MAX_TEXT_HOLDERS]

    def _request_from_next_holder(self) -> None:
        """Request the newest text from another peer that has it."""
        if self._text_holders:
            self._text_holders.append(self._text_holders.pop(0))
            self._request_text(self._text_holders[0])

    def _request_text(self, address: str) -> None:
        self._last_fetch = FetchAttempt(self._newest_peer_version, self._clock())
        own_version = self._board.configuration.version
        self._link.send_to(
            address, ConfigurationRequest(*own_version, self._needs_whole_text)
        )

    def _handle_request(self, delivery: Delivery) -> None:
        request: ConfigurationRequest = delivery.message
        current = self._board.configuration.current
        peer_version = ConfigurationVersion(request.revision, request.digest)
        if current is None or current.version <= peer_version:
            return
        base = "" if request.whole else request.digest
        reply = self._history.build_reply(current, base)
        self._link.send_to(delivery.address, reply)

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: ConfigurationReply = delivery.message
        version = ConfigurationVersion(reply.revision, reply.digest)
        if version <= self._board.configuration.version:
            return
        try:
            raw = self._unpack_reply(reply)
        except DeltaError as error:
            self._board.control_traffic.count_dropped("malformed")
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            self._needs_whole_text = True
            return
        self._needs_whole_text = False
        self._acceptor.submit(raw, version)

    def _unpack_reply(self, reply: ConfigurationReply) -> bytes:
        current = self._board.configuration.current
        if not reply.base:
            raw = decompress_text(reply.compressed)
        elif current is not None and current.digest == reply.base:
            raw = apply_delta(current.text, decode_delta(reply.compressed)).encode()
        else:
            raise DeltaError("the delta is not based on the current text")
        if xxhash.xxh3_128_hexdigest(raw) != reply.digest:
            raise DeltaError("the text does not match the digest in the reply")
        return raw
