"""Decoding of the platform's entries."""

from __future__ import annotations

import json
import math

from sycamorehaven.platform.decoding import (
    decode_configuration,
    decode_evacuations,
    decode_server,
)
from sycamorehaven.platform.documents import WireItem

SERVER = {
    "service": "model",
    "address": "10.0.0.1:8080",
    "zone": "north",
    "slots": 4,
    "state": "ready",
}
"""A valid entry without the fields that tell whether the server is cold."""


def decode_cold_seconds(**fields: object) -> float | None:
    """Return how long an entry with some fields says that it stays cold."""
    item = WireItem("servers/i-1", json.dumps(SERVER | fields).encode(), 7)
    decoded = decode_server(item)
    assert decoded is not None
    return decoded.cold.seconds if decoded.cold else None


def test_entry_tells_how_long_a_server_stays_cold() -> None:
    """Guards against cold servers that are taken for warm ones."""
    assert decode_cold_seconds(coldRemainingMs=2_500) == 2.5
    assert decode_cold_seconds(coldRemainingMs=0) is None
    assert decode_cold_seconds() is None


def test_malformed_duration_hides_no_server() -> None:
    """Guards against servers lost, or taken for warm, by one bad field."""
    malformed: tuple[object, ...] = ("soon", -1, [], True, 1e300)
    for value in malformed:
        assert decode_cold_seconds(coldRemainingMs=value) == math.inf


def test_configuration_tells_what_cold_servers_tolerate() -> None:
    """Guards against a rate that is read from the wrong name or unit."""
    service = {"name": "model", "coldStartS": 3.0, "coldPerS": 8.8}
    document = {"version": 1, "routes": [], "services": [service, {"name": "plain"}]}
    item = WireItem("op/config", json.dumps(document).encode(), 7)
    services = decode_configuration(item).services
    assert (services["model"].cold_rate, services["model"].cold_start) == (8.8, 3.0)
    assert services["plain"].cold_rate == 0.0


def test_only_named_domains_are_evacuated() -> None:
    """Guards against other items of the operators taken for evacuations."""
    keys = ("op/config", "op/evacuate/south", "op/evacuate/", "op/evacuate/north")
    items = [WireItem(key, b"{}", 1) for key in keys]
    domains = [evacuation.domain for evacuation in decode_evacuations(items)]
    assert domains == ["north", "south"]
