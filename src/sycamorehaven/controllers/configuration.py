"""
Obtains the fleet's configuration and puts it in force.

Texts come from the configuration service and from other routers; a valid text
that is newer than the current one replaces it.
"""

from __future__ import annotations

import asyncio
import random as standard_random
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.model import ConfigurationVersion
from sycamorehaven.controllers.configuration_exchange import ConfigurationExchange
from sycamorehaven.decisions.configuration_polling import (
    ColdStart,
    ReadState,
    may_accept_revision,
    plan_read,
)
from sycamorehaven.decisions.roles import is_configuration_reader
from sycamorehaven.exceptions.validation import ConfigurationError
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

TICK_PERIOD_SECONDS = 0.1
"""Interval at which the text exchange and a pending text are checked."""
MAX_INLINE_TEXT_BYTES = 65_536
"""Longest text that is validated on the event loop, not in a thread."""


class ConfigurationController(Service):
    """
    Puts the newest valid configuration text in force.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param source: client of the configuration service.
    :param seeds: peer addresses from the settings.
    :param clock: returns the monotonic time in seconds.
    :param random: draws the jitter of reads and the members to notify.
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
        self._read_state = ReadState(clock(), jitter=self._random.random())
        self._exchange = ConfigurationExchange(board, link, self, clock, self._random)
        self._validation_tasks: dict[ConfigurationVersion, asyncio.Task[None]] = {}
        board.configuration.set_missing_reason("no peer has answered yet")

    def submit(self, raw: bytes, version: ConfigurationVersion) -> None:
        """
        Validate a text and put it in force if it is valid and newer.

        The text exchange calls this for texts of peers. A text that is
        already being validated is ignored.

        :param raw: the text, as received.
        :param version: the revision and digest that it claims.
        """
        if version in self._validation_tasks:
            return
        if len(raw) <= MAX_INLINE_TEXT_BYTES:
            self._apply_result(self._validate_text(raw, version.revision), version)
            return
        task = asyncio.create_task(self._accept_without_blocking(raw, version))
        self._validation_tasks[version] = task
        task.add_done_callback(lambda _: self._validation_tasks.pop(version, None))

    @Service.task
    async def _run_exchange(self) -> None:
        while not self.should_stop:
            self._exchange.tick()
            await self.sleep(TICK_PERIOD_SECONDS)

    @Service.task
    async def _watch_source(self) -> None:
        while not self.should_stop:
            state = self._read_state._replace(
                peer_heard_at=self._exchange.peer_heard_at
            )
            members = self._board.members
            reads_source = is_configuration_reader(
                members.own, members.map_failure_domains()
            )
            plan = plan_read(state, is_reader=reads_source, now=self._clock())
            if plan.is_due:
                await self._read_source(plan.watch_seconds)
            else:
                await self.sleep(plan.delay_seconds)

    async def _read_source(self, wait: float) -> None:
        self._read_state = self._read_state._replace(
            read_at=self._clock(), jitter=self._random.random()
        )
        revision = self._find_newest_known_revision()
        try:
            text = await self._source.watch(revision, wait)
        except PlatformUnavailable as error:
            self._record_read_failure(error)
            return
        self._read_state = self._read_state._replace(failure_count=0)
        if text is not None and text.revision > revision:
            await self._receive_text(text)
        elif text is not None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored revision %d of the configuration service because revision %d "
                "is already known [stale_configuration]",
                10,
                text.revision,
                revision,
            )

    async def _receive_text(self, text: ConfigurationText) -> None:
        while (
            self._board.configuration.current is None
            and not self._is_trusted_revision(text.revision)
        ):
            await self.sleep(TICK_PERIOD_SECONDS)
        if text.revision > self._board.configuration.revision:
            await self._accept_without_blocking(
                text.raw, ConfigurationVersion(text.revision, "")
            )

    def _is_trusted_revision(self, revision: int) -> bool:
        """
        Return whether a text of the service may be the first in force.

        The service may answer from a stale replica, so a router without a
        configuration first hears of its peers' revisions, for a bounded time.
        """
        own = self._board.members.own.address
        known_addresses = {member.address for member in self._board.members.list()}
        known_addresses |= self._seeds | set(self._board.seeds.addresses)
        start = ColdStart(
            self._read_state.started_at,
            len(known_addresses - {own}),
            len(self._exchange.heard_hosts),
            self._exchange.newest_peer_version.revision,
        )
        return may_accept_revision(start, revision, self._clock())

    def _record_read_failure(self, error: PlatformUnavailable) -> None:
        failures = self._read_state.failure_count + 1
        self._read_state = self._read_state._replace(failure_count=failures)
        self._board.configuration.set_missing_reason(
            f"no peer has a configuration and reading the service failed: {error}"
        )
        if self._board.configuration.current is None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "not ready: %s",
                5,
                self._board.configuration.missing_reason,
            )
        else:
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)

    def _find_newest_known_revision(self) -> int:
        refused = self._board.configuration.latest_refusal
        return max(self._board.configuration.revision, refused[0] if refused else 0)

    async def _accept_without_blocking(
        self, raw: bytes, version: ConfigurationVersion
    ) -> None:
        if len(raw) <= MAX_INLINE_TEXT_BYTES:
            result = self._validate_text(raw, version.revision)
        else:
            result = await asyncio.to_thread(self._validate_text, raw, version.revision)
        self._apply_result(result, version)

    def _validate_text(
        self, raw: bytes, revision: int
    ) -> Configuration | ConfigurationError:
        try:
            return accept_text(raw, revision)
        except ConfigurationError as error:
            return error

    def _apply_result(
        self, result: Configuration | ConfigurationError, version: ConfigurationVersion
    ) -> None:
        if isinstance(result, ConfigurationError):
            self._board.configuration.record_refusal(version.revision, result)
            self._exchange.reject(version)
            logging.error("configuration %d refused: %s", version.revision, result)
        elif self._board.configuration.replace(result):
            logging.info("configuration %d in force", result.revision)
            self._exchange.announce(result)
