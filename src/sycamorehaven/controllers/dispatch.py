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
    PendingRequest,
    ServerView,
)
from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.decisions.client_timeouts import ClientTimeouts
from sycamorehaven.decisions.load_shedding import (
    PlacementRequest,
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

MIN_DISPATCH_PAUSE_SECONDS = 0.02
"""Seconds between two looks at the waiting requests."""
DISPATCH_PAUSE_RATIO = 4.0
"""Pause after a look, in times of what it took; the rest serves answers."""
NO_SERVER_RETRY_SECONDS = 1.0
"""Seconds after which to come back when no server is known."""
OUTPUT_TOKEN_WEIGHT = 2.0
"""What a generated token counts against one that is read."""


class ShareStatus(NamedTuple):
    """
    What a workspace got against what it is due.

    :ivar within: whether it has not had its share.
    :ivar satisfaction: what it got as a part of what it is due.
    """

    is_within_share: bool
    satisfaction: float


def compute_token_cost(request: RoutedRequest) -> float:
    """Return the tokens that a request is charged with."""
    return request.head.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request.head.output_tokens


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
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._pending: list[PendingRequest] = []
        self._patience_table = ClientTimeouts()
        self._candidate_finder = CandidateFinder(board)
        self._request_arrived = asyncio.Event()

    async def acquire(
        self,
        request: RoutedRequest,
        excluded_servers: Collection[str] = (),
        *,
        is_resume: bool = False,
    ) -> ServerReservation:
        """
        Return a place at a server.

        :param spared: servers that are not to get the request again.
        :param resumes: whether the client already has a part of its answer.
        :raises DeadlineUnreachable: if it cannot be served in time.
        :raises NoBackendServer: if no server of its service is known.
        """
        now = self._clock()
        self._patience_table.record(request)
        prefix_chain = hash_prefixes(request.head.model, request.head.parts)
        if request.workspace and not excluded_servers:
            cost = compute_token_cost(request)
            self._board.fleet.add_usage(request.workspace, cost, 0.0, now)
        future: asyncio.Future[ServerReservation] = (
            asyncio.get_running_loop().create_future()
        )
        server_ranks = self._candidate_finder.rank_servers(request, prefix_chain)
        pending = PendingRequest(
            request,
            prefix_chain,
            server_ranks,
            frozenset(excluded_servers),
            is_resume,
            now,
            future,
        )
        self._pending.append(pending)
        if len(self._pending) == 1:
            self.dispatch_pending()
        self._request_arrived.set()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                future.result().release()
            raise
        finally:
            if pending in self._pending:
                self._pending.remove(pending)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not self._pending:
                self._request_arrived.clear()
                await self.wait(self._request_arrived.wait())
                continue
            started_at = self._clock()
            try:
                self.dispatch_pending()
            except Exception:
                # Those that wait must not depend on one that cannot be judged;
                # each gives up by itself at its deadline.
                logging.exception("the waiting requests could not be judged")
            elapsed = self._clock() - started_at
            await asyncio.sleep(
                max(MIN_DISPATCH_PAUSE_SECONDS, elapsed * DISPATCH_PAUSE_RATIO)
            )

    def dispatch_pending(self) -> None:
        """Place what can be placed, turn away what waits in vain."""
        now = self._clock()
        self._pending = [
            pending for pending in self._pending if not pending.reservation.done()
        ]
        share_statuses = self._compute_share_statuses(now)
        self._record_contention(share_statuses, now)

        def sort_key(pending: PendingRequest) -> tuple[bool, float]:
            has_priority = (
                share_statuses[pending.request.workspace].is_within_share
                or pending.is_resume
            )
            return not has_priority, pending.queued_at

        views: dict[str, list[ServerView]] = {}
        for pending in sorted(self._pending, key=sort_key):
            service = pending.request.service
            if service not in views:
                views[service] = self._candidate_finder.list_server_views(service, now)
            share_status = share_statuses[pending.request.workspace]
            if (
                self._place_or_reject(pending, views[service], share_status, now)
                == "place"
            ):
                del views[service]
        self._pending = [
            pending for pending in self._pending if not pending.reservation.done()
        ]
        self._metrics.waiting_requests.set(len(self._pending))

    def _compute_share_statuses(self, now: float) -> dict[str, ShareStatus]:
        usage = self._board.fleet.usage
        share = usage.get_fair_share(now)
        return {
            workspace: ShareStatus(
                usage.get_received(workspace, now) <= share,
                usage.get_satisfaction(workspace, share, now),
            )
            for workspace in {pending.request.workspace for pending in self._pending}
        }

    def _record_contention(
        self, share_statuses: dict[str, ShareStatus], now: float
    ) -> None:
        satisfactions: dict[str, list[float]] = {}
        for pending in self._pending:
            satisfaction = share_statuses[pending.request.workspace].satisfaction
            satisfactions.setdefault(pending.request.service, []).append(satisfaction)
        for service, service_satisfactions in satisfactions.items():
            least = min(service_satisfactions)
            count = sum(
                pending <= least + YIELD_MARGIN_RATIO
                for pending in service_satisfactions
            )
            contention = Contention(least, count, now)
            self._board.fleet.note_contention(service, contention)

    def _place_or_reject(
        self,
        pending: PendingRequest,
        views: list[ServerView],
        share_status: ShareStatus,
        now: float,
    ) -> Action:
        request = pending.request
        demand = self._build_demand(pending, views, share_status, now)
        if not views:
            refusal = NoBackendServer(
                f"no server of {request.service} takes work",
                retry_after=min(
                    NO_SERVER_RETRY_SECONDS, (request.deadline - now) * 0.3
                ),
            )
            self._reject(pending, refusal, "no_server", demand, None, now)
            return "reject"
        candidates = self._candidate_finder.list_candidates(pending, views, now)
        action, best = self._choose_action(
            demand, candidates, bool(pending.prefix_chain), now
        )
        if action == "place" and best is not None:
            self._assign_server(pending, best, demand, now)
        elif action == "reject":
            shortest_wait = min(view.estimated_wait_seconds for view in views)
            late_refusal = DeadlineUnreachable(
                "more work waits than the servers can do in time",
                retry_after=choose_retry_after(demand, shortest_wait, now),
            )
            self._reject(pending, late_refusal, "overload", demand, best, now)
        return action

    def _build_demand(
        self,
        pending: PendingRequest,
        views: list[ServerView],
        share_status: ShareStatus,
        now: float,
    ) -> PlacementRequest:
        request = pending.request
        free_slots = sum(view.free_prompt_slots for view in views)
        requests_ahead = self._board.fleet.count_ahead(
            request.service, share_status.satisfaction, now
        )
        return PlacementRequest(
            first_asked_at=pending.queued_at
            - self._patience_table.estimate_elapsed(request),
            received_at=pending.queued_at,
            target_seconds=request.route.target,
            deadline=request.deadline,
            within_share=share_status.is_within_share or pending.is_resume,
            resumes=pending.is_resume,
            satisfaction=share_status.satisfaction,
            yields=0 < free_slots <= requests_ahead,
        )

    def _choose_action(
        self,
        demand: PlacementRequest,
        candidates: list[Candidate],
        is_prompt: bool,
        now: float,
    ) -> tuple[Action, Placement | None]:
        if is_prompt:
            best = choose_engine(candidates)
            return decide_prompt_request(demand, best, now), best
        best = choose_plain_server(candidates)
        return decide_plain_request(demand, best, now), best

    def _assign_server(
        self,
        pending: PendingRequest,
        best: Placement,
        demand: PlacementRequest,
        now: float,
    ) -> None:
        request, fleet = pending.request, self._board.fleet
        model = fleet.find_model(best.server.id)
        reading = model.start_request(best.uncached_tokens, now)
        model.prefix_cache.record_prompt(pending.prefix_chain)
        fleet.note_placed(pending.prefix_chain, best.server.id)
        fleet.touch(best.server.id)
        if request.workspace:
            fleet.add_usage(request.workspace, 0.0, compute_token_cost(request), now)
        waited = now - pending.queued_at
        self._metrics.queue_time.labels(request.service, request.route.kind).observe(
            waited
        )
        self._decision_log.record(
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
        pending.reservation.set_result(
            ServerReservation(
                self._board, best.server, model, reading, best.copy_source
            )
        )

    def _reject(
        self,
        pending: PendingRequest,
        refusal: DeadlineUnreachable | NoBackendServer,
        reason: str,
        demand: PlacementRequest,
        best: Placement | None,
        now: float,
    ) -> None:
        self._decision_log.record(
            "turned_away",
            request=pending.request.head.attempt,
            workspace=pending.request.workspace,
            reason=reason,
            waited=round(now - pending.queued_at, 3),
            expected=round(best.first_token_seconds, 3) if best else None,
            within_share=demand.within_share,
            satisfaction=round(demand.satisfaction, 2),
            yields=demand.yields,
            retry_after=refusal.retry_after,
            snapshot_age=round(now - self._board.routing.read_at, 3),
        )
        pending.reservation.set_exception(refusal)
