"""The backend servers that may get a waiting request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.leases import Lease
from sycamorehaven.decisions.placement import Candidate
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_model import ServerModel
    from sycamorehaven.routing.model import ServerRecord

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


class CandidateFinder:
    """
    Turns what is believed of servers into candidates.

    :param board: the state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def list(self, one: Waiting, now: float) -> list[Candidate]:
        """Return the servers that may get a request now."""
        request = one.request
        servers = self._board.routing.list_servers(request.service)
        left = [server for server in servers if server.id not in one.spared]
        models = {server.id: self._find_model(server) for server in left or servers}
        open_ = {
            name: model
            for name, model in models.items()
            if model.health.paused_until <= now
        }
        if not open_ and models:
            first = min(models, key=lambda name: models[name].health.paused_until)
            open_ = {first: models[first]}
        kept = {name: model.cache.match(one.chain) for name, model in open_.items()}
        holder = max(kept, key=lambda name: kept[name], default="")
        domain = self._board.members.own.failure_domain
        addresses = {server.id: server.address for server in left or servers}
        candidates = []
        for server in left or servers:
            model = open_.get(server.id)
            if model is None:
                continue
            copied = kept[holder] - kept[server.id] if self._copies(request) else 0
            if copied < SHORTEST_COPY:
                copied = 0
            candidates.append(
                Candidate(
                    server=server,
                    running=model.count_running(now),
                    limit=model.concurrency.limit,
                    unread=model.count_unread(now),
                    uncached=max(
                        request.head.prompt_tokens - kept[server.id] - copied, 1
                    ),
                    copied=copied,
                    source=addresses[holder] if copied else "",
                    rate=model.rate,
                    errors=model.health.errors,
                    near=server.failure_domain == domain,
                    rank=one.ranks.get(server.id, len(one.ranks)),
                )
            )
        return candidates

    def _copies(self, request: RoutedRequest) -> bool:
        configuration = self._board.routing.configuration
        services = configuration.services if configuration else {}
        service = services.get(request.service)
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
