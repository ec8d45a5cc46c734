"""The estimated load of the servers of one service."""

from __future__ import annotations

import bisect
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.placement import PREFILL_WEIGHT, compute_load_cost
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.decisions.server_openings import ALWAYS_OPEN, Opening
from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

LEAST_LOADED_SERVERS = 8
"""Number of least loaded servers that are compared for a prompt."""
TYPICAL_PROMPT_TOKENS = 3_000
"""Tokens that a server is assumed to read when servers are ordered by load."""


class ClosedServers(NamedTuple):
    """
    Servers of which none takes a request now: they said so, or are cold.

    :ivar opens_at: when the first of them takes one, in monotonic seconds.
    :ivar rate: requests per second that they take from this router then.
    :ivar all_rest: whether all of them have asked for rest.
    :ivar all_cold: whether all of them have just started.
    :ivar servers: their ids.
    :ivar all_evacuated: whether their failure domains are evacuated.
    """

    opens_at: float
    rate: float
    all_rest: bool
    servers: tuple[str, ...]
    all_cold: bool = False
    all_evacuated: bool = False


class ServerView(NamedTuple):
    """
    The estimated state of a backend server at one moment.

    :ivar server: the server.
    :ivar model: the model that the estimates come from.
    :ivar running_requests: number of requests that the server runs.
    :ivar pending_tokens: prompt tokens that it has been sent and has yet to
        process.
    :ivar limit_factor: factor applied to its concurrency limit.
    :ivar opening: when it takes the next request, by what it says of itself.
    :ivar has_scheduler: whether a router admits requests with prompts to it.
    """

    server: ServerRecord
    model: ServerModel
    running_requests: int
    pending_tokens: float
    limit_factor: float = 1.0
    opening: Opening = ALWAYS_OPEN
    has_scheduler: bool = False

    @property
    def prompt_limit(self) -> float:
        """Number of requests with prompts that the server may run."""
        limit = self.model.concurrency.limit
        return max(min(limit * self.limit_factor, self.server.slots), limit)

    @property
    def estimated_wait_seconds(self) -> float:
        """Estimated time until all prompts sent so far are processed."""
        return self.pending_tokens / self.model.prefill_rate

    def has_capacity(self, *, has_prompt: bool) -> bool:
        """
        Return whether the server may run one more request.

        :param has_prompt: whether the request has a prompt. Prompts are
            limited by the learned concurrency limit, other requests by the
            server's slots. Prompts can wait for admission if it has a
            scheduler, and a cold engine with a scheduler takes nothing else.
        """
        if has_prompt and self.has_scheduler:
            return self.opening.is_open
        if self.opening.needs_admission:
            return False
        limit = self.prompt_limit if has_prompt else self.server.slots
        return self.opening.is_open and self.running_requests < limit

    @property
    def free_prompt_slots(self) -> int:
        """Number of further requests with prompts that the server may run."""
        if not self.opening.is_open:
            return 0
        return max(math.ceil(self.prompt_limit - self.running_requests), 0)


class ServiceLoad:
    """
    The estimated states of a service's servers during one dispatcher pass.

    :param views: the states.
    :param now: time of the pass, in monotonic seconds.
    """

    def __init__(self, views: Iterable[ServerView], now: float) -> None:
        self._views = {view.server.id: view for view in views}
        self._now = now
        self._software_versions = {
            view.server.software_version for view in self._views.values()
        }
        self._free_slots: int | None = None
        self._has_closed = any(view.opening.closed_by for view in self.views)
        self._has_schedulers = any(view.has_scheduler for view in self.views)
        self._has_capacity: dict[bool, bool] = {}
        self._available: dict[str, ServerView] | None = None
        self._copy_sources: dict[str, ServerView] | None = None
        self._costs: dict[str, float] = {}
        self._by_cost: list[tuple[float, str]] = []

    @property
    def views(self) -> Collection[ServerView]:
        """The states of the servers."""
        return self._views.values()

    @property
    def free_prompt_slots(self) -> int:
        """
        Number of further requests with prompts that the servers may run.

        Ejected servers have none.
        """
        if self._free_slots is None:
            self._free_slots = sum(map(self._count_free_slots, self.views))
        return self._free_slots

    @property
    def total_prompt_slots(self) -> float:
        """
        Number of requests with prompts that the servers may run.

        Ejected servers may run none, nor do closed ones that rest or are cold.
        """
        return sum(
            view.prompt_limit
            for view in self.views
            if not self._is_ejected(view)
            and view.opening.closed_by not in ("rest", "cold", "evacuated")
        )

    @property
    def has_schedulers(self) -> bool:
        """Whether a router admits requests with prompts to one of them."""
        return self._has_schedulers

    @property
    def software_versions(self) -> Collection[str]:
        """The software versions of the servers."""
        return self._software_versions

    def has_capacity(self, *, has_prompt: bool) -> bool:
        """
        Return whether a server may run one more request.

        :param has_prompt: whether the request has a prompt.
        """
        if has_prompt not in self._has_capacity:
            self._has_capacity[has_prompt] = any(
                view.has_capacity(has_prompt=has_prompt) for view in self.views
            )
        return self._has_capacity[has_prompt]

    def map_available(
        self, excluded_servers: Collection[str]
    ) -> Mapping[str, ServerView]:
        """
        Return the open servers that are not ejected, by id.

        If all are ejected, return the one whose ejection ends first.

        :param excluded_servers: servers to leave out, unless that leaves none.
        """
        if self._available is None:
            self._available = self._order_by_cost()
        if self._available and not excluded_servers:
            return self._available
        open_views = {
            name: view for name, view in self._views.items() if view.opening.is_open
        }
        considered = [
            view for name, view in open_views.items() if name not in excluded_servers
        ] or list(open_views.values())
        if not considered:
            return {}
        available = [view for view in considered if view.server.id in self._available]
        chosen = available or [
            min(considered, key=lambda view: view.model.health.ejected_until)
        ]
        return {view.server.id: view for view in chosen}

    def map_copy_sources(
        self, excluded_servers: Collection[str]
    ) -> Mapping[str, ServerView]:
        """
        Return the servers from which cached prompts may be copied, by id.

        A limit on requests does not concern copies.

        :param excluded_servers: servers to leave out, unless that leaves none.
        """
        if not self._has_closed:
            return self.map_available(excluded_servers)
        if self._copy_sources is None:
            self._copy_sources = {
                name: view
                for name, view in self._views.items()
                if not self._is_ejected(view) and view.opening.allows_copies
            }
        if not excluded_servers:
            return self._copy_sources
        return {
            name: view
            for name, view in self._copy_sources.items()
            if name not in excluded_servers
        }

    def summarize_closed(self) -> ClosedServers | None:
        """Return when the servers open; ``None`` if one of them is open."""
        if not self._has_closed:
            return None
        openings = [view.opening for view in self._views.values()]
        if any(opening.is_open for opening in openings):
            return None
        reasons = {opening.closed_by for opening in openings}
        return ClosedServers(
            min(opening.at for opening in openings),
            sum(opening.rate for opening in openings),
            reasons - {"evacuated"} == {"rest"},
            tuple(sorted(self._views)),
            reasons - {"evacuated"} == {"cold"},
            reasons == {"evacuated"},
        )

    def list_least_loaded(self) -> list[str]:
        """
        Return the ids of the least loaded servers.

        Only available servers with capacity for a prompt are among them.
        """
        if self._available is None:
            self._available = self._order_by_cost()
        return [name for _, name in self._by_cost[:LEAST_LOADED_SERVERS]]

    def list_cheapest(self, servers: Collection[str], count: int) -> list[str]:
        """
        Return the ids of the least loaded ones of some servers.

        Only available servers with capacity for a prompt are among them.

        :param count: largest number of ids to return.
        """
        if len(servers) <= LEAST_LOADED_SERVERS:
            ranked = sorted(
                (self._costs[name], name) for name in servers if name in self._costs
            )
            return [name for _, name in ranked[:count]]
        listed = (name for _, name in self._by_cost if name in servers)
        return list(itertools.islice(listed, count))

    def compute_cost(self, server: str, cached_tokens: int) -> float:
        """
        Return the cost of a server to a typical prompt.

        :param server: id of the server.
        :param cached_tokens: tokens of the prompt that it has in its cache.
        :returns: cost in seconds, infinite without capacity for a prompt.
        """
        rate = self._views[server].model.prefill_rate
        cost = self._costs.get(server, math.inf)
        return cost - PREFILL_WEIGHT * cached_tokens / rate

    def update(self, server: str, opening: Opening = ALWAYS_OPEN) -> None:
        """
        Update the state of a server that a request was assigned to.

        :param opening: when it takes the next request.
        """
        old = self._views[server]
        view = self._views[server] = observe_server(
            old.server,
            old.model,
            self._now,
            old.limit_factor,
            opening,
            has_scheduler=old.has_scheduler,
        )
        if self._free_slots is not None:
            freed = self._count_free_slots(view) - self._count_free_slots(old)
            self._free_slots += freed
        self._has_capacity.clear()
        if self._available and server in self._available:
            self._available[server] = view
            if not opening.is_open:
                self._has_closed = True
                del self._available[server]
        if server not in self._costs:
            return
        del self._by_cost[
            bisect.bisect_left(self._by_cost, (self._costs.pop(server), server))
        ]
        self._add_cost(view)

    def _count_free_slots(self, view: ServerView) -> int:
        return 0 if self._is_ejected(view) else view.free_prompt_slots

    def _is_ejected(self, view: ServerView) -> bool:
        return view.model.health.ejected_until > self._now

    def _order_by_cost(self) -> dict[str, ServerView]:
        """Order the servers that are not ejected, and return them by id."""
        available = {
            name: view
            for name, view in self._views.items()
            if not self._is_ejected(view) and view.opening.is_open
        }
        for view in available.values():
            self._add_cost(view)
        return available

    def _add_cost(self, view: ServerView) -> None:
        if not view.has_capacity(has_prompt=True):
            return
        model = view.model
        cost = compute_load_cost(
            view.pending_tokens,
            TYPICAL_PROMPT_TOKENS,
            model.prefill_rate,
            view.running_requests / view.prompt_limit,
            model.health.error_ratio,
        )
        self._costs[view.server.id] = cost
        bisect.insort(self._by_cost, (cost, view.server.id))


def observe_server(
    server: ServerRecord,
    model: ServerModel,
    now: float,
    limit_factor: float = 1.0,
    opening: Opening = ALWAYS_OPEN,
    *,
    has_scheduler: bool = False,
) -> ServerView:
    """
    Return the estimated state of a server.

    :param limit_factor: factor applied to its concurrency limit.
    :param opening: when it takes the next request.
    :param has_scheduler: whether a router admits requests with prompts to it.
    """
    return ServerView(
        server,
        model,
        model.count_requests(now),
        model.count_pending_tokens(now),
        limit_factor,
        opening,
        has_scheduler,
    )
