"""
Load of the backend servers and usage of capacity, fleet-wide.

Written by the controllers of routed requests: the dispatcher and those of the
fleet state and the routing snapshots.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.prefix_cache import PrefixIndex
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO

if TYPE_CHECKING:
    from sycamorehaven.decisions.usage_window import UsageWindow

MAX_PENDING_PLACEMENTS = 400
"""Number of unsent placements from which new ones are no longer kept."""

START_WINDOW_SECONDS = 1.0
"""Time over which started requests are counted."""


class Contention(NamedTuple):
    """
    The requests of one workspace that wait for a service at one router.

    :ivar fill_level: what the workspace received, as a fraction of the fair
        share.
    :ivar waiting_requests: number of its waiting requests, as far as the
        router can place them.
    :ivar expires_at: when it no longer counts unless it is reported again, in
        seconds of the monotonic clock.
    """

    fill_level: float
    waiting_requests: int
    expires_at: float


class FleetLoadSection:
    """
    Models of the servers, usage, and changes to report to other routers.

    :param usage_window: sums of the tokens that workspaces demanded and
        received.
    """

    def __init__(self, usage_window: UsageWindow) -> None:
        self._usage_window = usage_window
        self._models: dict[str, ServerModel] = {}
        self._prefix_index = PrefixIndex()
        self._changed_servers: set[str] = set()
        self._placements: list[tuple[int, int, str]] = []
        self._demanded_tokens: Counter[str] = Counter()
        self._received_tokens: Counter[str] = Counter()
        self._contentions: dict[str, dict[str, list[Contention]]] = {}
        self._started_at: deque[float] = deque()
        self._changed = Signal()

    @property
    def usage_window(self) -> UsageWindow:
        """Tokens that workspaces demanded and received, fleet-wide."""
        return self._usage_window

    @property
    def prefix_index(self) -> PrefixIndex:
        """The servers that are expected to keep each prompt prefix."""
        return self._prefix_index

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
            model = ServerModel(server, self._prefix_index)
            self._models[server] = model
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
                self._models.pop(name).prefix_cache.clear()

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

    def record_start(self, now: float) -> None:
        """Record that a server has begun to answer a request from here."""
        self._started_at.append(now)
        self._drop_old_starts(now)

    def count_recent_starts(self, now: float) -> int:
        """Return how many requests from here servers recently began."""
        self._drop_old_starts(now)
        return len(self._started_at)

    def _drop_old_starts(self, now: float) -> None:
        while self._started_at and self._started_at[0] < now - START_WINDOW_SECONDS:
            self._started_at.popleft()

    def update_contentions(self, service: str, contentions: list[Contention]) -> None:
        """
        Record the requests that wait for a service at this router.

        :param service: name of the service.
        :param contentions: the waiting requests of each workspace.
        """
        self._contentions.setdefault("", {})[service] = contentions

    def replace_contentions(
        self, host: str, contentions: dict[str, list[Contention]]
    ) -> None:
        """
        Replace what another router reported.

        :param host: host of the router.
        :param contentions: the waiting requests of each workspace by service.
        """
        if contentions:
            self._contentions[host] = contentions
        else:
            self._contentions.pop(host, None)

    def list_own_contentions(self, now: float) -> list[tuple[str, Contention]]:
        """Return the current contentions at this router with their service."""
        return [
            (service, contention)
            for service, contentions in sorted(self._contentions.get("", {}).items())
            for contention in contentions
            if now < contention.expires_at
        ]

    def count_requests_ahead(self, service: str, fill_level: float, now: float) -> int:
        """
        Return how many requests, at all routers, have precedence.

        :param service: name of the service.
        :param fill_level: what the workspace that asks received, as a fraction
            of the fair share.
        :param now: current time, in seconds of the monotonic clock.
        """
        return sum(
            contention.waiting_requests
            for contentions_by_service in self._contentions.values()
            for contention in contentions_by_service.get(service, ())
            if now < contention.expires_at
            and contention.fill_level + YIELD_MARGIN_RATIO < fill_level
        )

    def count_contending_routers(self, service: str, now: float) -> int:
        """Return at how many other routers requests wait for a service."""
        return sum(
            any(
                now < contention.expires_at
                for contention in contentions_by_service.get(service, ())
            )
            for host, contentions_by_service in self._contentions.items()
            if host
        )

    def retain_contentions(self, hosts: set[str]) -> None:
        """
        Remove the contentions of routers that are gone.

        :param hosts: hosts of the live routers.
        """
        for host in self._contentions.keys() - hosts - {""}:
            del self._contentions[host]

    def add_usage(
        self, workspace: str, demanded: float, received: float, now: float
    ) -> None:
        """
        Add tokens that a workspace demanded and received at this router.

        :param received: tokens received; negative to take back a charge.
        """
        self._demanded_tokens[workspace] += int(demanded)
        self._received_tokens[workspace] += int(received)
        self._usage_window.add(workspace, demanded, received, now)
