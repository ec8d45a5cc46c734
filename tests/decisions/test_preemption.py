"""Tests of the rules that limit preemption."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.model import CallRule
from sycamorehaven.decisions.outstanding_permits import PermitId
from sycamorehaven.decisions.preemption import (
    MAX_PREEMPTIONS,
    MIN_RUN_SECONDS,
    MIN_WAIT_SECONDS,
    WAIT_PER_RANK_SECONDS,
    Claimant,
    PreemptionCandidate,
    PreemptionPlanner,
    is_preemptible,
)
from sycamorehaven.identity import RouterId

NOW = 1000.0


def make_permit_id(number: int) -> PermitId:
    """Return the identifier of a permit."""
    return PermitId(RouterId("s1", 1), number)


CLAIMANT = Claimant("elmplace", 0.0, 10.0, 1, 1.0)
STREAM = PreemptionCandidate(
    make_permit_id(1), "oakcourt", 100.0, NOW - 60.0, True, False
)


def plan(
    claimant: Claimant, *candidates: PreemptionCandidate, rank: int = 0
) -> list[int]:
    """Return the numbers of the permits whose streams are preempted."""
    orders = PreemptionPlanner().plan([claimant], candidates, NOW, rank)
    return [order.permit_id.number for order in orders]


def test_newest_stream_is_preempted() -> None:
    older = STREAM._replace(permit_id=make_permit_id(2), granted_at=NOW - 90.0)
    newer = STREAM._replace(permit_id=make_permit_id(3), granted_at=NOW - 30.0)
    assert plan(CLAIMANT, older, newer, STREAM) == [3]


def test_unresumable_or_young_stream_is_not_preempted() -> None:
    young = STREAM._replace(granted_at=NOW - MIN_RUN_SECONDS / 2)
    assert plan(CLAIMANT, STREAM._replace(resumable=False), young) == []


def test_workspace_ahead_of_the_victim_preempts_nothing() -> None:
    assert plan(CLAIMANT._replace(virtual_time=100.0), STREAM) == [1]
    assert plan(CLAIMANT._replace(virtual_time=100.1), STREAM) == []


def test_own_stream_is_preempted_unless_it_is_guaranteed() -> None:
    own = STREAM._replace(workspace="elmplace")
    ahead = CLAIMANT._replace(virtual_time=101.0)
    assert plan(ahead, own) == [1]
    assert plan(ahead, own._replace(guaranteed=True)) == []


def test_short_wait_preempts_nothing() -> None:
    assert plan(CLAIMANT._replace(oldest_age=MIN_WAIT_SECONDS / 2), STREAM) == []


def test_schedulers_of_higher_rank_wait_longer() -> None:
    claimant = CLAIMANT._replace(oldest_age=MIN_WAIT_SECONDS)
    assert plan(claimant, STREAM, rank=0) == [1]
    assert plan(claimant, STREAM, rank=1) == []
    longer_waiting = CLAIMANT._replace(
        oldest_age=MIN_WAIT_SECONDS + WAIT_PER_RANK_SECONDS
    )
    assert plan(longer_waiting, STREAM, rank=1) == [1]
    assert plan(longer_waiting, STREAM, rank=2) == []


def test_each_waiting_request_has_at_most_one_outstanding_preemption() -> None:
    planner = PreemptionPlanner()
    streams = [STREAM._replace(permit_id=make_permit_id(number)) for number in range(4)]
    assert len(planner.plan([CLAIMANT], streams, NOW)) == 1
    assert planner.plan([CLAIMANT], streams, NOW + 0.5) == []
    two = CLAIMANT._replace(waiting=2)
    assert len(planner.plan([two], streams, NOW + 0.6)) == 1
    planner.record_return(make_permit_id(3))
    planner.record_return(make_permit_id(2))
    assert planner.outstanding == 0


def test_request_is_preempted_a_bounded_number_of_times() -> None:
    rule = CallRule("POST", "/v1/completions", True, True)
    assert is_preemptible(rule, MAX_PREEMPTIONS - 1)
    assert not is_preemptible(rule, MAX_PREEMPTIONS)
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
            PreemptionCandidate,
            st.builds(make_permit_id, st.integers(0, 20)),
            WORKSPACES,
            st.floats(0.0, 200.0),
            st.floats(NOW - 3.0, NOW),
            st.booleans(),
            st.booleans(),
        ),
        max_size=20,
        unique_by=lambda candidate: candidate.permit_id,
    ),
)
def test_orders_respect_all_limits(
    claimants: list[Claimant], candidates: list[PreemptionCandidate]
) -> None:
    planner = PreemptionPlanner()
    orders = planner.plan(claimants, candidates, NOW)
    orders += planner.plan(claimants, candidates, NOW + 0.1)
    streams = {candidate.permit_id: candidate for candidate in candidates}
    assert len({order.permit_id for order in orders}) == len(orders)
    for claimant in claimants:
        own_orders = [o for o in orders if o.workspace == claimant.workspace]
        assert len(own_orders) <= claimant.waiting
        for order in own_orders:
            victim = streams[order.permit_id]
            assert victim.resumable
            if victim.workspace == claimant.workspace:
                assert not victim.guaranteed
            else:
                assert claimant.virtual_time <= victim.virtual_time + 1e-6
