"""A flood through three routers: small workspaces and reports get through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sycamorehaven.standins.engine import generate_token
from tests.support.fleet import plan_servers, run_fleet
from tests.support.texts import write_configuration

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

BATCH = {"Priority-Class": "batch"}
CALLERS = 120
"""Questions of the flooding workspace that are out at any time."""


def is_whole(prompt: str, tokens: int, status: int, body: bytes) -> bool:
    """Return whether an answer has each token once, in order."""
    events = [event for event in body.split(b"\n\n") if event]
    expected = [generate_token(prompt, index).encode() for index in range(tokens)]
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
        answer = await fleet.ask(number % 3, prompt, 700, headers=BATCH)
        return is_whole(prompt, 700, *answer)

    reports = [asyncio.create_task(report(number)) for number in range(9)]
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
    assert 1 <= cancelled <= len(answers) * 2, engines


async def test_past_the_queue_bound_nothing_is_run() -> None:
    servers = plan_servers()
    text = write_configuration(servers).replace(
        "weight = 1.0", "weight = 1.0\nqueue_limit = 10"
    )
    async with run_fleet(servers=servers, text=text) as fleet:
        prompts = [f"question {number}" for number in range(60)]
        answers = await asyncio.gather(
            *(ask_once(fleet, prompt, "600") for prompt in prompts)
        )
        late = await ask_once(fleet, "late", "0.001")
        engines = [await fleet.list_runs(f"engine-{number}") for number in (1, 2)]
    started = {prompt for engine in engines for prompt in engine["started"]}
    refused = [answer for answer in answers if answer.status == 429]
    assert {answer.status for answer in answers} == {200, 429}
    assert started == {answer.prompt for answer in answers if answer.status == 200}
    assert all(answer.code == "queue_full" for answer in refused)
    assert all(answer.was_run == "no" for answer in refused)
    assert all(1 <= answer.retry_after <= 60 for answer in refused)
    assert (late.status, late.code) == (503, "deadline_unreachable")
    assert late.was_run == "no"


class Reply(NamedTuple):
    """
    What a caller got.

    :ivar prompt: what was asked.
    :ivar status: HTTP status.
    :ivar code: of the problem, or "".
    :ivar was_run: of the problem, or "".
    :ivar retry_after: seconds, 0 for none.
    """

    prompt: str
    status: int
    code: str
    was_run: str
    retry_after: int


async def ask_once(fleet: Fleet, prompt: str, timeout: str) -> Reply:
    """Ask through the first router."""
    request = fleet.build_request(
        0,
        "/v1/services/assistant/v1/completions",
        headers={"Request-Timeout": timeout},
    )
    body = {"prompt": prompt, "max_tokens": 100}
    async with fleet.client.post(json=body, **request) as response:
        text = await response.read()
    if response.status == 200:
        return Reply(prompt, 200, "", "", 0)
    problem = msgspec.json.decode(text)
    retry_after = int(response.headers.get("Retry-After", "0"))
    return Reply(
        prompt, response.status, problem["code"], problem["was_run"], retry_after
    )
