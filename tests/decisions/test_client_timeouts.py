"""Estimates of how long clients have waited since their first attempt."""

from __future__ import annotations

import random

from sycamorehaven.decisions.client_timeouts import ClientTimeouts
from sycamorehaven.routing.requests import RequestHead, RoutedRequest
from tests.support.published_routes import STREAMING_ROUTE


def build_request(timeout: float | None) -> RoutedRequest:
    head = RequestHead("x", timeout, "", "m", (), 0, 0, None)
    return RoutedRequest(
        head,
        "POST",
        "/",
        (),
        b"",
        STREAMING_ROUTE,
        "model",
        "hot",
        0.0,
        timeout or 12.0,
    )


def test_first_attempts_with_different_timeouts_are_not_late() -> None:
    timeouts, rng = ClientTimeouts(), random.Random(1)
    for _ in range(1_000):
        request = build_request(12.0 * rng.uniform(0.85, 1.0))
        timeouts.record(request)
        assert timeouts.estimate_elapsed(request) == 0.0


def test_attempt_with_a_much_shorter_timeout_is_late() -> None:
    timeouts = ClientTimeouts()
    timeouts.record(build_request(12.0))
    repeat = build_request(6.0)
    timeouts.record(repeat)
    assert timeouts.estimate_elapsed(repeat) > STREAMING_ROUTE.latency_target
    assert timeouts.estimate_elapsed(build_request(None)) == 0.0
