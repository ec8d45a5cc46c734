"""Test which connections make way for others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sycamorehaven.decisions.client_limits.evictions import (
    STALL_SECONDS,
    UnfinishedRequest,
    list_slowest,
    list_stalled,
)

NOW = 100.0
TIMES = st.floats(0.0, NOW)
REQUESTS = st.builds(
    UnfinishedRequest, st.integers(0, 50), TIMES, TIMES, st.integers(0, 5_000_000)
)


def test_body_that_is_longest_without_progress_goes_first() -> None:
    requests = [
        UnfinishedRequest(1, 10.0, 90.0, 4_000_000),
        UnfinishedRequest(2, 10.0, 80.0, 4_000_000),
        UnfinishedRequest(3, 10.0, 99.9, 10),
    ]
    assert list_stalled(requests, NOW) == [2, 1]


def test_long_upload_stays_while_slow_senders_make_way() -> None:
    # Guards against cutting the oldest request, which may be a long upload.
    upload = UnfinishedRequest(1, 10.0, 99.9, 4_000_000)
    slow = [UnfinishedRequest(n, 60.0 + n, 99.9, 200) for n in range(2, 10)]
    assert list_slowest([upload, *slow], NOW)[-1] == 1


def test_request_that_has_just_begun_makes_way_last() -> None:
    young = UnfinishedRequest(1, 99.5, 99.5, 10)
    upload = UnfinishedRequest(2, 90.0, 99.9, 1_000_000)
    assert list_slowest([young, upload], NOW) == [2, 1]


@given(st.lists(REQUESTS, max_size=20))
def test_only_requests_without_progress_are_dropped_for_memory(
    requests: list[UnfinishedRequest],
) -> None:
    dropped = list_stalled(requests, NOW)
    stalled = [r for r in requests if NOW - r.progressed_at >= STALL_SECONDS]
    assert sorted(dropped) == sorted(r.connection for r in stalled)
