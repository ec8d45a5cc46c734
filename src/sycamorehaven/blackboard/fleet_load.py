"""
Load of the backend servers and usage of capacity, fleet-wide.

Written by the controllers of routed requests: the dispatcher and those of the
fleet state and the routing snapshots.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO

if TYPE_CHECKING:
    from sycamorehaven.decisions.usage_window import UsageWindow

MAX_PENDING_PLACEMENTS = 400
"""Number of unsent placements from which new ones are no longer kept."""

CONTENTION_TTL_SECONDS = 0.3
"""Seconds for which a contention counts without being reported again."""

MAX_YIELDS_PER_ROUTER = 3
"""
Largest number of waiting requests of one router to which others yield.

The bound matters if that router cannot reach the servers: its requests would
otherwise hold back those of all other routers.
"""


class Contention(NamedTuple):
    """
    The requests that wait for one service at one router.

    :ivar satisfaction: lowest satisfaction of a workspace with waiting
        requests. Satisfaction is the received fraction of a workspace's
        entitlement.
    :ivar waiting_requests: number of waiting requests of the workspaces whose
        satisfaction is about as low.
    :ivar recorded_at: when it was recorded, in seconds of the monotonic clock.
    """

    satisfaction: float
    waiting_requests: int
    recorded_at: float


class FleetLoadSection:
    """
    Models of the servers, usage, and changes to report to other routers.

    :param usage_window: sums of the tokens that workspaces demanded and
        received.
    """

    def __init__(self, usage_window: UsageWindow) -> None:
        self._usage_window = usage_window
        self._models: dict[str, ServerModel] = {}
        self._changed_servers: set[str] = set()
        self._placements: list[tuple[int, int, str]] = []
        self._demanded_tokens: Counter[str] = Counter()
        self._received_tokens: Counter[str] = Counter()
        self._contentions: dict[str, dict[str, Contention]] = {}
        self._changed = Signal()

    @property
    def usage_window(self) -> UsageWindow:
        """Tokens that workspaces demanded and received, fleet-wide."""
        return self._usage_window

    @property
    def changed(self) -> Signal:
        """Notified when a server may have free capacity again."""
        return self._changed

    @property
    def demanded_tokens(self) -> Counter[str]:
        """Tokens that each workspace demanded here since the start."""
        return self._demanded_tokens

    @property
    def received_tokens(self) -> Counter[str]:
        """Tokens that each workspace received here since the start."""
        return self._received_tokens

    def find_model(self, server: str) -> ServerModel:
        """Return the model of a server; create an empty one if missing."""
        model = self._models.get(server)
        if model is None:
            model = self._models[server] = ServerModel()
        return model

    def update_capacity(
        self, server: str, cache_tokens: int, slots: int
    ) -> ServerModel:
        """
        Update the capacity of a server's model, and return the model.

        :param server: id of the server.
        :param cache_tokens: tokens that fit in the server's cache.
        :param slots: requests that it processes concurrently.
        """
        model = self.find_model(server)
        model.update_capacity(cache_tokens, slots)
        return model

    def retain_models(self, servers: set[str]) -> None:
        """
        Remove the models of servers that are gone.

        A model stays while requests of this router are in progress there.

        :param servers: ids of the registered servers.
        """
        for name in [name for name in self._models if name not in servers]:
            if not self._models[name].own_requests:
                del self._models[name]

    def mark_load_changed(self, server: str) -> None:
        """Record that the load of a server by this router has changed."""
        self._changed_servers.add(server)

    def add_placements(
        self, prompt_parts: tuple[tuple[int, int], ...], server: str
    ) -> None:
        """
        Record which parts of a prompt a server was given.

        :param prompt_parts: key and tokens of each part.
        :param server: id of the server.
        """
        if len(self._placements) < MAX_PENDING_PLACEMENTS:
            self._placements += [(key, tokens, server) for key, tokens in prompt_parts]

    def take_pending_updates(self) -> tuple[list[str], list[tuple[int, int, str]]]:
        """Return and clear the changed servers and the new placements."""
        changed_servers, placements = sorted(self._changed_servers), self._placements
        self._changed_servers, self._placements = set(), []
        return changed_servers, placements

    def update_contention(
        self, service: str, contention: Contention, host: str = ""
    ) -> None:
        """
        Record the requests that wait for a service at one router.

        :param service: name of the service.
        :param contention: the waiting requests.
        :param host: host of the router that reported them; "" for this one.
        """
        self._contentions.setdefault(service, {})[host] = contention

    def list_own_contentions(self, now: float) -> dict[str, Contention]:
        """Return the current contention at this router, by service."""
        return {
            service: contention_by_host[""]
            for service, contention_by_host in sorted(self._contentions.items())
            if "" in contention_by_host
            and now - contention_by_host[""].recorded_at < CONTENTION_TTL_SECONDS
        }

    def count_requests_ahead(
        self, service: str, satisfaction: float, now: float
    ) -> int:
        """
        Return how many requests, at all routers, have precedence.

        :param service: name of the service.
        :param satisfaction: satisfaction of the workspace that asks.
        :param now: current time, in seconds of the monotonic clock.
        """
        contention_by_host = self._contentions.get(service, {})
        for host in [
            h
            for h, c in contention_by_host.items()
            if now - c.recorded_at >= CONTENTION_TTL_SECONDS
        ]:
            del contention_by_host[host]
        return sum(
            min(contention.waiting_requests, MAX_YIELDS_PER_ROUTER)
            for contention in contention_by_host.values()
            if contention.satisfaction + YIELD_MARGIN_RATIO < satisfaction
        )

    def add_usage(
        self, workspace: str, demanded: float, received: float, now: float
    ) -> None:
        """Add tokens that a workspace demanded and received at this router."""
        self._demanded_tokens[workspace] += int(demanded)
        self._received_tokens[workspace] += int(received)
        self._usage_window.add(workspace, demanded, received, now)
