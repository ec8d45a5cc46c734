"""Errors with which servers answer a request that resumes a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from tests.support.gateway_client import COMPLETE_STREAM, send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

ERROR_STATUSES = (201, 204, 301, 400, 404, 429, 500, 502, 503)
REQUESTS = 4


async def count_broken_streams(harness: GatewayHarness, status: int) -> int:
    """
    Return how many streams break off visibly.

    Every other one is whole; nothing but its own events is in any.
    """
    breaking, refusing = harness.servers
    breaking.behaviour = "break"
    refusing.behaviour, refusing.status = "refuse_resume", status
    broken = 0
    for number in range(REQUESTS):
        try:
            answer, body, _ = await send_request(
                harness, "/stream/1", "POST", attempt=f"e{status}-{number}"
            )
        except aiohttp.ClientPayloadError:
            broken += 1
            continue
        assert (answer, body) == (200, COMPLETE_STREAM), (status, answer, body)
    return broken


async def test_error_after_a_break_is_not_written_into_the_stream(
    harness: GatewayHarness,
) -> None:
    broken = 0
    for status in ERROR_STATUSES:
        broken += await count_broken_streams(harness, status)
    assert broken, "no stream broke off and met an error"


async def test_only_events_of_the_server_reach_a_client_before_the_stream_breaks(
    harness: GatewayHarness,
) -> None:
    breaking, refusing = harness.servers
    breaking.behaviour = "break"
    refusing.behaviour, refusing.status = "refuse_resume", 500
    for number in range(REQUESTS):
        received = bytearray()
        headers = {
            "Host": "fleet.example",
            "Sycamorehaven-Attempt-Id": f"r{number}",
            "Sycamorehaven-Key": "key-of-oakcourt",
            "Sycamorehaven-Deadline-Ms": "3000",
        }
        url = f"http://{harness.callers_address}/stream/1"
        try:
            async with (
                aiohttp.ClientSession() as client,
                client.post(url, headers=headers) as response,
            ):
                async for chunk in response.content.iter_any():
                    received += chunk
        except aiohttp.ClientPayloadError:
            assert COMPLETE_STREAM.startswith(received)
            continue
        assert received == COMPLETE_STREAM
