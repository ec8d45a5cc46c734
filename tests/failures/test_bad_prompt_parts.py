"""A part of prompts crashes each server that begins to answer on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.gateway_client import COMPLETE_STREAM, send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

MAX_SENDS_AFTER_FIFTH_CRASH = 3
"""Number of requests with the part that may reach servers later."""
BAD_REQUESTS = 12


async def send_prompt(
    harness: GatewayHarness, attempt: str, parts: str
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
