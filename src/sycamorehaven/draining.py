"""Graceful shutdown of a router, which lets requests in progress finish."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.lifecycle import LifecycleSection

EXIT_REQUESTS_CUT_OFF = 1
"""Exit status if a forced or timed-out shutdown cut off requests."""
LEAVE_NOTICE_SECONDS = 1.5
"""Minimum time between the announcement that this router leaves and its
end."""
IDLE_POLL_SECONDS = 1.0
"""Interval at which the number of requests in progress is checked."""


class DrainableRouter(Protocol):
    """A router that can hand over its state before it stops."""

    async def hand_over(self) -> bool:
        """
        Hand over used idempotency tokens to other routers.

        :return: whether all tokens were accepted.
        """
        ...


class Drain:
    """
    A graceful shutdown.

    From its start, the router is not ready, tells its peers that it leaves
    and refuses new calls. The shutdown is complete when no request is in
    progress and the used idempotency tokens are handed over. It is broken off
    when it is forced or times out.

    :param lifecycle: blackboard section with the phase of the process.
    :param router: the router to drain.
    :param timeout: maximum duration of the shutdown in seconds.
    :param clock: returns monotonic time in seconds.
    :param notice: minimum time between the announcement that the router
        leaves and its end, in seconds.
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

        :param forced: set to stop at once.
        :return: whether every request was completed.
        """
        self._lifecycle.begin_draining(self._clock() + self._timeout)
        completion = asyncio.create_task(self._drain_completely())
        force_wait = asyncio.create_task(forced.wait())
        await asyncio.wait(
            {completion, force_wait},
            timeout=self._timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        force_wait.cancel()
        if completion.done():
            await completion
            return True
        completion.cancel()
        logging.error("%d requests were cut off", self._lifecycle.requests_in_progress)
        return not self._lifecycle.requests_in_progress

    async def _drain_completely(self) -> None:
        earliest_end = self._clock() + self._notice
        await self._wait_until_idle()
        while (seconds_left := earliest_end - self._clock()) > 0.0:
            await asyncio.sleep(seconds_left)
            await self._wait_until_idle()
        await self._router.hand_over()
        await self._wait_until_idle()

    async def _wait_until_idle(self) -> None:
        while self._lifecycle.requests_in_progress:
            await self._lifecycle.changed.wait(IDLE_POLL_SECONDS)
