"""Tests of idempotency tokens and of the routers that answer for them."""

from __future__ import annotations

from hypothesis import given, settings, strategies

from sycamorehaven.blackboard.members import Member
from sycamorehaven.decisions.idempotency_tokens import (
    IdempotencyToken,
    mint_token,
    parse_token,
    verify_token,
)
from sycamorehaven.decisions.token_routes import plan_route, rank_successors
from sycamorehaven.decisions.token_table import RETENTION_SECONDS
from sycamorehaven.identity import INCARNATION_RANDOM_BITS, RouterId

KEY = bytes(32)
OWNER = RouterId("a1", 1_000_000 << INCARNATION_RANDOM_BITS)


def create_token() -> IdempotencyToken:
    """Return a token that expires 600 s after the start of its owner."""
    return mint_token(OWNER, 600_000, bytes(12), KEY, "oakcourt")


def create_member(host: str, incarnation: int = 1, state: str = "alive") -> Member:
    """Return a member of the fleet."""
    return Member(host, incarnation, f"{host}:1", "a", state)


def test_token_round_trips_through_its_text() -> None:
    token = create_token()
    assert parse_token(token.format()) == token
    assert verify_token(token, KEY, "oakcourt")


def test_other_workspace_key_or_expiry_is_refused() -> None:
    token = create_token()
    assert not verify_token(token, KEY, "elmplace")
    assert not verify_token(token, bytes(31) + b"1", "oakcourt")
    assert not verify_token(token._replace(expires_after_ms=600_001), KEY, "oakcourt")


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    position=strategies.integers(0, 200),
    character=strategies.sampled_from("Aa0-_=%é "),
    length=strategies.integers(0, 200),
)
def check_corrupted_text(position: int, character: str, length: int) -> None:
    """Check that a corrupted text is never a valid token of the owner."""
    original = create_token().format()
    index = position % len(original)
    corrupted = (original[:index] + character + original[index + 1 :])[
        : max(length, 20)
    ]
    token = parse_token(corrupted)
    if corrupted != original:
        assert token is None or not verify_token(token, KEY, "oakcourt")


def test_corrupted_text_is_never_a_valid_token() -> None:
    check_corrupted_text()
    assert parse_token("") is None
    assert parse_token("A" * 300) is None


def test_route_names_the_owner_while_it_may_be_alive() -> None:
    members = [create_member("a1", OWNER.incarnation), create_member("a2")]
    route = plan_route(create_token(), RouterId("a2", 1), members, 1_100.0)
    assert (route.owner, route.is_final) == ("a1", False)
    assert route.successors == ("a2",)


def test_newer_incarnation_makes_the_route_final() -> None:
    members = [create_member("a1", OWNER.incarnation + 1), create_member("a2")]
    route = plan_route(create_token(), RouterId("a2", 1), members, 1_100.0)
    assert (route.owner, route.is_final) == ("", True)


def test_route_to_a_missing_owner_is_final_only_after_retention() -> None:
    members = [create_member("a2")]
    expiry = create_token().expires_at_epoch
    early = plan_route(create_token(), RouterId("a2", 1), members, expiry + 1.0)
    late = plan_route(
        create_token(), RouterId("a2", 1), members, expiry + RETENTION_SECONDS + 1.0
    )
    assert (early.owner, early.is_final) == ("", False)
    assert late.is_final


def test_restarted_owner_treats_its_earlier_incarnation_as_gone() -> None:
    own = RouterId("a1", OWNER.incarnation + 1)
    members = [create_member("a1", own.incarnation), create_member("a2")]
    route = plan_route(create_token(), own, members, 1_100.0)
    assert (route.owner, route.is_final) == ("", True)


def test_successors_exclude_the_owner_and_leaving_members() -> None:
    members = [
        create_member("a1"),
        create_member("a2"),
        create_member("a3", state="leaving"),
    ]
    assert rank_successors(create_token(), members, 2) == ("a2",)
