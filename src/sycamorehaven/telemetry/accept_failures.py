"""
Log lines about connections that could not be accepted.

While the process has no file descriptor left, asyncio reports a failure for
every connection that waits to be accepted, which may be a thousand at a time.
Formatting all of these reports takes the processor time that is needed to
close connections.
"""

from __future__ import annotations

import asyncio
import errno
import time
from typing import TYPE_CHECKING, Any

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_PERIOD_SECONDS = 1.0
"""Least time between two log lines."""
EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a process or host that has no room for another connection."""


class AcceptFailureLog:
    """
    An exception handler of an event loop that summarizes accept failures.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._failures = 0
        self._reported_at: float | None = None

    def install(self) -> None:
        """Install the handler in the running event loop."""
        asyncio.get_running_loop().set_exception_handler(self.handle)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """
        Count an accept failure; pass on any other exception.

        :param context: description of the exception, as asyncio passes it.
        """
        error = context.get("exception")
        if not isinstance(error, OSError) or error.errno not in EXHAUSTED_ERRNOS:
            loop.default_exception_handler(context)
            return
        self._failures += 1
        now = self._clock()
        if (
            self._reported_at is not None
            and now - self._reported_at < REPORT_PERIOD_SECONDS
        ):
            return
        logging.error(
            "accepting a connection failed: %s; %d failures so far",
            error,
            self._failures,
        )
        self._reported_at = now
