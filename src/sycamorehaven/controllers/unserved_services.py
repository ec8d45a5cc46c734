"""
Refuses queued calls of services that have no serving backend server.

A backend server counts as not serving if this router avoids it, or if the
scheduler that polls it reports so.
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
"""Time without a serving server after which queued calls are refused."""
REPORT_LIFETIME_SECONDS = 3.0
"""Time for which a scheduler's report remains valid."""
CHECK_INTERVAL_SECONDS = 0.25
"""Time between two checks of the queued services."""
MAX_CHECK_GAP_SECONDS = 1.0
"""Time between two checks from which the process counts as paused."""
RETRY_AFTER_SECONDS = 1.0
"""``Retry-After`` of a refusal because the service is unserved."""


class UnservedServiceController(Service):
    """
    Refuses queued calls that no backend server will serve for now.

    A single lost connection only makes a router avoid the server briefly, so a
    service must be unserved for ``UNSERVED_TIMEOUT_SECONDS`` first. A pause of
    the process does not count, since nothing was observed in it.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
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
        self._checked_at = clock()
        self._scheduler_reports: dict[tuple[str, str], float] = {}
        link.subscribe(ServiceUnserved, self._handle_service_unserved)

    def refuse_unserved_calls(self) -> None:
        """Update the unserved services and refuse their queued calls."""
        now = self._clock()
        if now - self._checked_at > MAX_CHECK_GAP_SECONDS:
            self._unserved_since.clear()
        self._checked_at = now
        for key, reported_at in list(self._scheduler_reports.items()):
            if now - reported_at > REPORT_LIFETIME_SECONDS:
                del self._scheduler_reports[key]
        names = {key.service for key, _ in self._board.queues.list()}
        names.update(service for service, _ in self._scheduler_reports)
        unserved = {name for name in names if not self._is_served(name, now)}
        self._unserved_since = {
            name: self._unserved_since.get(name, now) for name in unserved
        }
        overdue = {
            name
            for name, since in self._unserved_since.items()
            if now - since >= UNSERVED_TIMEOUT_SECONDS
        }
        self._board.unserved_services.replace(frozenset(overdue))
        for service in overdue:
            self._refuse_queues(service)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_SECONDS)
            self.refuse_unserved_calls()

    def _is_served(self, service: str, now: float) -> bool:
        """Return whether a server takes work here and for its scheduler."""
        configuration = self._board.configuration.current
        if configuration is None:
            return False
        reporting_hosts = {
            host for name, host in self._scheduler_reports if name == service
        }
        domains = self._board.members.map_failure_domains() if reporting_hosts else {}
        return any(
            self._board.server_statuses.takes_work(server.name, now)
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
                            f"the service {service!r} has no serving backend server",
                            retry_after=RETRY_AFTER_SECONDS,
                        )
                    )
