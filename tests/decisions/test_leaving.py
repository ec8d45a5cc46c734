"""Whether a backend server is leaving, from evidence that lags."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.leaving import (
    LEAVING,
    LIST_REFRESH,
    LIST_SETTLED,
    LISTED,
    REPORT_LAG,
    SERVING,
    ListedView,
    Register,
    create_version,
    is_news,
    judge_listing,
    judge_report,
    update_view,
)
from sycamorehaven.transport.messages.servers import ServerNews

ROWS = st.builds(
    ServerNews,
    st.just("s"),
    st.just(LISTED),
    st.sampled_from([LEAVING, SERVING]),
    st.integers(0, 5),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(ROWS, max_size=5))
def test_registers_agree_whatever_the_order(rows: list[ServerNews]) -> None:
    ends = set()
    for order in itertools.permutations(rows):
        known: Register | None = None
        for row in [*order, *order]:
            if is_news(row, known):
                known = Register(row.state, row.version, 0.0)
        ends.add(known)
    assert len(ends) == 1


def test_a_version_is_newer_even_if_the_clock_is_behind() -> None:
    known = Register(LEAVING, 5_000, 0.0)
    row = ServerNews("s", LISTED, SERVING, create_version(known, 10))
    assert is_news(row, known)
    assert create_version(None, 10) == 10


def test_a_list_that_lags_does_not_end_a_leaving() -> None:
    known = Register(LEAVING, 1, learned_at=10.0)
    lagging = update_view(None, leaving=False, now=1.0)
    assert judge_listing(lagging, known, 20.0) is None
    assert judge_listing(lagging, known, 10.0 + LIST_SETTLED) is None
    assert judge_listing(lagging, known, 10.1 + LIST_SETTLED) == SERVING


def test_a_change_back_that_this_router_saw_ends_a_leaving() -> None:
    left = update_view(update_view(None, leaving=False, now=1.0), leaving=True, now=2.0)
    assert judge_listing(left, None, 2.0) == LEAVING
    known = Register(LEAVING, 1, learned_at=2.0)
    assert judge_listing(left, known, 3.0) is None
    assert judge_listing(left, known, 2.1 + LIST_REFRESH) == LEAVING
    back = update_view(left, leaving=False, now=9.0)
    assert judge_listing(back, known, 9.0) == SERVING
    late = ListedView(False, since=1.0, has_changed=True)
    assert judge_listing(late, known, 9.0) is None


def test_a_report_that_lags_does_not_end_a_refusal() -> None:
    known = Register(LEAVING, 1, learned_at=10.0)
    assert judge_report(leaving=False, known=known, now=10.0 + REPORT_LAG) is None
    assert judge_report(leaving=False, known=known, now=10.1 + REPORT_LAG) == SERVING
    assert judge_report(leaving=False, known=known, now=10.2) is None
    assert judge_report(leaving=True, known=known, now=11.0) is None
    assert judge_report(leaving=True, known=None, now=11.0) == LEAVING
    assert judge_report(leaving=False, known=None, now=11.0) is None
