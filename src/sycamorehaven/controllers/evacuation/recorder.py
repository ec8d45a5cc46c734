"""Records which evacuations begin and end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


class EvacuationEndObserver(Protocol):
    """Takes note of servers whose evacuation has ended."""

    def record_evacuation_end(self, server: ServerRecord, now: float) -> None:
        """
        Record that a server may get requests again.

        It is called before any request is placed there.

        :param now: monotonic seconds.
        """
        ...


class EvacuationRecorder:
    """
    Logs evacuations and tells an observer whose evacuation has ended.

    :param board: the state of this router.
    :param decision_log: records each beginning and end.
    :param metrics: holds the number of evacuated failure domains.
    :param observer: told of each server whose evacuation has ended.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        observer: EvacuationEndObserver | None = None,
    ) -> None:
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._observer = observer

    def record_change(
        self, previous: Collection[str], origin: str, age: float, now: float
    ) -> None:
        """
        Record how the evacuated failure domains have changed.

        :param previous: the failure domains that were evacuated before.
        :param origin: the platform, or the router that passed it on.
        :param age: seconds since it was read from the store.
        :param now: monotonic seconds.
        """
        current = self._board.routing.evacuated_domains
        if current == previous:
            return
        self._metrics.evacuated_domains.set(len(current))
        for domain in sorted(current.difference(previous)):
            servers = self._list_servers(domain)
            self._log("evacuation_begun", domain, len(servers), origin, age)
            if not servers:
                self._log("evacuation_unknown_domain", domain, 0, origin, age)
        for domain in sorted(set(previous) - current):
            servers = self._list_servers(domain)
            self._log("evacuation_ended", domain, len(servers), origin, age)
            if self._observer is not None:
                for server in servers:
                    self._observer.record_evacuation_end(server, now)

    def _list_servers(self, domain: str) -> list[ServerRecord]:
        return [
            server
            for server in self._board.routing.list_servers()
            if server.failure_domain == domain
        ]

    def _log(
        self, event: str, domain: str, servers: int, origin: str, age: float
    ) -> None:
        self._decision_log.record(
            event,
            domain=domain,
            servers=servers,
            revision=self._board.routing.revision,
            origin=origin,
            age=round(age, 3),
        )
