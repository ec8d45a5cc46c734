"""The backend servers that may get a waiting request."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.leases import Lease
from sycamorehaven.decisions.placement import Candidate
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.server_model import ServerModel
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorehaven.blackboard.board import Blackboard

SHORTEST_COPY = 1_000
"""Tokens of a prompt below which they are read rather than copied."""


class Waiting(NamedTuple):
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
    chain: tuple[tuple[int, int], ...]
    ranks: dict[str, int]
    spared: frozenset[str]
    resumes: bool
    since: float
    lease: asyncio.Future[Lease]


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
    running: int
    unread: float

    @property
    def wait(self) -> float:
        """Seconds until it has read what it was sent."""
        return self.unread / self.model.prefill_rate

    def has_room(self, *, prompt: bool) -> bool:
        """Return whether it may run one more request."""
        limit = self.model.concurrency.limit if prompt else self.server.slots
        return self.running < limit

    @property
    def room(self) -> int:
        """Prompts that it may run besides."""
        return max(math.ceil(self.model.concurrency.limit - self.running), 0)


class CandidateFinder:
    """
    Turns what is believed of servers into candidates.

    :param board: the state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def survey(self, service: str, now: float) -> list[ServerView]:
        """Return what is believed of the servers of a service."""
        views = []
        for server in self._board.routing.list_servers(service):
            model = self._find_model(server)
            running, unread = model.count_requests(now), model.count_pending_tokens(now)
            views.append(ServerView(server, model, running, unread))
        return views

    def list(
        self, one: Waiting, views: Sequence[ServerView], now: float
    ) -> list[Candidate]:
        """
        Return the servers with room for a request.

        :param views: the servers of its service, at least one.
        """
        left = [view for view in views if view.server.id not in one.spared]
        usable = _choose_open(left or views, now)
        prompt = bool(one.chain)
        free = [view for view in usable if view.has_room(prompt=prompt)]
        if not free:
            return []
        kept = {
            view.server.id: view.model.prefix_cache.count_cached_tokens(one.chain)
            for view in usable
        }
        holder = max(usable, key=lambda view: kept[view.server.id]).server
        copies = self._copies(one.request.service)
        domain = self._board.members.own.failure_domain
        candidates = []
        for view in free:
            server, model = view.server, view.model
            copied = kept[holder.id] - kept[server.id] if copies else 0
            if copied < SHORTEST_COPY:
                copied = 0
            uncached = one.request.head.prompt_tokens - kept[server.id] - copied
            candidates.append(
                Candidate(
                    server=server,
                    running_requests=view.running,
                    concurrency_limit=model.concurrency.limit,
                    pending_tokens=view.unread,
                    uncached_tokens=max(uncached, 1),
                    copied_tokens=copied,
                    copy_source=holder.address if copied else "",
                    prefill_rate=model.prefill_rate,
                    error_ratio=model.health.error_ratio,
                    is_local=server.failure_domain == domain,
                    rank=one.ranks.get(server.id, len(one.ranks)),
                )
            )
        return candidates

    def _copies(self, name: str) -> bool:
        configuration = self._board.routing.configuration
        services = configuration.services if configuration else {}
        service = services.get(name)
        return bool(service and service.engine and service.engine.transfer_rate)

    def rank(
        self, request: RoutedRequest, chain: tuple[tuple[int, int], ...]
    ) -> dict[str, int]:
        """Return the place of each server in the order that routers share."""
        names = [
            server.id for server in self._board.routing.list_servers(request.service)
        ]
        # The last part belongs to the request itself; the one before it is
        # what requests about one subject share.
        shared = chain[-2:-1] or chain
        key = str(shared[0][0]) if shared else request.head.attempt
        return {name: place for place, name in enumerate(rank_candidates(key, names))}

    def _find_model(self, server: ServerRecord) -> ServerModel:
        configuration = self._board.routing.configuration
        service = configuration.services.get(server.service) if configuration else None
        memory = service.engine.memory if service and service.engine else 0
        return self._board.fleet.describe(server.id, memory, server.slots)


def _choose_open(views: Sequence[ServerView], now: float) -> Sequence[ServerView]:
    """Return the servers in use; if none is, the first that will be again."""
    found = [view for view in views if view.model.health.ejected_until <= now]
    return found or [min(views, key=lambda view: view.model.health.ejected_until)]
