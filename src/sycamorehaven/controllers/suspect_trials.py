"""Lets one request be tried once the block of a suspect has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.decisions.rendezvous import choose_candidate
from sycamorehaven.transport.messages.suspects import TrialReply, TrialRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

TRIAL_SECONDS = 10.0
"""Time after which another request is tried if a trial has no outcome."""
REPLY_TIMEOUT_SECONDS = 0.2
"""Timeout for the reply of the router that decides on a trial."""
DENIED_SECONDS = 1.0
"""Time for which a router does not ask again after a denied trial."""


class SuspectTrials:
    """
    Asks for trials, and grants those that other routers ask for.

    The router that rendezvous hashing names for a suspect decides for all
    routers that it reaches, so that they try one request.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    :param is_blocked: returns whether this router knows a suspect as blocked.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float],
        is_blocked: Callable[[int], bool],
    ) -> None:
        self._board = board
        self._link = link
        self._clock = clock
        self._is_blocked = is_blocked
        self._granted_until: dict[int, float] = {}
        self._denied_until: dict[int, float] = {}
        self._replies: dict[int, asyncio.Future[bool]] = {}
        link.subscribe(TrialRequest, self._handle_request)
        link.subscribe(TrialReply, self._handle_reply)

    async def try_acquire(self, suspect: int) -> bool:
        """Return whether this router may try one request with a suspect."""
        now = self._clock()
        self._denied_until = _drop_ended(self._denied_until, now)
        if suspect in self._replies or suspect in self._denied_until:
            return False
        owner = choose_candidate(
            f"trial/{suspect}", self._board.members.map_failure_domains()
        )
        if owner in (None, self._board.identity.host):
            is_allowed = self._grant(suspect)
        else:
            is_allowed = await self._ask(str(owner), suspect)
        if not is_allowed:
            self._denied_until[suspect] = self._clock() + DENIED_SECONDS
        return is_allowed

    async def _ask(self, owner: str, suspect: int) -> bool:
        reply = asyncio.get_running_loop().create_future()
        self._replies[suspect] = reply
        try:
            self._link.send(owner, TrialRequest(suspect))
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                return bool(await reply)
        except TimeoutError:
            return False
        finally:
            del self._replies[suspect]

    def _grant(self, suspect: int) -> bool:
        now = self._clock()
        self._granted_until = _drop_ended(self._granted_until, now)
        if suspect in self._granted_until or self._is_blocked(suspect):
            return False
        self._granted_until[suspect] = now + TRIAL_SECONDS
        return True

    def _handle_request(self, delivery: Delivery) -> None:
        request: TrialRequest = delivery.message
        reply = TrialReply(request.suspect, self._grant(request.suspect))
        self._link.send_to(delivery.address, reply)

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: TrialReply = delivery.message
        waiter = self._replies.get(reply.suspect)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply.allowed)


def _drop_ended(ends: dict[int, float], now: float) -> dict[int, float]:
    return {suspect: end for suspect, end in ends.items() if end > now}
