"""Admits requests to the engines that this router schedules."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.controllers.cold_servers.admission_pacing import AdmissionPacing
from sycamorehaven.decisions.engine_queue import (
    AdmissionKey,
    EngineQueue,
    QueuedRequest,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.admissions import (
    AdmissionProgress,
    AdmissionReply,
    AdmissionRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.engine_queue import Verdict
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.admissions import EngineProgress
    from sycamorehaven.transport.peer_link import PeerLink

ADVANCE_PERIOD_SECONDS = 0.01
"""Time between two looks at the waiting requests."""
SHARE_LIFETIME_SECONDS = 0.1
"""Time for which the fair share is not computed again. The news that change it
are older, and computing it takes 0.6 ms with 1,400 workspaces."""


class EngineQueueController(Service):
    """
    Keeps the queues of engines and answers the routers that ask.

    A router that takes itself for the scheduler of an engine may be one of two
    for a while. Each then admits as if it were alone, so the engine may get
    more than it has slots for, but not more than it tolerates while cold.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    :param decision_log: records the admissions to cold engines.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
        decision_log: DecisionLog | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._queues: dict[str, EngineQueue] = {}
        self._pacing = AdmissionPacing(board, decision_log, clock)
        self._request_waits = asyncio.Event()
        self._fair_share = math.inf
        self._share_expires_at = 0.0
        link.subscribe(AdmissionRequest, self._handle_request)
        link.subscribe(AdmissionProgress, self._handle_progress)
        board.members.changed.subscribe(self._forget_dead_routers)
        board.routing.changed.subscribe(self._forget_gone_servers)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not any(queue.has_waiting for queue in self._queues.values()):
                self._request_waits.clear()
                await self.wait(self._request_waits.wait())
            self.advance_all()
            await asyncio.sleep(ADVANCE_PERIOD_SECONDS)

    def advance_all(self) -> None:
        """Admit the waiting requests whose turn it is."""
        for incarnation_id, queue in self._queues.items():
            self._advance(incarnation_id, queue)

    def _advance(self, incarnation_id: str, queue: EngineQueue) -> None:
        now = self._clock()
        self._pacing.update(incarnation_id, queue, now)
        decided = queue.advance(self._get_levels, now)
        for key, verdict in decided:
            self._reply(queue, key, verdict, now)
        if queue.is_paced:
            verdicts = [verdict for _, verdict in decided]
            self._pacing.record(incarnation_id, queue, verdicts, now)

    def _handle_request(self, delivery: Delivery) -> None:
        request: AdmissionRequest = delivery.message
        now = self._clock()
        key = AdmissionKey(delivery.sender, request.number)
        queue = self._find_queue(request.server)
        if queue is None:
            refusal = AdmissionReply(request.number, "refused", 0, 0, 0.0, 0, 0.0, 0.0)
            self._link.send(delivery.sender.host, refusal)
            return
        self._pacing.update(request.server, queue, now)
        is_over_share = self._is_over_share(request.workspace, now)
        queued = QueuedRequest(
            key,
            request.workspace,
            request.tokens,
            request.cost,
            request.resumes,
            now,
            now + request.max_wait,
            is_over_share,
        )
        verdict = queue.submit(queued, self._get_levels, now)
        self._board.workload.count_verdict(verdict, is_over_share=is_over_share)
        if verdict != "admitted":
            cause = queue.find_denial_cause(queued, now)
            self._board.workload.count_denial(cause)
        self._pacing.record(request.server, queue, (verdict,), now)
        if verdict == "queued":
            self._request_waits.set()
        self._reply(queue, key, verdict, now)

    def _handle_progress(self, delivery: Delivery) -> None:
        report: AdmissionProgress = delivery.message
        for progress in report.engines:
            queue = self._find_queue(progress.server)
            if queue is not None:
                self._record_progress(queue, delivery.sender, progress)
                self._advance(progress.server, queue)

    def _record_progress(
        self, queue: EngineQueue, sender: RouterId, progress: EngineProgress
    ) -> None:
        now = self._clock()
        for begun in progress.begun:
            queue.record_begin(AdmissionKey(sender, begun.number), begun.seconds, now)
        for number in progress.ended:
            queue.record_end(AdmissionKey(sender, number), now)
        if progress.on_time or progress.late:
            queue.concurrency.observe_gaps(progress.on_time, progress.late, now)
        if progress.held is not None:
            queue.reconcile(sender, progress.held, now)

    def _reply(
        self, queue: EngineQueue, key: AdmissionKey, verdict: Verdict, now: float
    ) -> None:
        state = queue.get_state(now)
        reply = AdmissionReply(
            key.number,
            verdict,
            state.running,
            state.waiting,
            state.backlog_seconds,
            state.waiting_tokens,
            state.prefill_rate,
            state.limit,
        )
        self._link.send(key.router.host, reply)

    def _get_levels(self, workspaces: Collection[str]) -> dict[str, float]:
        """Return what workspaces received, as fractions of what all did."""
        usage, now = self._board.fleet_load.usage_window, self._clock()
        total = usage.get_total_received(now)
        if not total:
            return dict.fromkeys(workspaces, 0.0)
        return {name: usage.get_received(name, now) / total for name in workspaces}

    def _is_over_share(self, workspace: str, now: float) -> bool:
        """Return whether a workspace has received more than its fair share."""
        usage = self._board.fleet_load.usage_window
        if now >= self._share_expires_at:
            self._fair_share = usage.get_fair_share(now)
            self._share_expires_at = now + SHARE_LIFETIME_SECONDS
        return usage.get_received(workspace, now) > self._fair_share

    def _find_queue(self, incarnation_id: str) -> EngineQueue | None:
        """Return the queue of an engine; ``None`` if it is not registered."""
        queue = self._queues.get(incarnation_id)
        if queue is not None:
            return queue
        server = self._find_server(incarnation_id)
        if server is None:
            return None
        window = self._board.fleet_load.usage_window.length
        queue = self._queues[incarnation_id] = EngineQueue(server.slots, window)
        return queue

    def _find_server(self, incarnation_id: str) -> ServerRecord | None:
        for server in self._board.routing.list_servers():
            if server.incarnation_id == incarnation_id:
                return server
        return None

    def _forget_dead_routers(self) -> None:
        live = {
            RouterId(member.host, member.incarnation)
            for member in self._board.members.list()
        }
        for queue in self._queues.values():
            queue.retain_routers(live)

    def _forget_gone_servers(self) -> None:
        registered = {
            server.incarnation_id for server in self._board.routing.list_servers()
        }
        for incarnation_id in self._queues.keys() - registered:
            del self._queues[incarnation_id]
            self._pacing.forget(incarnation_id)
