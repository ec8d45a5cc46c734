"""
Finds services that nothing serves and refuses their queued calls.

A backend server takes no work if this router avoids it, or if the scheduler
that polls it says so.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.exceptions.refusals import NoBackendServer
from sycamorehaven.transport.messages.permits import ServiceUnserved

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

UNSERVED_TIMEOUT_SECONDS = 2.0
"""Seconds without a serving server after which queued calls are refused."""
REPORT_LIFETIME_SECONDS = 3.0
"""Seconds for which a scheduler's word counts."""
CHECK_INTERVAL_SECONDS = 0.25
"""Seconds between two looks."""
RETRY_AFTER_SECONDS = 1.0
"""Seconds a refused caller is asked to wait."""


class UnservedServiceController(Service):
    """
    Ends the wait of calls that nothing will serve for now.

    One lost connection makes its server avoided for a moment only, so a
    service must be without any serving server for a while.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._clock = clock
        self._unserved_since: dict[str, float] = {}
        self._scheduler_reports: dict[tuple[str, str], float] = {}
        link.subscribe(ServiceUnserved, self._handle_service_unserved)

    def refuse_unserved_calls(self) -> None:
        """Refuse what has waited too long for any server to serve."""
        now = self._clock()
        for key, since in list(self._scheduler_reports.items()):
            if now - since > REPORT_LIFETIME_SECONDS:
                del self._scheduler_reports[key]
        names = {key.service for key, _ in self._board.queues.list()}
        names.update(service for service, _ in self._scheduler_reports)
        unserved = {name for name in names if not self._is_served(name, now)}
        self._unserved_since = {
            name: self._unserved_since.get(name, now) for name in unserved
        }
        overdue = {
            n
            for n, since in self._unserved_since.items()
            if now - since >= UNSERVED_TIMEOUT_SECONDS
        }
        self._board.unserved.replace(frozenset(overdue))
        for service in overdue:
            self._refuse_queues(service)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_SECONDS)
            self.refuse_unserved_calls()

    def _is_served(self, service: str, now: float) -> bool:
        configuration = self._board.configuration.current
        if configuration is None:
            return False
        reporting_hosts = {
            host for name, host in self._scheduler_reports if name == service
        }
        domains = self._board.members.map_domains() if reporting_hosts else {}
        return any(
            self._board.servers.takes_work(server.name, now)
            and not (
                reporting_hosts and choose_scheduler(server, domains) in reporting_hosts
            )
            for server in configuration.list_servers(service)
        )

    def _handle_service_unserved(self, delivery: Delivery) -> None:
        configuration = self._board.configuration.current
        service = delivery.message.service
        if configuration is not None and service in configuration.services:
            self._scheduler_reports[service, delivery.sender.host] = self._clock()

    def _refuse_queues(self, service: str) -> None:
        for key, _ in self._board.queues.list():
            while key.service == service and (waiting := self._board.queues.pop(key)):
                if not waiting.permit.done():
                    waiting.permit.set_exception(
                        NoBackendServer(
                            f"{service!r} has no serving backend server",
                            retry_after=RETRY_AFTER_SECONDS,
                        )
                    )
