"""Routes by host and longest prefix."""

from __future__ import annotations

from sycamorehaven.routing.model import Route, Split
from sycamorehaven.routing.table import RouteTable, choose_service

SPLITS = (Split("a", 90.0), Split("b", 10.0))


def build_route(name: str, prefix: str) -> Route:
    return Route(
        name, "One.example", prefix, "idempotent", 1.0, 0.1, 0.0, SPLITS, 1, 0,
        public=True, resumable=False,
    )  # fmt: skip


def test_longest_prefix_of_the_host_is_the_route() -> None:
    table = RouteTable([build_route("short", "/a/"), build_route("long", "/a/b/")])
    for path, name in (("/a/x", "short"), ("/a/b/x", "long"), ("/a/bc", "short")):
        found = table.find("one.EXAMPLE:80", path)
        assert found is not None
        assert found.name == name
    assert table.find("one.example", "/b/") is None
    assert table.find("two.example", "/a/") is None


def test_splits_follow_their_weights() -> None:
    chosen = [choose_service(SPLITS, point / 1000) for point in range(1000)]
    assert chosen.count("b") == 100
