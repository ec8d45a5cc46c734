"""
A gateway in the test process, with a fake store and fake backend servers.

The store holds the routes and the servers that the users' platform publishes.
"""

from __future__ import annotations

import asyncio
import base64
import time
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from sycamorehaven.gateway import Gateway
from sycamorehaven.gateway_settings import GatewaySettings
from sycamorehaven.settings import RouterSettings
from sycamorehaven.telemetry.decision_log import DecisionLog
from tests.support.fixtures import async_fixture
from tests.support.fleet import allocate_port
from tests.support.raw_answers import build_unframed_head, reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping

    from aiohttp.web_request import BaseRequest

    from sycamorehaven.blackboard.board import Blackboard

API_KEY = "key-of-oakcourt"
ROUTE_HOST = "fleet.example"
PREEMPTION_SECONDS = 2.0
"""Pause of a stream whose run is preempted; shorter than clients wait."""
ERROR_TEXT = b"id: 3\ndata: the error's text\n\n"
"""Body of a refusal to resume a stream; it looks like an event."""


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, for at most 10 seconds."""
    async with asyncio.timeout(10.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class FakeStore:
    """
    A key-value store that counts revisions.

    :ivar items: revision and value of each key.
    :ivar revision: revision of the latest change.
    :ivar read_count: number of reads that were received.
    :ivar era: number of times that the store was restored from a copy.
    :ivar status: HTTP status of every answer; other than 200 while it fails.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.read_count = 0
        self.era = 0
        self.status = 200
        self.address = ""

    def put(self, key: str, value: object) -> None:
        """Write a value as JSON, or unchanged if it is ``bytes``."""
        self.revision += 1
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.items[key] = self.revision, raw

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]]]:
        """Return a copy, from which the store can be restored."""
        return self.revision, dict(self.items)

    def restore(self, copied: tuple[int, dict[str, tuple[int, bytes]]]) -> None:
        """Restore an older copy; what was written since is gone."""
        revision, items = copied
        self.revision, self.items = revision, dict(items)
        self.era += 1

    async def handle_request(self, request: BaseRequest) -> web.StreamResponse:
        """Answer a read of all keys with a prefix."""
        self.read_count += 1
        if self.status != 200:
            return web.Response(status=self.status)
        prefix = request.query["pathPrefix"]
        entries = [
            {"key": key, "value": base64.b64encode(raw).decode(), "revision": revision}
            for key, (revision, raw) in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        page = {"entries": entries, "hasMore": False, "at": self.revision}
        headers = {"Store-Era": str(self.era)}
        return web.Response(body=msgspec.json.encode(page), headers=headers)


class FakeServer:
    """
    A backend server whose behaviour a test controls.

    :ivar behaviour: ``"answer"``, ``"shed"`` (refuse without running),
        ``"lose"`` (run the request, then close the connection without an
        answer), ``"break"`` (break a stream after two events),
        ``"break_first_event"`` (break it in its first event),
        ``"end_inside_event"`` (end a stream in its third event),
        ``"end_at_once"`` (end it before its first event), ``"reset"`` (reset
        the connection of a stream after two events), ``"preempt"`` (pause a
        stream for ``PREEMPTION_SECONDS`` after an event), ``"drip"`` (send an
        event every 50 ms without end), ``"hang"`` or ``"refuse_resume"``
        (answer a request that resumes a stream with ``status`` and an error's
        text).
    :ivar framing: ``"chunks"``, or ``"connection"`` to send streams with
        neither a length nor chunks.
    :ivar behaviour_after_break: the behaviour once a stream was broken;
        unchanged if empty.
    :ivar version: version of the server's software.
    :ivar failure_domain: the failure domain that its entry names.
    :ivar run_attempt_ids: attempt ids of the requests that were run.
    :ivar received_headers: headers of all requests, in order of arrival.
    :ivar received_at: when they arrived, in monotonic seconds.
    :ivar statement_headers: headers of all its responses, by which it says
        something of itself.
    :ivar cancelled_count: number of hanging requests that were cancelled.
    :ivar bad_parts: parts of prompts on which the server crashes as soon as it
        begins to answer; it is back at once, with another start.
    :ivar kept_parts: parts of prompts that it says it keeps.
    :ivar started_at_ms: Unix time of its last start, in milliseconds.
    :ivar run_seconds: time that a plain request runs.
    :ivar crashed_attempt_ids: attempt ids of the requests that crashed it.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.address = ""
        self.behaviour = "answer"
        self.behaviour_after_break = ""
        self.framing = "chunks"
        self.version = "v1"
        self.failure_domain = "north"
        self.run_attempt_ids: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.received_at: list[float] = []
        self.statement_headers: CIMultiDict[str] = CIMultiDict()
        self.cancelled_count = 0
        self.status = 200
        self.bad_parts: set[str] = set()
        self.kept_parts: set[str] = set()
        self.started_at_ms = 1
        self.run_seconds = 0.0
        self.crashed_attempt_ids: list[str] = []

    def build_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of this server in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "slots": 8,
            "state": state,
            "version": self.version,
            "born": self.started_at_ms,
        }

    async def handle_request(self, request: BaseRequest) -> web.StreamResponse:
        """Answer a request according to the behaviour."""
        if request.path == "/kv-list":
            held = [["", part, 100, "m"] for part in sorted(self.kept_parts)]
            return web.json_response({"epoch": 1, "next": 1, "held": held})
        attempt = request.headers["Sycamorehaven-Attempt-Id"]
        self.received_headers.append(dict(request.headers))
        self.received_at.append(time.monotonic())
        if self.behaviour == "shed":
            refusal = {"Sycamorehaven-Not-Executed": "1"}
            return web.Response(status=503, headers=self._add_statement(refusal))
        self.run_attempt_ids.append(attempt)
        if self.bad_parts & list_part_keys(request.headers):
            self.crashed_attempt_ids.append(attempt)
            self.started_at_ms += 1
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if self.behaviour == "lose":
            assert request.transport is not None
            request.transport.abort()
        if self.behaviour == "hang":
            try:
                await asyncio.sleep(30.0)
            except asyncio.CancelledError:
                self.cancelled_count += 1
                raise
        headers = self._add_statement(
            {
                "Sycamorehaven-Attempt-Id": attempt,
                "Sycamorehaven-Response-Signature": f"by-{self.name}",
            }
        )
        if self.behaviour == "refuse_resume" and "Last-Event-Id" in request.headers:
            return web.Response(status=self.status, headers=headers, body=ERROR_TEXT)
        if "stream" not in request.path:
            await asyncio.sleep(self.run_seconds)
            body = b"by " + self.name.encode()
            return web.Response(status=self.status, headers=headers, body=body)
        if self.framing == "connection":
            return self._stream_without_framing(request, headers)
        return await self._stream(request, headers)

    def _add_statement(self, headers: dict[str, str]) -> CIMultiDict[str]:
        return CIMultiDict([*headers.items(), *self.statement_headers.items()])

    def _stream_without_framing(
        self, request: BaseRequest, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        """Send a stream that ends with its connection."""
        transport = request.transport
        assert transport is not None
        transport.write(build_unframed_head(headers))
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 6):
            if self.behaviour == "end_at_once":
                break
            if self.behaviour == "end_inside_event" and number == 3:
                transport.write(b"id: 3\nda")
                break
            if self.behaviour == "reset" and number == 3:
                reset_connection(transport)
                return web.Response()
            transport.write(b"id: %d\ndata: x\n\n" % number)
        transport.close()
        return web.Response()

    async def _stream(
        self, request: BaseRequest, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 6):
            broken_event = {"break": 3, "break_first_event": 1}.get(self.behaviour)
            if number == broken_event:
                await response.write(b"id: %d\nda" % number)
                self.behaviour = self.behaviour_after_break or self.behaviour
                # Aborting at once would discard the events.
                await asyncio.sleep(0.02)
                assert request.transport is not None
                request.transport.abort()
                return response
            if self.behaviour == "end_inside_event" and number == 3:
                await response.write(b"id: 3\nda")
                return response
            if self.behaviour == "preempt" and number == first + 1:
                await asyncio.sleep(PREEMPTION_SECONDS)
            await response.write(b"id: %d\ndata: x\n\n" % number)
        while self.behaviour == "drip":
            await asyncio.sleep(0.05)
            await response.write(b"data: x\n\n")
        return response


def list_part_keys(headers: Mapping[str, str]) -> set[str]:
    """Return the keys of the parts of a request's prompt."""
    entries = headers.get("Sycamorehaven-Prefix-Hash", "").split(",")
    return {entry.partition(":")[0] for entry in entries} - {""}


def build_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each type."""

    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": ROUTE_HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "maxAttempts": 2,
            "service": "plain",
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("look", "idempotent"),
            route("book", "non_idempotent", maxAttempts=1),
            route("open", "idempotent", public=True),
            route("stream", "streaming", resumable=True, itlTargetMs=400),
            route("once-stream", "streaming", itlTargetMs=400),
        ],
        "services": [{"name": "plain", "maxConnections": 10}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000},
        "tenants": [{"name": "oakcourt", "apiKeys": [API_KEY]}],
        **changes,
    }


class GatewayHarness:
    """
    A gateway with its store and two backend servers.

    :ivar is_first_start: whether no gateway has run before.
    """

    def __init__(self) -> None:
        self.store = FakeStore()
        self.servers = [FakeServer("s1", "plain"), FakeServer("s2", "plain")]
        self.callers_address = ""
        self.readiness_address = ""
        self.gateway: Gateway | None = None
        self.is_first_start = True
        self._runners: list[web.ServerRunner] = []

    @property
    def board(self) -> Blackboard:
        """Blackboard of the gateway."""
        assert self.gateway is not None
        return self.gateway.board

    def register(self, server: FakeServer, state: str = "ready") -> None:
        """Write the entry of a server to the store."""
        self.store.put(f"servers/{server.name}", server.build_entry(state))

    async def add_server(
        self, name: str, version: str, failure_domain: str = "north"
    ) -> FakeServer:
        """Start and register another server; return it once it is known."""
        server = FakeServer(name, "plain")
        server.version, server.failure_domain = version, failure_domain
        server.address = await self._listen(server)
        self.servers.append(server)
        self.register(server)
        await self.wait_for_store()
        return server

    async def wait_for_store(self) -> None:
        """Wait until the gateway has read all changes of the store."""
        await wait_until(lambda: self.board.routing.revision >= self.store.revision)

    async def start(self) -> None:
        """Start everything and wait until the gateway has read the store."""
        self.store.address = await self._listen(self.store)
        for server in self.servers:
            server.address = await self._listen(server)
            self.register(server)
        self.store.put("op/config", build_configuration())
        settings = build_settings(self.store.address)
        assert settings.gateway is not None
        self.callers_address = settings.callers_address
        self.readiness_address = settings.gateway.readiness
        log = DecisionLog("router", None)
        self.gateway = Gateway(settings, settings.gateway, log)
        if self.is_first_start:
            self.board.routing.software_versions.assume_first_start()
        await self.gateway.start()
        await wait_until(lambda: self.board.routing.is_ready)

    async def stop(self) -> None:
        """Stop the gateway, the servers and the store."""
        if self.gateway is not None:
            await self.gateway.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, served: FakeStore | FakeServer) -> str:
        port = allocate_port()
        server = web.Server(served.handle_request, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"


def build_settings(store: str) -> RouterSettings:
    """Return the settings of a gateway on the loopback interface."""
    front, peers, admin, ready, metrics = (
        f"127.0.0.1:{allocate_port()}" for _ in range(5)
    )
    gateway = GatewaySettings(ready, metrics, 8.0, 0.2, 10.0, 50.0, 4.0)
    return RouterSettings(
        host="router",
        failure_domain="north",
        callers_address=front,
        body_limit=1_000_000,
        certificate="",
        private_key="",
        peers_address=peers,
        seeds=(),
        public_key="",
        secret_key="",
        admin_address=admin,
        admin_key_sha256="",
        platform_url=f"http://{store}",
        level="error",
        otlp_url="",
        drain_timeout=1.0,
        peer_faults="",
        gateway=gateway,
    )


@async_fixture
async def restarted_harness() -> AsyncIterator[GatewayHarness]:
    """Yield a harness whose gateway starts after another one has ended."""
    made = GatewayHarness()
    made.is_first_start = False
    try:
        await made.start()
        yield made
    finally:
        await made.stop()


@async_fixture
async def harness() -> AsyncIterator[GatewayHarness]:
    """Yield a harness that has been started."""
    made = GatewayHarness()
    try:
        await made.start()
        yield made
    finally:
        await made.stop()
