"""A part of prompts crashes each server that begins to answer on it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec

from sycamorehaven.decisions.crash_blame import FIRST_BLOCK_SECONDS
from sycamorehaven.decisions.strikes import SuspectKeys, hash_part
from tests.support.gateway_client import COMPLETE_STREAM, send_request
from tests.support.gateway_harness import wait_until

if TYPE_CHECKING:
    from sycamorehaven.controllers.strike_exchange import StrikeExchange
    from tests.support.gateway_harness import GatewayHarness

MAX_SENDS_AFTER_FIFTH_CRASH = 3
"""Number of requests with the part that may reach servers later."""
BAD_REQUESTS = 12


MAX_ANSWER_SECONDS = 1.0
"""Time to the final answer of a request that waits when a block begins."""


async def send_prompt(
    harness: GatewayHarness, attempt: str, parts: str, **more_headers: str
) -> tuple[int, bytes, dict[str, str]]:
    """Send a request for a stream; its last part is its own."""
    status, body, headers = await send_request(
        harness,
        f"/stream/{attempt}",
        "POST",
        attempt=attempt,
        **{
            "Sycamorehaven-Model": "m",
            "Sycamorehaven-Token-Usage": "900,5",
            "Sycamorehaven-Prefix-Hash": f"{parts},{attempt}:100",
            **more_headers,
        },
    )
    return status, body, headers


async def restart_crashed_servers(harness: GatewayHarness) -> None:
    """Publish the new start of each server, as a restarted one does."""
    for server in harness.servers:
        harness.register(server)
    await harness.wait_for_store()


async def test_requests_with_one_bad_part_crash_server_after_server(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.bad_parts = {"bad"}
    assert (await send_prompt(harness, "sound", "system:800"))[1] == COMPLETE_STREAM
    for number in range(BAD_REQUESTS):
        await send_prompt(harness, f"bad{number}", "system:700,bad:100")
        await restart_crashed_servers(harness)
    crashes = sum(len(server.crashed_attempt_ids) for server in harness.servers)
    assert crashes <= 5 + MAX_SENDS_AFTER_FIFTH_CRASH
    assert (await send_prompt(harness, "after", "system:800"))[1] == COMPLETE_STREAM


def block_part(harness: GatewayHarness) -> StrikeExchange:
    """Report three servers lost with the bad part; return the exchange."""
    assert harness.gateway is not None
    assert harness.gateway._forwarding is not None
    exchange = harness.gateway._forwarding.strikes
    part = hash_part("plain", "bad")
    for number in range(3):
        exchange._clock = lambda number=number: time.monotonic() + number - 3  # type: ignore[misc]
        exchange.report_loss(SuspectKeys(number, (part,)), f"gone{number}/1")
    exchange._clock = time.monotonic
    return exchange


async def test_request_with_a_blocked_part_is_refused_with_its_own_code(
    harness: GatewayHarness,
) -> None:
    block_part(harness)
    status, body, headers = await send_prompt(harness, "a", "system:1,bad:1")
    problem = msgspec.json.decode(body)
    assert (status, problem["code"], problem["was_run"]) == (
        503,
        "crash_suspected",
        "no",
    )
    assert "part bad of the prompt" in problem["detail"]
    assert 1.0 <= float(headers["Retry-After"]) <= FIRST_BLOCK_SECONDS
    assert not any(server.run_attempt_ids for server in harness.servers)
    assert (await send_prompt(harness, "b", "system:1"))[1] == COMPLETE_STREAM


async def test_taken_up_stream_with_a_blocked_part_reaches_no_server(
    harness: GatewayHarness,
) -> None:
    block_part(harness)
    resumption = {"Last-Event-Id": "2", "Resumes": "before"}
    status, body, _ = await send_prompt(harness, "a", "bad:1", **resumption)
    assert (status, msgspec.json.decode(body)["code"]) == (503, "crash_suspected")
    assert not any(server.run_attempt_ids for server in harness.servers)


async def test_runs_that_wait_for_their_answer_end_when_the_block_begins(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "hang"
    bad = [
        asyncio.create_task(send_prompt(harness, f"b{number}", "system:1,bad:1"))
        for number in range(4)
    ]
    sound = asyncio.create_task(send_prompt(harness, "sound", "system:1"))
    await wait_until(
        lambda: sum(len(server.run_attempt_ids) for server in harness.servers) >= 5
    )
    began = time.monotonic()
    block_part(harness)
    answers = await asyncio.gather(*bad)
    assert time.monotonic() - began < MAX_ANSWER_SECONDS
    # They were sent, so nothing promises that they have not run.
    assert [status for status, _, _ in answers] == [502] * 4
    assert sum(server.cancelled_count for server in harness.servers) == 4
    assert not sound.done()
    sound.cancel()
