"""
What a router process spends on data, beside stand-ins on one machine.

``python -m benchmarks.relay`` starts one router before engines and prints
its processor time for a chunk and for a request, the requests that it passes
per second, and the latency that it adds as a ratio in the same run.
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

STREAMS = 48
TOKENS = 120
TOKEN_TIME = 0.025
"""Seconds between two tokens of a stream."""
CALLERS = 16
REQUEST_SECONDS = 4.0
PAIRS = 150
REST = 5.0
"""Seconds over which an idle router's processor time is read."""


class RelayCost(NamedTuple):
    """
    What data costs one router process.

    :ivar chunk: processor seconds to relay a chunk.
    :ivar request: processor seconds of a request of one token.
    :ivar rate: such requests per second that were answered.
    :ivar added: median latency through the router by that without it.
    :ivar rest: part of a core at rest.
    :ivar memory: resident bytes at rest.
    :ivar command: processor seconds of one ``sycamorehaven status``.
    :ivar command_memory: its resident bytes at most.
    """

    chunk: float
    request: float
    rate: float
    added: float
    rest: float
    memory: float
    command: float
    command_memory: float


def read_time(process: psutil.Process) -> float:
    """Return the processor seconds that a process has spent."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def ask_directly(fleet: Fleet, prompt: str) -> None:
    """Ask an engine without a router."""
    url = f"http://{fleet.servers[0].address}/v1/completions"
    body = {"prompt": prompt, "max_tokens": 1}
    async with fleet.client.post(url, json=body) as response:
        await response.read()


async def measure_chunk(fleet: Fleet, process: psutil.Process) -> float:
    """Return the processor seconds of a chunk, those of requests taken off."""
    started = read_time(process)
    await asyncio.gather(
        *(fleet.request_completion(0, f"s{n}", TOKENS) for n in range(STREAMS))
    )
    long = read_time(process) - started
    started = read_time(process)
    await asyncio.gather(
        *(fleet.request_completion(0, f"t{n}", 1) for n in range(STREAMS))
    )
    short = read_time(process) - started
    return (long - short) / STREAMS / (TOKENS - 1)


async def measure_requests(
    fleet: Fleet, process: psutil.Process
) -> tuple[float, float]:
    """Return the processor seconds of a request, and requests per second."""
    ends = time.monotonic() + REQUEST_SECONDS

    async def ask_on(number: int) -> int:
        count = 0
        while time.monotonic() < ends:
            status, _ = await fleet.request_completion(0, f"r{number}-{count}", 1)
            assert status == 200
            count += 1
        return count

    started, began = read_time(process), time.monotonic()
    total = sum(await asyncio.gather(*map(ask_on, range(CALLERS))))
    elapsed = time.monotonic() - began
    return (read_time(process) - started) / total, total / elapsed


async def measure_added(fleet: Fleet) -> float:
    """Return the median latency through the router by that without it."""
    direct, routed = [], []
    for number in range(PAIRS):
        started = time.perf_counter()
        await ask_directly(fleet, f"d{number}")
        between = time.perf_counter()
        await fleet.request_completion(0, f"p{number}", 1)
        direct.append(between - started)
        routed.append(time.perf_counter() - between)
    return statistics.median(routed) / statistics.median(direct)


async def measure_rest(process: psutil.Process) -> float:
    """Return the part of a core that an idle router spends."""
    started = read_time(process)
    await asyncio.sleep(REST)
    return (read_time(process) - started) / REST


def measure_command(fleet: Fleet) -> tuple[float, float]:
    """Return processor seconds and resident bytes of one command."""
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
    """Return every figure."""
    servers = [
        ServerPlan(f"engine-{n}", "assistant", allocate_address(), 64, "a", TOKEN_TIME)
        for n in (1, 2)
    ]
    async with run_fleet(("a",), servers, build_configuration_text(servers)) as fleet:
        process = psutil.Process(fleet.processes[fleet.routers[0].host].pid)
        memory = float(process.memory_info().rss)
        rest = await measure_rest(process)
        command, command_memory = await asyncio.to_thread(measure_command, fleet)
        chunk = await measure_chunk(fleet, process)
    quick = [
        plan._replace(work_seconds=0.0, address=allocate_address()) for plan in servers
    ]
    async with run_fleet(("a",), quick, build_configuration_text(quick)) as fleet:
        process = psutil.Process(fleet.processes[fleet.routers[0].host].pid)
        added = await measure_added(fleet)
        request, rate = await measure_requests(fleet, process)
    return RelayCost(chunk, request, rate, added, rest, memory, command, command_memory)


def main() -> None:
    """Print every figure."""
    cost = asyncio.run(measure())
    print(f"chunk: {cost.chunk * 1e6:.0f} us, {1 / cost.chunk:.0f} a second and core")
    print(f"request: {cost.request * 1e6:.0f} us, {1 / cost.request:.0f} a core")
    print(f"requests answered: {cost.rate:.0f} a second")
    print(f"median latency: {cost.added:.2f} of that without the router")
    print(f"at rest: {100 * cost.rest:.2f} % of a core, {cost.memory / 1e6:.1f} MB")
    print(f"status: {cost.command:.2f} s, {cost.command_memory / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
