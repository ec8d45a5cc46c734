"""Requests that a router without time leaves to others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.support.gateway_pair import GatewayPair


# Clients of a workspace may depend on one host beside others that are idle.
async def test_host_without_time_rejects_requests_beside_idle_hosts(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    statuses = await gateway_pair.flood()
    assert statuses[-10:] == [200] * 10, statuses
