"""A flood through three routers: small workspaces and reports get through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.standins.engine import make_token

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

BATCH = {"Priority-Class": "batch"}
CALLERS = 120
"""Questions of the flooding workspace that are out at any time."""


def is_whole(prompt: str, tokens: int, status: int, body: bytes) -> bool:
    """Return whether an answer has each token once, in order."""
    events = [event for event in body.split(b"\n\n") if event]
    expected = [make_token(prompt, index).encode() for index in range(tokens)]
    found = [
        token in event for token, event in zip(expected, events[:-1], strict=False)
    ]
    whole = len(events) == tokens + 1 and events[-1] == b"data: [DONE]"
    return status == 200 and whole and all(found)


class Flood:
    """Callers of one workspace that ask again as soon as they are answered."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks = [asyncio.create_task(self._ask(n)) for n in range(CALLERS)]
        self.answered = 0
        self.settled = asyncio.Event()

    async def stop(self) -> None:
        """Hang up."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask(self, caller: int) -> None:
        while True:
            status, _ = await self._fleet.ask(caller % 3, f"flood {caller}", 8)
            assert status == 200
            self.answered += 1
            if self.answered >= CALLERS:
                self.settled.set()


async def test_flood_delays_neither_a_small_workspace_nor_reports(
    fleet: Fleet,
) -> None:
    flood = Flood(fleet)

    async def report(number: int) -> bool:
        prompt = f"report {number}"
        answer = await fleet.ask(number, prompt, 60, headers=BATCH)
        return is_whole(prompt, 60, *answer)

    async def ask(number: int) -> int:
        prompt, before = f"question {number}", flood.answered
        answer = await fleet.ask(number % 3, prompt, 8, "elmplace")
        assert is_whole(prompt, 8, *answer)
        return flood.answered - before

    try:
        await flood.settled.wait()
        reports = [asyncio.create_task(report(number)) for number in range(3)]
        overtaken = [await ask(number) for number in range(12)]
        assert all(await asyncio.gather(*reports))
    finally:
        await flood.stop()
    assert max(overtaken) <= CALLERS / 2, overtaken


async def test_reports_in_every_slot_make_way_and_come_back_whole(
    fleet: Fleet,
) -> None:
    async def report(number: int) -> bool:
        prompt = f"report {number}"
        answer = await fleet.ask(number % 3, prompt, 400, headers=BATCH)
        return is_whole(prompt, 400, *answer)

    reports = [asyncio.create_task(report(number)) for number in range(12)]
    await asyncio.sleep(1.5)
    asked = [
        asyncio.create_task(fleet.ask(router, f"question {router}", 8, "elmplace"))
        for router in range(3)
    ]
    answers = await asyncio.gather(*asked)
    running = sum(not task.done() for task in reports)
    assert all(
        is_whole(f"question {router}", 8, *answer)
        for router, answer in enumerate(answers)
    )
    assert running == len(reports)
    assert all(await asyncio.gather(*reports))
    engines = [await fleet.list_runs(f"engine-{number}") for number in (1, 2)]
    cancelled = sum(sum(engine["cancelled"].values()) for engine in engines)
    assert 1 <= cancelled <= len(answers) * 2
