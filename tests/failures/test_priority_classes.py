"""Priority classes and queue limits while one workspace floods the fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sycamorehaven.standins.engine import generate_token
from tests.support.configuration_texts import build_configuration_text
from tests.support.fleet import create_server_plans, run_fleet

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

BATCH_HEADERS = {"Priority-Class": "batch"}
FLOOD_CALLERS = 120
"""Number of concurrent requests of the flooding workspace."""


def is_complete_answer(prompt: str, tokens: int, status: int, body: bytes) -> bool:
    """Return whether an answer holds each expected token once and in order."""
    events = [event for event in body.split(b"\n\n") if event]
    expected = [generate_token(prompt, index).encode() for index in range(tokens)]
    found = [
        token in event for token, event in zip(expected, events[:-1], strict=False)
    ]
    whole = len(events) == tokens + 1 and events[-1] == b"data: [DONE]"
    return status == 200 and whole and all(found)


class FloodingCallers:
    """
    Callers of one workspace that send a request after each answer.

    :ivar answered: number of answers received.
    :ivar warmed_up: set after as many answers as there are callers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks = [
            asyncio.create_task(self._send_requests(n)) for n in range(FLOOD_CALLERS)
        ]
        self.answered = 0
        self.warmed_up = asyncio.Event()

    async def stop(self) -> None:
        """Cancel the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_requests(self, caller: int) -> None:
        while True:
            status, _ = await self._fleet.request_completion(
                caller % 3, f"flood {caller}", 8
            )
            assert status == 200
            self.answered += 1
            if self.answered >= FLOOD_CALLERS:
                self.warmed_up.set()


async def test_flood_delays_neither_a_small_workspace_nor_batch_requests(
    fleet: Fleet,
) -> None:
    flood = FloodingCallers(fleet)

    async def request_batch(number: int) -> bool:
        prompt = f"batch {number}"
        answer = await fleet.request_completion(
            number, prompt, 60, headers=BATCH_HEADERS
        )
        return is_complete_answer(prompt, 60, *answer)

    async def count_overtaking_answers(number: int) -> int:
        prompt, before = f"question {number}", flood.answered
        answer = await fleet.request_completion(number % 3, prompt, 8, "elmplace")
        assert is_complete_answer(prompt, 8, *answer)
        return flood.answered - before

    try:
        await flood.warmed_up.wait()
        batch_requests = [
            asyncio.create_task(request_batch(number)) for number in range(3)
        ]
        overtaken = [await count_overtaking_answers(number) for number in range(12)]
        assert all(await asyncio.gather(*batch_requests))
    finally:
        await flood.stop()
    assert max(overtaken) <= FLOOD_CALLERS / 2, overtaken


async def test_batch_requests_in_every_slot_are_preempted_and_completed(
    fleet: Fleet,
) -> None:
    async def request_batch(number: int) -> bool:
        prompt = f"batch {number}"
        answer = await fleet.request_completion(
            number % 3, prompt, 700, headers=BATCH_HEADERS
        )
        return is_complete_answer(prompt, 700, *answer)

    batch_requests = [asyncio.create_task(request_batch(number)) for number in range(9)]
    await asyncio.sleep(1.5)
    asked = [
        asyncio.create_task(
            fleet.request_completion(router, f"question {router}", 8, "elmplace")
        )
        for router in range(3)
    ]
    answers = await asyncio.gather(*asked)
    running = sum(not task.done() for task in batch_requests)
    assert all(
        is_complete_answer(f"question {router}", 8, *answer)
        for router, answer in enumerate(answers)
    )
    assert running == len(batch_requests)
    assert all(await asyncio.gather(*batch_requests))
    engines = [await fleet.fetch_server_runs(f"engine-{number}") for number in (1, 2)]
    cancelled = sum(sum(engine["cancelled"].values()) for engine in engines)
    assert 1 <= cancelled <= len(answers) * 2, engines


async def test_requests_beyond_the_queue_limit_never_run() -> None:
    servers = create_server_plans()
    text = build_configuration_text(servers).replace(
        "weight = 1.0", "weight = 1.0\nqueue_limit = 10"
    )
    async with run_fleet(servers=servers, text=text) as fleet:
        prompts = [f"question {number}" for number in range(60)]
        answers = await asyncio.gather(
            *(request_once(fleet, prompt, "600") for prompt in prompts)
        )
        late = await request_once(fleet, "late", "0.001")
        engines = [
            await fleet.fetch_server_runs(f"engine-{number}") for number in (1, 2)
        ]
    started = {prompt for engine in engines for prompt in engine["started"]}
    refused = [answer for answer in answers if answer.status == 429]
    assert {answer.status for answer in answers} == {200, 429}
    assert started == {answer.prompt for answer in answers if answer.status == 200}
    assert all(answer.code == "queue_full" for answer in refused)
    assert all(answer.was_run == "no" for answer in refused)
    assert all(1 <= answer.retry_after <= 60 for answer in refused)
    assert (late.status, late.code) == (503, "deadline_unreachable")
    assert late.was_run == "no"


class CompletionReply(NamedTuple):
    """
    The response to a completion request.

    :ivar prompt: prompt of the request.
    :ivar status: HTTP status.
    :ivar code: code of the refusal, or "".
    :ivar was_run: whether the request ran, according to the refusal, or "".
    :ivar retry_after: seconds of the ``Retry-After`` header, 0 without it.
    """

    prompt: str
    status: int
    code: str
    was_run: str
    retry_after: int


async def request_once(fleet: Fleet, prompt: str, timeout: str) -> CompletionReply:
    """Request a completion through the first router with a timeout header."""
    request = fleet.build_request(
        0,
        "/v1/services/assistant/v1/completions",
        headers={"Request-Timeout": timeout},
    )
    body = {"prompt": prompt, "max_tokens": 100}
    async with fleet.client.post(json=body, **request) as response:
        text = await response.read()
    if response.status == 200:
        return CompletionReply(prompt, 200, "", "", 0)
    problem = msgspec.json.decode(text)
    retry_after = int(response.headers.get("Retry-After", "0"))
    return CompletionReply(
        prompt, response.status, problem["code"], problem["was_run"], retry_after
    )
