"""Plays one seed."""

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
"""Seconds of traffic before the first fault."""
QUIET_SECONDS_AFTER = 6.0
"""Seconds of traffic after the last fault; the last two have to be served."""
FAULT_INTERVAL_SECONDS = 0.6
"""Seconds between two faults, on average."""


STALL_SECONDS = 0.25
"""Seconds that the soak's own loop may be late."""
STALL_CHECK_SECONDS = 0.05
"""Seconds between two looks at the soak's own loop."""


class SoakOutcome(NamedTuple):
    """
    What one seed showed.

    :ivar seed: the seed.
    :ivar findings: promises that were broken.
    :ivar requests: requests sent.
    :ivar served: those that were answered in full.
    :ivar faults: faults played.
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
    Run a fleet under the faults of a seed and check what was seen.

    :param seconds: how long faults begin.
    :param folder: keeps the logs; a temporary one if not given.
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
        await player.inject_faults(seconds, FAULT_INTERVAL_SECONDS)
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
    Note when this process stands still.

    Callers and proxies are part of it: starting a process on a busy machine
    holds them up for seconds, and what comes meanwhile is record late.
    """
    while True:
        began = time.monotonic()
        await asyncio.sleep(STALL_CHECK_SECONDS)
        ended = time.monotonic()
        if ended - began > STALL_SECONDS:
            disturbances.append(Disturbance("stall", SOAK_TARGET, began, ended))
