"""Finds the backend servers that may serve a pending request."""

from __future__ import annotations

import asyncio
import bisect
import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.decisions.placement import (
    MAX_RANK,
    PREFILL_WEIGHT,
    Candidate,
    compute_load_cost,
)
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sycamorehaven.blackboard.board import Blackboard

MIN_COPIED_TOKENS = 1_000
"""Fewer prompt tokens than this are recomputed rather than copied."""
MAX_RANKED_SUBJECTS = 1_024
"""Number of subjects whose ranking of servers is remembered."""
LEAST_LOADED_SERVERS = 8
"""Number of least loaded servers that are compared for a prompt."""
CACHE_HOLDERS = 4
"""Number of servers with tokens of a prompt in their cache that are compared
for it."""
TYPICAL_PROMPT_TOKENS = 3_000
"""Tokens that a server is assumed to read when servers are ordered by load."""


class PendingRequest(NamedTuple):
    """
    A request that waits for a backend server.

    :ivar request: the request.
    :ivar prefixes: hash and token count of each part of its prompt, empty if
        it has no prompt. A hash also covers the parts before.
    :ivar excluded_servers: servers that have already failed the request.
    :ivar is_resume: whether the client already has a part of the answer.
    :ivar queued_at: when it was queued, in monotonic seconds.
    :ivar reservation: future that gets the server reservation.
    """

    request: RoutedRequest
    prefixes: tuple[tuple[int, int], ...]
    excluded_servers: frozenset[str]
    is_resume: bool
    queued_at: float
    reservation: asyncio.Future[ServerReservation]


class ServerView(NamedTuple):
    """
    The estimated state of a backend server at one moment.

    :ivar server: the server.
    :ivar model: the model that the estimates come from.
    :ivar running_requests: number of requests that the server runs.
    :ivar pending_tokens: prompt tokens that it has been sent and has yet to
        process.
    """

    server: ServerRecord
    model: ServerModel
    running_requests: int
    pending_tokens: float

    @property
    def estimated_wait_seconds(self) -> float:
        """Estimated time until all prompts sent so far are processed."""
        return self.pending_tokens / self.model.prefill_rate

    def has_capacity(self, *, has_prompt: bool) -> bool:
        """
        Return whether the server may run one more request.

        :param has_prompt: whether the request has a prompt. Prompts are
            limited by the learned concurrency limit, other requests by the
            server's slots.
        """
        limit = self.model.concurrency.limit if has_prompt else self.server.slots
        return self.running_requests < limit

    @property
    def free_prompt_slots(self) -> int:
        """Number of further requests with prompts that the server may run."""
        return max(math.ceil(self.model.concurrency.limit - self.running_requests), 0)


class ServiceLoad:
    """
    The estimated states of a service's servers during one dispatcher pass.

    :param views: the states.
    :param now: time of the pass, in monotonic seconds.
    """

    def __init__(self, views: Iterable[ServerView], now: float) -> None:
        self._views = {view.server.id: view for view in views}
        self._now = now
        self._free_slots = sum(view.free_prompt_slots for view in self._views.values())
        self._has_capacity: dict[bool, bool] = {}
        self._available: set[str] | None = None
        self._costs: dict[str, float] = {}
        self._by_cost: list[tuple[float, str]] = []

    @property
    def views(self) -> Collection[ServerView]:
        """The states of the servers."""
        return self._views.values()

    @property
    def free_prompt_slots(self) -> int:
        """Number of further requests with prompts that the servers may run."""
        return self._free_slots

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

    def list_available(self, excluded_servers: Collection[str]) -> list[ServerView]:
        """
        Return the servers that are not ejected.

        If all are ejected, return the one whose ejection ends first.

        :param excluded_servers: servers to leave out, unless that leaves none.
        """
        if self._available is None:
            self._order_by_cost()
        assert self._available is not None
        considered = [
            view for name, view in self._views.items() if name not in excluded_servers
        ] or list(self._views.values())
        available = [view for view in considered if view.server.id in self._available]
        return available or [
            min(considered, key=lambda view: view.model.health.ejected_until)
        ]

    def list_least_loaded(self) -> list[str]:
        """
        Return the ids of the least loaded servers.

        Only available servers with capacity for a prompt are among them.
        """
        if self._available is None:
            self._order_by_cost()
        return [name for _, name in self._by_cost[:LEAST_LOADED_SERVERS]]

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

    def update(self, server: str) -> None:
        """Update the state of a server that a request was assigned to."""
        old = self._views[server]
        view = self._views[server] = _observe_server(old.server, old.model, self._now)
        self._free_slots += view.free_prompt_slots - old.free_prompt_slots
        self._has_capacity.clear()
        if server not in self._costs:
            return
        del self._by_cost[
            bisect.bisect_left(self._by_cost, (self._costs.pop(server), server))
        ]
        self._add_cost(view)

    def _order_by_cost(self) -> None:
        self._available = {
            name
            for name, view in self._views.items()
            if view.model.health.ejected_until <= self._now
        }
        for name in self._available:
            self._add_cost(self._views[name])

    def _add_cost(self, view: ServerView) -> None:
        if not view.has_capacity(has_prompt=True):
            return
        model = view.model
        cost = compute_load_cost(
            view.pending_tokens,
            TYPICAL_PROMPT_TOKENS,
            model.prefill_rate,
            view.running_requests / model.concurrency.limit,
            model.health.error_ratio,
        )
        self._costs[view.server.id] = cost
        bisect.insort(self._by_cost, (cost, view.server.id))


class CandidateFinder:
    """
    Creates placement candidates from the estimated states of servers.

    :param board: shared state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._server_ranks: dict[tuple[str, str], dict[str, int]] = {}
        board.routing.changed.subscribe(self._server_ranks.clear)

    def observe_service(self, service: str, now: float) -> ServiceLoad:
        """Return the estimated states of all servers of a service."""
        views = [
            _observe_server(server, self._get_model(server), now)
            for server in self._board.routing.list_available_servers(service)
        ]
        return ServiceLoad(views, now)

    def list_candidates(
        self, pending: PendingRequest, load: ServiceLoad
    ) -> list[Candidate]:
        """
        Return the servers with capacity for a request that may be the best.

        :param load: the servers of the request's service, at least one.
        """
        has_prompt = bool(pending.prefixes)
        if not load.has_capacity(has_prompt=has_prompt):
            return []
        available = load.list_available(pending.excluded_servers)
        server_ranks = self._rank_servers(pending)
        cached_tokens = {
            view.server.id: tokens
            for view in available
            if (tokens := view.model.prefix_cache.count_cached_tokens(pending.prefixes))
        }
        best_cached = max(
            available, key=lambda view: cached_tokens.get(view.server.id, 0)
        ).server
        compared = (
            _shortlist(available, load, cached_tokens, server_ranks)
            if has_prompt
            else available
        )
        with_capacity = [
            view for view in compared if view.has_capacity(has_prompt=has_prompt)
        ]
        can_copy = self._supports_prefix_transfer(pending.request.service)
        own_domain = self._board.members.own.failure_domain
        candidates = []
        for view in with_capacity:
            server, model = view.server, view.model
            copied_tokens = (
                cached_tokens.get(best_cached.id, 0) - cached_tokens.get(server.id, 0)
                if can_copy
                else 0
            )
            if copied_tokens < MIN_COPIED_TOKENS:
                copied_tokens = 0
            uncached_tokens = (
                pending.request.head.prompt_tokens
                - cached_tokens.get(server.id, 0)
                - copied_tokens
            )
            candidates.append(
                Candidate(
                    server=server,
                    running_requests=view.running_requests,
                    concurrency_limit=model.concurrency.limit,
                    pending_tokens=view.pending_tokens,
                    uncached_tokens=max(uncached_tokens, 1),
                    copied_tokens=copied_tokens,
                    copy_source=best_cached.address if copied_tokens else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=model.health.error_ratio,
                    is_local=server.failure_domain == own_domain,
                    rank=server_ranks.get(server.id, len(server_ranks)),
                )
            )
        return candidates

    def _supports_prefix_transfer(self, name: str) -> bool:
        """Return whether a service's engines copy cached prompts."""
        configuration = self._board.routing.configuration
        services = configuration.services if configuration else {}
        service = services.get(name)
        return bool(
            service
            and service.engine_capacity
            and service.engine_capacity.transfer_tokens_per_second
        )

    def _rank_servers(self, pending: PendingRequest) -> dict[str, int]:
        """
        Return the ranks of the servers for a request.

        All routers compute the same ranks. For a prompt, servers of the same
        cost as the last rank are left out.
        """
        service, prefixes = pending.request.service, pending.prefixes
        # The last part is specific to the request. The part before it is the
        # longest prefix that requests on the same subject share, so these
        # requests get the same ranking and meet the same prefix cache.
        shared_parts = prefixes[-2:-1] or prefixes
        if not shared_parts:
            return self._compute_ranks(service, pending.request.head.attempt_id)
        subject = str(shared_parts[0][0])
        ranks = self._server_ranks.get((service, subject))
        if ranks is None:
            if len(self._server_ranks) >= MAX_RANKED_SUBJECTS:
                self._server_ranks.clear()
            ranks = self._compute_ranks(service, subject)
            ranks = {name: rank for name, rank in ranks.items() if rank < MAX_RANK}
            self._server_ranks[service, subject] = ranks
        return ranks

    def _compute_ranks(self, service: str, subject: str) -> dict[str, int]:
        servers = self._board.routing.list_available_servers(service)
        ranked = rank_candidates(subject, [server.id for server in servers])
        return {name: place for place, name in enumerate(ranked)}

    def _get_model(self, server: ServerRecord) -> ServerModel:
        """Return a server's model after setting its configured capacity."""
        configuration = self._board.routing.configuration
        service = configuration.services.get(server.service) if configuration else None
        cache_tokens = (
            service.engine_capacity.kv_cache_tokens
            if service and service.engine_capacity
            else 0
        )
        return self._board.fleet_load.update_capacity(
            server.id, cache_tokens, server.slots
        )


def _observe_server(server: ServerRecord, model: ServerModel, now: float) -> ServerView:
    return ServerView(
        server, model, model.count_requests(now), model.count_pending_tokens(now)
    )


def _shortlist(
    available: list[ServerView],
    load: ServiceLoad,
    cached_tokens: Mapping[str, int],
    server_ranks: Collection[str],
) -> list[ServerView]:
    """
    Return the servers among which the best one for a prompt is.

    These are the least loaded ones, those that rank first for its subject, and
    the best ones of those with a part of it in their cache.
    """
    if len(available) <= LEAST_LOADED_SERVERS:
        return available
    names = {*load.list_least_loaded(), *server_ranks}
    names.update(
        heapq.nsmallest(
            CACHE_HOLDERS,
            cached_tokens,
            key=lambda name: load.compute_cost(name, cached_tokens[name]),
        )
    )
    return [view for view in available if view.server.id in names]
