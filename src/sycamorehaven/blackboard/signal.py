"""Change notifications from a section to the controllers that read it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Signal:
    """A change notification; it calls its subscribers on the event loop."""

    def __init__(self) -> None:
        self._subscribers: list[Callable[[], None]] = []
        self._waiters: list[asyncio.Future[None]] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Register a function that is called on every later notification."""
        self._subscribers.append(subscriber)

    def notify(self) -> None:
        """Call all subscribers, and wake all tasks that wait."""
        for subscriber in self._subscribers:
            subscriber()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float | None = None) -> bool:
        """
        Wait for the next notification.

        :param timeout: longest time to wait, in seconds; ``None`` for no
            limit.
        :returns: whether there was a notification within the timeout.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return False
        return True
