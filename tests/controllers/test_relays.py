"""Relayed answers over a network that loses, doubles and reorders."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.call import Answer, Call
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.adoption import Adoption
from sycamorehaven.controllers.relay_sessions import PART_BYTES, RelaySessions
from sycamorehaven.controllers.relays import RelayController
from sycamorehaven.controllers.token_runs import RecordedBody
from sycamorehaven.controllers.tokens import TokenController
from sycamorehaven.exceptions.refusals import AnswerGone, QueueFull, Refusal
from tests.support.doubles import MemoryLink, MemoryNetwork, create_board
from tests.support.texts import write_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOSTS = ("a1", "a2")


class EchoHandler:
    """Answers a call with its body, counting the runs of each."""

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.refuse = False

    async def answer(self, call: Call) -> Answer:
        """Return the body of the call."""
        if self.refuse:
            raise QueueFull("too many wait", retry_after=1.0)
        self.runs.append(call.body)
        return Answer(201, (("Echo", "yes"),), RecordedBody(call.body))


class Pair:
    """
    An owner and a router that relays to it.

    :param seed: of what the network does.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = MemoryNetwork(seed)
        self.handler = EchoHandler()
        boards = [create_board(host) for host in HOSTS]
        members = {h: Member(h, 1, f"{h}:1", "a", "alive") for h in HOSTS}
        self.configuration = accept_text(write_configuration([]).encode(), 1)
        self.tokens: list[TokenController] = []
        for board in boards:
            board.members.replace(members)
            board.configuration.replace(self.configuration)
            link = MemoryLink(board, self.network)
            adoption = Adoption(board)
            relays = RelayController(board, link, adoption)
            tokens = TokenController(board, self.handler, relays)
            self.tokens.append(tokens)
            self.sessions = RelaySessions(board, link, tokens, adoption)

    async def carry(self, loss: float) -> None:
        """Deliver messages in any order, some twice, some never."""
        while True:
            pending, self.network.pending = self.network.pending, []
            self.random.shuffle(pending)
            for address, delivery in pending:
                times = self.random.choices((0, 1, 2), (loss, 1 - 2 * loss, loss))[0]
                for _ in range(times):
                    self.network.links[address].dispatch(delivery)
                    await asyncio.sleep(0)
            await asyncio.sleep(0.001)

    def create_call(self, body: bytes, token: str) -> Call:
        """Return a booking."""
        service = self.configuration.services["bookings"]
        return Call(
            request_id="request",
            workspace=self.configuration.workspaces["oakcourt"],
            service=service,
            rule=service.match_rule("POST", "/bookings"),
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
async def run_pair(seed: int, loss: float) -> AsyncIterator[Pair]:
    """Run an owner and a relaying router on a bad network."""
    pair = Pair(seed)
    carrying = asyncio.create_task(pair.carry(loss))
    try:
        yield pair
    finally:
        carrying.cancel()


async def fetch(pair: Pair, call: Call) -> bytes:
    """Return the whole relayed answer to a call."""
    answer = await pair.tokens[1].answer(call)
    assert (answer.status, answer.headers) == (201, (("Echo", "yes"),))
    try:
        return b"".join([chunk async for chunk in answer.chunks])
    finally:
        await answer.chunks.aclose()


async def test_each_caller_gets_its_own_whole_answer_and_one_run() -> None:
    for seed in range(3):
        async with run_pair(seed, loss=0.15) as pair:
            bodies = [
                bytes([number]) * size
                for number, size in enumerate((1, 1_000, PART_BYTES * 3 + 1, 900_000))
            ]
            calls = [
                pair.create_call(body, pair.tokens[0].mint("oakcourt").text)
                for body in bodies
            ]
            got = await asyncio.gather(*(fetch(pair, call) for call in calls * 2))
            assert got == bodies * 2
            assert sorted(pair.handler.runs) == sorted(bodies)


async def test_answer_too_large_to_record_is_whole_and_never_run_again() -> None:
    async with run_pair(seed=4, loss=0.1) as pair:
        body = random.Random(4).randbytes(1_500_000)
        call = pair.create_call(body, pair.tokens[0].mint("oakcourt").text)
        assert await fetch(pair, call) == body
        with contextlib.suppress(AnswerGone):
            raise AssertionError(len(await fetch(pair, call)))
        assert pair.handler.runs == [body]


async def test_relayed_refusal_keeps_its_words_and_frees_the_token() -> None:
    async with run_pair(seed=5, loss=0.15) as pair:
        call = pair.create_call(b"book", pair.tokens[0].mint("oakcourt").text)
        pair.handler.refuse = True
        refusal: Refusal | None = None
        try:
            await pair.tokens[1].answer(call)
        except QueueFull as error:
            refusal = error
        assert refusal is not None
        assert (refusal.was_run, refusal.retry_after) == ("no", 1.0)
        pair.handler.refuse = False
        await asyncio.sleep(0.05)
        assert pair.handler.runs == []
        assert await fetch(pair, call) == b"book"
        assert pair.handler.runs == [b"book"]
