"""What is known of servers from what they say of themselves."""

from __future__ import annotations

from sycamorehaven.blackboard.server_conditions import (
    MEMORY_SECONDS,
    ServerConditionsSection,
)
from sycamorehaven.decisions.server_conditions import (
    MAX_REST_SECONDS,
    UNREADABLE_REPORT_SECONDS,
    ConditionChange,
    NamedLimit,
    ServerConditions,
)
from sycamorehaven.routing.requests import ServerStatement

EMPTY = ServerStatement()


def test_limit_is_named_changed_and_ended() -> None:
    conditions = ServerConditions()
    changes = [
        *conditions.apply_response(ServerStatement(limit=4.0), 0.9, 1.0),
        *conditions.apply_response(ServerStatement(limit=4.0), 1.9, 2.0),
        *conditions.apply_response(ServerStatement(limit=2.5), 2.9, 3.0),
        *conditions.apply_response(EMPTY, 3.9, 4.0),
        *conditions.apply_response(EMPTY, 4.9, 5.0),
    ]
    assert changes == [
        ConditionChange("limit", "named", 4.0),
        ConditionChange("limit", "changed", 2.5, 4.0),
        ConditionChange("limit", "ended", 0.0, 2.5),
    ]


def test_response_to_an_earlier_request_does_not_end_a_limit() -> None:
    conditions = ServerConditions()
    conditions.apply_response(ServerStatement(limit=4.0), 0.9, 1.0)
    assert not conditions.apply_response(EMPTY, 0.5, 1.1)
    assert conditions.limit.rate == 4.0


def test_value_that_makes_no_sense_does_not_end_a_limit() -> None:
    conditions = ServerConditions()
    conditions.apply_response(ServerStatement(limit=4.0), 0.9, 1.0)
    conditions.apply_response(ServerStatement(unreadable=("Server-Limit: x",)), 1.9, 2)
    assert conditions.limit.rate == 4.0


def test_older_news_of_a_limit_change_nothing() -> None:
    conditions = ServerConditions()
    conditions.apply_response(ServerStatement(limit=4.0), 0.9, 1.0)
    assert not conditions.apply_limit(NamedLimit(9.0, 0.5))
    assert conditions.limit.rate == 4.0


def test_rest_is_not_shortened_and_ends_once() -> None:
    conditions = ServerConditions()
    named = conditions.apply_response(ServerStatement(rest=3.0), 0.0, 1.0)
    assert named == [ConditionChange("rest", "named", 3.0)]
    assert not conditions.apply_response(ServerStatement(rest=1.0), 0.0, 1.5)
    assert conditions.rest_until == 4.0
    assert not conditions.end_rest(3.9)
    assert conditions.end_rest(4.0) == [ConditionChange("rest", "ended", previous=3.0)]
    assert not conditions.end_rest(4.1)


def test_foolishly_long_rest_does_not_lose_the_server() -> None:
    conditions = ServerConditions()
    conditions.apply_response(ServerStatement(rest=999_999_999.0), 0.0, 1.0)
    assert conditions.rest_until == 1.0 + MAX_REST_SECONDS


def test_unreadable_headers_are_reported_now_and_then() -> None:
    conditions = ServerConditions()
    bad = ServerStatement(unreadable=("Server-Limit: x",))
    reports = [conditions.apply_response(bad, 0.0, 1.0 + n / 10) for n in range(50)]
    assert sum(map(len, reports)) == 1
    assert conditions.apply_response(bad, 0.0, 1.0 + UNREADABLE_REPORT_SECONDS)


def test_server_that_leaves_is_remembered_after_its_entry_is_gone() -> None:
    section = ServerConditionsSection("a1")
    section.get("s1/1").conditions.apply_leaving(5.0)
    section.retain(set(), 10.0)
    section.retain(set(), 10.0 + MEMORY_SECONDS)
    known = section.find("s1/1")
    assert known is not None
    assert known.conditions.leaving_since == 5.0
    section.retain(set(), 10.1 + MEMORY_SECONDS)
    assert section.find("s1/1") is None
