"""A record of what callers sent and got, checked against what servers ran."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

from sycamorehaven.standins.engine import generate_token
from tests.support.texts import WORKSPACES

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
PASSED_ON = "passed on"
PROBLEM = "application/problem+json"


def write_answer(prompt: str, tokens: int) -> bytes:
    """Return the one right answer of an engine, byte for byte."""
    events = [
        b"data: "
        + msgspec.json.encode({"index": index, "token": generate_token(prompt, index)})
        for index in range(tokens)
    ]
    return b"\n\n".join([*events, b"data: [DONE]\n\n"])


class Entry(NamedTuple):
    """
    One sending of a request.

    :ivar what: the prompt or the booking's body, unique to the request.
    :ivar router: through which it went.
    :ivar outcome: ``"whole"``, ``"refused"`` by the fleet, ``"broken"`` or
        ``"passed on"``, a refusal of the backend server's own.
    :ivar code: code of the refusal, or what broke.
    :ivar was_run: what the refusal says.
    """

    what: str
    router: int
    outcome: str
    code: str = ""
    was_run: str = ""


class Ledger:
    """
    Sends requests and holds the fleet to its promises.

    :param fleet: where to send them.
    :param seed: of the sizes of questions.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._number = 0
        self.entries: list[Entry] = []

    async def ask(
        self,
        router: int,
        workspace: str = WORKSPACES[0],
        tokens: int = 0,
        headers: dict[str, str] | None = None,
    ) -> Entry:
        """Ask the assistant for a whole answer and note what came of it."""
        self._number += 1
        prompt = f"{workspace}:{self._number}"
        tokens = tokens or self._random.randint(2, 40)
        try:
            status, body = await self._fleet.ask(
                router, prompt, tokens, workspace, headers
            )
        except (aiohttp.ClientError, OSError) as error:
            return self._note(Entry(prompt, router, BROKEN, type(error).__name__))
        if status != 200:
            return self._note_refusal(prompt, router, body)
        assert body == write_answer(prompt, tokens), (prompt, tokens, body)
        return self._note(Entry(prompt, router, WHOLE))

    async def mint(self, router: int) -> str:
        """Return a new idempotency token, "" if the router gives none."""
        request = self._fleet.build_request(router, "/v1/idempotency-tokens")
        try:
            async with self._fleet.client.post(**request) as response:
                document: dict[str, Any] = await response.json(content_type=None)
        except (aiohttp.ClientError, OSError):
            return ""
        return str(document.get("idempotency_token", ""))

    async def book(self, router: int, token: str, what: str) -> Entry:
        """Send a booking, once more if it was sent before."""
        request = self._fleet.build_request(
            router, "/v1/services/bookings/bookings", headers=_carry(token)
        )
        try:
            async with self._fleet.client.post(data=what, **request) as response:
                status, body = response.status, await response.read()
                is_problem = response.content_type == PROBLEM
        except (aiohttp.ClientError, OSError) as error:
            return self._note(Entry(what, router, BROKEN, type(error).__name__))
        if status == 503 and not is_problem:
            return self._note(Entry(what, router, PASSED_ON))
        if status != 201:
            return self._note_refusal(what, router, body)
        assert msgspec.json.decode(body)["request"] == what
        return self._note(Entry(what, router, WHOLE))

    async def book_again(self, routers: list[int], what: str) -> None:
        """Mint a token at the first router, send the booking through each."""
        token = await self.mint(routers[0])
        if token:
            await asyncio.gather(*(self.book(r, token, what) for r in routers))

    def count(self, outcome: str) -> int:
        """Return how many sendings had an outcome."""
        return sum(entry.outcome == outcome for entry in self.entries)

    def list_codes(self) -> Counter[str]:
        """Return the codes of refusals, and what broke, with their counts."""
        return Counter(e.code for e in self.entries if e.outcome != WHOLE)

    def check(self) -> None:
        """Assert that bookings ran at most once and "not run" was true."""
        runs = self._fleet.count_runs()
        for what in {entry.what for entry in self.entries}:
            sendings = [entry for entry in self.entries if entry.what == what]
            if what.startswith("book"):
                assert runs[what] <= 1, (what, runs[what], sendings)
            if all(entry.was_run == "no" for entry in sendings):
                assert runs[what] == 0, (what, runs[what], sendings)
            if any(entry.outcome == WHOLE for entry in sendings):
                assert runs[what] >= 1, (what, sendings)

    def _note_refusal(self, what: str, router: int, body: bytes) -> Entry:
        problem = msgspec.json.decode(body)
        assert problem["was_run"] in ("no", "yes", "unknown"), problem
        assert problem["code"], problem
        assert problem["remedy"], problem
        return self._note(
            Entry(what, router, REFUSED, problem["code"], problem["was_run"])
        )

    def _note(self, entry: Entry) -> Entry:
        self.entries.append(entry)
        return entry


def _carry(token: str) -> dict[str, str]:
    return {"Idempotency-Token": token} if token else {}
