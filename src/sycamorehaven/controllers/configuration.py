"""Follows the configuration service and the peers' configuration."""

from __future__ import annotations

import asyncio
import random as standard_random
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.model import Version
from sycamorehaven.controllers.configuration_exchange import TextExchange
from sycamorehaven.decisions.revisions import (
    ColdStart,
    ReadState,
    may_believe,
    plan_read,
)
from sycamorehaven.decisions.roles import is_reader
from sycamorehaven.exceptions.faults import ConfigurationError
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.transport.peer_link import PeerLink
    from sycamorehaven.transport.platform_client import (
        ConfigurationSource,
        ConfigurationText,
    )

TICK = 0.1
"""Seconds between looks at what has become due."""
INLINE_SIZE = 65_536
"""Largest text, bytes, that is accepted on the event loop."""


class ConfigurationController(Service):
    """
    Puts the newest valid text in force.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param source: the configuration service.
    :param seeds: peer addresses of the settings.
    :param clock: monotonic seconds.
    :param random: draws delays and the members that are told.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        source: ConfigurationSource,
        seeds: Iterable[str] = (),
        clock: Callable[[], float] = time.monotonic,
        random: Random | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._source = source
        self._seeds = set(seeds)
        self._clock = clock
        self._random = random or standard_random.Random(board.identity.incarnation)
        self._reads = ReadState(clock(), jitter=self._random.random())
        self._exchange = TextExchange(board, link, self, clock, self._random)
        self._accepting: dict[Version, asyncio.Task[None]] = {}
        board.configuration.explain("no peer has answered yet")

    def submit(self, raw: bytes, version: Version) -> None:
        """Accept a text and put it in force, if it is valid and newer."""
        if version in self._accepting:
            return
        if len(raw) <= INLINE_SIZE:
            self._conclude(self._accept(raw, version.revision), version)
            return
        task = asyncio.create_task(self._accept_aside(raw, version))
        self._accepting[version] = task
        task.add_done_callback(lambda _: self._accepting.pop(version, None))

    @Service.task
    async def _exchange_texts(self) -> None:
        while not self.should_stop:
            self._exchange.tick()
            await self.sleep(TICK)

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            state = self._reads._replace(heard_at=self._exchange.heard_at)
            members = self._board.members
            reads = is_reader(members.own, members.map_domains())
            plan = plan_read(state, is_reader=reads, now=self._clock())
            if plan.due:
                await self._read(plan.wait)
            else:
                await self.sleep(plan.delay)

    async def _read(self, wait: float) -> None:
        self._reads = self._reads._replace(
            read_at=self._clock(), jitter=self._random.random()
        )
        revision = self._find_newest()
        try:
            text = await self._source.watch(revision, wait)
        except PlatformUnavailable as error:
            self._note_failure(error)
            return
        self._reads = self._reads._replace(failures=0)
        if text is not None and text.revision > revision:
            await self._take_text(text)
        elif text is not None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "the configuration service answers with revision %d, %d is known; "
                "it is ignored [stale_configuration]",
                10,
                text.revision,
                revision,
            )

    async def _take_text(self, text: ConfigurationText) -> None:
        while self._board.configuration.current is None and not self._may_believe(
            text.revision
        ):
            await self.sleep(TICK)
        if text.revision > self._board.configuration.revision:
            await self._accept_aside(text.raw, Version(text.revision, ""))

    def _may_believe(self, revision: int) -> bool:
        own = self._board.members.own.address
        known = {member.address for member in self._board.members.list()}
        known |= self._seeds | set(self._board.seeds.addresses)
        start = ColdStart(
            self._reads.started_at,
            len(known - {own}),
            len(self._exchange.heard),
            self._exchange.newest.revision,
        )
        return may_believe(start, revision, self._clock())

    def _note_failure(self, error: PlatformUnavailable) -> None:
        failures = self._reads.failures + 1
        self._reads = self._reads._replace(failures=failures)
        self._board.configuration.explain(
            f"no peer holds a configuration and the service fails: {error}"
        )
        if self._board.configuration.current is None:
            logging.log_every_n_seconds(
                logging.WARNING, "not ready: %s", 5, self._board.configuration.reason
            )
        else:
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)

    def _find_newest(self) -> int:
        refused = self._board.configuration.refused
        return max(self._board.configuration.revision, refused[0] if refused else 0)

    async def _accept_aside(self, raw: bytes, version: Version) -> None:
        if len(raw) <= INLINE_SIZE:
            accepted = self._accept(raw, version.revision)
        else:
            accepted = await asyncio.to_thread(self._accept, raw, version.revision)
        self._conclude(accepted, version)

    def _accept(self, raw: bytes, revision: int) -> Configuration | ConfigurationError:
        try:
            return accept_text(raw, revision)
        except ConfigurationError as error:
            return error

    def _conclude(
        self, accepted: Configuration | ConfigurationError, version: Version
    ) -> None:
        if isinstance(accepted, ConfigurationError):
            self._board.configuration.refuse(version.revision, accepted)
            self._exchange.reject(version)
            logging.error("configuration %d refused: %s", version.revision, accepted)
        elif self._board.configuration.replace(accepted):
            logging.info("configuration %d in force", accepted.revision)
            self._exchange.announce(accepted)
