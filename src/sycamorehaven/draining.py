"""Graceful shutdown: ends a router without cutting off any request."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.lifecycle import LifecycleSection

LEAVE_NOTICE_SECONDS = 1.5
"""Seconds between the word that this router leaves and its end, at least."""
IDLE_POLL_SECONDS = 1.0
"""Seconds between looks at the requests in progress."""


class DrainableRouter(Protocol):
    """Takes over what a router leaves behind."""

    async def hand_over(self) -> bool:
        """Hand used tokens over; return whether all were taken."""
        ...


class Drain:
    """
    A graceful shutdown.

    From its begin the router is not ready, tells its peers that it leaves and
    refuses new calls. It ends once nothing is in progress and used tokens are
    handed over, or when it is forced or its time is up.

    :param lifecycle: the phase of the process.
    :param router: hands over what it knows.
    :param timeout: seconds for all of it.
    :param clock: monotonic seconds.
    :param notice: seconds between the word that the router leaves and its
        end, at least.
    """

    def __init__(
        self,
        lifecycle: LifecycleSection,
        router: DrainableRouter,
        timeout: float,
        clock: Callable[[], float] = time.monotonic,
        notice: float = LEAVE_NOTICE_SECONDS,
    ) -> None:
        self._lifecycle = lifecycle
        self._router = router
        self._timeout = timeout
        self._clock = clock
        self._notice = notice

    async def run(self, forced: asyncio.Event) -> bool:
        """
        Drain the router.

        :param forced: set to end it at once.
        :returns: whether every request ended by itself.
        """
        self._lifecycle.begin_draining()
        work = asyncio.create_task(self._drain_completely())
        force = asyncio.create_task(forced.wait())
        await asyncio.wait(
            {work, force},
            timeout=self._timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        force.cancel()
        if work.done():
            await work
            return True
        work.cancel()
        logging.error("%d requests cut off", self._lifecycle.requests_in_progress)
        return not self._lifecycle.requests_in_progress

    async def _drain_completely(self) -> None:
        ends = self._clock() + self._notice
        await self._wait_until_idle()
        while (left := ends - self._clock()) > 0.0:
            await asyncio.sleep(left)
            await self._wait_until_idle()
        await self._router.hand_over()
        await self._wait_until_idle()

    async def _wait_until_idle(self) -> None:
        while self._lifecycle.requests_in_progress:
            await self._lifecycle.changed.wait(IDLE_POLL_SECONDS)
