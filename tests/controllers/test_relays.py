"""
Relayed calls over a network that loses, duplicates and reorders messages.

Each token's call must run once, and every caller must get the whole answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.call import Answer, Call
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.adopted_tokens import AdoptedTokenResponder
from sycamorehaven.controllers.relay_sessions import (
    MAX_PART_BYTES,
    RelaySessionController,
)
from sycamorehaven.controllers.relays import RelayController
from sycamorehaven.controllers.token_runs import RecordedBody
from sycamorehaven.controllers.tokens import TokenController
from sycamorehaven.exceptions.refusals import AnswerGone, QueueFull, Refusal
from tests.support.configuration_texts import build_configuration_text
from tests.support.doubles import MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOSTS = ("a1", "a2")


class EchoHandler:
    """Answers each call with its own body and records the bodies that ran."""

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.refuse_calls = False

    async def answer(self, call: Call) -> Answer:
        """Return the body of the call."""
        if self.refuse_calls:
            raise QueueFull("the queue is full", retry_after=1.0)
        self.runs.append(call.body)
        return Answer(201, (("Echo", "yes"),), RecordedBody(call.body))


class RelayHarness:
    """
    Two routers: the owner of the tokens and one that relays calls to it.

    :param seed: seed of the random network faults.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = MemoryNetwork(seed)
        self.handler = EchoHandler()
        boards = [create_board(host) for host in HOSTS]
        members = {h: Member(h, 1, f"{h}:1", "a", "alive") for h in HOSTS}
        self.configuration = accept_text(build_configuration_text([]).encode(), 1)
        self.tokens: list[TokenController] = []
        for board in boards:
            board.members.replace(members)
            board.configuration.replace(self.configuration)
            link = MemoryLink(board, self.network)
            adopted_responder = AdoptedTokenResponder(board)
            relay_controller = RelayController(board, link, adopted_responder)
            token_controller = TokenController(board, self.handler, relay_controller)
            self.tokens.append(token_controller)
            self.sessions = RelaySessionController(
                board, link, token_controller, adopted_responder
            )

    async def deliver_unreliably(self, loss: float) -> None:
        """Deliver messages in random order, some twice, some never."""
        while True:
            pending, self.network.pending_deliveries = (
                self.network.pending_deliveries,
                [],
            )
            self.random.shuffle(pending)
            for address, delivery in pending:
                times = self.random.choices((0, 1, 2), (loss, 1 - 2 * loss, loss))[0]
                for _ in range(times):
                    self.network.links[address].dispatch(delivery)
                    await asyncio.sleep(0)
            await asyncio.sleep(0.001)

    def create_call(self, body: bytes, token: str) -> Call:
        """Return a call that creates a booking."""
        service = self.configuration.services["bookings"]
        return Call(
            request_id="request",
            workspace=self.configuration.workspaces["oakcourt"],
            service=service,
            rule=service.find_call_rule("POST", "/bookings"),
            method="POST",
            path="/bookings",
            headers=(),
            body=body,
            priority="interactive",
            deadline=asyncio.get_running_loop().time() + 60.0,
            cost_hint=0.0,
            token=token,
        )


@contextlib.asynccontextmanager
async def run_harness(seed: int, loss: float) -> AsyncIterator[RelayHarness]:
    """Run an owner and a relaying router on an unreliable network."""
    harness = RelayHarness(seed)
    delivering = asyncio.create_task(harness.deliver_unreliably(loss))
    try:
        yield harness
    finally:
        delivering.cancel()


async def fetch(harness: RelayHarness, call: Call) -> bytes:
    """Return the whole relayed answer to a call."""
    answer = await harness.tokens[1].answer(call)
    assert (answer.status, answer.headers) == (201, (("Echo", "yes"),))
    try:
        return b"".join([chunk async for chunk in answer.chunks])
    finally:
        await answer.chunks.aclose()


async def test_callers_of_one_token_share_its_run_and_get_whole_answers() -> None:
    for seed in range(3):
        async with run_harness(seed, loss=0.15) as harness:
            bodies = [
                bytes([number]) * size
                for number, size in enumerate(
                    (1, 1_000, MAX_PART_BYTES * 3 + 1, 900_000)
                )
            ]
            calls = [
                harness.create_call(body, harness.tokens[0].mint("oakcourt").text)
                for body in bodies
            ]
            answers = await asyncio.gather(
                *(fetch(harness, call) for call in calls * 2)
            )
            assert answers == bodies * 2
            assert sorted(harness.handler.runs) == sorted(bodies)


async def test_answer_too_large_to_record_is_relayed_whole_and_not_rerun() -> None:
    async with run_harness(seed=4, loss=0.1) as harness:
        body = random.Random(4).randbytes(1_500_000)
        call = harness.create_call(body, harness.tokens[0].mint("oakcourt").text)
        assert await fetch(harness, call) == body
        with contextlib.suppress(AnswerGone):
            raise AssertionError(len(await fetch(harness, call)))
        assert harness.handler.runs == [body]


async def test_relayed_refusal_keeps_its_fields_and_releases_the_token() -> None:
    async with run_harness(seed=5, loss=0.15) as harness:
        call = harness.create_call(b"book", harness.tokens[0].mint("oakcourt").text)
        harness.handler.refuse_calls = True
        refusal: Refusal | None = None
        try:
            await harness.tokens[1].answer(call)
        except QueueFull as error:
            refusal = error
        assert refusal is not None
        assert (refusal.was_run, refusal.retry_after) == ("no", 1.0)
        harness.handler.refuse_calls = False
        await asyncio.sleep(0.05)
        assert harness.handler.runs == []
        assert await fetch(harness, call) == b"book"
        assert harness.handler.runs == [b"book"]
