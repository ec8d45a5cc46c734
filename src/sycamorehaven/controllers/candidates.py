"""Finds the backend servers that may serve a pending request."""

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
"""Fewer prompt tokens than this are recomputed rather than copied."""


class PendingRequest(NamedTuple):
    """
    A request that waits for a backend server.

    :ivar request: the request.
    :ivar prefixes: hash and token count of each part of its prompt, empty if
        it has no prompt. A hash also covers the parts before.
    :ivar server_ranks: rank of each server for this prompt, the same on all
        routers.
    :ivar excluded_servers: servers that have already failed the request.
    :ivar is_resume: whether the client already has a part of the answer.
    :ivar queued_at: when it was queued, in monotonic seconds.
    :ivar reservation: future that gets the server reservation.
    """

    request: RoutedRequest
    prefixes: tuple[tuple[int, int], ...]
    server_ranks: dict[str, int]
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


class CandidateFinder:
    """
    Creates placement candidates from the estimated states of servers.

    :param board: shared state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def list_server_views(self, service: str, now: float) -> list[ServerView]:
        """Return the estimated states of all servers of a service."""
        views = []
        for server in self._board.routing.list_available_servers(service):
            model = self._get_model(server)
            running, pending_tokens = (
                model.count_requests(now),
                model.count_pending_tokens(now),
            )
            views.append(ServerView(server, model, running, pending_tokens))
        return views

    def list_candidates(
        self, pending: PendingRequest, views: Sequence[ServerView], now: float
    ) -> list[Candidate]:
        """
        Return the servers that have capacity for a request.

        :param views: the servers of the request's service, at least one.
        """
        not_excluded = [
            view for view in views if view.server.id not in pending.excluded_servers
        ]
        usable = _select_available(not_excluded or views, now)
        has_prompt = bool(pending.prefixes)
        with_capacity = [
            view for view in usable if view.has_capacity(has_prompt=has_prompt)
        ]
        if not with_capacity:
            return []
        cached_tokens = {
            view.server.id: view.model.prefix_cache.count_cached_tokens(
                pending.prefixes
            )
            for view in usable
        }
        best_cached_server = max(
            usable, key=lambda view: cached_tokens[view.server.id]
        ).server
        can_copy = self._supports_prefix_transfer(pending.request.service)
        own_domain = self._board.members.own.failure_domain
        candidates = []
        for view in with_capacity:
            server, model = view.server, view.model
            copied_tokens = (
                cached_tokens[best_cached_server.id] - cached_tokens[server.id]
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
                    pending_tokens=view.pending_tokens,
                    uncached_tokens=max(uncached_tokens, 1),
                    copied_tokens=copied_tokens,
                    copy_source=best_cached_server.address if copied_tokens else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=model.health.error_ratio,
                    is_local=server.failure_domain == own_domain,
                    rank=pending.server_ranks.get(server.id, len(pending.server_ranks)),
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

    def rank_servers(
        self, request: RoutedRequest, prefixes: tuple[tuple[int, int], ...]
    ) -> dict[str, int]:
        """
        Return the rank of each server for the prompt of a request.

        All routers compute the same ranks.
        """
        names = [
            server.id
            for server in self._board.routing.list_available_servers(request.service)
        ]
        # The last part is specific to the request. The part before it is the
        # longest prefix that requests on the same subject share, so these
        # requests get the same ranking and meet the same prefix cache.
        shared_parts = prefixes[-2:-1] or prefixes
        key = str(shared_parts[0][0]) if shared_parts else request.head.attempt_id
        return {name: place for place, name in enumerate(rank_candidates(key, names))}

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


def _select_available(views: Sequence[ServerView], now: float) -> Sequence[ServerView]:
    """
    Return the servers that are not ejected.

    If all are ejected, return the one whose ejection ends first.
    """
    available = [view for view in views if view.model.health.ejected_until <= now]
    return available or [min(views, key=lambda view: view.model.health.ejected_until)]
