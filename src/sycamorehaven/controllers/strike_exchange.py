"""
Exchanges strikes against requests of published routes between routers.

Each router tells all others of the runs that it lost with their servers, and
of suspects on which servers have answered since. It passes some of what it
knows on to random members, so that routers that join, or were cut off, learn
the rest. Nothing is written anywhere.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Protocol

from mode import Service

from sycamorehaven.controllers.suspect_trials import SuspectTrials
from sycamorehaven.decisions.rendezvous import choose_candidate
from sycamorehaven.decisions.strikes import LostRun, StrikeTable, SuspectKeys
from sycamorehaven.transport.messages.suspects import (
    Exoneration,
    LostRunReport,
    LostRuns,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.crash_blame import Culprit
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

GOSSIP_PERIOD_SECONDS = 1.0
"""Interval at which some of the lost runs are passed on."""
GOSSIP_MEMBERS = 2
"""Number of members that they are passed on to."""
GOSSIP_RUNS = 16
"""Number of runs that are passed on at a time."""
MAX_RUNS_PER_MESSAGE = 32
"""Number of runs in one message."""
SURVIVAL_SECONDS = 0.25
"""Time after the loss of a server from which an event of an older run shows
that it lives; what had arrived before the loss is passed on by then."""


class InterruptibleRun(Protocol):
    """A run whose answer has not begun."""

    @property
    def suspect_keys(self) -> SuspectKeys:
        """What of its request may crash a server."""
        ...

    def interrupt(self, culprit: Culprit) -> None:
        """End the run, because a part of it is blamed for lost servers."""
        ...


class StrikeExchange(Service):
    """
    Keeps the strikes of the fleet and decides which requests are blocked.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param decision_log: records what is blamed.
    :param metrics: records how much is blamed.
    :param clock: returns monotonic time in seconds.
    :param generator: chooses what is passed on, and to whom.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        generator: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._random = generator or random.Random()
        self._table = StrikeTable(self._random)
        self._known_culprits: tuple[Culprit, ...] = ()
        self._known_members = self._map_members()
        self._waiting_runs: set[InterruptibleRun] = set()
        self._trials = SuspectTrials(board, link, clock, self._is_suspect_blocked)
        link.subscribe(LostRuns, self._handle_lost_runs)
        link.subscribe(Exoneration, self._handle_exoneration)
        board.members.changed.subscribe(self._handle_members_change)

    def find_culprits(self, keys: SuspectKeys) -> list[Culprit]:
        """Return what of a request is blamed for lost servers."""
        return self._table.find_culprits(keys)

    def is_blocked(self, keys: SuspectKeys) -> bool:
        """Return whether a request must not be sent to any server now."""
        now = self._clock()
        return any(now < culprit.blocked_until for culprit in self.find_culprits(keys))

    def add_waiting(self, run: InterruptibleRun) -> None:
        """Interrupt a run if something of it is blamed from now on."""
        self._waiting_runs.add(run)

    def remove_waiting(self, run: InterruptibleRun) -> None:
        """Don't interrupt a run any more."""
        self._waiting_runs.discard(run)

    def report_loss(
        self, keys: SuspectKeys, incarnation_id: str, *, has_begun: bool = False
    ) -> None:
        """
        Record that a server was lost while it ran a request.

        :param keys: what the request consists of.
        :param incarnation_id: identifies the server together with its start,
            so that each crash counts once.
        :param has_begun: whether the server had begun its answer, which shows
            that the parts of the prompt are sound.
        """
        now = self._clock()
        run = LostRun(
            incarnation_id, now, keys._replace(parts=()) if has_begun else keys
        )
        if not self._table.add_run(run, now):
            return
        parts = self._table.list_suspected(run.keys.parts)
        run = run._replace(keys=run.keys._replace(parts=parts))
        self._link.broadcast(_build_message([run], now))
        self._handle_change()

    def report_begin(self, keys: SuspectKeys) -> None:
        """Record that a server has begun to answer a request."""
        self._record_sound(keys.parts)

    def report_success(self, keys: SuspectKeys) -> None:
        """Clear the strikes of a served request on all routers."""
        if self._table.has_strikes(keys.request):
            self._record_sound([keys.request])

    def report_progress(self, incarnation_id: str, sent_at: float) -> None:
        """
        Record that a run goes on.

        A server whose older runs go on after one was lost has not crashed.

        :param incarnation_id: identifies the server together with its start.
        :param sent_at: when the request was sent, in monotonic seconds.
        """
        lost_at = self._table.find_lost_at(incarnation_id)
        if lost_at is None or sent_at >= lost_at:
            return
        now = self._clock()
        if now - lost_at >= SURVIVAL_SECONDS and self._table.record_survivor(
            incarnation_id, now
        ):
            self._link.broadcast(Exoneration([], [incarnation_id], is_reply=False))
            self._handle_change()

    async def try_acquire_trial(self, culprit: Culprit) -> bool:
        """Return whether one request may be tried although it is blamed."""
        return await self._trials.try_acquire(min(culprit.keys))

    def _is_suspect_blocked(self, suspect: int) -> bool:
        now = self._clock()
        return any(
            suspect in culprit.keys and now < culprit.blocked_until
            for culprit in self._table.culprits
        )

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(GOSSIP_PERIOD_SECONDS)
            self.pass_on()

    def pass_on(self) -> None:
        """Pass some of the lost runs on to random members."""
        runs = self._table.choose_runs(GOSSIP_RUNS)
        others = [host for host in self._known_members if not self._is_own(host)]
        if not runs or not others:
            return
        message = _build_message(runs, self._clock())
        for host in self._random.sample(others, min(GOSSIP_MEMBERS, len(others))):
            self._link.send(host, message)

    def _record_sound(self, suspects: Iterable[int]) -> None:
        cleared = self._table.record_sound(suspects, self._clock())
        if cleared:
            self._link.broadcast(Exoneration(cleared, [], is_reply=False))
            self._handle_change()

    def _handle_change(self) -> None:
        """Interrupt runs of what is blamed now, and record the change."""
        previous, culprits = self._known_culprits, self._table.culprits
        if culprits == previous:
            return
        self._known_culprits = culprits
        self._metrics.culprits.set(len(culprits))
        for culprit in culprits:
            if culprit not in previous:
                self._record_blame(culprit)
        names = {culprit.name for culprit in culprits}
        for culprit in previous:
            if culprit.name not in names:
                self._decision_log.record("suspect_cleared", suspect=culprit.name)
        for run in list(self._waiting_runs):
            for culprit in self._table.find_culprits(run.suspect_keys):
                run.interrupt(culprit)

    def _record_blame(self, culprit: Culprit) -> None:
        now = self._clock()
        self._decision_log.record(
            "suspect_blocked",
            suspect=culprit.name,
            kind="request" if culprit.is_request else "part",
            crashes=len(culprit.losses),
            servers={
                server: round(now - lost_at, 3)
                for server, lost_at in culprit.losses.items()
            },
            blocked_for=round(culprit.blocked_until - now, 3),
        )

    def _is_own(self, host: str) -> bool:
        return host == self._board.identity.host

    def _map_members(self) -> dict[str, int]:
        """Return the incarnation of each member by host."""
        return {
            member.host: member.incarnation for member in self._board.members.list()
        }

    def _handle_members_change(self) -> None:
        """Tell members that have joined; each run is told by one router."""
        previous, self._known_members = self._known_members, self._map_members()
        joined = [
            host
            for host, incarnation in self._known_members.items()
            if previous.get(host) != incarnation and not self._is_own(host)
        ]
        if not joined:
            return
        runs, now = self._table.list_runs(), self._clock()
        tellers = [host for host in self._known_members if host not in joined]
        own_runs = [
            run
            for run in runs
            if self._is_own(str(choose_candidate(run.server, tellers)))
        ]
        for first in range(0, len(own_runs), MAX_RUNS_PER_MESSAGE):
            part = own_runs[first : first + MAX_RUNS_PER_MESSAGE]
            for host in joined:
                self._link.send(host, _build_message(part, now))

    def _handle_lost_runs(self, delivery: Delivery) -> None:
        message: LostRuns = delivery.message
        now = self._clock()
        sound: list[int] = []
        for report in message.runs:
            sound += self._table.list_sound(report.parts, now)
            keys = SuspectKeys(report.request, tuple(report.parts))
            self._table.add_run(LostRun(report.server, now - report.age, keys), now)
        if sound:
            reply = Exoneration(sound, [], is_reply=True)
            self._link.send_to(delivery.address, reply)
        self._handle_change()

    def _handle_exoneration(self, delivery: Delivery) -> None:
        message: Exoneration = delivery.message
        now = self._clock()
        cleared = self._table.record_sound(message.suspects, now)
        for server in message.servers:
            self._table.record_survivor(server, now)
        if cleared and message.is_reply:
            self._link.broadcast(Exoneration(cleared, [], is_reply=False))
        self._handle_change()


def _build_message(runs: Iterable[LostRun], now: float) -> LostRuns:
    return LostRuns(
        [
            LostRunReport(
                run.server,
                max(now - run.lost_at, 0.0),
                run.keys.request,
                list(run.keys.parts),
            )
            for run in runs
        ]
    )
