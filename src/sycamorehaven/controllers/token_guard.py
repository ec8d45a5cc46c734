"""The last check before a call that is not idempotent leaves."""

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
    Lets each token be sent at most once, and not after its expiry.

    It stands between the call controller and the connections, so that the
    promise does not rest on how attempts are made.

    :param board: the state of this router.
    :param backends: connections to backend servers.
    :param clock: monotonic seconds.
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
        """Send a call and return the answer once its headers are read."""
        if call.rule.idempotent:
            return await self._backends.send(server, call, resume_from=resume_from)
        table = self._board.tokens.table
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
