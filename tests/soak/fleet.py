"""Router and backend server processes, each behind a fault-injecting proxy."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import signal
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from aiohttp import web

from tests.soak.proxy import FaultyProxy
from tests.soak.records import Disturbance, Run, SoakRecord
from tests.support.fixtures import async_fixture
from tests.support.fleet import START_TIMEOUT_SECONDS, allocate_port, wait_for
from tests.support.gateway_harness import FakeStore, build_configuration
from tests.support.processes import ChildProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SHUTDOWN_GRACE_SECONDS = 8.0
"""Seconds within which a router exits after SIGTERM."""
RETRY_RATIO = 0.2
"""Retries that the budget allows per request of a window."""
RETRY_SLACK = 50.0
"""Retries that the budget allows in a window without any requests."""
RETRY_WINDOW_SECONDS = 10.0
"""Length of the window of the retry budget."""
SERVICE_BY_SERVER = {
    "s1": "plain",
    "s2": "plain",
    "s3": "plain",
    "e1": "model",
    "e2": "model",
}
"""Service of each backend server."""
SOUTH_SERVERS = ("s3", "e2")
"""Backend servers in the domain ``south``; the others are in ``north``."""
EVACUATION_SECONDS = 5.0
"""Time from the order to evacuate a domain until nothing may reach it."""
ROUTER_HOSTS = ("north1", "north2", "south1")

SETTINGS_TEMPLATE = """
[router]
host = "{host}"
failure_domain = "{domain}"
[callers]
address = "127.0.0.1:{ports[0]}"
[peers]
address = "127.0.0.1:{ports[1]}"
seeds = {seeds}
allow_plaintext = true
[admin]
address = "127.0.0.1:{ports[2]}"
[platform]
url = "http://{platform}"
[telemetry]
level = "warning"
trace_ratio = 0.0
[gateway]
readiness = "127.0.0.1:{ports[3]}"
metrics = "127.0.0.1:{ports[4]}"
grace = {grace}
retry_ratio = {ratio}
retry_window = {window}
retry_slack = {slack}
quota_window = 4.0
evacuation_timeout_ms = {evacuation}
"""


class SoakFleet:
    """
    The processes and proxies of a soak, and the record of what happened.

    :param folder: folder for settings and logs.
    :ivar store: the store that the routers read.
    :ivar ports: ports of each router.
    :ivar caller_proxies: proxy between callers and each router.
    :ivar store_proxies: proxy between each router and the store.
    :ivar server_proxies: proxy between the routers and each backend server.
    :ivar disturbances: faults that were injected, changes by the operator and
        stalls of the soak itself.
    :ivar versions: software version of each backend server.
    :ivar server_generation: number of server starts, which the entry of a
        server holds to tell its processes apart.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.store = FakeStore()
        self.ports = {
            host: [allocate_port() for _ in range(5)] for host in ROUTER_HOSTS
        }
        self.caller_proxies: dict[str, FaultyProxy] = {}
        self.store_proxies: dict[str, FaultyProxy] = {}
        self.server_proxies: dict[str, FaultyProxy] = {}
        self.processes: dict[str, ChildProcess] = {}
        self.disturbances: list[Disturbance] = []
        self._expected_exits: set[int] = set()
        self._unexpected_exits: list[str] = []
        self._exit_watchers: list[asyncio.Task[None]] = []
        self._runner: web.ServerRunner | None = None
        self._version = 0
        self.versions = dict.fromkeys(SERVICE_BY_SERVER, "v1")
        self.server_generation = 0

    @property
    def version(self) -> int:
        """Version of the newest configuration."""
        return self._version

    def get_newest_key(self) -> str:
        """Return the API key that the newest configuration added."""
        return f"key-{self._version}"

    async def start(self) -> None:
        """Start all processes and wait until every router is ready."""
        store = f"127.0.0.1:{allocate_port()}"
        self._runner = web.ServerRunner(web.Server(self.store.handle_request))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", int(store.split(":")[1])).start()
        self.publish()
        for name in SERVICE_BY_SERVER:
            self.server_proxies[name] = await _start_proxy(
                f"127.0.0.1:{allocate_port()}"
            )
            await self.start_server(name)
        for host in ROUTER_HOSTS:
            self.caller_proxies[host] = await _start_proxy(
                f"127.0.0.1:{self.ports[host][0]}"
            )
            self.store_proxies[host] = await _start_proxy(store)
            await self.start_router(host)
        for host in ROUTER_HOSTS:
            await self.wait_until_ready(host)

    async def stop(self) -> None:
        """Kill all processes and stop the proxies and the store."""
        for watcher in self._exit_watchers:
            watcher.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        proxies = (*self.caller_proxies.values(), *self.store_proxies.values())
        for proxy in (*proxies, *self.server_proxies.values()):
            await proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def publish(self) -> None:
        """Publish a configuration with a new key and the previous one."""
        previous, self._version = self._version, self._version + 1
        keys = [f"key-{previous}", f"key-{self._version}"]
        configuration = build_configuration(self._version)
        for route in configuration["routes"]:
            if "stream" in route["name"]:
                route["service"] = "model"
        engine = {"slots": 12, "kvCapacity": 400_000}
        configuration["services"] += [
            {"name": "model", "maxConnections": 64, "engine": engine}
        ]
        configuration["tenants"] = [{"name": "oakcourt", "apiKeys": keys}]
        self.store.put("op/config", configuration)

    def register(self, name: str, state: str = "ready") -> None:
        """Write the entry of a server to the store."""
        entry: dict[str, Any] = {
            "service": SERVICE_BY_SERVER[name],
            "address": self.server_proxies[name].address,
            "zone": "south" if name in SOUTH_SERVERS else "north",
            "slots": 12,
            "state": state,
            "version": self.versions[name],
            "born": self.server_generation,
        }
        self.store.put(f"servers/{name}", entry)

    async def start_server(self, name: str) -> None:
        """Start a backend server and register it."""
        port = self.server_proxies[name].target.rpartition(":")[2]
        await self._start_process(
            name,
            "tests.soak.backend",
            *("--name", name, "--service", SERVICE_BY_SERVER[name], "--port", port),
        )
        await _wait_for_port(int(port))
        self.server_generation += 1
        self.register(name)

    async def start_router(self, host: str) -> None:
        """Start a router."""
        path = self.write_settings(host)
        await self._start_process(host, "sycamorehaven.daemon", "--settings", str(path))

    def write_settings(self, host: str, ratio: float = RETRY_RATIO) -> Path:
        """Write the settings file of a router; return its path."""
        path = self._folder / f"{host}.toml"
        seeds = [f"127.0.0.1:{self.ports[h][1]}" for h in ROUTER_HOSTS if h != host]
        text = SETTINGS_TEMPLATE.format(
            host=host,
            domain=host[:5],
            ports=self.ports[host],
            seeds=msgspec.json.encode(seeds).decode(),
            platform=self.store_proxies[host].address,
            grace=SHUTDOWN_GRACE_SECONDS,
            ratio=ratio,
            window=RETRY_WINDOW_SECONDS,
            slack=RETRY_SLACK,
            evacuation=EVACUATION_SECONDS * 1_000,
        )
        path.write_text(text)
        return path

    def list_log_events(self, host: str, event: str) -> list[dict[str, Any]]:
        """Return the entries of an event in a router's log."""
        lines = _read_lines(self._folder / f"{host}.log")
        return [line for line in lines if line["event"] == event]

    async def wait_until_ready(self, host: str) -> None:
        """Wait until a router reports that it is ready."""
        await wait_for(functools.partial(self.is_ready, host))

    async def is_ready(self, host: str) -> bool:
        """Return whether a router reports that it is ready."""
        url = f"http://127.0.0.1:{self.ports[host][3]}/readyz"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as client:
                return (await client.get(url)).status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_exits.add(self.processes[name].pid)
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.processes[name].pid, signal_number)

    async def terminate(self, name: str, signal_number: signal.Signals) -> float:
        """Send a signal that ends a process; return the seconds it took."""
        began = time.monotonic()
        self.send_signal(name, signal_number)
        await self.processes[name].wait()
        return time.monotonic() - began

    async def _start_process(self, name: str, module: str, *arguments: str) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await ChildProcess.start(module, *arguments, log=log)
        self.processes[name] = process
        self._exit_watchers.append(asyncio.create_task(self._watch_exit(name, process)))

    async def _watch_exit(self, name: str, process: ChildProcess) -> None:
        status = await process.wait()
        if process.pid not in self._expected_exits:
            self._unexpected_exits.append(f"{name} ended by itself, status {status}")

    def collect_record(self) -> SoakRecord:
        """Return the record of servers, routers and the soak itself."""
        runs: dict[tuple[str, str, float], Run] = {}
        open_runs: dict[tuple[str, str], tuple[str, str, float]] = {}
        for name in SERVICE_BY_SERVER:
            for line in _read_lines(self._folder / f"{name}.log"):
                event, attempt, server, service, path, at = line
                if event == "began":
                    key = attempt, server, at
                    open_runs[attempt, server] = key
                    runs[key] = Run(attempt, server, service, path, at)
                else:
                    key = open_runs[attempt, server]
                    runs[key] = runs[key]._replace(ended_at=at, cut=event == "cut")
        log_events: dict[str, list[str]] = {}
        for host in ROUTER_HOSTS:
            for line in _read_lines(self._folder / f"{host}.log"):
                if "request" in line:
                    log_events.setdefault(line["request"], []).append(line["event"])
                elif line["event"] == "lines_left_out":
                    log_events.setdefault("", []).append(line["event"])
        return SoakRecord(
            [],
            list(runs.values()),
            self.disturbances,
            log_events,
            self._unexpected_exits,
        )


@async_fixture
async def soak_fleet() -> AsyncIterator[SoakFleet]:
    """Yield a started fleet without faults."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SoakFleet(Path(folder))
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()


async def _start_proxy(target: str) -> FaultyProxy:
    proxy = FaultyProxy(target)
    await proxy.start()
    return proxy


async def _wait_for_port(port: int) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return


def _read_lines(path: Path) -> list[Any]:
    """Return the JSON lines of a log, without lines truncated by a kill."""
    documents = []
    for line in path.read_bytes().splitlines():
        with contextlib.suppress(msgspec.DecodeError):
            documents.append(msgspec.json.decode(line))
    return documents
