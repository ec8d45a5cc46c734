"""Places of requests at backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import (
    ConnectFailed,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_model import Prefill, ServerModel
    from sycamorehaven.exceptions.backends import BackendError
    from sycamorehaven.routing.model import ServerRecord

CONNECTION_FAILURES = (ConnectFailed, ServerLeaving, ServerLost, ServerSilent)
"""Failures after which a server is left out for a while."""
OVERLOAD_PAUSE_SECONDS = 0.15
"""Seconds without requests for a server that said it is full."""


class ServerReservation:
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
        reading: Prefill,
        copy_source: str = "",
    ) -> None:
        self._board = board
        self._server = server
        self._copy_source = copy_source
        self._model = model
        self._reading: Prefill | None = reading
        self._is_released = False

    @property
    def server(self) -> ServerRecord:
        """The server."""
        return self._server

    @property
    def copy_source(self) -> str:
        """Address of the server from which it copies a part, or ""."""
        return self._copy_source

    @property
    def model(self) -> ServerModel:
        """What is believed of the server."""
        return self._model

    def record_first_token(self, now: float) -> None:
        """Note that the prompt was read."""
        if self._reading is None:
            return
        self._model.record_first_token(self._reading, now)
        self._reading = None
        self._publish_load()

    def record_failure(self, error: BackendError, now: float) -> None:
        """Note that the server failed the request."""
        health = self._model.health
        if isinstance(error, ServerOverloaded):
            health.record_overload(now, OVERLOAD_PAUSE_SECONDS)
        elif isinstance(error, CONNECTION_FAILURES):
            health.record_connection_failure(now)
        else:
            health.record_answer(failed=True)

    def record_event_gap(self, gap: float, longest: float, now: float) -> None:
        """Note the time between two events of a stream."""
        self._model.concurrency.observe_gap(gap, longest, now)

    def release(self) -> None:
        """Give the place back; again changes nothing."""
        if self._is_released:
            return
        self._is_released = True
        if self._reading is not None:
            self._model.abandon_prefill(self._reading)
            self._reading = None
        self._model.finish_request()
        self._publish_load()

    def _publish_load(self) -> None:
        self._board.fleet.touch(self._server.id)
        self._board.fleet.changed.notify()
