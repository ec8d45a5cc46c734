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
from sycamorehaven.decisions.revisions import FANOUT, choose_targets, is_conflict
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

FETCH_TIMEOUT = 0.5
"""Seconds after which another peer is asked for the text."""
SECOND_ROUND = 0.5
"""Seconds between the two rounds in which a new text is announced."""
MOST_TELLERS = 8
"""Peers remembered as holders of the newest text."""
MOST_REJECTED = 64
"""Versions remembered as not acceptable."""


class Acceptor(Protocol):
    """Takes texts that have come from peers."""

    def submit(self, raw: bytes, version: Version) -> None:
        """Accept a text and put it in force, if it is valid and newer."""
        ...


class Fetch(NamedTuple):
    """
    A request for a text that is not answered yet.

    :ivar version: what was asked for.
    :ivar asked_at: when, monotonic seconds.
    """

    version: Version
    asked_at: float


class TextExchange:
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
        acceptor: Acceptor,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._board = board
        self._link = link
        self._acceptor = acceptor
        self._clock = clock
        self._random = random
        self._history = TextHistory()
        self._newest = Version(0, "")
        self._tellers: list[str] = []
        self._fetch = Fetch(Version(0, ""), 0.0)
        self._whole = False
        self._announce_at: float | None = None
        self._rejected: dict[Version, None] = {}
        self._heard: set[str] = set()
        self._heard_at = 0.0
        for kind in (Probe, ProbeAck, ConfigurationNotice):
            link.subscribe(kind, self._compare)
        link.subscribe(ConfigurationRequest, self._answer)
        link.subscribe(ConfigurationReply, self._take_reply)

    @property
    def heard(self) -> set[str]:
        """Hosts that have told their version."""
        return self._heard

    @property
    def heard_at(self) -> float:
        """When a peer last told its version, monotonic s, 0 for never."""
        return self._heard_at

    @property
    def newest(self) -> Version:
        """The largest version that a peer has told."""
        return self._newest

    def announce(self, configuration: Configuration) -> None:
        """Tell members of a text that has just taken force."""
        self._history.add(configuration)
        self._announce_at = self._clock() + SECOND_ROUND
        self._tell_members()

    def reject(self, version: Version) -> None:
        """Ask no peer again for a text that is not acceptable."""
        self._rejected[version] = None
        if len(self._rejected) > MOST_REJECTED:
            del self._rejected[next(iter(self._rejected))]

    def tick(self) -> None:
        """Carry out what has become due."""
        now = self._clock()
        if self._announce_at is not None and now >= self._announce_at:
            self._announce_at = None
            self._tell_members()
        if now - self._fetch.asked_at > FETCH_TIMEOUT and self._is_behind():
            self._ask_next()

    def _is_behind(self) -> bool:
        wanted = self._newest
        return wanted > self._board.configuration.version and (
            wanted not in self._rejected
        )

    def _tell_members(self) -> None:
        own = self._board.identity.host
        hosts = [m.host for m in self._board.members.list() if m.host != own]
        notice = ConfigurationNotice(*self._board.configuration.version)
        for host in choose_targets(hosts, FANOUT, self._random):
            self._link.send(host, notice)

    def _compare(self, delivery: Delivery) -> None:
        if delivery.sender.host == self._board.identity.host:
            return
        self._heard.add(delivery.sender.host)
        self._heard_at = self._clock()
        told = Version(delivery.message.revision, delivery.message.digest)
        held = self._board.configuration.version
        if is_conflict(told, held):
            self._report_conflict(told, delivery)
        if told <= held or told in self._rejected:
            return
        self._note_teller(told, delivery.address)
        waiting = self._clock() - self._fetch.asked_at <= FETCH_TIMEOUT
        if not (waiting and self._fetch.version >= told):
            self._ask(delivery.address)

    def _report_conflict(self, told: Version, delivery: Delivery) -> None:
        self._board.configuration.count_conflict()
        logging.log_every_n_seconds(
            logging.ERROR,
            "revision %d stands for two texts, %s here and %s at %s; the larger "
            "digest stays in force [revision_conflict]; remedy: publish the "
            "intended text again under a new revision",
            10,
            told.revision,
            self._board.configuration.version.digest,
            told.digest,
            delivery.sender.host,
        )

    def _note_teller(self, told: Version, address: str) -> None:
        if told > self._newest:
            self._newest = told
            self._tellers = []
        if told == self._newest and address not in self._tellers:
            self._tellers = [address, *self._tellers][:MOST_TELLERS]

    def _ask_next(self) -> None:
        if self._tellers:
            self._tellers.append(self._tellers.pop(0))
            self._ask(self._tellers[0])

    def _ask(self, address: str) -> None:
        self._fetch = Fetch(self._newest, self._clock())
        held = self._board.configuration.version
        self._link.send_to(address, ConfigurationRequest(*held, self._whole))

    def _answer(self, delivery: Delivery) -> None:
        request: ConfigurationRequest = delivery.message
        current = self._board.configuration.current
        asked = Version(request.revision, request.digest)
        if current is None or current.version <= asked:
            return
        base = "" if request.whole else request.digest
        reply = self._history.build_reply(current, base)
        self._link.send_to(delivery.address, reply)

    def _take_reply(self, delivery: Delivery) -> None:
        reply: ConfigurationReply = delivery.message
        version = Version(reply.revision, reply.digest)
        if version <= self._board.configuration.version:
            return
        try:
            raw = self._unpack(reply)
        except DeltaError as error:
            self._board.traffic.count_dropped("malformed")
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            self._whole = True
            return
        self._whole = False
        self._acceptor.submit(raw, version)

    def _unpack(self, reply: ConfigurationReply) -> bytes:
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
