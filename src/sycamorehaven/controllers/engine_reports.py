"""What the schedulers of engines have yet to hear from this router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.transport.messages.admissions import (
    BegunRequest,
    EngineProgress,
    HeldRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.routing.model import ServerRecord


class Admission:
    """
    A request of this router at an engine that has a scheduler.

    :param reports: collects what the scheduler must hear.
    :param server: the engine.
    :param number: this router's number of the request.
    :param tokens: prompt tokens that the engine must read.
    """

    def __init__(
        self, reports: EngineReports, server: ServerRecord, number: int, tokens: int
    ) -> None:
        self._reports = reports
        self.server = server
        self.number = number
        self.tokens = tokens
        self.has_begun = False

    def hold(self, *, must_list: bool = False) -> None:
        """
        Count the request among those at the engine until it ends.

        :param must_list: whether the scheduler does not know it.
        """
        self._reports.add_held(self, must_list=must_list)

    def begin(self, seconds: float) -> None:
        """
        Report the first token.

        :param seconds: time from the sending of the request.
        """
        self.has_begun = True
        self._reports.add_begun(self.number, seconds)

    def observe_gap(self, *, is_late: bool) -> None:
        """Report an event of the stream."""
        self._reports.add_event(is_late=is_late)

    def end(self) -> None:
        """Report that the request has ended; further calls have no effect."""
        if self._reports.held.pop(self.number, None) is not None:
            self._reports.add_ended(self.number)


class EngineReports:
    """
    What the scheduler of an engine has yet to hear from this router.

    :param server: the engine.
    :param on_change: called when there is something to report.
    :ivar held: this router's requests at the engine, by number.
    :ivar must_list: whether the next report lists all of them.
    """

    def __init__(
        self, server: ServerRecord, on_change: Callable[[EngineReports], None]
    ) -> None:
        self.server = server
        self.held: dict[int, Admission] = {}
        self.must_list = False
        self._on_change = on_change
        self._begun: list[BegunRequest] = []
        self._ended: list[int] = []
        self._on_time = 0
        self._late = 0

    def add_held(self, admission: Admission, *, must_list: bool = False) -> None:
        """
        Add a request at the engine.

        :param must_list: whether the scheduler does not know it.
        """
        self.held[admission.number] = admission
        self.must_list = self.must_list or must_list
        self._on_change(self)

    def add_begun(self, number: int, seconds: float) -> None:
        """Add a first token that came so many seconds after the sending."""
        self._begun.append(BegunRequest(number, max(seconds, 0.0)))
        self._on_change(self)

    def add_event(self, *, is_late: bool) -> None:
        """Add an event of a stream, to be told with the next report."""
        self._late += is_late
        self._on_time += not is_late

    def add_ended(self, number: int) -> None:
        """Add a request that has ended or is not wanted."""
        self._ended.append(number)
        self._on_change(self)

    def take(self, *, lists_held: bool) -> EngineProgress:
        """
        Return and clear what has happened.

        :param lists_held: whether to list all requests at the engine.
        """
        lists_held = lists_held or self.must_list
        progress = EngineProgress(
            self.server.incarnation_id,
            self._begun,
            self._ended,
            self._on_time,
            self._late,
            [
                HeldRequest(admission.number, admission.tokens, admission.has_begun)
                for admission in self.held.values()
            ]
            if lists_held
            else None,
        )
        self._begun, self._ended, self._on_time, self._late = [], [], 0, 0
        self.must_list = False
        return progress
