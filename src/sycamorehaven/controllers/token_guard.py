"""Ensures that a call that is not idempotent is sent at most once."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import BackendError
from sycamorehaven.exceptions.refusals import TokenExpired

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.backend_client import BackendClient
    from sycamorehaven.transport.responses import BackendResponse


class TokenGuard:
    """
    Lets each idempotency token be sent once, and only before it expires.

    The guard wraps the connections to the servers, so that the guarantee does
    not depend on how the call controller makes its attempts.

    :param board: shared state of this router.
    :param backends: connections to backend servers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        backends: BackendClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._backends = backends
        self._clock = clock

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> BackendResponse:
        """
        Send a call and return the answer as soon as its headers are read.

        :raises TokenExpired: if the token has expired or has already been
            sent.
        :raises BackendError: if the attempt failed. The token may be sent
            again if the error says that the server got nothing.
        """
        if call.rule.idempotent:
            return await self._backends.send(server, call, resume_from=resume_from)
        table = self._board.tokens.token_table
        if not table.mark_sent(call.token, self._clock()):
            raise TokenExpired(
                "the token expired before the call was sent",
                was_run="unknown" if table.is_sent(call.token) else "no",
            )
        try:
            return await self._backends.send(server, call, resume_from=resume_from)
        except BackendError as error:
            if not error.was_sent:
                table.mark_unsent(call.token)
            raise
