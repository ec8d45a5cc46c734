"""Test requests through a fleet of separate processes without failures."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.standins.engine import generate_token

if TYPE_CHECKING:
    from tests.support.fleet import Fleet


async def test_question_is_answered_whole_through_every_router(fleet: Fleet) -> None:
    for router in range(3):
        status, body = await fleet.request_completion(
            router, f"question {router}", max_tokens=5
        )
        assert status == 200, body
        for index in range(5):
            assert generate_token(f"question {router}", index).encode() in body
        assert body.endswith(b"data: [DONE]\n\n")


async def test_many_callers_get_their_own_answers(fleet: Fleet) -> None:
    async def check_answer(number: int) -> None:
        prompt = f"caller {number}"
        workspace = ("oakcourt", "elmplace")[number % 2]
        status, body = await fleet.request_completion(number % 3, prompt, 6, workspace)
        assert status == 200, body
        tokens = [generate_token(prompt, index).encode() for index in range(6)]
        assert all(token in body for token in tokens)
        assert body.count(b"data:") == 7

    await asyncio.gather(*(check_answer(number) for number in range(60)))


async def test_wrong_key_is_refused(fleet: Fleet) -> None:
    request = fleet.build_request(0, "/v1/services/assistant/v1/completions")
    request["headers"]["Authorization"] = "Bearer nobody"
    async with fleet.client.post(json={}, **request) as response:
        problem = await response.json(content_type="application/problem+json")
    assert response.status == 401
    assert problem["code"] == "invalid_workspace_key"
    assert problem["was_run"] == "no"
