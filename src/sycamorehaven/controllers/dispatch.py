"""Finds a backend server for each request, or turns it away."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from absl import logging
from mode import Service

from sycamorehaven.decisions.patience import PatienceTable
from sycamorehaven.decisions.placement import (
    Candidate,
    Placement,
    place_plain,
    place_prompt,
)
from sycamorehaven.decisions.prefixes import chain_parts
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.turning_away import (
    Demand,
    choose_return,
    decide_plain,
    decide_prompt,
)
from sycamorehaven.exceptions.refusals import DeadlineUnreachable, NoBackendServer
from sycamorehaven.routing.requests import RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_model import Reading, ServerModel
    from sycamorehaven.decisions.turning_away import Action
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

LOOK_PERIOD = 0.02
"""Seconds between two looks at the waiting requests."""
SHORTEST_COPY = 1_000
"""Tokens of a prompt below which they are read rather than copied."""
LOOK_SPACING = 4.0
"""Pause after a look, in times of what it took; the rest serves answers."""
ABSENT_RETURN = 1.0
"""Seconds after which to come back when no server is known."""
OUTPUT_WEIGHT = 2.0
"""What a generated token counts against one that is read."""


def measure_cost(request: RoutedRequest) -> float:
    """Return the tokens that a request is charged with."""
    return request.head.prompt_tokens + OUTPUT_WEIGHT * request.head.output_tokens


class Lease:
    """
    A request's place at a backend server.

    :param board: the state of this router.
    :param server: the server.
    :param model: what is believed of it.
    :param reading: the prompt that it reads.
    :param source: address of the server from which it copies a part, or "".
    """

    def __init__(
        self,
        board: Blackboard,
        server: ServerRecord,
        model: ServerModel,
        reading: Reading,
        source: str = "",
    ) -> None:
        self._board = board
        self._server = server
        self._source = source
        self._model = model
        self._reading: Reading | None = reading
        self._ended = False

    @property
    def server(self) -> ServerRecord:
        """The server."""
        return self._server

    @property
    def source(self) -> str:
        """Address of the server from which it copies a part, or ""."""
        return self._source

    @property
    def model(self) -> ServerModel:
        """What is believed of the server."""
        return self._model

    def note_first_token(self, now: float) -> None:
        """Note that the prompt was read."""
        if self._reading is None:
            return
        self._model.note_first_token(self._reading, now)
        self._reading = None
        self._announce()

    def note_gap(self, gap: float, longest: float, now: float) -> None:
        """Note the time between two events of a stream."""
        self._model.concurrency.note_gap(gap, longest, now)

    def end(self) -> None:
        """Give the place back; again changes nothing."""
        if self._ended:
            return
        self._ended = True
        if self._reading is not None:
            self._model.give_up(self._reading)
            self._reading = None
        self._model.end()
        self._announce()

    def _announce(self) -> None:
        self._board.fleet.touch(self._server.id)
        self._board.fleet.changed.notify()


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


class Dispatcher(Service):
    """
    Keeps the requests that wait, in the order of their workspaces' shares.

    :param board: the state of this router.
    :param log: takes decisions.
    :param metrics: takes waiting times.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._decisions = log
        self._metrics = metrics
        self._clock = clock
        self._waiting: list[Waiting] = []
        self._patiences = PatienceTable()
        self._arrived = asyncio.Event()

    async def acquire(
        self,
        request: RoutedRequest,
        spared: Collection[str] = (),
        *,
        resumes: bool = False,
    ) -> Lease:
        """
        Return a place at a server.

        :param spared: servers that are not to get the request again.
        :param resumes: whether the client already has a part of its answer.
        :raises DeadlineUnreachable: if it cannot be served in time.
        :raises NoBackendServer: if no server of its service is known.
        """
        now = self._clock()
        self._patiences.note(request)
        chain = chain_parts(request.head.model, request.head.parts)
        if request.workspace and not spared:
            cost = measure_cost(request)
            self._board.fleet.add_usage(request.workspace, cost, 0.0, now)
        future: asyncio.Future[Lease] = asyncio.get_running_loop().create_future()
        ranks = self._rank(request, chain)
        waiting = Waiting(
            request, chain, ranks, frozenset(spared), resumes, now, future
        )
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._look()
        self._arrived.set()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                future.result().end()
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not self._waiting:
                self._arrived.clear()
                await self.wait(self._arrived.wait())
                continue
            began = self._clock()
            try:
                self._look()
            except Exception:
                # Those that wait must not depend on one that cannot be judged;
                # each gives up by itself at its deadline.
                logging.exception("the waiting requests could not be judged")
            took = self._clock() - began
            await asyncio.sleep(max(LOOK_PERIOD, took * LOOK_SPACING))

    def _look(self) -> None:
        """Place what can be placed, turn away what waits in vain."""
        now = self._clock()
        usage = self._board.fleet.usage
        share = usage.find_share(now)
        self._waiting = [one for one in self._waiting if not one.lease.done()]

        def order(one: Waiting) -> tuple[bool, float]:
            given = usage.find_given(one.request.workspace, now)
            return given > share and not one.resumes, one.since

        for one in sorted(self._waiting, key=order):
            within = not order(one)[0]
            self._settle(one, within, now)
        self._waiting = [one for one in self._waiting if not one.lease.done()]
        self._metrics.waiting.set(len(self._waiting))

    def _settle(self, one: Waiting, within: bool, now: float) -> None:
        request = one.request
        candidates = self._list_candidates(one, now)
        if not candidates:
            refusal = NoBackendServer(
                f"no server of {request.service} takes work",
                retry_after=min(ABSENT_RETURN, (request.deadline - now) * 0.3),
            )
            self._refuse(one, refusal, "no_server", None, within, now)
            return
        demand = Demand(
            one.since - self._patiences.find_spent(request),
            one.since,
            request.route.target,
            request.deadline,
            within,
            one.resumes,
        )
        action, best = self._decide(demand, candidates, bool(one.chain), now)
        if action == "place" and best is not None:
            self._place(one, best, within, now)
        elif action == "reject":
            wait = min(candidate.unread / candidate.rate for candidate in candidates)
            refusal_late = DeadlineUnreachable(
                "more work waits than the servers can do in time",
                retry_after=choose_return(demand, wait, now),
            )
            self._refuse(one, refusal_late, "overload", best, within, now)

    def _decide(
        self, demand: Demand, candidates: list[Candidate], prompt: bool, now: float
    ) -> tuple[Action, Placement | None]:
        if prompt:
            best = place_prompt(candidates)
            return decide_prompt(demand, best, now), best
        best = place_plain(candidates)
        return decide_plain(demand, best, now), best

    def _place(self, one: Waiting, best: Placement, within: bool, now: float) -> None:
        request, fleet = one.request, self._board.fleet
        model = fleet.find_model(best.server.id)
        reading = model.begin(best.uncached, now)
        model.cache.note(one.chain)
        fleet.note_placed(one.chain, best.server.id)
        fleet.touch(best.server.id)
        if request.workspace:
            fleet.add_usage(request.workspace, 0.0, measure_cost(request), now)
        waited = now - one.since
        self._metrics.queueing.labels(request.service, request.route.kind).observe(
            waited
        )
        self._decisions.record(
            "placed",
            request=request.head.attempt,
            workspace=request.workspace,
            server=best.server.id,
            waited=round(waited, 3),
            expected=round(best.first_token, 3),
            uncached=best.uncached,
            source=best.source,
            running=model.count_running(now),
            within_share=within,
            snapshot=self._board.routing.revision,
            snapshot_age=round(now - self._board.routing.taken_at, 3),
        )
        one.lease.set_result(
            Lease(self._board, best.server, model, reading, best.source)
        )

    def _refuse(
        self,
        one: Waiting,
        refusal: DeadlineUnreachable | NoBackendServer,
        reason: str,
        best: Placement | None,
        within: bool,
        now: float,
    ) -> None:
        self._decisions.record(
            "turned_away",
            request=one.request.head.attempt,
            workspace=one.request.workspace,
            reason=reason,
            waited=round(now - one.since, 3),
            expected=round(best.first_token, 3) if best else None,
            within_share=within,
            retry_after=refusal.retry_after,
            snapshot_age=round(now - self._board.routing.taken_at, 3),
        )
        one.lease.set_exception(refusal)

    def _list_candidates(self, one: Waiting, now: float) -> list[Candidate]:
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

    def _rank(
        self, request: RoutedRequest, chain: tuple[tuple[int, int], ...]
    ) -> dict[str, int]:
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
