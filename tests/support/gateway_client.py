"""A client of the gateway under test."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from tests.support.gateway_harness import API_KEY, ROUTE_HOST

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

COMPLETE_STREAM = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
"""All events that a backend server sends in a stream."""


async def send_request(
    harness: GatewayHarness,
    path: str,
    method: str = "GET",
    key: str = API_KEY,
    attempt: str = "a1",
    **extra_headers: str,
) -> tuple[int, bytes, Any]:
    """Send a request; return status, body and headers of the response."""
    headers = {
        "Host": ROUTE_HOST,
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Key": key,
        "Sycamorehaven-Deadline-Ms": "3000",
        **extra_headers,
    }
    async with (
        aiohttp.ClientSession() as client,
        client.request(
            method, f"http://{harness.callers_address}{path}", headers=headers
        ) as response,
    ):
        return response.status, await response.read(), response.headers
