"""The backend servers that may get a waiting request."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.decisions.placement import Candidate
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorehaven.blackboard.board import Blackboard

MIN_COPIED_TOKENS = 1_000
"""Tokens of a prompt below which they are read rather than copied."""


class PendingRequest(NamedTuple):
    """
    A request that waits.

    :ivar request: the request.
    :ivar chain: parts of its prompt.
    :ivar ranks: place of each server in the order that routers share.
    :ivar spared: servers that it was sent to before.
    :ivar resumes: whether the client already has a part of its answer.
    :ivar since: monotonic seconds from which it waits.
    :ivar lease: gets its place.
    """

    request: RoutedRequest
    prefix_chain: tuple[tuple[int, int], ...]
    server_ranks: dict[str, int]
    excluded_servers: frozenset[str]
    is_resume: bool
    queued_at: float
    reservation: asyncio.Future[ServerReservation]


class ServerView(NamedTuple):
    """
    What is believed of a server at one moment.

    :ivar server: the server.
    :ivar model: what its belief is made of.
    :ivar running: requests that it runs.
    :ivar unread: prompt tokens that it has still to read.
    """

    server: ServerRecord
    model: ServerModel
    running_requests: int
    unread_tokens: float

    @property
    def estimated_wait_seconds(self) -> float:
        """Seconds until it has read what it was sent."""
        return self.unread_tokens / self.model.prefill_rate

    def has_capacity(self, *, is_prompt: bool) -> bool:
        """Return whether it may run one more request."""
        limit = self.model.concurrency.limit if is_prompt else self.server.slots
        return self.running_requests < limit

    @property
    def free_prompt_slots(self) -> int:
        """Prompts that it may run besides."""
        return max(math.ceil(self.model.concurrency.limit - self.running_requests), 0)


class CandidateFinder:
    """
    Turns what is believed of servers into candidates.

    :param board: the state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def list_server_views(self, service: str, now: float) -> list[ServerView]:
        """Return what is believed of the servers of a service."""
        views = []
        for server in self._board.routing.list_servers(service):
            model = self._get_model(server)
            running, unread = model.count_requests(now), model.count_pending_tokens(now)
            views.append(ServerView(server, model, running, unread))
        return views

    def list_candidates(
        self, pending: PendingRequest, views: Sequence[ServerView], now: float
    ) -> list[Candidate]:
        """
        Return the servers with room for a request.

        :param views: the servers of its service, at least one.
        """
        not_excluded = [
            view for view in views if view.server.id not in pending.excluded_servers
        ]
        usable = _select_available(not_excluded or views, now)
        is_prompt = bool(pending.prefix_chain)
        with_capacity = [
            view for view in usable if view.has_capacity(is_prompt=is_prompt)
        ]
        if not with_capacity:
            return []
        cached_tokens = {
            view.server.id: view.model.prefix_cache.count_cached_tokens(
                pending.prefix_chain
            )
            for view in usable
        }
        largest_cache = max(
            usable, key=lambda view: cached_tokens[view.server.id]
        ).server
        can_copy = self._supports_prefix_transfer(pending.request.service)
        own_domain = self._board.members.own.failure_domain
        candidates = []
        for view in with_capacity:
            server, model = view.server, view.model
            copied_tokens = (
                cached_tokens[largest_cache.id] - cached_tokens[server.id]
                if can_copy
                else 0
            )
            if copied_tokens < MIN_COPIED_TOKENS:
                copied_tokens = 0
            uncached_tokens = (
                pending.request.head.prompt_tokens
                - cached_tokens[server.id]
                - copied_tokens
            )
            candidates.append(
                Candidate(
                    server=server,
                    running_requests=view.running_requests,
                    concurrency_limit=model.concurrency.limit,
                    pending_tokens=view.unread_tokens,
                    uncached_tokens=max(uncached_tokens, 1),
                    copied_tokens=copied_tokens,
                    copy_source=largest_cache.address if copied_tokens else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=model.health.error_ratio,
                    is_local=server.failure_domain == own_domain,
                    rank=pending.server_ranks.get(server.id, len(pending.server_ranks)),
                )
            )
        return candidates

    def _supports_prefix_transfer(self, name: str) -> bool:
        configuration = self._board.routing.configuration
        services = configuration.services if configuration else {}
        service = services.get(name)
        return bool(service and service.engine and service.engine.transfer_rate)

    def rank_servers(
        self, request: RoutedRequest, prefix_chain: tuple[tuple[int, int], ...]
    ) -> dict[str, int]:
        """Return the place of each server in the order that routers share."""
        names = [
            server.id for server in self._board.routing.list_servers(request.service)
        ]
        # The last part belongs to the request itself; the one before it is
        # what requests about one subject share.
        shared_parts = prefix_chain[-2:-1] or prefix_chain
        key = str(shared_parts[0][0]) if shared_parts else request.head.attempt
        return {name: place for place, name in enumerate(rank_candidates(key, names))}

    def _get_model(self, server: ServerRecord) -> ServerModel:
        configuration = self._board.routing.configuration
        service = configuration.services.get(server.service) if configuration else None
        memory_tokens = service.engine.memory if service and service.engine else 0
        return self._board.fleet.describe(server.id, memory_tokens, server.slots)


def _select_available(views: Sequence[ServerView], now: float) -> Sequence[ServerView]:
    """Return the servers in use; if none is, the first that will be again."""
    available = [view for view in views if view.model.health.ejected_until <= now]
    return available or [min(views, key=lambda view: view.model.health.ejected_until)]
