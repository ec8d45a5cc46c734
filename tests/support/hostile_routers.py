"""Real router processes that face clients that don't keep to the limits."""

from __future__ import annotations

import contextlib
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from tests.soak.fleet import SETTINGS_TEMPLATE
from tests.support.configuration_texts import (
    ServerPlan,
    build_configuration_text,
    build_workspace_key,
)
from tests.support.fixtures import async_fixture
from tests.support.fleet import Fleet, allocate_address, allocate_port, wait_for
from tests.support.gateway_harness import (
    API_KEY,
    ROUTE_HOST,
    FakeServer,
    FakeStore,
    build_configuration,
)
from tests.support.hostile_clients import BODY_BYTES, ProcessWatch, Target
from tests.support.processes import ChildProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp.web_request import BaseRequest

    from tests.support.fleet import RouterPlan

DESCRIPTORS = 512
"""Limit of the router's file descriptors."""
MEMORY_MEGABYTES = 128
"""Memory of the router's machine."""
SPARE_SLOTS = 2_000
"""Slots of the servers; the crowd shall not wait for one."""
LARGE_BODY = b"x" * 8_388_608
"""Response that is larger than the buffers of a connection."""
ATTEMPT_SECONDS = 5.0
"""Time after which an ordinary client sends its request again."""
MAX_SERVER_FIELDS = 8_192
"""Header fields that the servers take; what is tested is the router."""


class LargeServer(FakeServer):
    """A server whose responses to paths with ``large`` are large."""

    async def handle_request(self, request: BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        await discard_body(request)
        if "large" not in request.path:
            return await super().handle_request(request)
        attempt = request.headers.get("Sycamorehaven-Attempt-Id", "")
        headers = {
            "Sycamorehaven-Attempt-Id": attempt,
            "Sycamorehaven-Response-Signature": f"by-{self.name}",
        }
        return web.Response(headers=headers, body=LARGE_BODY)

    def build_entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry of this server in the store."""
        return {**super().build_entry(state), "slots": SPARE_SLOTS}


class HostileGateway:
    """
    A router process of published routes with lowered limits.

    :param folder: folder for settings and the log.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports = [allocate_port() for _ in range(5)]
        self._runners: list[web.ServerRunner] = []
        self._process: ChildProcess | None = None
        front, ready, metrics = (f"127.0.0.1:{self._ports[n]}" for n in (0, 3, 4))
        host = f"Host: {ROUTE_HOST}\r\n".encode()
        key = f"Sycamorehaven-Key: {API_KEY}\r\n".encode()
        routed = host + key + b"Sycamorehaven-Attempt-Id: crowd\r\n"
        self.targets: tuple[Target, ...] = (
            Target("route", front, "/look/1", routed, "/look/large"),
            Target("no route", front, "/nowhere", host, "/nowhere"),
            Target("readiness path", front, "/readyz", host, "/readyz"),
            Target("readiness", ready, "/readyz", host, "/readyz"),
            Target("metrics", metrics, "/metrics", host, "/metrics"),
        )

    async def start(self) -> None:
        """Start the store, a server and the router."""
        store, server = FakeStore(), LargeServer("s1", "plain")
        store.address = await self._listen(store)
        server.address = await self._listen(server)
        store.put("servers/s1", server.build_entry())
        store.put(
            "op/config",
            build_configuration(
                limits={"maxBodyBytes": BODY_BYTES, "idleTimeoutMs": 60_000},
                services=[{"name": "plain", "maxConnections": SPARE_SLOTS}],
            ),
        )
        text = SETTINGS_TEMPLATE.format(
            host="north1",
            domain="north",
            ports=self._ports,
            seeds=[],
            platform=store.address,
            grace=8.0,
            ratio=0.2,
            window=10.0,
            slack=50.0,
            evacuation=5_000.0,
        )
        limits = f"descriptors = {DESCRIPTORS}\nmemory = {MEMORY_MEGABYTES}\n"
        path = self._folder / "router.toml"
        path.write_text(text + limits)
        with (self._folder / "router.log").open("ab") as log:
            self._process = await ChildProcess.start(
                "tests.support.limited_process",
                *(str(DESCRIPTORS), "--settings", str(path)),
                log=log,
                errors=log,
            )
        self.watch = ProcessWatch(self._process.pid)
        await wait_for(self.is_served)
        self.watch.start()

    async def stop(self) -> None:
        """Stop the router, the server and the store."""
        if self._process is not None:
            await self.watch.stop()
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        for runner in self._runners:
            await runner.cleanup()

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def read_log(self) -> str:
        """Return the log of the router."""
        return (self._folder / "router.log").read_text()

    async def is_served(self) -> bool:
        """Return whether each listener answers an ordinary request."""
        headers = {
            "Host": ROUTE_HOST,
            "Sycamorehaven-Attempt-Id": "ordinary",
            "Sycamorehaven-Key": API_KEY,
        }
        front, *_, ready, metrics = self.targets
        return (
            await is_answered(front, headers)
            and await is_answered(ready, {})
            and await is_answered(metrics, {})
        )

    async def _listen(self, served: FakeStore | FakeServer) -> str:
        runner = await listen(served.handle_request)
        self._runners.append(runner)
        return str(runner.addresses[0][0]) + f":{runner.addresses[0][1]}"


class LimitedFleet(Fleet):
    """A fleet whose routers may open few descriptors."""

    def write_settings(self, plan: RouterPlan) -> str:
        """Return the TOML settings of a router."""
        address = f'address = "{plan.callers_address}"\n'
        limits = f"body_limit = {BODY_BYTES}\nmemory = {MEMORY_MEGABYTES}\n"
        return super().write_settings(plan).replace(address, address + limits)

    async def run_module(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module; a router with a limit of its descriptors."""
        if module == "sycamorehaven.daemon":
            module = "tests.support.limited_process"
            arguments = (str(DESCRIPTORS), *arguments)
        await super().run_module(name, module, *arguments)


class HostileEdge:
    """
    A router process of the project's own interface with lowered limits.

    :param folder: folder for settings and logs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._fleet: LimitedFleet | None = None
        self._runner: web.ServerRunner | None = None
        self.targets: tuple[Target, ...] = ()

    async def start(self) -> None:
        """Start the platform, a server and the router."""
        self._runner = await listen(answer_booking)
        host, port = self._runner.addresses[0][:2]
        server = ServerPlan("booking-1", "bookings", f"{host}:{port}", SPARE_SLOTS)
        engine = ServerPlan("engine-1", "assistant", allocate_address())
        self._fleet = fleet = LimitedFleet(self._folder, ("a",), [engine])
        plan = fleet.routers[0]
        text = build_configuration_text([engine, server])
        await fleet.start(text)
        key = f"Authorization: Bearer {build_workspace_key('oakcourt')}\r\n".encode()
        called, admin = plan.callers_address, plan.admin_address
        head = b"Host: h\r\n"
        bookings = "/v1/services/bookings"
        self.targets = (
            Target(
                "call", called, f"{bookings}/bookings", head + key, f"{bookings}/large"
            ),
            Target("no route", called, "/nowhere", head, "/nowhere"),
            Target("admin", admin, "/livez", head, "/livez"),
            Target("admin metrics", admin, "/metrics", head, "/metrics"),
        )
        self.watch = ProcessWatch(fleet.processes[plan.host].pid)
        await wait_for(self.is_served)
        self.watch.start()

    async def stop(self) -> None:
        """Stop everything."""
        if self._fleet is not None:
            if self.targets:
                await self.watch.stop()
            await self._fleet.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        assert self._fleet is not None
        process = self._fleet.processes[self._fleet.routers[0].host]
        return process.returncode is None

    async def is_served(self) -> bool:
        """Return whether each listener answers an ordinary request."""
        key = f"Bearer {build_workspace_key('oakcourt')}"
        call, _, admin, metrics = self.targets
        return (
            await is_answered(call, {"Authorization": key})
            and await is_answered(admin, {})
            and await is_answered(metrics, {})
        )


async def listen(
    handle: Callable[[BaseRequest], object],
) -> web.ServerRunner:
    """Serve requests on a free port of the loopback interface."""
    server = web.Server(
        handle,  # type: ignore[arg-type]
        handler_cancellation=True,
        max_headers=MAX_SERVER_FIELDS,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", allocate_port()).start()
    return runner


async def discard_body(request: BaseRequest) -> None:
    """Read the body of a request, which may be larger than aiohttp's limit."""
    async for _ in request.content.iter_any():
        pass


async def answer_booking(request: BaseRequest) -> web.StreamResponse:
    """Answer a request to the booking server."""
    await discard_body(request)
    if "large" in request.path:
        return web.Response(body=LARGE_BODY)
    if request.path == "/load":
        load = {"running": 0, "capacity": SPARE_SLOTS, "leaving": False}
        return web.json_response(load)
    return web.json_response({})


async def is_answered(target: Target, headers: dict[str, str]) -> bool:
    """Return whether a listener answers an ordinary request with 200."""
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_SECONDS)
    url = f"http://{target.address}{target.path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.get(url, headers=headers) as response,
        ):
            await response.read()
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


@async_fixture
async def hostile_gateway() -> AsyncIterator[HostileGateway]:
    """Yield a started router of published routes."""
    with tempfile.TemporaryDirectory() as folder:
        router = HostileGateway(Path(folder))
        try:
            await router.start()
            yield router
        finally:
            await router.stop()


@async_fixture
async def hostile_edge() -> AsyncIterator[HostileEdge]:
    """Yield a started router of the project's own interface."""
    with tempfile.TemporaryDirectory() as folder:
        router = HostileEdge(Path(folder))
        try:
            await router.start()
            yield router
        finally:
            await router.stop()
