"""Test that a gateway relays answers for which it has no memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.gateway_client import send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness


async def test_answers_are_relayed_whole_while_their_memory_is_used_up(
    harness: GatewayHarness,
) -> None:
    assert harness.gateway is not None
    forwarding = harness.gateway._forwarding
    assert forwarding is not None
    held = forwarding.answer_memory.open()
    held.grow(1 << 30)
    status, body, _ = await send_request(harness, "/look/1")
    assert (status, body[:4]) == (200, b"by s")
    held.close()
    # What failed answers held is released as well.
    harness.servers[0].status = harness.servers[1].status = 500
    assert (await send_request(harness, "/look/1"))[0] == 500
    assert forwarding.answer_memory.total == 0
