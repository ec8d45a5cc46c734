"""Look-up of routes by host and prefix, and the choice of a service."""

from __future__ import annotations

from sycamorehaven.routing.model import Route, WeightedService
from sycamorehaven.routing.table import RouteTable, choose_service

WEIGHTED_SERVICES = (WeightedService("a", 90.0), WeightedService("b", 10.0))


def build_route(name: str, prefix: str) -> Route:
    return Route(
        name, "One.example", prefix, "idempotent", 1.0, 0.1, 0.0, WEIGHTED_SERVICES, 1,
        0, public=True, resumable=False,
    )  # fmt: skip


def test_route_with_longest_prefix_is_found() -> None:
    table = RouteTable([build_route("short", "/a/"), build_route("long", "/a/b/")])
    for path, name in (("/a/x", "short"), ("/a/b/x", "long"), ("/a/bc", "short")):
        found = table.find_route("one.EXAMPLE:80", path)
        assert found is not None
        assert found.name == name
    assert table.find_route("one.example", "/b/") is None
    assert table.find_route("two.example", "/a/") is None


def test_choose_service_follows_weights() -> None:
    chosen = [choose_service(WEIGHTED_SERVICES, point / 1000) for point in range(1000)]
    assert chosen.count("b") == 100
