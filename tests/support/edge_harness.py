"""
A router's edge in the test process, with immediately granted permits.

The edge is the part of a router that accepts calls from callers and relays
them to backend servers.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from sycamorehaven.blackboard.permits import Permit, PermitKey
from sycamorehaven.call import Call
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.calls import CallController
from sycamorehaven.controllers.quarantine import QuarantineController
from sycamorehaven.decisions.quarantine import LEASE_SECONDS
from sycamorehaven.identity import RouterId
from sycamorehaven.settings import RouterSettings
from sycamorehaven.standins.serving import start_application
from sycamorehaven.transport.backend_client import HttpBackendClient, ProgressTimeouts
from sycamorehaven.transport.caller_listener import CallerListener
from tests.support.configuration_texts import (
    ServerPlan,
    build_configuration_text,
    build_workspace_key,
)
from tests.support.doubles import MemoryLink, MemoryNetwork, create_board
from tests.support.fixtures import async_fixture
from tests.support.fleet import allocate_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from aiohttp import web

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.caller_listener import CallHandler

SHORT_TIMEOUTS = ProgressTimeouts(connect=0.5, first_byte=0.5, chunk=0.5)


class ImmediatePermitGranter:
    """
    Grants every waiting request a permit for the next server at once.

    :ivar paused: whether no permits are granted for now.
    :ivar released: permits that were given back.
    :ivar granted: all permits that were granted.
    """

    def __init__(self, board: Blackboard, servers: list[str]) -> None:
        self._board = board
        self._server_names = servers
        self._servers: Iterator[str] = itertools.cycle(servers)
        self._numbers = itertools.count(1)
        self.paused = False
        self.released: list[Permit] = []
        self.granted: list[Permit] = []
        board.queues.changed.subscribe(self.grant)

    def set_server_order(
        self, server_indexes: list[int], max_grants: int | None = None
    ) -> None:
        """
        Set the order in which servers are granted.

        :param server_indexes: indexes of the servers, repeated endlessly.
        :param max_grants: the number of permits to grant; no limit if
            ``None``.
        """
        names = itertools.cycle(
            [self._server_names[number] for number in server_indexes]
        )
        self._servers = itertools.islice(names, max_grants)

    def grant(self) -> None:
        """Grant a permit to each waiting request."""
        if self.paused:
            return
        for key, queue in self._board.queues.list():
            if queue[0].permit.done() or not (server := next(self._servers, "")):
                continue
            waiting = self._board.queues.pop(key)
            assert waiting is not None
            number = PermitKey(RouterId("a1", 1), next(self._numbers))
            permit = Permit(
                number, key.service, server, key.workspace, key.priority, 1e12, 1
            )
            self.granted.append(permit)
            waiting.permit.set_result(permit)

    def release(self, permit: Permit) -> None:
        """Take a permit back."""
        self.released.append(permit)

    @property
    def held_count(self) -> int:
        """
        Number of permits granted and not yet released.

        Fails if a permit was released twice.
        """
        assert len(set(map(id, self.released))) == len(self.released)
        return len(self.granted) - len(self.released)


class EdgeHarness:
    """
    A router's edge with stand-in backend servers and a client.

    :ivar address: address at which the edge accepts calls.
    :ivar server_plans: the configured servers.
    """

    def __init__(self) -> None:
        self.board = create_board()
        self.network = MemoryNetwork()
        self.backend_client = HttpBackendClient(SHORT_TIMEOUTS)
        self.server_plans: list[ServerPlan] = []
        self.address = allocate_address()
        self._clock_offset = 0.0
        self._stack = contextlib.AsyncExitStack()

    async def start_server(
        self, application: web.Application, service: str
    ) -> ServerPlan:
        """Start a stand-in application and add it as a server of a service."""
        plan = ServerPlan(
            f"{service}-{len(self.server_plans)}", service, allocate_address()
        )
        runner = await start_application(application, plan.address)
        self._stack.push_async_callback(runner.cleanup)
        self.add_server(plan)
        return plan

    def add_server(self, plan: ServerPlan) -> None:
        """Add a server to the configuration without starting it."""
        self.server_plans.append(plan)

    async def start(self, handler: CallHandler | None = None) -> None:
        """
        Start the edge in front of the servers added so far.

        :param handler: receives the calls in place of the call controller.
        """
        text = build_configuration_text(self.server_plans)
        self.board.configuration.replace(accept_text(text.encode(), 1))
        self.permits = ImmediatePermitGranter(
            self.board, [p.name for p in self.server_plans]
        )
        link = MemoryLink(self.board, self.network)
        self.suspects = QuarantineController(self.board, link, self._read_clock)
        self._clock_offset = 2 * LEASE_SECONDS
        pumping = asyncio.ensure_future(self._deliver())
        self._stack.callback(pumping.cancel)
        self.calls = CallController(
            self.board,
            self.permits,
            self.backend_client,
            self.suspects,
            clock=self._read_clock,
        )
        settings = RouterSettings.from_document(
            {
                "router": {"host": "a1", "failure_domain": "a"},
                "callers": {"address": self.address, "body_limit": 1_000},
                "peers": {"address": allocate_address()},
                "admin": {"address": allocate_address()},
                "platform": {"url": "http://127.0.0.1:1"},
            }
        )
        self._listener = CallerListener(
            self.board, settings, handler or self.calls, clock=self._read_clock
        )
        await self._listener.on_start()
        self._stack.push_async_callback(self._listener.on_stop)
        self.client = aiohttp.ClientSession()
        self._stack.push_async_callback(self.client.close)

    def _read_clock(self) -> float:
        return time.monotonic() + self._clock_offset

    async def _deliver(self) -> None:
        while True:
            self.network.deliver()
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Stop the edge, the client and the stand-in servers."""
        await self._stack.aclose()
        await self.backend_client.close()

    def list_transports(self) -> list[asyncio.WriteTransport]:
        """Return the transports of the edge's connections to callers."""
        runner = self._listener._runner
        assert runner is not None
        assert runner.server is not None
        server = runner.server
        found = [connection.transport for connection in server.connections]
        return [transport for transport in found if transport is not None]

    def create_call(self, method: str, path: str, timeout: float = 60.0) -> Call:
        """
        Return a call to the booking service.

        :param timeout: seconds from now to the deadline of the call.
        """
        configuration = self.board.configuration.current
        assert configuration is not None
        service = configuration.services["bookings"]
        return Call(
            request_id="request",
            workspace=configuration.workspaces["oakcourt"],
            service=service,
            rule=service.find_call_rule(method, path),
            method=method,
            path=path,
            headers=(),
            body=b"",
            priority="interactive",
            deadline=self._read_clock() + timeout,
            cost_hint=0.0,
            token="",
        )

    def block_event_loop_until(self, end: float) -> None:
        """Block the event loop until a time of the harness's clock."""
        while self._read_clock() < end:
            pass

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        **arguments: Any,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request; return the status, the body and the headers."""
        merged = {"Authorization": f"Bearer {build_workspace_key('oakcourt')}"} | (
            headers or {}
        )
        async with self.client.request(
            method, f"http://{self.address}{path}", headers=merged, **arguments
        ) as response:
            return response.status, await response.read(), dict(response.headers)


@async_fixture
async def edge() -> AsyncIterator[EdgeHarness]:
    """Yield a harness whose edge has not been started."""
    made = EdgeHarness()
    try:
        yield made
    finally:
        await made.stop()
