"""When a server takes the next request of a router."""

from __future__ import annotations

from sycamorehaven.decisions.limit_shares import NO_ALLOWANCE, Allowance
from sycamorehaven.decisions.server_conditions import NamedLimit, ServerConditions
from sycamorehaven.decisions.server_openings import (
    ALWAYS_OPEN,
    RETURN_SECONDS,
    ServerGate,
)
from sycamorehaven.routing.requests import ServerStatement

SHARE = Allowance(2.0, 1.0)
STEP_SECONDS = 0.01


def count_sends(
    gate: ServerGate, begin: float, end: float, share: Allowance = NO_ALLOWANCE
) -> int:
    """Return how many requests are sent while they always wait."""
    count = 0
    for step in range(round((end - begin) / STEP_SECONDS)):
        now = begin + step * STEP_SECONDS
        while count < 1_000 and gate.find_opening(share, now).is_open:
            gate.take()
            count += 1
    return count


def test_server_that_said_nothing_is_open() -> None:
    gate = ServerGate(ServerConditions())
    assert gate.find_opening(NO_ALLOWANCE, 5.0) is ALWAYS_OPEN


def test_server_at_rest_is_shut_until_the_rest_is_over() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_response(ServerStatement(rest=3.0), 9.9, 10.0)
    opening = gate.find_opening(NO_ALLOWANCE, 10.0)
    assert (opening.at, opening.closed_by) == (13.0, "rest")
    assert gate.is_shut(12.9)
    assert not gate.is_shut(13.0)


def test_server_that_has_rested_returns_by_degrees() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_response(ServerStatement(rest=3.0), 9.9, 10.0)
    assert not count_sends(gate, 10.0, 13.0)
    first = count_sends(gate, 13.0, 14.0)
    second = count_sends(gate, 14.0, 15.0)
    assert 1 <= first <= 6
    assert first < second <= 4 * first + 6
    assert gate.find_opening(NO_ALLOWANCE, 13.0 + RETURN_SECONDS) is ALWAYS_OPEN


def test_limited_server_gets_what_the_share_allows() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_limit(NamedLimit(8.0, 1.0))
    assert gate.find_opening(SHARE, 1.0).closed_by == "limit"
    assert count_sends(gate, 1.0, 11.0, SHARE) in (19, 20)


def test_limit_holds_for_a_server_that_returns_from_a_rest() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_limit(NamedLimit(2.0, 1.0))
    gate.conditions.apply_response(ServerStatement(rest=1.0, limit=2.0), 0.9, 1.0)
    assert count_sends(gate, 1.0, 6.0, Allowance(1.0, 1.0)) <= 4


def test_request_that_did_not_reach_the_server_is_given_back() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_limit(NamedLimit(2.0, 1.0))
    assert not gate.find_opening(SHARE, 1.0).is_open
    assert gate.find_opening(SHARE, 2.0).is_open
    gate.take()
    assert not gate.find_opening(SHARE, 2.0).is_open
    gate.give_back()
    assert gate.find_opening(SHARE, 2.0).is_open


def test_server_that_leaves_takes_nothing_for_good() -> None:
    gate = ServerGate(ServerConditions())
    gate.conditions.apply_response(ServerStatement(leaving=True), 0.9, 1.0)
    gate.conditions.apply_response(ServerStatement(), 1.9, 2.0)
    for now in (1.0, 100.0, 1e6):
        assert gate.find_opening(SHARE, now).closed_by == "leaving"
        assert gate.is_shut(now)
