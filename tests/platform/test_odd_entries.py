"""Entries of another writer among those of the servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.fleet import SnapshotReply
from tests.support.gateway_client import send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

DEEP = b"[" * 200_000 + b"]" * 200_000
HUGE = b"9" * 400


def replace_value(entry: dict[str, Any], name: str, raw: bytes) -> bytes:
    """Return an entry as JSON with the raw text of one value."""
    return msgspec.json.encode({**entry, name: msgspec.Raw(raw)})


def list_odd_entries(entry: dict[str, Any]) -> list[bytes]:
    """Return entries that name no server to use."""
    odd = [DEEP, HUGE, b"", b"null", b"\xff\xfe", b"{" * 5_000]
    for name in ("slots", "born", "service", "address", "zone", "state", "extra"):
        odd += [replace_value(entry, name, raw) for raw in (DEEP, HUGE, b"1e999")]
    for name in ("slots", "born"):
        odd += [
            replace_value(entry, name, raw)
            for raw in (b"-1", b"9223372036854775808", b"18446744073709551616")
        ]
    odd += [
        replace_value(entry, "address", msgspec.json.encode(address))
        for address in (
            "127.0.0.1:65536",
            "127.0.0.1:99999999999",
            "127.0.0.1:0",
            "127.0.0.1:\u0661",
            "127.0.0.256:80",
            "127.0.0.1@x.y.z.w:80",
            "...:80",
            "127.0.0.1:",
        )
    ]
    return odd


async def test_odd_entry_does_not_stop_a_router_from_following_the_list(
    harness: GatewayHarness,
) -> None:
    entry = {**harness.servers[0].build_entry(), "service": "plain"}
    for number, raw in enumerate(list_odd_entries(entry)):
        harness.store.put("servers/odd", raw)
        # The entry of a known server changes together with the odd one.
        name = harness.servers[number % 2].name
        harness.servers[number % 2].started_at_ms += 1
        harness.register(harness.servers[number % 2])
        await harness.wait_for_store()
        started = {
            server.id: server.started_at_ms
            for server in harness.board.routing.list_servers()
        }
        assert started[name] == harness.servers[number % 2].started_at_ms, raw[:80]
        snapshot = harness.board.routing.snapshot
        assert snapshot is not None
        # Routers pass the list on to each other.
        codec = Codec(RouterId("r1", 1), "10.0.0.2:1")
        codec.decode(codec.encode(SnapshotReply(snapshot, 0.0)))
    for number in range(8):
        status, _, _ = await send_request(harness, "/look/x", attempt=f"a{number}")
        assert status == 200


async def test_odd_configuration_keeps_the_previous_one(
    harness: GatewayHarness,
) -> None:
    for raw in (DEEP, HUGE, b'{"version": ' + HUGE + b"}", b"\xff"):
        harness.store.put("op/config", raw)
        await harness.wait_for_store()
        assert harness.board.routing.configuration is not None
    status, _, _ = await send_request(harness, "/look/x")
    assert status == 200
