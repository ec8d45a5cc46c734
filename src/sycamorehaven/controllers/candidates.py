"""Finds the backend servers that may serve a pending request."""

from __future__ import annotations

import asyncio
import heapq
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.cold_servers.openings import (
    ColdOpenings,
    SchedulerFinder,
)
from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.controllers.service_load import (
    LEAST_LOADED_SERVERS,
    ServerView,
    ServiceLoad,
    observe_server,
)
from sycamorehaven.decisions.limit_shares import NO_ALLOWANCE
from sycamorehaven.decisions.news_routes import choose_settle_seconds
from sycamorehaven.decisions.placement import (
    MAX_RANK,
    Candidate,
)
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.server_openings import ALWAYS_OPEN
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_openings import Opening
    from sycamorehaven.routing.model import ServerRecord

PrefixLevels = list[tuple[int, set[str]]]
"""Leading tokens of a prompt and the servers that keep at least these, most
tokens first."""

MIN_COPIED_TOKENS = 1_000
"""Fewer prompt tokens than this are recomputed rather than copied."""
MAX_RANKED_SUBJECTS = 1_024
"""Number of subjects whose ranking of servers is remembered."""
CACHE_HOLDERS = 4
"""Number of servers with tokens of a prompt in their cache that are compared
for it."""


class ApplicationHistory:
    """
    The applications for admission of one pending request.

    :ivar refused: number of those that were refused.
    :ivar refused_by_cold: number of those that were refused for a cold engine,
        which does not show that other engines are full.
    :ivar current: number of the one that has no answer yet, 0 for none.
    :ivar server: the engine of the latest one.
    """

    def __init__(self) -> None:
        self.refused = 0
        self.refused_by_cold = 0
        self.current = 0
        self.server: ServerRecord | None = None


NO_APPLICATIONS = ApplicationHistory()
"""The history of a request that no scheduler is asked for."""


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
    :ivar software_version: version of the servers that may serve it; ``None``
        for any.
    :ivar position: its position among the requests of its workspace, 0 to 1.
    :ivar applications: what schedulers were asked for it.
    """

    request: RoutedRequest
    prefixes: tuple[tuple[int, int], ...]
    excluded_servers: frozenset[str]
    is_resume: bool
    queued_at: float
    reservation: asyncio.Future[ServerReservation]
    software_version: str | None = None
    position: float = 0.0
    applications: ApplicationHistory = NO_APPLICATIONS


class CandidateFinder:
    """
    Creates placement candidates from the estimated states of servers.

    :param board: shared state of this router.
    :param schedulers: finds the schedulers of engines; ``None`` if there are
        none.
    """

    def __init__(
        self, board: Blackboard, schedulers: SchedulerFinder | None = None
    ) -> None:
        self._board = board
        self._schedulers = schedulers
        self._cold_openings = ColdOpenings(board, schedulers)
        self._server_ranks: dict[tuple[str, str], dict[str, int]] = {}
        board.routing.changed.subscribe(self._server_ranks.clear)

    def observe_service(
        self,
        service: str,
        now: float,
        software_version: str | None = None,
        limit_factor: float = 1.0,
    ) -> ServiceLoad:
        """
        Return the estimated states of the servers of a service.

        :param software_version: version of the servers; ``None`` for any.
        :param limit_factor: factor applied to the concurrency limits of
            engines.
        """
        views = []
        cache_tokens = self._get_cache_tokens(service)
        for server in self._board.routing.list_available_servers(service):
            opening = self.find_opening(server, now)
            if opening.closed_by != "leaving" and software_version in (
                None,
                server.software_version,
            ):
                # The model has to know the server's configured capacity.
                model = self._board.fleet_load.update_capacity(
                    server.id, cache_tokens, server.slots
                )
                views.append(
                    observe_server(
                        server,
                        model,
                        now,
                        limit_factor,
                        opening,
                        has_scheduler=self.has_scheduler(server, now),
                    )
                )
        return ServiceLoad(views, now)

    def has_scheduler(self, server: ServerRecord, now: float) -> bool:
        """Return whether a router admits requests with prompts to a server."""
        return (
            self._schedulers is not None
            and self._schedulers.find_scheduler(server, now) is not None
        )

    def find_opening(
        self, server: ServerRecord, now: float, *, is_admitted: bool = False
    ) -> Opening:
        """
        Return when a server takes the next request of this router.

        :param is_admitted: whether its scheduler has admitted the request.
        """
        opening = self._find_stated_opening(server, now)
        if self._board.cold_servers.is_empty or opening.closed_by in (
            "leaving",
            "evacuated",
        ):
            return opening
        cold = self._cold_openings.find_opening(server, now, is_admitted=is_admitted)
        if opening.is_open:
            return opening if cold is ALWAYS_OPEN else cold
        return max(opening, cold)._replace(allows_copies=opening.allows_copies)

    def _find_stated_opening(self, server: ServerRecord, now: float) -> Opening:
        """Return when a server takes a request, by what is said of it."""
        conditions, routing = self._board.server_conditions, self._board.routing
        if conditions.is_empty and not routing.evacuated_domains:
            return ALWAYS_OPEN
        gate = conditions.find(server.incarnation_id)
        evacuated = routing.find_evacuated_opening(server, now)
        is_leaving = gate is not None and gate.conditions.leaving_since is not None
        if evacuated is not None and not is_leaving:
            return evacuated
        if gate is None:
            return ALWAYS_OPEN
        limit = gate.conditions.limit.rate
        if not limit:
            return gate.find_opening(NO_ALLOWANCE, now)
        members = self._board.members.count()
        share = conditions.get_shares(server.service).get_allowance(
            server.incarnation_id,
            limit,
            choose_settle_seconds(members),
            now,
            even_part=1.0 / members,
        )
        return gate.find_opening(share, now)

    def list_candidates(
        self, pending: PendingRequest, load: ServiceLoad, *, includes_full: bool = False
    ) -> list[Candidate]:
        """
        Return the servers with capacity for a request that may be the best.

        :param load: the servers of the request's service, at least one.
        :param includes_full: whether open servers without capacity are listed.
        """
        has_prompt = bool(pending.prefixes)
        if not (includes_full or load.has_capacity(has_prompt=has_prompt)):
            return []
        available = load.map_available(pending.excluded_servers)
        server_ranks = self._rank_servers(pending)
        levels = self._board.fleet_load.prefix_index.list_holders(pending.prefixes)
        copy_sources = _choose_copy_sources(
            load.map_copy_sources(pending.excluded_servers),
            levels,
            load.software_versions,
        )
        compared = (
            _shortlist(available, load, levels, server_ranks)
            if has_prompt
            else list(available.values())
        )
        with_capacity = [
            view
            for view in compared
            if includes_full or view.has_capacity(has_prompt=has_prompt)
        ]
        return [
            self._build_candidate(pending, view, levels, copy_sources, server_ranks)
            for view in with_capacity
        ]

    def _build_candidate(
        self,
        pending: PendingRequest,
        view: ServerView,
        levels: PrefixLevels,
        copy_sources: Mapping[str, ServerRecord],
        server_ranks: Mapping[str, int],
    ) -> Candidate:
        """
        Return a server as a candidate for a request.

        :param levels: what servers keep of the request's prompt.
        :param copy_sources: server to copy from, by software version.
        :param server_ranks: rank of each server for the request.
        """
        server, model = view.server, view.model
        cached_tokens = _count_cached_tokens(server.id, levels)
        source = copy_sources.get(server.software_version)
        copied_tokens = (
            _count_cached_tokens(source.id, levels) - cached_tokens if source else 0
        )
        if copied_tokens < MIN_COPIED_TOKENS:
            copied_tokens = 0
        uncached_tokens = (
            pending.request.head.prompt_tokens - cached_tokens - copied_tokens
        )
        own_domain = self._board.members.own.failure_domain
        return Candidate(
            server=server,
            running_requests=view.running_requests,
            concurrency_limit=view.prompt_limit,
            pending_tokens=view.pending_tokens,
            uncached_tokens=max(uncached_tokens, 1),
            copied_tokens=copied_tokens,
            copy_source=source.address if source and copied_tokens else "",
            prefill_rate=model.prefill_rate,
            error_ratio=model.health.error_ratio,
            is_local=server.failure_domain == own_domain,
            rank=server_ranks.get(server.id, len(server_ranks)),
            has_scheduler=view.has_scheduler,
        )

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
        routing = self._board.routing
        servers = routing.list_available_servers(service)
        names = [server.id for server in servers if not routing.is_evacuated(server)]
        ranked = rank_candidates(subject, names)
        return {name: place for place, name in enumerate(ranked)}

    def _get_cache_tokens(self, name: str) -> int:
        """Return how many tokens a server of a service keeps, 0 for none."""
        configuration = self._board.routing.configuration
        service = configuration.services.get(name) if configuration else None
        capacity = service.engine_capacity if service else None
        return capacity.kv_cache_tokens if capacity else 0


def _count_cached_tokens(server: str, levels: PrefixLevels) -> int:
    """Return how many leading tokens of a prompt a server keeps."""
    for tokens, holders in levels:
        if server in holders:
            return tokens
    return 0


def _choose_copy_sources(
    available: Mapping[str, ServerView],
    levels: PrefixLevels,
    versions: Collection[str],
) -> dict[str, ServerRecord]:
    """
    Return the server with most of a prompt in its cache, by software version.

    What a version has in its cache is not passed on to another one.

    :param versions: the software versions of the service's servers.
    """
    sources: dict[str, ServerRecord] = {}
    for _, holders in levels:
        for name in sorted(holders):
            if name in available:
                server = available[name].server
                sources.setdefault(server.software_version, server)
        if len(sources) == len(versions):
            break
    return sources


def _shortlist(
    available: Mapping[str, ServerView],
    load: ServiceLoad,
    levels: PrefixLevels,
    server_ranks: Collection[str],
) -> list[ServerView]:
    """
    Return the servers among which the best one for a prompt is.

    These are the least loaded ones, those that rank first for its subject, and
    the best ones of those with a part of it in their cache.
    """
    if len(available) <= LEAST_LOADED_SERVERS:
        return list(available.values())
    best_holders = {
        name: load.compute_cost(name, tokens)
        for tokens, holders in reversed(levels)
        for name in load.list_cheapest(holders, CACHE_HOLDERS)
    }
    names = {*load.list_least_loaded(), *server_ranks}
    names.update(
        heapq.nsmallest(CACHE_HOLDERS, best_holders, key=best_holders.__getitem__)
    )
    return [available[name] for name in sorted(names) if name in available]
