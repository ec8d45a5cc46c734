"""What servers have said of themselves, by incarnation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.limit_shares import ServiceShares
from sycamorehaven.decisions.server_conditions import ServerConditions
from sycamorehaven.decisions.server_openings import ServerGate

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sycamorehaven.routing.model import ServerRecord

MEMORY_SECONDS = 60.0
"""Time for which the conditions of a server are kept after its entry is gone,
since an older copy of the list may name it again."""


class ServerConditionsSection:
    """
    The conditions of each server that has said anything of itself.

    :param host: host of this router.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._gates: dict[str, ServerGate] = {}
        self._missing_since: dict[str, float] = {}
        self._shares: dict[str, ServiceShares] = {}
        self._changed: set[str] = set()
        self._told_at: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server has said anything of itself."""
        return not self._gates

    def find(self, incarnation: str) -> ServerGate | None:
        """Return the gate of a server; ``None`` if it said nothing."""
        return self._gates.get(incarnation)

    def get(self, incarnation: str) -> ServerGate:
        """Return the gate of a server; create it if missing."""
        gate = self._gates.get(incarnation)
        if gate is None:
            gate = self._gates[incarnation] = ServerGate(ServerConditions())
        return gate

    def is_shut(self, server: ServerRecord, now: float) -> bool:
        """Return whether a server rests or leaves."""
        gate = self._gates.get(server.incarnation_id)
        return gate is not None and gate.is_shut(now)

    def get_shares(self, service: str) -> ServiceShares:
        """Return how the limits of a service's servers are divided."""
        shares = self._shares.get(service)
        if shares is None:
            shares = self._shares[service] = ServiceShares(self._host)
        return shares

    def list_limited_services(self, servers: Iterable[ServerRecord]) -> set[str]:
        """Return the services of which a server names a limit."""
        if not self._gates:
            return set()
        return {
            server.service
            for server in servers
            if (gate := self._gates.get(server.incarnation_id))
            and gate.conditions.limit.rate
        }

    def mark_changed(self, incarnation: str) -> None:
        """Note that other routers should hear what a server has said."""
        self._changed.add(incarnation)

    def mark_told(self, incarnation: str, now: float) -> None:
        """Note that all routers hear what a server has said."""
        self._told_at[incarnation] = now

    def take_news(self, refresh_seconds: float, now: float) -> list[str]:
        """
        Return the servers of which to tell the others, which count as told.

        :param refresh_seconds: time after which a condition is told again.
        """
        due = {
            name
            for name, gate in self._gates.items()
            if gate.conditions.holds_for_all
            and now - self._told_at.get(name, -math.inf) >= refresh_seconds
        }
        names = sorted(due | self._changed)
        self._changed = set()
        self._told_at.update(dict.fromkeys(names, now))
        return names

    def retain(self, incarnations: Collection[str], now: float) -> None:
        """
        Remove the conditions of servers that have been gone for a while.

        :param incarnations: the registered servers.
        :param now: current time, in monotonic seconds.
        """
        for name in list(self._gates):
            if name in incarnations:
                self._missing_since.pop(name, None)
            elif now - self._missing_since.setdefault(name, now) > MEMORY_SECONDS:
                del self._gates[name], self._missing_since[name]
                self._told_at.pop(name, None)
                self._changed.discard(name)
