"""Tests of decisions on leaving servers from delayed evidence."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.server_departure import (
    HOST_LIST_SOURCE,
    LEAVING,
    LEAVING_REFRESH_SECONDS,
    LISTED_LIVE_SETTLE_SECONDS,
    REPORT_LAG_SECONDS,
    SERVING,
    HostListObservation,
    StateRegister,
    create_version,
    decide_state_from_listing,
    decide_state_from_report,
    is_newer_state,
    update_observation,
)
from sycamorehaven.transport.messages.servers import ServerStateRow

STATE_MESSAGES = st.builds(
    ServerStateRow,
    st.just("s"),
    st.just(HOST_LIST_SOURCE),
    st.sampled_from([LEAVING, SERVING]),
    st.integers(0, 5),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(STATE_MESSAGES, max_size=5))
def test_registers_converge_in_any_order(messages: list[ServerStateRow]) -> None:
    final_states = set()
    for order in itertools.permutations(messages):
        known: StateRegister | None = None
        for message in [*order, *order]:
            if is_newer_state(message, known):
                known = StateRegister(message.state, message.version, 0.0)
        final_states.add(known)
    assert len(final_states) == 1


def test_new_version_is_newer_if_the_clock_is_slow() -> None:
    known = StateRegister(LEAVING, 5_000, 0.0)
    message = ServerStateRow("s", HOST_LIST_SOURCE, SERVING, create_version(known, 10))
    assert is_newer_state(message, known)
    assert create_version(None, 10) == 10


def test_stale_host_list_does_not_end_leaving() -> None:
    known = StateRegister(LEAVING, 1, learned_at=10.0)
    observation = update_observation(None, leaving=False, now=1.0)
    assert decide_state_from_listing(observation, known, 20.0) is None
    assert (
        decide_state_from_listing(observation, known, 10.0 + LISTED_LIVE_SETTLE_SECONDS)
        is None
    )
    assert (
        decide_state_from_listing(observation, known, 10.1 + LISTED_LIVE_SETTLE_SECONDS)
        == SERVING
    )


def test_observed_return_to_live_ends_leaving() -> None:
    departed = update_observation(
        update_observation(None, leaving=False, now=1.0), leaving=True, now=2.0
    )
    assert decide_state_from_listing(departed, None, 2.0) == LEAVING
    known = StateRegister(LEAVING, 1, learned_at=2.0)
    assert decide_state_from_listing(departed, known, 3.0) is None
    assert (
        decide_state_from_listing(departed, known, 2.1 + LEAVING_REFRESH_SECONDS)
        == LEAVING
    )
    returned = update_observation(departed, leaving=False, now=9.0)
    assert decide_state_from_listing(returned, known, 9.0) == SERVING
    earlier_change = HostListObservation(False, since=1.0, has_changed=True)
    assert decide_state_from_listing(earlier_change, known, 9.0) is None


def test_stale_load_report_does_not_end_leaving() -> None:
    known = StateRegister(LEAVING, 1, learned_at=10.0)
    assert (
        decide_state_from_report(
            leaving=False, known=known, now=10.0 + REPORT_LAG_SECONDS
        )
        is None
    )
    assert (
        decide_state_from_report(
            leaving=False, known=known, now=10.1 + REPORT_LAG_SECONDS
        )
        == SERVING
    )
    assert decide_state_from_report(leaving=False, known=known, now=10.2) is None
    assert decide_state_from_report(leaving=True, known=known, now=11.0) is None
    assert decide_state_from_report(leaving=True, known=None, now=11.0) == LEAVING
    assert decide_state_from_report(leaving=False, known=None, now=11.0) is None
