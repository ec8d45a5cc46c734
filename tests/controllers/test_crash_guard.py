"""A request that is interrupted because a part of it is blamed."""

from __future__ import annotations

import asyncio

from sycamorehaven.controllers.crash_guard import CrashGuard
from sycamorehaven.decisions.crash_blame import Culprit
from tests.support.crash_simulation import (
    CrashSimulation,
    Prompt,
    SimulatedRun,
)

CULPRITS = [
    Culprit(frozenset({number}), is_request=False, losses={"s1": 0.0})
    for number in range(2)
]


def create_guard() -> CrashGuard:
    """Return the guard of a request that a router has received."""
    fleet = CrashSimulation(1, 1, 1)
    request = SimulatedRun(fleet, "r0", Prompt("p", ("bad",))).guard._request
    return CrashGuard(fleet.controllers["r0"], request)  # type: ignore[arg-type]


async def wait_for_answer(guard: CrashGuard, seconds: float) -> bool:
    """Wait for an answer that does not come; return whether time ran out."""
    try:
        async with asyncio.timeout(seconds) as timeout:
            with guard.interrupt_through(timeout):
                await asyncio.sleep(10.0)
    except TimeoutError:
        return True
    return False


async def test_request_that_is_interrupted_twice_ends_once() -> None:
    guard = create_guard()
    waiting = asyncio.create_task(wait_for_answer(guard, 5.0))
    await asyncio.sleep(0.0)
    guard.interrupt(CULPRITS[0])
    # The timeout expires in the next step, and the task ends after that.
    await asyncio.sleep(0.0)
    guard.interrupt(CULPRITS[1])
    assert await waiting
    assert guard.interrupted_by == CULPRITS[0]


async def test_request_whose_deadline_has_passed_is_not_interrupted() -> None:
    guard = create_guard()
    assert await wait_for_answer(guard, 0.01)
    guard.interrupt(CULPRITS[0])
    assert guard.interrupted_by is None
