"""Refuses queued calls of services that no backend server serves."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.exceptions.refusals import NoBackendServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard

UNSERVED_LIMIT = 2.0
"""Seconds without a serving server after which queued calls are refused."""
PERIOD = 0.25
"""Seconds between two looks."""
RETRY_AFTER = 1.0
"""Seconds a refused caller is asked to wait."""


class UnservedController(Service):
    """
    Ends the wait of calls that nothing will serve for now.

    One lost connection makes its server avoided for a moment only, so a
    service must be without any serving server for a while.

    :param board: the state of this router.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, board: Blackboard, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._board = board
        self._clock = clock
        self._since: dict[str, float] = {}

    def refuse(self) -> None:
        """Refuse what has waited too long for any server to serve."""
        now = self._clock()
        waiting = {key.service for key, _ in self._board.queues.list()}
        unserved = {name for name in waiting if not self._is_served(name, now)}
        self._since = {name: self._since.get(name, now) for name in unserved}
        for service, since in self._since.items():
            if now - since >= UNSERVED_LIMIT:
                self._refuse_queues(service)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(PERIOD)
            self.refuse()

    def _is_served(self, service: str, now: float) -> bool:
        configuration = self._board.configuration.current
        return configuration is not None and any(
            self._board.servers.takes_work(server.name, now)
            for server in configuration.list_servers(service)
        )

    def _refuse_queues(self, service: str) -> None:
        for key, _ in self._board.queues.list():
            while key.service == service and (waiting := self._board.queues.pop(key)):
                if not waiting.permit.done():
                    waiting.permit.set_exception(
                        NoBackendServer(
                            f"{service!r} has no serving backend server",
                            retry_after=RETRY_AFTER,
                        )
                    )
