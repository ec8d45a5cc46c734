"""Run the soak for one seed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import msgspec

from tests.soak.callers import SoakCaller
from tests.soak.faults import FaultInjector
from tests.soak.fleet import SoakFleet
from tests.soak.invariants import check_record
from tests.soak.records import SOAK_TARGET, Disturbance

CALLER_COUNT = 24
QUIET_SECONDS_BEFORE = 1.0
"""Seconds of requests before the first fault."""
QUIET_SECONDS_AFTER = 6.0
"""Seconds of requests after the last fault; the last two must be served."""
FAULT_INTERVAL_SECONDS = 0.6
"""Mean time in seconds between two faults."""


STALL_SECONDS = 0.25
"""Delay of the soak's own event loop, in seconds, that counts as a stall."""
STALL_CHECK_SECONDS = 0.05
"""Seconds between two checks of the soak's own event loop."""


class SoakOutcome(NamedTuple):
    """
    The outcome of running one seed.

    :ivar seed: the seed.
    :ivar findings: descriptions of violated guarantees.
    :ivar requests: number of requests sent.
    :ivar served: number of requests with a complete, successful answer.
    :ivar faults: number of faults injected.
    """

    seed: int
    findings: list[str]
    requests: int
    served: int
    faults: int


async def run_seed(
    seed: int, seconds: float, folder: Path | None = None
) -> SoakOutcome:
    """
    Run a fleet under the faults of a seed and check the record.

    :param seconds: period during which faults begin.
    :param folder: folder for the logs; a temporary one if ``None``.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        return await _run_soak(seed, seconds, folder)


async def _run_soak(seed: int, seconds: float, folder: Path) -> SoakOutcome:
    fleet = SoakFleet(folder)
    try:
        await fleet.start()
        addresses = {
            host: proxy.address for host, proxy in fleet.caller_proxies.items()
        }
        callers = [
            SoakCaller(
                f"c{n}", addresses, fleet.get_newest_key, random.Random(f"{seed}/{n}")
            )
            for n in range(CALLER_COUNT)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        tasks.append(asyncio.create_task(_detect_stalls(fleet.disturbances)))
        await asyncio.sleep(QUIET_SECONDS_BEFORE)
        player = FaultInjector(fleet, random.Random(seed))
        await asyncio.gather(
            player.inject_faults(seconds, FAULT_INTERVAL_SECONDS),
            player.evacuate(seconds, random.Random(f"{seed}/evacuation")),
        )
        await asyncio.sleep(QUIET_SECONDS_AFTER)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        faults = [error for error in ended if isinstance(error, Exception)]
    finally:
        await fleet.stop()
    record = fleet.collect_record()
    requests = [request for caller in callers for request in caller.requests]
    record = record._replace(requests=requests)
    (folder / "record.json").write_bytes(msgspec.json.encode(record))
    findings = [*check_record(record), *player.slow_shutdowns]
    findings += [f"a caller failed: {error!r}" for error in faults]
    served = sum(s.status == 200 and s.outcome == "whole" for s in requests)  # noqa: PLR2004
    faults_played = sum(
        disturbance.target != SOAK_TARGET for disturbance in record.disturbances
    )
    return SoakOutcome(seed, findings, len(requests), served, faults_played)


async def _detect_stalls(disturbances: list[Disturbance]) -> None:
    """
    Record the periods during which this process stalls.

    Callers and proxies run in this process. Starting a child process on a busy
    machine can block them for seconds, so that they see answers late.
    """
    while True:
        began = time.monotonic()
        await asyncio.sleep(STALL_CHECK_SECONDS)
        ended = time.monotonic()
        if ended - began > STALL_SECONDS:
            disturbances.append(Disturbance("stall", SOAK_TARGET, began, ended))
