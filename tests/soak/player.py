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

from tests.soak.callers import Caller
from tests.soak.faults import FaultPlayer
from tests.soak.fleet import SoakFleet
from tests.soak.promises import check_record
from tests.soak.records import SOAK, Trouble

CALLERS = 24
CALM_BEFORE = 1.0
"""Seconds of traffic before the first fault."""
CALM_AFTER = 6.0
"""Seconds of traffic after the last fault; the last two have to be served."""
PAUSE = 0.6
"""Seconds between two faults, on average."""


STALL = 0.25
"""Seconds that the soak's own loop may be late."""
TICK = 0.05
"""Seconds between two looks at the soak's own loop."""


class Outcome(NamedTuple):
    """
    What one seed showed.

    :ivar seed: the seed.
    :ivar findings: promises that were broken.
    :ivar requests: requests sent.
    :ivar served: those that were answered in full.
    :ivar troubles: faults played.
    """

    seed: int
    findings: list[str]
    requests: int
    served: int
    troubles: int


async def play_seed(seed: int, seconds: float, folder: Path | None = None) -> Outcome:
    """
    Run a fleet under the faults of a seed and check what was seen.

    :param seconds: how long faults begin.
    :param folder: keeps the logs; a temporary one if not given.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        return await _play(seed, seconds, folder)


async def _play(seed: int, seconds: float, folder: Path) -> Outcome:
    fleet = SoakFleet(folder)
    try:
        await fleet.start()
        doors = {host: proxy.address for host, proxy in fleet.doors.items()}
        callers = [
            Caller(f"c{n}", doors, fleet.find_key, random.Random(f"{seed}/{n}"))
            for n in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        tasks.append(asyncio.create_task(_watch_loop(fleet.troubles)))
        await asyncio.sleep(CALM_BEFORE)
        player = FaultPlayer(fleet, random.Random(seed))
        await player.play(seconds, PAUSE)
        await asyncio.sleep(CALM_AFTER)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        faults = [error for error in ended if isinstance(error, Exception)]
    finally:
        await fleet.stop()
    seen = fleet.gather()
    sendings = [sending for caller in callers for sending in caller.sendings]
    seen = seen._replace(sendings=sendings)
    (folder / "record.json").write_bytes(msgspec.json.encode(seen))
    findings = [*check_record(seen), *player.slow_ends]
    findings += [f"a caller failed: {error!r}" for error in faults]
    served = sum(s.status == 200 and s.outcome == "whole" for s in sendings)  # noqa: PLR2004
    faults_played = sum(trouble.target != SOAK for trouble in seen.troubles)
    return Outcome(seed, findings, len(sendings), served, faults_played)


async def _watch_loop(troubles: list[Trouble]) -> None:
    """
    Note when this process stands still.

    Callers and proxies are part of it: starting a process on a busy machine
    holds them up for seconds, and what comes meanwhile is seen late.
    """
    while True:
        began = time.monotonic()
        await asyncio.sleep(TICK)
        ended = time.monotonic()
        if ended - began > STALL:
            troubles.append(Trouble("stall", SOAK, began, ended))
