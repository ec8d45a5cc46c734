"""Tests of reading request targets, also ambiguous and malformed ones."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from yarl import URL

from sycamorehaven.configuration.model import CallRule, Service
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.transport.call_reader import choose_rule, split_target

SERVICE = Service(
    "bookings",
    "plain",
    (),
    (
        CallRule("POST", "/lookups", True, False),
        CallRule("GET", "/reports", False, False),
    ),
    1.0,
    1.0,
    0.1,
)

AMBIGUOUS_PATHS = (
    "/../other/v1",
    "/a/%2e%2e/b",
    "/a%2Fb",
    "/a%2f..%2f..%2fc",
    "//evil.example/x",
    "/a//b",
    "/%5c..%5c",
    "/lookups/../bookings",
    "/lookups%2f..%2fbookings",
)


def test_target_keeps_every_byte_of_the_path() -> None:
    for path in (*AMBIGUOUS_PATHS, "/a?b=/../c&d=%20", "/%41;x=1", "/"):
        assert split_target(f"/v1/services/bookings{path}") == ("bookings", path)
    absolute = split_target("http://any.example:1/v1/services/bookings/x")
    assert absolute == ("bookings", "/x")


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.text(alphabet="/.%2fFeE5cC\\ab?#@:;", max_size=40))
def test_no_path_changes_the_server_or_the_service(path: str) -> None:
    try:
        target = split_target(f"/v1/services/bookings/{path}")
    except Refusal:
        return
    assert target.service == "bookings"
    url = URL(f"http://127.0.0.1:9{target.path}", encoded=True)
    assert (url.host, url.port) == ("127.0.0.1", 9)
    assert url.raw_path_qs == target.path or "?" in target.path


def test_ambiguous_path_gets_the_strictest_rule() -> None:
    assert choose_rule(SERVICE, "POST", "/lookups/x?y=/../z").idempotent
    assert choose_rule(SERVICE, "PUT", "/items/a%2Fb").idempotent
    for path in AMBIGUOUS_PATHS:
        for method in ("POST", "GET"):
            assert not choose_rule(SERVICE, method, path).idempotent, path
