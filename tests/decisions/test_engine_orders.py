"""Tests of orders to engines: content, fencing, resends and load slots."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.engine_orders import (
    INITIAL_RESEND_SECONDS,
    LOAD_SLOT_SECONDS,
    MAX_CONCURRENT_LOADS,
    EngineState,
    SentOrder,
    build_order,
    has_load_slot,
    is_satisfied,
    needs_weight_store,
    plan_order,
)
from tests.support.large_configurations import build_large_configuration

SERVERS = accept_text(build_large_configuration(4, 60, 3).encode(), 7).servers
SERVER = SERVERS["server-1"]
EMPTY = EngineState((), (), "", "")
TEXTS = st.sampled_from(["", "a", "b"])
STATES = st.builds(
    EngineState,
    st.lists(TEXTS.filter(bool), unique=True).map(tuple),
    st.lists(TEXTS.filter(bool), unique=True).map(tuple),
    TEXTS,
    TEXTS,
)


def test_equal_fencing_numbers_mean_equal_orders() -> None:
    assert build_order(SERVER, 7) == build_order(SERVER, 7)
    reordered = SERVER._replace(models=("b", "a"))
    assert build_order(reordered, 7) == build_order(
        SERVER._replace(models=("a", "b")), 7
    )


@settings(derandomize=True, deadline=None)
@given(STATES, STATES)
def test_satisfied_order_is_not_sent_again(
    desired: EngineState, current: EngineState
) -> None:
    server = SERVER._replace(
        **{k: v for k, v in desired._asdict().items() if k != "number"}
    )
    order = plan_order(server, 7, current, None, 0.0)
    if order is None:
        assert is_satisfied(
            build_order(server, 7), current
        ) or server == server._replace(models=(), adapters=(), version="", role="")
        return
    reached = EngineState(
        order.models,
        order.adapters,
        order.version or current.version,
        order.role or current.role,
    )
    assert plan_order(server, 7, reached, None, 0.0) is None
    assert not needs_weight_store(order, reached)


def test_older_revision_sends_no_order_to_an_engine_that_checks_fencing() -> None:
    state = EMPTY._replace(number=8)
    checking_server = SERVER._replace(checks_fencing=True)
    assert plan_order(checking_server, 7, state, None, 0.0) is None
    assert plan_order(checking_server, 8, state, None, 0.0) is not None


def test_resends_are_delayed_and_new_orders_are_not() -> None:
    order = build_order(SERVER, 7)
    sent = SentOrder(order, 100.0, 0)
    assert (
        plan_order(SERVER, 7, EMPTY, sent, 100.0 + INITIAL_RESEND_SECONDS / 2) is None
    )
    assert plan_order(SERVER, 7, EMPTY, sent, 100.0 + INITIAL_RESEND_SECONDS) == order
    resent = SentOrder(order, 100.0, 3)
    assert (
        plan_order(SERVER, 7, EMPTY, resent, 100.0 + 4 * INITIAL_RESEND_SECONDS) is None
    )
    assert plan_order(SERVER, 8, EMPTY, resent, 100.1) == build_order(SERVER, 8)


def test_each_slot_admits_few_loads_and_each_cycle_admits_all() -> None:
    names = sorted(SERVERS)
    slots = -(-len(names) // MAX_CONCURRENT_LOADS)
    loaded: set[str] = set()
    for slot in range(slots):
        admitted = {
            n
            for n in names
            if has_load_slot(
                n, names, 1_000_000 * LOAD_SLOT_SECONDS + slot * LOAD_SLOT_SECONDS
            )
        }
        assert len(admitted) <= MAX_CONCURRENT_LOADS
        loaded |= admitted
    assert loaded == set(names)
    assert all(has_load_slot(name, names[:4], 5.0) for name in names[:4])
