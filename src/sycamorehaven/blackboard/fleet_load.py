"""Load of backend servers and use of shares; written by the dispatcher."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO

if TYPE_CHECKING:
    from sycamorehaven.decisions.usage_window import UsageWindow

MAX_PENDING_PLACEMENTS = 400
"""Placements that wait to be told to other routers."""
CONTENTION_TTL_SECONDS = 0.3
"""Seconds for which a wait counts that nobody speaks of any more."""

MAX_YIELDS_PER_ROUTER = 3
"""Places left for the requests of one router; it may not reach the servers."""


class Contention(NamedTuple):
    """
    What waits for a service at one router.

    :ivar satisfaction: the least of the workspaces whose requests wait.
    :ivar waiting_requests: requests of those that have about as little.
    :ivar noted_at: when it was noted, monotonic seconds.
    """

    satisfaction: float
    waiting_requests: int
    noted_at: float


class FleetLoadSection:
    """
    Models of the servers, and what other routers have not been told yet.

    :param usage_window: what workspaces asked and got.
    """

    def __init__(self, usage_window: UsageWindow) -> None:
        self._usage_window = usage_window
        self._models: dict[str, ServerModel] = {}
        self._changed_servers: set[str] = set()
        self._placements: list[tuple[int, int, str]] = []
        self._asked_tokens: Counter[str] = Counter()
        self._given_tokens: Counter[str] = Counter()
        self._contentions: dict[str, dict[str, Contention]] = {}
        self._changed = Signal()

    @property
    def usage_window(self) -> UsageWindow:
        """What workspaces asked and got, fleet-wide."""
        return self._usage_window

    @property
    def changed(self) -> Signal:
        """Raised when a server may have become free."""
        return self._changed

    @property
    def asked_tokens(self) -> Counter[str]:
        """Tokens that each workspace asked here since the start."""
        return self._asked_tokens

    @property
    def given_tokens(self) -> Counter[str]:
        """Tokens that each workspace got here since the start."""
        return self._given_tokens

    def find_model(self, server: str) -> ServerModel:
        """Return the model of a server."""
        model = self._models.get(server)
        if model is None:
            model = self._models[server] = ServerModel()
        return model

    def update_capacity(
        self, server: str, cache_tokens: int, slots: int
    ) -> ServerModel:
        """Return the model of a server that is like this."""
        model = self.find_model(server)
        model.update_capacity(cache_tokens, slots)
        return model

    def retain_models(self, servers: set[str]) -> None:
        """Forget idle servers that are gcontention."""
        for name in [name for name in self._models if name not in servers]:
            if not self._models[name].own_requests:
                del self._models[name]

    def mark_load_changed(self, server: str) -> None:
        """Note that this router's load of a server has changed."""
        self._changed_servers.add(server)

    def add_placements(
        self, prompt_parts: tuple[tuple[int, int], ...], server: str
    ) -> None:
        """Note the parts of a prompt that a server reads."""
        if len(self._placements) < MAX_PENDING_PLACEMENTS:
            self._placements += [(key, tokens, server) for key, tokens in prompt_parts]

    def take_pending_updates(self) -> tuple[list[str], list[tuple[int, int, str]]]:
        """Return changed servers and new placements, once."""
        changed_servers, placements = sorted(self._changed_servers), self._placements
        self._changed_servers, self._placements = set(), []
        return changed_servers, placements

    def update_contention(
        self, service: str, contention: Contention, host: str = ""
    ) -> None:
        """
        Note what waits for a service.

        :param host: the router that told, "" for this contention.
        """
        self._contentions.setdefault(service, {})[host] = contention

    def list_own_contentions(self, now: float) -> dict[str, Contention]:
        """Return what has waited here lately, by service."""
        return {
            service: contention_by_host[""]
            for service, contention_by_host in sorted(self._contentions.items())
            if "" in contention_by_host
            and now - contention_by_host[""].noted_at < CONTENTION_TTL_SECONDS
        }

    def count_requests_ahead(
        self, service: str, satisfaction: float, now: float
    ) -> int:
        """
        Return the requests, at all routers, to which others have to yield.

        :param satisfaction: of the workspace that asks.
        """
        contention_by_host = self._contentions.get(service, {})
        for host in [
            h
            for h, c in contention_by_host.items()
            if now - c.noted_at >= CONTENTION_TTL_SECONDS
        ]:
            del contention_by_host[host]
        return sum(
            min(contention.waiting_requests, MAX_YIELDS_PER_ROUTER)
            for contention in contention_by_host.values()
            if contention.satisfaction + YIELD_MARGIN_RATIO < satisfaction
        )

    def add_usage(self, workspace: str, asked: float, given: float, now: float) -> None:
        """Count what a workspace asked and got at this router."""
        self._asked_tokens[workspace] += int(asked)
        self._given_tokens[workspace] += int(given)
        self._usage_window.add(workspace, asked, given, now)
