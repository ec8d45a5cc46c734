"""A client that records its requests and checks them against the servers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

from sycamorehaven.standins.engine import generate_token
from tests.support.configuration_texts import WORKSPACE_NAMES

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
SERVER_REFUSED = "passed on"
PROBLEM_CONTENT_TYPE = "application/problem+json"


def build_answer(prompt: str, tokens: int) -> bytes:
    """Return the exact bytes with which an engine answers a prompt."""
    events = [
        b"data: "
        + msgspec.json.encode({"index": index, "token": generate_token(prompt, index)})
        for index in range(tokens)
    ]
    return b"\n\n".join([*events, b"data: [DONE]\n\n"])


class RequestRecord(NamedTuple):
    """
    The outcome of sending a request once.

    :ivar content: the prompt or the body of the booking, which identifies the
        request; it is the same when the request is sent again.
    :ivar router: index of the router that received the request.
    :ivar outcome: ``"whole"`` for a complete answer, ``"refused"`` for a
        refusal by the fleet, ``"broken"`` for a failed connection, or
        ``"passed on"`` for a refusal by the backend server.
    :ivar code: code of the refusal, or class of the connection's error.
    :ivar was_run: whether the request ran, according to the refusal.
    """

    content: str
    router: int
    outcome: str
    code: str = ""
    was_run: str = ""


class RecordingClient:
    """
    Sends requests to a fleet, records the outcomes and checks them.

    :param fleet: the fleet that receives the requests.
    :param seed: seeds the random lengths of the completions.
    :ivar records: the outcomes so far.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._number = 0
        self.records: list[RequestRecord] = []

    async def request_completion(
        self,
        router: int,
        workspace: str = WORKSPACE_NAMES[0],
        tokens: int = 0,
        headers: dict[str, str] | None = None,
    ) -> RequestRecord:
        """
        Request a completion and record the outcome.

        Fails if a complete answer differs from the expected one.

        :param router: index of the router to use.
        :param tokens: length of the completion in tokens; random if 0.
        """
        self._number += 1
        prompt = f"{workspace}:{self._number}"
        tokens = tokens or self._random.randint(2, 40)
        try:
            status, body = await self._fleet.request_completion(
                router, prompt, tokens, workspace, headers
            )
        except (aiohttp.ClientError, OSError) as error:
            return self._record(
                RequestRecord(prompt, router, BROKEN, type(error).__name__)
            )
        if status != 200:
            return self._record_refusal(prompt, router, body)
        assert body == build_answer(prompt, tokens), (prompt, tokens, body)
        return self._record(RequestRecord(prompt, router, WHOLE))

    async def create_token(self, router: int) -> str:
        """Have a router create an idempotency token; return "" if it fails."""
        request = self._fleet.build_request(router, "/v1/idempotency-tokens")
        try:
            async with self._fleet.client.post(**request) as response:
                document: dict[str, Any] = await response.json(content_type=None)
        except (aiohttp.ClientError, OSError):
            return ""
        return str(document.get("idempotency_token", ""))

    async def book(self, router: int, token: str, content: str) -> RequestRecord:
        """Send a booking, possibly repeatedly, and record the outcome."""
        request = self._fleet.build_request(
            router,
            "/v1/services/bookings/bookings",
            headers=_build_token_headers(token),
        )
        try:
            async with self._fleet.client.post(data=content, **request) as response:
                status, body = response.status, await response.read()
                is_problem = response.content_type == PROBLEM_CONTENT_TYPE
        except (aiohttp.ClientError, OSError) as error:
            return self._record(
                RequestRecord(content, router, BROKEN, type(error).__name__)
            )
        if status == 503 and not is_problem:
            return self._record(RequestRecord(content, router, SERVER_REFUSED))
        if status != 201:
            return self._record_refusal(content, router, body)
        assert msgspec.json.decode(body)["request"] == content
        return self._record(RequestRecord(content, router, WHOLE))

    async def book_through_routers(self, routers: list[int], content: str) -> None:
        """Send a booking through each router, with a token of the first."""
        token = await self.create_token(routers[0])
        if token:
            await asyncio.gather(*(self.book(r, token, content) for r in routers))

    def count_outcome(self, outcome: str) -> int:
        """Return the number of records with an outcome."""
        return sum(record.outcome == outcome for record in self.records)

    def count_failure_codes(self) -> Counter[str]:
        """Return how often each failure code occurred."""
        return Counter(e.code for e in self.records if e.outcome != WHOLE)

    def check_promises(self) -> None:
        """
        Assert that the runs on the servers agree with the outcomes.

        No booking ran twice, no request that was only refused as "not run"
        ran, and every request with a complete answer ran.
        """
        runs = self._fleet.count_executions()
        for content in {record.content for record in self.records}:
            sendings = [record for record in self.records if record.content == content]
            if content.startswith("book"):
                assert runs[content] <= 1, (content, runs[content], sendings)
            if all(record.was_run == "no" for record in sendings):
                assert runs[content] == 0, (content, runs[content], sendings)
            if any(record.outcome == WHOLE for record in sendings):
                assert runs[content] >= 1, (content, sendings)

    def _record_refusal(self, content: str, router: int, body: bytes) -> RequestRecord:
        problem = msgspec.json.decode(body)
        assert problem["was_run"] in ("no", "yes", "unknown"), problem
        assert problem["code"], problem
        assert problem["remedy"], problem
        return self._record(
            RequestRecord(content, router, REFUSED, problem["code"], problem["was_run"])
        )

    def _record(self, record: RequestRecord) -> RequestRecord:
        self.records.append(record)
        return record


def _build_token_headers(token: str) -> dict[str, str]:
    return {"Idempotency-Token": token} if token else {}
