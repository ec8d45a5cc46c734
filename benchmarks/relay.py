"""
Cost of relaying requests through one router process.

``python -m benchmarks.relay`` starts one router and test backend servers on
this machine. It prints the router's processor time for a streamed chunk and
for a request, the number of requests that it answers per second, and the
ratio of the latency through the router to the latency without it.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import time
from typing import NamedTuple

import psutil  # type: ignore[import-untyped]

from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.fleet import Fleet, allocate_address, run_fleet
from tests.support.loader import ROOT

STREAM_COUNT = 48
TOKENS_PER_STREAM = 120
TOKEN_INTERVAL_SECONDS = 0.025
"""Interval between two tokens of a stream."""
CALLER_COUNT = 16
REQUEST_PHASE_SECONDS = 4.0
LATENCY_PAIR_COUNT = 150
"""Pairs of requests, one with and one without the router."""
IDLE_SECONDS = 5.0
"""Time over which the processor time of an idle router is measured."""


class RelayCost(NamedTuple):
    """
    Cost of relaying for one router process.

    :ivar chunk_seconds: processor time to relay one chunk of a stream.
    :ivar request_seconds: processor time for a request of one token.
    :ivar requests_per_second: answered requests of one token per second.
    :ivar latency_ratio: ratio of the median latency through the router to
        the median latency without it.
    :ivar idle_core_ratio: processor seconds per second of an idle router.
    :ivar resident_bytes: resident memory of an idle router.
    :ivar command_seconds: processor time of one ``sycamorehaven status``.
    :ivar command_resident_bytes: peak resident memory of that command.
    """

    chunk_seconds: float
    request_seconds: float
    requests_per_second: float
    latency_ratio: float
    idle_core_ratio: float
    resident_bytes: float
    command_seconds: float
    command_resident_bytes: float


def read_processor_seconds(process: psutil.Process) -> float:
    """Return the processor seconds that a process has used so far."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def ask_directly(fleet: Fleet, prompt: str) -> None:
    """Send a request to a backend server, without a router."""
    url = f"http://{fleet.servers[0].address}/v1/completions"
    body = {"prompt": prompt, "max_tokens": 1}
    async with fleet.client.post(url, json=body) as response:
        await response.read()


async def measure_chunk(fleet: Fleet, process: psutil.Process) -> float:
    """Return the processor seconds of a chunk, without those of requests."""
    started = read_processor_seconds(process)
    await asyncio.gather(
        *(
            fleet.request_completion(0, f"s{n}", TOKENS_PER_STREAM)
            for n in range(STREAM_COUNT)
        )
    )
    long_seconds = read_processor_seconds(process) - started
    started = read_processor_seconds(process)
    await asyncio.gather(
        *(fleet.request_completion(0, f"t{n}", 1) for n in range(STREAM_COUNT))
    )
    short_seconds = read_processor_seconds(process) - started
    return (long_seconds - short_seconds) / STREAM_COUNT / (TOKENS_PER_STREAM - 1)


async def measure_requests(
    fleet: Fleet, process: psutil.Process
) -> tuple[float, float]:
    """Return the processor seconds of a request and the request rate."""
    ends = time.monotonic() + REQUEST_PHASE_SECONDS

    async def send_requests(number: int) -> int:
        count = 0
        while time.monotonic() < ends:
            status, _ = await fleet.request_completion(0, f"r{number}-{count}", 1)
            assert status == 200
            count += 1
        return count

    started, began = read_processor_seconds(process), time.monotonic()
    total = sum(await asyncio.gather(*map(send_requests, range(CALLER_COUNT))))
    elapsed = time.monotonic() - began
    return (read_processor_seconds(process) - started) / total, total / elapsed


async def measure_latency_ratio(fleet: Fleet) -> float:
    """Return the ratio of the median latencies with and without a router."""
    direct, routed = [], []
    for number in range(LATENCY_PAIR_COUNT):
        started = time.perf_counter()
        await ask_directly(fleet, f"d{number}")
        between = time.perf_counter()
        await fleet.request_completion(0, f"p{number}", 1)
        direct.append(between - started)
        routed.append(time.perf_counter() - between)
    return statistics.median(routed) / statistics.median(direct)


async def measure_idle(process: psutil.Process) -> float:
    """Return the processor seconds per second of an idle router."""
    started = read_processor_seconds(process)
    await asyncio.sleep(IDLE_SECONDS)
    return (read_processor_seconds(process) - started) / IDLE_SECONDS


def measure_command(fleet: Fleet) -> tuple[float, float]:
    """Return the processor seconds and peak memory of one status command."""
    command = [
        sys.executable,
        "-c",
        "import resource\n"
        "from sycamorehaven.console.application import application\n"
        f"application(['status', '--admin', 'http://{fleet.routers[0].admin_address}'],"
        " standalone_mode=False)\n"
        "used = resource.getrusage(resource.RUSAGE_SELF)\n"
        "print(used.ru_utime + used.ru_stime, used.ru_maxrss * 1024)\n",
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    seconds, size = done.stdout.splitlines()[-1].split()
    return float(seconds), float(size)


async def measure() -> RelayCost:
    """Run the fleets and return every figure."""
    servers = [
        ServerPlan(
            f"engine-{n}",
            "assistant",
            allocate_address(),
            64,
            "a",
            TOKEN_INTERVAL_SECONDS,
        )
        for n in (1, 2)
    ]
    async with run_fleet(("a",), servers, build_configuration_text(servers)) as fleet:
        process = psutil.Process(fleet.processes[fleet.routers[0].host].pid)
        memory = float(process.memory_info().rss)
        rest = await measure_idle(process)
        command, command_memory = await asyncio.to_thread(measure_command, fleet)
        chunk = await measure_chunk(fleet, process)
    fast_servers = [
        plan._replace(work_seconds=0.0, address=allocate_address()) for plan in servers
    ]
    async with run_fleet(
        ("a",), fast_servers, build_configuration_text(fast_servers)
    ) as fleet:
        process = psutil.Process(fleet.processes[fleet.routers[0].host].pid)
        added = await measure_latency_ratio(fleet)
        request, rate = await measure_requests(fleet, process)
    return RelayCost(chunk, request, rate, added, rest, memory, command, command_memory)


def main() -> None:
    """Print every figure."""
    cost = asyncio.run(measure())
    print(
        f"chunk: {cost.chunk_seconds * 1e6:.0f} us, "
        f"{1 / cost.chunk_seconds:.0f} a second and core"
    )
    print(
        f"request: {cost.request_seconds * 1e6:.0f} us, "
        f"{1 / cost.request_seconds:.0f} a core"
    )
    print(f"requests answered: {cost.requests_per_second:.0f} a second")
    print(f"median latency: {cost.latency_ratio:.2f} of that without the router")
    print(
        f"at rest: {100 * cost.idle_core_ratio:.2f} % of a core, "
        f"{cost.resident_bytes / 1e6:.1f} MB"
    )
    print(
        f"status: {cost.command_seconds:.2f} s, "
        f"{cost.command_resident_bytes / 1e6:.1f} MB"
    )


if __name__ == "__main__":
    main()
