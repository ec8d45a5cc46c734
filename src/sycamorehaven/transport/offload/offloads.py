"""The requests that other routers answer for this one."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.offload.peers import (
    MAX_LAG_SECONDS,
    OffloadPeer,
    choose_max_offloads,
    choose_peer,
)
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.transport.offload.offloaded_request import OffloadedRequest

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.rotation import RotationControl
    from sycamorehaven.telemetry.decision_log import DecisionLog


class Offload(NamedTuple):
    """
    A request that another router is to answer.

    :ivar peer: the other router.
    :ivar timeout: seconds until it has to be answered.
    :ivar refusal: the response if the other router can't be reached.
    """

    peer: OffloadPeer
    timeout: float
    refusal: Refusal


class Offloads:
    """
    Passes requests on and keeps track of them.

    :param board: shared state of this router.
    :param rotation: knows which routers of the failure domain have time.
    :param decision_log: records requests that are not answered.
    :param descriptors: number of file descriptors of the process.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        rotation: RotationControl,
        decision_log: DecisionLog,
        descriptors: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._rotation = rotation
        self._decision_log = decision_log
        self._max_requests = choose_max_offloads(descriptors, rotation.cores)
        self._clock = clock
        self._random = random.Random(board.identity.incarnation)
        self._requests: set[OffloadedRequest] = set()
        board.members.changed.subscribe(self._abandon_lost)

    def find_peer(self) -> OffloadPeer | None:
        """Return a router that may answer a request, if there is one."""
        if self._board.event_loop.lag >= MAX_LAG_SECONDS:
            return None
        if len(self._requests) >= self._max_requests:
            return None
        reports = self._rotation.get_reports(self._clock())
        peer = choose_peer(reports, self._random.random())
        return peer if peer is not None and self._is_alive(peer.host) else None

    def begin(
        self, offload: Offload, data: bytes, transport: asyncio.Transport
    ) -> None:
        """
        Pass a request on.

        :param data: what has been received of it.
        :param transport: the connection of its client.
        """
        request = OffloadedRequest(
            transport,
            offload.peer,
            offload.timeout,
            offload.refusal,
            self._handle_failure,
            self._end,
        )
        self._requests.add(request)
        self._board.lifecycle.begin_offload()
        request.begin(data)

    def abandon_all(self) -> None:
        """End all requests, since this router stops."""
        for request in list(self._requests):
            request.abandon()

    def _handle_failure(self, request: OffloadedRequest, refusal: Refusal) -> None:
        """Record a request that is not answered, and avoid that router."""
        self._rotation.forget_report(request.host)
        self._decision_log.record(
            "offload_failed", peer=request.host, code=refusal.code
        )

    def _end(self, request: OffloadedRequest) -> None:
        self._requests.discard(request)
        self._board.lifecycle.end_offload()

    def _abandon_lost(self) -> None:
        """End the requests at routers that are gone."""
        for request in list(self._requests):
            if self._board.members.find(request.host) is None:
                request.abandon()

    def _is_alive(self, host: str) -> bool:
        member = self._board.members.find(host)
        return member is not None and member.state == "alive"
