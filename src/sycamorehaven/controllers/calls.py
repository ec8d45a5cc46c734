"""Takes a call from admission to the end of its answer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

from sycamorehaven.blackboard.queues import QueueKey, Waiting
from sycamorehaven.call import Answer
from sycamorehaven.exceptions.backends import BackendError
from sycamorehaven.exceptions.refusals import (
    AttemptsExhausted,
    DeadlineUnreachable,
    DependencyUnavailable,
    NoBackendServer,
    NotReady,
    QueueFull,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.transport.backends import BackendAnswer, Backends

MOST_ATTEMPTS = 3
"""Attempts of one idempotent call."""
RETRY_AFTER = 1.0
"""Seconds a refused caller is asked to wait if nothing better is known."""


class PermitHolder(Protocol):
    """Takes permits back."""

    def release(self, permit: Permit) -> None:
        """Give a permit back to its scheduler."""
        ...


class CallController:
    """
    Queues a call, waits for its permit, sends it and relays the answer.

    :param board: the state of this router.
    :param permits: takes permits back.
    :param backends: connections to backend servers.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        permits: PermitHolder,
        backends: Backends,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._permits = permits
        self._backends = backends
        self._clock = clock

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call once its headers are known.

        :raises Refusal: if the call is refused or its attempts failed.
        """
        self._admit(call)
        failure: BackendError | None = None
        for _ in range(MOST_ATTEMPTS):
            permit = await self._wait_for_permit(call, first=failure is not None)
            try:
                answer = await self._send(call, permit)
            except BackendError as error:
                failure = error
                self._permits.release(permit)
                if error.sent and not call.rule.idempotent:
                    break
                continue
            except BaseException:
                self._permits.release(permit)
                raise
            return Answer(
                answer.status, answer.headers, self._relay(call, permit, answer)
            )
        raise AttemptsExhausted(
            f"the last attempt failed: {failure}",
            was_run="unknown" if failure and failure.sent else "no",
            retry_after=RETRY_AFTER if call.rule.idempotent else None,
        )

    def _admit(self, call: Call) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=RETRY_AFTER)
        for name in call.service.depends_on:
            if not self._is_served(name, configuration):
                raise DependencyUnavailable(
                    f"{name!r} has no serving backend server", retry_after=RETRY_AFTER
                )
        if not self._is_served(call.service.name, configuration):
            raise NoBackendServer(
                f"{call.service.name!r} has no serving backend server",
                retry_after=RETRY_AFTER,
            )
        count = self._board.queues.count(call.service.name, call.workspace.name)
        if count >= call.workspace.queue_limit:
            raise QueueFull(f"{count} requests wait", retry_after=RETRY_AFTER)

    def _is_served(self, service: str, configuration: Configuration) -> bool:
        now = self._clock()
        return any(
            self._board.servers.takes_work(server.name, now)
            for server in configuration.list_servers(service)
        )

    async def _wait_for_permit(self, call: Call, *, first: bool) -> Permit:
        key = QueueKey(call.service.name, call.workspace.name, call.priority)
        cost = call.cost_hint or call.service.expected_cost
        waiting = Waiting(key, self._clock(), cost)
        self._board.queues.push(waiting, first=first)
        try:
            async with asyncio.timeout(call.deadline - self._clock()):
                return await asyncio.shield(waiting.permit)
        except TimeoutError as error:
            raise DeadlineUnreachable(
                "no permit before the deadline", retry_after=RETRY_AFTER
            ) from error
        finally:
            self._board.queues.remove(waiting)
            self._drop_late_permit(waiting)

    def _drop_late_permit(self, waiting: Waiting) -> None:
        task = asyncio.current_task()
        if not waiting.permit.done():
            waiting.permit.cancel()
        elif task is not None and task.cancelling():
            self._permits.release(waiting.permit.result())

    async def _send(self, call: Call, permit: Permit) -> BackendAnswer:
        configuration = self._board.configuration.current
        now = self._clock()
        server = configuration.servers.get(permit.server) if configuration else None
        if server is None or now > permit.expires_at:
            raise BackendError("the permit is no longer valid", sent=False)
        if not self._board.servers.takes_work(server.name, now):
            raise BackendError("the server takes no new work", sent=False)
        permit.used_runs += 1
        return await self._backends.send(server, call)

    async def _relay(
        self, call: Call, permit: Permit, answer: BackendAnswer
    ) -> AsyncIterator[bytes]:
        started = self._clock()
        try:
            async for chunk in answer.read_chunks():
                if call.service.kind == "model":
                    permit.cost += chunk.count(b"\n\n")
                yield chunk
        finally:
            if call.service.kind != "model":
                permit.cost += self._clock() - started
            answer.close()
            self._permits.release(permit)
