"""
Processor time and memory of one gateway process.

``python -m benchmarks.gateway`` starts gateways, a store and a backend server
on this machine. It prints what a gateway spends on its start, at rest among
its peers, on an event of a stream, on a request with one event and on a
rejection. ``PYTHONPATH`` selects another checkout's gateways to compare with.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NamedTuple

import psutil  # type: ignore[import-untyped]
import typer
from aiohttp import web

from benchmarks.relay import read_processor_seconds
from tests.soak.fleet import SETTINGS_TEMPLATE
from tests.support.fleet import allocate_port
from tests.support.gateway_harness import (
    API_KEY,
    ROUTE_HOST,
    FakeStore,
    build_configuration,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EVENT = b"id: %d\ndata: " + b"x" * 60 + b"\n\n"
EVENTS_PER_STREAM = 60
EVENT_INTERVAL_SECONDS = 0.02
"""Interval between two events of a stream."""
CONCURRENT_STREAMS = 40
REQUESTS = 400
"""Requests of one event, and rejections, that are measured."""
CONCURRENT_REQUESTS = 8
SETTLE_SECONDS = 4.0
"""Time after the start until the fleet is at rest."""
REST_SECONDS = 8.0
"""Time over which the processor time at rest is measured."""
START_TIMEOUT_SECONDS = 60.0
"""Time within which all gateways must be ready."""


class GatewayCost(NamedTuple):
    """
    What one gateway process spends.

    :ivar start_seconds: processor seconds until it is ready.
    :ivar rest_core_ratio: processor seconds per second at rest, among peers.
    :ivar resident_bytes: resident memory at rest.
    :ivar event_seconds: processor seconds per event relayed.
    :ivar request_seconds: processor seconds per request of one event.
    :ivar rejection_seconds: processor seconds per request that it rejects.
    """

    start_seconds: float
    rest_core_ratio: float
    resident_bytes: float
    event_seconds: float
    request_seconds: float
    rejection_seconds: float


class StreamServer(asyncio.Protocol):
    """
    A backend server that streams as many events as the path names.

    It answers ``/stream/N`` with N events at a fixed interval.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the requests whose heads are complete; bodies are empty."""
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, _, self._received = self._received.partition(b"\r\n\r\n")
            self._answer(head)

    def _answer(self, head: bytes) -> None:
        assert self._transport is not None
        lines = head.split(b"\r\n")
        count = int(lines[0].split()[1].rpartition(b"/")[2])
        attempt = next(
            line.partition(b":")[2].strip()
            for line in lines
            if line.lower().startswith(b"sycamorehaven-attempt-id:")
        )
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nSycamorehaven-Attempt-Id: "
            + attempt
            + b"\r\nSycamorehaven-Response-Signature: s\r\n\r\n"
        )
        self._send_event(1, count)

    def _send_event(self, number: int, count: int) -> None:
        assert self._transport is not None
        if self._transport.is_closing():
            return
        event = EVENT % number
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if number == count:
            self._transport.write(b"0\r\n\r\n")
            return
        asyncio.get_running_loop().call_later(
            EVENT_INTERVAL_SECONDS, self._send_event, number + 1, count
        )


class GatewayFleet:
    """
    Gateways with their store and one backend server.

    :param source: ``src`` folder of the gateways' checkout.
    :param folder: folder for settings and logs.
    """

    def __init__(self, source: str, folder: Path) -> None:
        self._source = source
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []
        self.addresses: list[str] = []
        self._readiness: list[str] = []

    async def start(self, count: int) -> None:
        """Start the store, the server and some gateways."""
        loop = asyncio.get_running_loop()
        server_port = allocate_port()
        await loop.create_server(StreamServer, "127.0.0.1", server_port)
        store = FakeStore()
        store_port = allocate_port()
        runner = web.ServerRunner(web.Server(store.handle_request))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", store_port).start()
        configuration = build_configuration()
        for route in configuration["routes"]:
            route["timeoutMs"] = 20_000
        configuration["services"] = [{"name": "plain", "maxConnections": 1000}]
        store.put("op/config", configuration)
        entry = {
            "service": "plain",
            "address": f"127.0.0.1:{server_port}",
            "zone": "north",
            "slots": 500,
            "state": "ready",
            "version": "v1",
            "born": 1,
        }
        store.put("servers/s1", entry)
        all_ports = [[allocate_port() for _ in range(5)] for _ in range(count)]
        seeds = json.dumps([f"127.0.0.1:{ports[1]}" for ports in all_ports[:3]])
        for number, ports in enumerate(all_ports):
            path = self._folder / f"{number}.toml"
            path.write_text(
                SETTINGS_TEMPLATE.format(
                    host=f"router{number}",
                    domain=f"d{number % 4}",
                    ports=ports,
                    seeds=seeds,
                    platform=f"127.0.0.1:{store_port}",
                    grace=8.0,
                    ratio=0.2,
                    window=10.0,
                    slack=50.0,
                )
            )
            self._start_gateway(path)
            self.addresses.append(f"127.0.0.1:{ports[0]}")
            self._readiness.append(f"127.0.0.1:{ports[3]}")
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for address in self._readiness:
                while await read_status(address, "/readyz") != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    def _start_gateway(self, path: Path) -> None:
        with path.with_suffix(".log").open("wb") as log:
            self._processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "sycamorehaven.daemon",
                        "--settings",
                        str(path),
                    ],
                    env={**os.environ, "PYTHONPATH": self._source},
                    stdout=log,
                )
            )

    def list_processes(self) -> list[psutil.Process]:
        """Return the gateways' processes."""
        return [psutil.Process(process.pid) for process in self._processes]

    def kill(self) -> None:
        """Kill the gateways."""
        for process in self._processes:
            process.kill()
            process.wait()


async def read_status(address: str, target: str, key: str = "", body: str = "") -> int:
    """
    Send a request on a new connection, read to its end, return its status.

    :returns: 0 if the connection failed.
    """
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nConnection: close\r\n"
            f"Sycamorehaven-Key: {key}\r\nSycamorehaven-Attempt-Id: a{body}\r\n"
            "Sycamorehaven-Deadline-Ms: 20000\r\n\r\n".encode()
        )
        data = await reader.read(-1)
        return int(data[9:12] or b"0")
    except OSError:
        return 0
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def run_fleet(source: str, count: int) -> AsyncIterator[GatewayFleet]:
    """Run some gateways until the context ends."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = GatewayFleet(source, Path(folder))
        try:
            await fleet.start(count)
            yield fleet
        finally:
            fleet.kill()


async def measure_rest(fleet: GatewayFleet) -> tuple[float, float, float]:
    """Return the medians of start, rest and resident memory."""
    processes = fleet.list_processes()
    started = [read_processor_seconds(process) for process in processes]
    await asyncio.sleep(SETTLE_SECONDS)
    before = [read_processor_seconds(process) for process in processes]
    await asyncio.sleep(REST_SECONDS)
    used = [
        (read_processor_seconds(process) - earlier) / REST_SECONDS
        for process, earlier in zip(processes, before, strict=True)
    ]
    memory = [float(process.memory_info().rss) for process in processes]
    return (
        statistics.median(started),
        statistics.median(used),
        statistics.median(memory),
    )


async def send_streams(address: str, events: int) -> None:
    """Read some streams at once, each to its end."""
    statuses = await asyncio.gather(
        *(
            read_status(address, f"/stream/{events}", API_KEY, f"{events}-{number}")
            for number in range(CONCURRENT_STREAMS)
        )
    )
    assert set(statuses) == {200}, statuses


async def send_requests(address: str, key: str, status: int) -> None:
    """Send the measured number of requests, a few at a time."""

    async def send_some(worker: int) -> None:
        for number in range(REQUESTS // CONCURRENT_REQUESTS):
            answered = await read_status(
                address, "/stream/1", key, f"{worker}-{number}"
            )
            assert answered == status, answered

    await asyncio.gather(*map(send_some, range(CONCURRENT_REQUESTS)))


async def measure(source: str, peers: int) -> GatewayCost:
    """Measure the gateways of one checkout."""
    async with run_fleet(source, peers) as fleet:
        start, rest, memory = await measure_rest(fleet)
    async with run_fleet(source, 1) as fleet:
        process, address = fleet.list_processes()[0], fleet.addresses[0]
        await send_requests(address, API_KEY, 200)
        marks = [read_processor_seconds(process)]
        await send_streams(address, EVENTS_PER_STREAM)
        marks.append(read_processor_seconds(process))
        await send_streams(address, 1)
        marks.append(read_processor_seconds(process))
        await send_requests(address, API_KEY, 200)
        marks.append(read_processor_seconds(process))
        await send_requests(address, "unknown", 401)
        marks.append(read_processor_seconds(process))
    long, short, requests, rejections = (
        later - earlier for earlier, later in itertools.pairwise(marks)
    )
    events = CONCURRENT_STREAMS * (EVENTS_PER_STREAM - 1)
    return GatewayCost(
        start,
        rest,
        memory,
        (long - short) / events,
        requests / REQUESTS,
        rejections / REQUESTS,
    )


def main(
    sources: Annotated[
        list[str], typer.Argument(help="src folders of the checkouts to measure.")
    ],
    peers: Annotated[int, typer.Option(help="Gateways at rest.")] = 20,
    rounds: Annotated[int, typer.Option(help="Times that each is measured.")] = 3,
) -> None:
    """Measure gateways of several checkouts in turn."""
    for _ in range(rounds):
        for source in sources:
            cost = asyncio.run(measure(source, peers))
            print(
                f"{source}: start {cost.start_seconds:.2f} s,"
                f" at rest {100 * cost.rest_core_ratio:.2f} % of a core and"
                f" {cost.resident_bytes / 1e6:.1f} MB, event"
                f" {cost.event_seconds * 1e6:.0f} us, request"
                f" {cost.request_seconds * 1e6:.0f} us, rejection"
                f" {cost.rejection_seconds * 1e6:.0f} us",
                flush=True,
            )


if __name__ == "__main__":
    typer.run(main)
