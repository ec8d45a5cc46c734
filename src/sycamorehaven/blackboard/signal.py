"""Notification of controllers that a section has changed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Signal:
    """Calls its subscribers, on the event loop, whenever it is raised."""

    def __init__(self) -> None:
        self._subscribers: list[Callable[[], None]] = []
        self._waiters: list[asyncio.Future[None]] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call ``subscriber`` at every later change."""
        self._subscribers.append(subscriber)

    def notify(self) -> None:
        """Tell subscribers and those who wait."""
        for subscriber in self._subscribers:
            subscriber()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float | None = None) -> bool:
        """
        Wait for the next change.

        :param timeout: seconds, or ``None`` for no limit.
        :returns: whether there was a change within the timeout.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return False
        return True
