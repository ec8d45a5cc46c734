"""Entries of servers that say that they are cold."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from tests.support.gateway_client import send_request
from tests.support.gateway_harness import build_configuration

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

MALFORMED = (b"-1", b'"soon"', b"true", b"[1]", b"9" * 400, b"1e999", b"3600001")
COLD_START_SECONDS = 60.0


def write_cold_rate(harness: GatewayHarness, rate: float) -> None:
    """Publish that the servers tolerate few requests while they are cold."""
    configuration = build_configuration()
    for service in configuration["services"]:
        service.update(coldPerS=rate, coldStartS=COLD_START_SECONDS)
    configuration["version"] = configuration.get("version", 1) + 1
    harness.store.put("op/config", configuration)


def get_cold_seconds(harness: GatewayHarness, number: int) -> float:
    """Return for how long a server counts as cold from now on."""
    server, now = harness.servers[number], time.monotonic()
    name = f"{server.name}/{server.started_at_ms}"
    period = harness.board.cold_servers.find(name, now)
    return period.until - now if period else 0.0


async def test_malformed_time_hides_a_server_or_that_it_is_cold(
    harness: GatewayHarness,
) -> None:
    write_cold_rate(harness, 1_000.0)
    server = harness.servers[0]
    for raw in MALFORMED:
        # Each start is another incarnation, for which the entry counts anew.
        server.started_at_ms += 1
        entry = {**server.build_entry(), "coldRemainingMs": msgspec.Raw(raw)}
        harness.store.put(f"servers/{server.name}", entry)
        await harness.wait_for_store()
        listed = {s.id: s for s in harness.board.routing.list_servers()}
        assert listed[server.name].started_at_ms == server.started_at_ms, raw
        assert get_cold_seconds(harness, 0) > COLD_START_SECONDS / 2, raw
    assert get_cold_seconds(harness, 1) == 0.0


async def test_cold_server_gets_as_many_requests_as_a_warm_one(
    harness: GatewayHarness,
) -> None:
    write_cold_rate(harness, 1.0)
    cold = harness.servers[0]
    entry = {**cold.build_entry(), "coldRemainingMs": 30_000}
    harness.store.put(f"servers/{cold.name}", entry)
    await harness.wait_for_store()
    sent_from = len(cold.received_at)
    began_at = time.monotonic()
    for number in range(30):
        status, _, _ = await send_request(harness, "/look/x", attempt=f"x{number}")
        assert status == 200
    elapsed = time.monotonic() - began_at
    assert len(cold.received_at) - sent_from <= 1.0 + elapsed
