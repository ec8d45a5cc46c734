"""The connections of callers of the project's own interface."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from aiohttp.http import RawRequestMessage

from sycamorehaven.transport.call_reader import (
    BODY_TIMEOUT_SECONDS,
    IDEMPOTENCY_TOKEN_HEADER,
    MAX_HEADERS_BYTES,
)
from sycamorehaven.transport.client_limits.pool import ConnectionLimits
from sycamorehaven.transport.client_limits.protocol import LimitedProtocol
from sycamorehaven.transport.problem_details import PROTOCOL_OPTIONS

if TYPE_CHECKING:
    import asyncio

    from sycamorehaven.exceptions.refusals import Refusal

CALLER_DESCRIPTORS_RATIO = 0.4
"""Fraction of the process's file descriptors that connections of callers may
use; the others are for connections to servers, routers and the platform."""
HEADER_TIMEOUT_SECONDS = 10.0
"""Time limit of a head."""
WRITE_TIMEOUT_SECONDS = 600.0
"""Time for which a caller may take nothing of an answer; as long as a request
may take by default."""


class CallerProtocol(LimitedProtocol):
    """The connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection, for which another may have to make way."""
        super().connection_made(transport)
        self._pool.make_room()

    def _refuse_queued(self, refusal: Refusal) -> None:
        """
        Refuse a call that has yet to begin.

        An earlier call with the same idempotency token may have run.
        """
        for message, _ in self._messages:
            if (
                isinstance(message, RawRequestMessage)
                and IDEMPOTENCY_TOKEN_HEADER in message.headers
            ):
                refusal.mark_outcome_uncertain()
        super()._refuse_queued(refusal)


def create_caller_limits() -> ConnectionLimits:
    """Return the limits of callers."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ConnectionLimits(
        connections=max(int(descriptors * CALLER_DESCRIPTORS_RATIO), 1),
        head_bytes=MAX_HEADERS_BYTES + PROTOCOL_OPTIONS["max_line_size"],
        header_timeout=HEADER_TIMEOUT_SECONDS,
        body_timeout=BODY_TIMEOUT_SECONDS,
        write_timeout=WRITE_TIMEOUT_SECONDS,
    )
