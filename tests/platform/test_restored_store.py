"""The platform's store comes back from an older copy of itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.gateway_client import send_request
from tests.support.gateway_harness import API_KEY, build_configuration, wait_until

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

RESTORE_READ_SECONDS = 1.5
"""Time in which a router reads the store twice."""


def publish(harness: GatewayHarness, version: int) -> str:
    """Publish a configuration with a key of its own; return the key."""
    key = f"key-of-version-{version}"
    tenants = [{"name": "oakcourt", "apiKeys": [API_KEY, key]}]
    harness.store.put("op/config", build_configuration(version, tenants=tenants))
    return key


async def test_changes_after_the_restoration_are_followed(
    harness: GatewayHarness,
) -> None:
    copied = harness.store.copy()
    for version in range(2, 12):
        publish(harness, version)
    await harness.wait_for_store()
    harness.store.restore(copied)
    key = publish(harness, 12)
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert (await send_request(harness, "/look/1", key=key))[0] == 200
    added = await harness.add_server("s3", "v1")
    await wait_until(lambda: added.name in harness.board.routing.list_server_ids())


async def test_older_configuration_of_the_copy_does_not_take_force(
    harness: GatewayHarness,
) -> None:
    copied = harness.store.copy()
    key = publish(harness, 2)
    await harness.wait_for_store()
    harness.store.restore(copied)
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert (await send_request(harness, "/look/1", key=key))[0] == 200
    publish(harness, 2)
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert (await send_request(harness, "/look/1", key=key))[0] == 200
    newest = publish(harness, 3)
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert (await send_request(harness, "/look/1", key=newest))[0] == 200


async def test_servers_that_the_copy_lacks_are_used_until_they_register_again(
    harness: GatewayHarness,
) -> None:
    harness.store.remove("servers/s2")
    await harness.wait_for_store()
    copied = harness.store.copy()
    harness.register(harness.servers[1])
    await harness.wait_for_store()
    harness.store.restore(copied)
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert harness.board.routing.list_server_ids() == {"s1", "s2"}
    harness.register(harness.servers[1])
    await asyncio.sleep(RESTORE_READ_SECONDS)
    assert harness.board.routing.list_server_ids() == {"s1", "s2"}


async def test_servers_that_have_left_since_the_copy_get_no_requests(
    harness: GatewayHarness,
) -> None:
    copied = harness.store.copy()
    harness.register(harness.servers[0], "draining")
    harness.store.remove("servers/s2")
    await harness.add_server("s3", "v1")
    harness.store.restore(copied)
    harness.register(harness.servers[2])
    await asyncio.sleep(RESTORE_READ_SECONDS)
    for number in range(8):
        attempt = f"a{number}"
        assert (await send_request(harness, "/look/1", attempt=attempt))[0] == 200
    assert [len(server.run_attempt_ids) for server in harness.servers] == [0, 0, 8]
