"""Follows the configuration service and the peers' configuration."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.configuration.acceptance import LARGEST_TEXT, accept_text
from sycamorehaven.exceptions.faults import ConfigurationError
from sycamorehaven.transport.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Probe,
    ProbeAck,
)
from sycamorehaven.transport.platform import PlatformUnavailable

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.links import PeerLink
    from sycamorehaven.transport.platform import ConfigurationSource

WATCH = 20.0
"""Seconds that one watch waits for a change."""
RETRY_DELAY = 0.5
"""Seconds between reads while the service is down."""


class ConfigurationController(Service):
    """
    Puts the newest valid text in force.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param source: the configuration service.
    """

    def __init__(
        self, board: Blackboard, link: PeerLink, source: ConfigurationSource
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._source = source
        link.subscribe(Probe, self._compare)
        link.subscribe(ProbeAck, self._compare)
        link.subscribe(ConfigurationRequest, self._answer)
        link.subscribe(ConfigurationReply, self._take_reply)

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                revision = self._find_newest()
                text = await self._source.watch(revision, WATCH)
                if text is not None and text.revision > revision:
                    self._accept(text.raw, text.revision)
                elif text is not None:
                    await self.sleep(RETRY_DELAY)
            except PlatformUnavailable as error:
                logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
                await self.sleep(RETRY_DELAY)

    def _find_newest(self) -> int:
        refused = self._board.configuration.refused
        return max(self._board.configuration.revision, refused[0] if refused else 0)

    def _accept(self, raw: bytes, revision: int) -> None:
        try:
            configuration = accept_text(raw, revision)
        except ConfigurationError as error:
            self._board.configuration.refuse(revision, error)
            logging.error("configuration %d refused: %s", revision, error)
            return
        if self._board.configuration.replace(configuration):
            logging.info("configuration %d in force", revision)

    def _compare(self, delivery: Delivery) -> None:
        own = self._board.configuration.revision
        if delivery.message.revision > own:
            self._link.send_to(delivery.address, ConfigurationRequest(own))

    def _answer(self, delivery: Delivery) -> None:
        current = self._board.configuration.current
        if current is None or current.revision <= delivery.message.revision:
            return
        compressed = zlib.compress(current.text.encode())
        reply = ConfigurationReply(current.revision, compressed)
        self._link.send_to(delivery.address, reply)

    def _take_reply(self, delivery: Delivery) -> None:
        reply: ConfigurationReply = delivery.message
        if reply.revision <= self._board.configuration.revision:
            return
        inflater = zlib.decompressobj()
        try:
            raw = inflater.decompress(reply.compressed, LARGEST_TEXT + 1)
        except zlib.error:
            self._board.traffic.count_dropped("malformed")
            return
        self._accept(raw, reply.revision)
