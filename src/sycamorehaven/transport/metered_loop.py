"""
An event loop that measures how much of its time it has work to do.

The processor time of the process does not tell whether a host is short of it:
the host may have a fraction of a core, or share a core with others. The time
in which the loop does not wait tells it on all of them.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from selectors import SelectorKey


class MeteredSelector(selectors.DefaultSelector):
    """
    A selector that adds up the time for which it waits.

    :param clock: returns monotonic time in seconds.
    :ivar waited_seconds: time for which it has waited.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self.waited_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready, and measure the wait for it."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        started_at = self._clock()
        try:
            return super().select(timeout)
        finally:
            self.waited_seconds += self._clock() - started_at


class MeteredEventLoop(asyncio.SelectorEventLoop):
    """
    An event loop that knows for how long it was busy.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._metered_selector = MeteredSelector(clock)
        self._metering_clock = clock
        self._created_at = clock()
        super().__init__(self._metered_selector)

    @property
    def busy_seconds(self) -> float:
        """Time since its creation in which it did not wait."""
        elapsed = self._metering_clock() - self._created_at
        return elapsed - self._metered_selector.waited_seconds


def read_busy_seconds() -> float:
    """
    Return the seconds for which the running event loop was busy.

    A loop that does not measure them counts the processor time of the process
    instead.
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, MeteredEventLoop):
        return loop.busy_seconds
    return time.process_time()
