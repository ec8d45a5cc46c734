"""Load of backend servers and use of shares; written by the dispatcher."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO

if TYPE_CHECKING:
    from sycamorehaven.decisions.usage_window import UsageWindow

MOST_NEWS = 400
"""Placements that wait to be told to other routers."""
CONTENTION_MEMORY = 0.3
"""Seconds for which a wait counts that nobody speaks of any more."""

MOST_AHEAD = 3
"""Places left for the requests of one router; it may not reach the servers."""


class Contention(NamedTuple):
    """
    What waits for a service at one router.

    :ivar satisfaction: the least of the workspaces whose requests wait.
    :ivar waiting: requests of those that have about as little.
    :ivar at: when it was noted, monotonic seconds.
    """

    satisfaction: float
    waiting: int
    at: float


class FleetSection:
    """
    Models of the servers, and what other routers have not been told yet.

    :param usage: what workspaces asked and got.
    """

    def __init__(self, usage: UsageWindow) -> None:
        self._usage = usage
        self._models: dict[str, ServerModel] = {}
        self._touched: set[str] = set()
        self._placed: list[tuple[int, int, str]] = []
        self._asked: Counter[str] = Counter()
        self._given: Counter[str] = Counter()
        self._contentions: dict[str, dict[str, Contention]] = {}
        self._changed = Signal()

    @property
    def usage(self) -> UsageWindow:
        """What workspaces asked and got, fleet-wide."""
        return self._usage

    @property
    def changed(self) -> Signal:
        """Raised when a server may have become free."""
        return self._changed

    @property
    def asked(self) -> Counter[str]:
        """Tokens that each workspace asked here since the start."""
        return self._asked

    @property
    def given(self) -> Counter[str]:
        """Tokens that each workspace got here since the start."""
        return self._given

    def find_model(self, server: str) -> ServerModel:
        """Return the model of a server."""
        model = self._models.get(server)
        if model is None:
            model = self._models[server] = ServerModel()
        return model

    def describe(self, server: str, memory: int, slots: int) -> ServerModel:
        """Return the model of a server that is like this."""
        model = self.find_model(server)
        model.update_capacity(memory, slots)
        return model

    def retain(self, servers: set[str]) -> None:
        """Forget idle servers that are gone."""
        for name in [name for name in self._models if name not in servers]:
            if not self._models[name].own_requests:
                del self._models[name]

    def touch(self, server: str) -> None:
        """Note that this router's load of a server has changed."""
        self._touched.add(server)

    def note_placed(self, chain: tuple[tuple[int, int], ...], server: str) -> None:
        """Note the parts of a prompt that a server reads."""
        if len(self._placed) < MOST_NEWS:
            self._placed += [(key, tokens, server) for key, tokens in chain]

    def take_news(self) -> tuple[list[str], list[tuple[int, int, str]]]:
        """Return changed servers and new placements, once."""
        touched, placed = sorted(self._touched), self._placed
        self._touched, self._placed = set(), []
        return touched, placed

    def note_contention(
        self, service: str, contention: Contention, host: str = ""
    ) -> None:
        """
        Note what waits for a service.

        :param host: the router that told, "" for this one.
        """
        self._contentions.setdefault(service, {})[host] = contention

    def list_contended(self, now: float) -> dict[str, Contention]:
        """Return what has waited here lately, by service."""
        return {
            service: hosts[""]
            for service, hosts in sorted(self._contentions.items())
            if "" in hosts and now - hosts[""].at < CONTENTION_MEMORY
        }

    def count_ahead(self, service: str, satisfaction: float, now: float) -> int:
        """
        Return the requests, at all routers, to which others have to yield.

        :param satisfaction: of the workspace that asks.
        """
        hosts = self._contentions.get(service, {})
        for host in [h for h, c in hosts.items() if now - c.at >= CONTENTION_MEMORY]:
            del hosts[host]
        return sum(
            min(one.waiting, MOST_AHEAD)
            for one in hosts.values()
            if one.satisfaction + YIELD_MARGIN_RATIO < satisfaction
        )

    def add_usage(self, workspace: str, asked: float, given: float, now: float) -> None:
        """Count what a workspace asked and got at this router."""
        self._asked[workspace] += int(asked)
        self._given[workspace] += int(given)
        self._usage.add(workspace, asked, given, now)
