"""Finds a backend server for each request, or turns it away."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from absl import logging
from mode import Service

from sycamorehaven.blackboard.fleet import Contention
from sycamorehaven.controllers.candidates import (
    CandidateFinder,
    ServerView,
    Waiting,
)
from sycamorehaven.controllers.leases import Lease
from sycamorehaven.decisions.client_timeouts import ClientTimeouts
from sycamorehaven.decisions.load_shedding import (
    PendingRequest,
    choose_retry_after,
    decide_plain_request,
    decide_prompt_request,
)
from sycamorehaven.decisions.placement import (
    Candidate,
    Placement,
    choose_engine,
    choose_plain_server,
)
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO
from sycamorehaven.exceptions.refusals import DeadlineUnreachable, NoBackendServer

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.load_shedding import Action
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

LOOK_PERIOD = 0.02
"""Seconds between two looks at the waiting requests."""
LOOK_SPACING = 4.0
"""Pause after a look, in times of what it took; the rest serves answers."""
ABSENT_RETURN = 1.0
"""Seconds after which to come back when no server is known."""
OUTPUT_WEIGHT = 2.0
"""What a generated token counts against one that is read."""


class Standing(NamedTuple):
    """
    What a workspace got against what it is due.

    :ivar within: whether it has not had its share.
    :ivar satisfaction: what it got as a part of what it is due.
    """

    within: bool
    satisfaction: float


def measure_cost(request: RoutedRequest) -> float:
    """Return the tokens that a request is charged with."""
    return request.head.prompt_tokens + OUTPUT_WEIGHT * request.head.output_tokens


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
        self._patiences = ClientTimeouts()
        self._finder = CandidateFinder(board)
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
        self._patiences.record(request)
        chain = hash_prefixes(request.head.model, request.head.parts)
        if request.workspace and not spared:
            cost = measure_cost(request)
            self._board.fleet.add_usage(request.workspace, cost, 0.0, now)
        future: asyncio.Future[Lease] = asyncio.get_running_loop().create_future()
        ranks = self._finder.rank(request, chain)
        waiting = Waiting(
            request, chain, ranks, frozenset(spared), resumes, now, future
        )
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self.look()
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
                self.look()
            except Exception:
                # Those that wait must not depend on one that cannot be judged;
                # each gives up by itself at its deadline.
                logging.exception("the waiting requests could not be judged")
            took = self._clock() - began
            await asyncio.sleep(max(LOOK_PERIOD, took * LOOK_SPACING))

    def look(self) -> None:
        """Place what can be placed, turn away what waits in vain."""
        now = self._clock()
        self._waiting = [one for one in self._waiting if not one.lease.done()]
        standings = self._list_standings(now)
        self._note_contention(standings, now)

        def order(one: Waiting) -> tuple[bool, float]:
            within = standings[one.request.workspace].within or one.resumes
            return not within, one.since

        views: dict[str, list[ServerView]] = {}
        for one in sorted(self._waiting, key=order):
            service = one.request.service
            if service not in views:
                views[service] = self._finder.survey(service, now)
            standing = standings[one.request.workspace]
            if self._settle(one, views[service], standing, now) == "place":
                del views[service]
        self._waiting = [one for one in self._waiting if not one.lease.done()]
        self._metrics.waiting.set(len(self._waiting))

    def _list_standings(self, now: float) -> dict[str, Standing]:
        usage = self._board.fleet.usage
        share = usage.get_fair_share(now)
        return {
            workspace: Standing(
                usage.get_received(workspace, now) <= share,
                usage.get_satisfaction(workspace, share, now),
            )
            for workspace in {one.request.workspace for one in self._waiting}
        }

    def _note_contention(self, standings: dict[str, Standing], now: float) -> None:
        waiting: dict[str, list[float]] = {}
        for one in self._waiting:
            satisfaction = standings[one.request.workspace].satisfaction
            waiting.setdefault(one.request.service, []).append(satisfaction)
        for service, found in waiting.items():
            least = min(found)
            count = sum(one <= least + YIELD_MARGIN_RATIO for one in found)
            contention = Contention(least, count, now)
            self._board.fleet.note_contention(service, contention)

    def _settle(
        self, one: Waiting, views: list[ServerView], standing: Standing, now: float
    ) -> Action:
        request = one.request
        demand = self._describe(one, views, standing, now)
        if not views:
            refusal = NoBackendServer(
                f"no server of {request.service} takes work",
                retry_after=min(ABSENT_RETURN, (request.deadline - now) * 0.3),
            )
            self._refuse(one, refusal, "no_server", demand, None, now)
            return "reject"
        candidates = self._finder.list(one, views, now)
        action, best = self._decide(demand, candidates, bool(one.chain), now)
        if action == "place" and best is not None:
            self._place(one, best, demand, now)
        elif action == "reject":
            wait = min(view.wait for view in views)
            refusal_late = DeadlineUnreachable(
                "more work waits than the servers can do in time",
                retry_after=choose_retry_after(demand, wait, now),
            )
            self._refuse(one, refusal_late, "overload", demand, best, now)
        return action

    def _describe(
        self, one: Waiting, views: list[ServerView], standing: Standing, now: float
    ) -> PendingRequest:
        request = one.request
        room = sum(view.room for view in views)
        ahead = self._board.fleet.count_ahead(
            request.service, standing.satisfaction, now
        )
        return PendingRequest(
            first_asked_at=one.since - self._patiences.estimate_elapsed(request),
            received_at=one.since,
            target_seconds=request.route.target,
            deadline=request.deadline,
            within_share=standing.within or one.resumes,
            resumes=one.resumes,
            satisfaction=standing.satisfaction,
            yields=0 < room <= ahead,
        )

    def _decide(
        self,
        demand: PendingRequest,
        candidates: list[Candidate],
        prompt: bool,
        now: float,
    ) -> tuple[Action, Placement | None]:
        if prompt:
            best = choose_engine(candidates)
            return decide_prompt_request(demand, best, now), best
        best = choose_plain_server(candidates)
        return decide_plain_request(demand, best, now), best

    def _place(
        self, one: Waiting, best: Placement, demand: PendingRequest, now: float
    ) -> None:
        request, fleet = one.request, self._board.fleet
        model = fleet.find_model(best.server.id)
        reading = model.start_request(best.uncached_tokens, now)
        model.prefix_cache.record_prompt(one.chain)
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
            expected=round(best.first_token_seconds, 3),
            uncached=best.uncached_tokens,
            source=best.copy_source,
            running=model.count_requests(now),
            within_share=demand.within_share,
            satisfaction=round(demand.satisfaction, 2),
            snapshot=self._board.routing.revision,
            snapshot_age=round(now - self._board.routing.read_at, 3),
        )
        one.lease.set_result(
            Lease(self._board, best.server, model, reading, best.copy_source)
        )

    def _refuse(
        self,
        one: Waiting,
        refusal: DeadlineUnreachable | NoBackendServer,
        reason: str,
        demand: PendingRequest,
        best: Placement | None,
        now: float,
    ) -> None:
        self._decisions.record(
            "turned_away",
            request=one.request.head.attempt,
            workspace=one.request.workspace,
            reason=reason,
            waited=round(now - one.since, 3),
            expected=round(best.first_token_seconds, 3) if best else None,
            within_share=demand.within_share,
            satisfaction=round(demand.satisfaction, 2),
            yields=demand.yields,
            retry_after=refusal.retry_after,
            snapshot_age=round(now - self._board.routing.read_at, 3),
        )
        one.lease.set_exception(refusal)
