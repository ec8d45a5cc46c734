"""Bounds of preemption."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.model import CallRule
from sycamorehaven.decisions.holdings import PermitName
from sycamorehaven.decisions.preemption import (
    MOST_PREEMPTIONS,
    PATIENCE,
    SHORTEST_RUN,
    TURN,
    Candidate,
    Claimant,
    Preemptor,
    is_preemptible,
)
from sycamorehaven.identity import RouterId

NOW = 1000.0


def name(number: int) -> PermitName:
    """Return a permit's name."""
    return PermitName(RouterId("s1", 1), number)


CLAIMANT = Claimant("elmplace", 0.0, 10.0, 1, 1.0)
STREAM = Candidate(name(1), "oakcourt", 100.0, NOW - 60.0, True, False)


def choose(claimant: Claimant, *candidates: Candidate, turn: int = 0) -> list[int]:
    """Return the permits that a new preemptor would take."""
    orders = Preemptor().choose([claimant], candidates, NOW, turn)
    return [order.permit.number for order in orders]


def test_newest_stream_makes_way() -> None:
    older = STREAM._replace(permit=name(2), granted_at=NOW - 90.0)
    newer = STREAM._replace(permit=name(3), granted_at=NOW - 30.0)
    assert choose(CLAIMANT, older, newer, STREAM) == [3]


def test_stream_that_cannot_resume_or_is_young_stays() -> None:
    young = STREAM._replace(granted_at=NOW - SHORTEST_RUN / 2)
    assert choose(CLAIMANT, STREAM._replace(resumable=False), young) == []


def test_workspace_ahead_of_the_victim_gains_nothing() -> None:
    assert choose(CLAIMANT._replace(virtual_time=100.0), STREAM) == [1]
    assert choose(CLAIMANT._replace(virtual_time=100.1), STREAM) == []


def test_own_stream_makes_way_unless_it_is_guaranteed() -> None:
    own = STREAM._replace(workspace="elmplace")
    ahead = CLAIMANT._replace(virtual_time=101.0)
    assert choose(ahead, own) == [1]
    assert choose(ahead, own._replace(guaranteed=True)) == []


def test_short_wait_preempts_nothing() -> None:
    assert choose(CLAIMANT._replace(oldest_age=PATIENCE / 2), STREAM) == []


def test_later_schedulers_wait_for_their_turn() -> None:
    claimant = CLAIMANT._replace(oldest_age=PATIENCE)
    assert choose(claimant, STREAM, turn=0) == [1]
    assert choose(claimant, STREAM, turn=1) == []
    patient = CLAIMANT._replace(oldest_age=PATIENCE + TURN)
    assert choose(patient, STREAM, turn=1) == [1]
    assert choose(patient, STREAM, turn=2) == []


def test_one_outstanding_preemption_for_a_waiting_request() -> None:
    preemptor = Preemptor()
    streams = [STREAM._replace(permit=name(number)) for number in range(4)]
    assert len(preemptor.choose([CLAIMANT], streams, NOW)) == 1
    assert preemptor.choose([CLAIMANT], streams, NOW + 0.5) == []
    two = CLAIMANT._replace(waiting=2)
    assert len(preemptor.choose([two], streams, NOW + 0.6)) == 1
    preemptor.forget(name(3))
    preemptor.forget(name(2))
    assert preemptor.outstanding == 0


def test_request_is_preempted_a_bounded_number_of_times() -> None:
    rule = CallRule("POST", "/v1/completions", True, True)
    assert is_preemptible(rule, MOST_PREEMPTIONS - 1)
    assert not is_preemptible(rule, MOST_PREEMPTIONS)
    assert not is_preemptible(rule._replace(idempotent=False), 0)
    assert not is_preemptible(rule._replace(resumable=False), 0)


WORKSPACES = st.sampled_from(["a", "b", "c"])


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.builds(
            Claimant,
            WORKSPACES,
            st.floats(0.0, 100.0),
            st.floats(0.0, 50.0),
            st.integers(1, 5),
            st.floats(0.0, 0.2),
        ),
        max_size=3,
        unique_by=lambda claimant: claimant.workspace,
    ),
    st.lists(
        st.builds(
            Candidate,
            st.builds(name, st.integers(0, 20)),
            WORKSPACES,
            st.floats(0.0, 200.0),
            st.floats(NOW - 3.0, NOW),
            st.booleans(),
            st.booleans(),
        ),
        max_size=20,
        unique_by=lambda candidate: candidate.permit,
    ),
)
def test_no_order_breaks_a_bound(
    claimants: list[Claimant], candidates: list[Candidate]
) -> None:
    preemptor = Preemptor()
    orders = preemptor.choose(claimants, candidates, NOW)
    orders += preemptor.choose(claimants, candidates, NOW + 0.1)
    streams = {candidate.permit: candidate for candidate in candidates}
    assert len({order.permit for order in orders}) == len(orders)
    for claimant in claimants:
        mine = [o for o in orders if o.workspace == claimant.workspace]
        assert len(mine) <= claimant.waiting
        for order in mine:
            victim = streams[order.permit]
            assert victim.resumable
            if victim.workspace == claimant.workspace:
                assert not victim.guaranteed
            else:
                assert claimant.virtual_time <= victim.virtual_time + 1e-6
