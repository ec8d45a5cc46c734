"""
Asks the schedulers of engines for the admission of this router's requests.

A scheduler that does not answer is passed over for a while: this router then
places requests at its engines by the news, as if nobody scheduled them, and
tells it later what it has there.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from sycamorehaven.controllers.engine_reports import Admission, EngineReports
from sycamorehaven.decisions.engine_queue import EngineState
from sycamorehaven.decisions.news_routes import (
    choose_news_period_seconds,
    uses_collectors,
)
from sycamorehaven.decisions.roles import choose_engine_scheduler
from sycamorehaven.transport.messages.admissions import (
    AdmissionProgress,
    AdmissionReply,
    AdmissionRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_model import ServerModel
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.admissions import EngineProgress
    from sycamorehaven.transport.peer_link import PeerLink

REPORT_PERIOD_SECONDS = 0.02
"""Time between two reports of progress."""
HELD_PERIOD_SECONDS = 2.0
"""Time between two lists of all requests at the engines, which make up for
lost messages."""
REPLY_TIMEOUT_SECONDS = 0.1
"""Time without a reply after which a scheduler counts as silent."""
SILENCE_SECONDS = 1.0
"""Time for which a silent scheduler is not asked."""


class AdmissionAnswer(NamedTuple):
    """
    The end of an application for admission.

    :ivar verdict: "admitted", "refused", or "silent" if the scheduler did not
        answer.
    :ivar admission: the admission of a request that may be sent.
    :ivar state: state of the engine; ``None`` if it is not known.
    """

    verdict: str
    admission: Admission | None
    state: EngineState | None


class Application:
    """
    A request for which this router has asked a scheduler.

    :ivar admission: the admission, once it is given.
    :ivar scheduler: host of the scheduler.
    :ivar answers_by: when the scheduler must have answered, in monotonic
        seconds.
    :ivar is_counted: whether this router counts the request as load of the
        engine, since its scheduler may not count it yet.
    """

    def __init__(
        self,
        admission: Admission,
        scheduler: str,
        max_wait: float,
        on_answer: Callable[[AdmissionAnswer], None],
        now: float,
    ) -> None:
        self.admission = admission
        self.scheduler = scheduler
        self.answers_by = now + REPLY_TIMEOUT_SECONDS
        self.is_counted = True
        self._max_wait = max_wait
        self._on_answer = on_answer

    def extend(self, now: float) -> None:
        """Wait longer for the answer, since the request is queued."""
        self.answers_by = now + self._max_wait + REPLY_TIMEOUT_SECONDS

    def conclude(self, answer: AdmissionAnswer) -> None:
        """Pass the answer on."""
        self._on_answer(answer)


class AdmissionController(Service):
    """
    Applies for admission to engines and reports the progress of requests.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param decision_log: records schedulers that fall silent.
    :param metrics: counts the answers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._numbers = itertools.count(1)
        self._applications: dict[int, Application] = {}
        self._reports: dict[str, EngineReports] = {}
        self._schedulers: dict[str, str | None] = {}
        self._silent_until: dict[str, float] = {}
        self._changed: dict[str, EngineReports] = {}
        self._has_work = asyncio.Event()
        self._listed_at = 0.0
        link.subscribe(AdmissionReply, self._handle_reply)
        board.members.changed.subscribe(self._forget_schedulers)
        board.routing.changed.subscribe(self._forget_gone_servers)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not self._is_busy():
                self._has_work.clear()
                await self.wait(self._has_work.wait())
                continue
            self.report_progress()
            self.end_overdue_applications()
            await asyncio.sleep(REPORT_PERIOD_SECONDS)

    def _is_busy(self) -> bool:
        return bool(
            self._changed
            or self._applications
            or any(reports.held for reports in self._reports.values())
        )

    def find_scheduler(self, server: ServerRecord, now: float) -> str | None:
        """
        Return the host to ask for admission to an engine.

        :returns: ``None`` if the news are young enough to decide alone, or the
            scheduler is silent.
        """
        scheduler = self._get_scheduler(server)
        if self._silent_until and now < self._silent_until.get(scheduler or "", 0.0):
            return None
        return scheduler

    def apply(
        self,
        request: AdmissionRequest,
        server: ServerRecord,
        on_answer: Callable[[AdmissionAnswer], None],
    ) -> int:
        """
        Ask the scheduler of an engine.

        :param request: what is asked; its number and engine are filled in.
        :param on_answer: called once with the answer.
        :returns: number of the application, 0 if there is nobody to ask.
        """
        now = self._clock()
        scheduler = self.find_scheduler(server, now)
        if scheduler is None:
            return 0
        number = next(self._numbers)
        admission = self._create_admission(server, number, request.tokens)
        self._applications[number] = Application(
            admission, scheduler, request.max_wait, on_answer, now
        )
        self._find_model(server).add_application(request.tokens)
        message = request._replace(number=number, server=server.incarnation_id)
        self._link.send(scheduler, message)
        self._has_work.set()
        return number

    def withdraw(self, number: int) -> None:
        """End an application whose request is no longer wanted."""
        application = self._applications.pop(number, None)
        if application is not None:
            self._stop_counting(application)
            self._end_unused(application.admission)

    def take_alone(self, server: ServerRecord, tokens: int) -> Admission | None:
        """
        Return the admission of a request that no scheduler was asked for.

        Its scheduler learns of it with the next report.

        :returns: ``None`` in a fleet without schedulers.
        """
        if self._get_scheduler(server) is None:
            return None
        admission = self._create_admission(server, next(self._numbers), tokens)
        admission.hold(must_list=True)
        return admission

    def report_progress(self) -> None:
        """Tell schedulers what became of this router's requests."""
        now = self._clock()
        lists_held = now - self._listed_at >= HELD_PERIOD_SECONDS
        told = list(self._changed.values())
        if lists_held:
            self._listed_at = now
            told = [
                reports
                for name, reports in self._reports.items()
                if reports.held or name in self._changed
            ]
        self._changed = {}
        by_scheduler: dict[str, list[EngineProgress]] = {}
        for reports in told:
            scheduler = self._get_scheduler(reports.server)
            if scheduler is not None:
                progress = reports.take(lists_held=lists_held)
                by_scheduler.setdefault(scheduler, []).append(progress)
        for scheduler, progresses in by_scheduler.items():
            self._link.send(scheduler, AdmissionProgress(progresses))

    def end_overdue_applications(self) -> None:
        """Give up the applications whose scheduler has not answered."""
        now = self._clock()
        overdue = [
            number
            for number, application in self._applications.items()
            if now >= application.answers_by
        ]
        for number in overdue:
            application = self._applications.pop(number)
            self._stop_counting(application)
            self._record_silence(application.scheduler, now)
            self._end_unused(application.admission)
            self._conclude(application, AdmissionAnswer("silent", None, None))

    def _forget_schedulers(self) -> None:
        """Find the schedulers anew, and tell them all that is held."""
        self._schedulers.clear()
        self._listed_at = 0.0

    def _forget_gone_servers(self) -> None:
        self._schedulers.clear()
        registered = {
            server.incarnation_id for server in self._board.routing.list_servers()
        }
        self._reports = {
            name: reports
            for name, reports in self._reports.items()
            if reports.held or name in registered
        }

    def _record_change(self, reports: EngineReports) -> None:
        self._changed[reports.server.incarnation_id] = reports
        self._has_work.set()

    def _record_silence(self, scheduler: str, now: float) -> None:
        if now >= self._silent_until.get(scheduler, 0.0):
            self._decision_log.record("scheduler_silent", scheduler=scheduler)
        self._silent_until[scheduler] = now + SILENCE_SECONDS

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: AdmissionReply = delivery.message
        self._silent_until.pop(delivery.sender.host, None)
        application = self._applications.get(reply.number)
        if application is None or application.scheduler != delivery.sender.host:
            return
        now = self._clock()
        admission = application.admission
        self._stop_counting(application)
        is_admitted = reply.verdict == "admitted"
        state = EngineState(
            reply.running,
            reply.waiting,
            reply.backlog,
            reply.waiting_tokens,
            reply.rate,
            reply.limit,
        )
        if is_admitted:
            state = state.exclude(admission.tokens)
        if reply.limit:
            self._correct_load(admission.server, state, now)
        if reply.verdict == "queued":
            application.extend(now)
            return
        del self._applications[reply.number]
        if is_admitted:
            admission.hold()
            answer = AdmissionAnswer("admitted", admission, state)
        else:
            answer = AdmissionAnswer("refused", None, state)
        self._conclude(application, answer)

    def _conclude(self, application: Application, answer: AdmissionAnswer) -> None:
        self._metrics.admissions.labels(answer.verdict).inc()
        application.conclude(answer)

    def _correct_load(
        self, server: ServerRecord, state: EngineState, now: float
    ) -> None:
        period = choose_news_period_seconds(self._board.members.count())
        self._find_model(server).correct_load(state, period, now)

    def _stop_counting(self, application: Application) -> None:
        if application.is_counted:
            application.is_counted = False
            admission = application.admission
            model = self._find_model(admission.server)
            model.remove_application(admission.tokens)

    def _find_model(self, server: ServerRecord) -> ServerModel:
        return self._board.fleet_load.find_model(server.id)

    def _end_unused(self, admission: Admission) -> None:
        """Tell the scheduler that a request is not wanted any longer."""
        self._get_reports(admission.server).add_ended(admission.number)

    def _create_admission(
        self, server: ServerRecord, number: int, tokens: int
    ) -> Admission:
        return Admission(self._get_reports(server), server, number, tokens)

    def _get_reports(self, server: ServerRecord) -> EngineReports:
        reports = self._reports.get(server.incarnation_id)
        if reports is None:
            reports = EngineReports(server, self._record_change)
            self._reports[server.incarnation_id] = reports
        return reports

    def _get_scheduler(self, server: ServerRecord) -> str | None:
        """Return the scheduler of an engine; ``None`` in a small fleet."""
        try:
            return self._schedulers[server.id]
        except KeyError:
            scheduler = None
            if uses_collectors(self._board.members.count()):
                domains = self._board.members.map_failure_domains()
                scheduler = choose_engine_scheduler(
                    server.id, server.failure_domain, domains
                )
            self._schedulers[server.id] = scheduler
            return scheduler
