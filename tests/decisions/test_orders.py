"""Orders to engines: what is wanted, fenced, and spread over time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.orders import (
    FIRST_REPEAT,
    LOAD_SLOT,
    LOADS_AT_ONCE,
    EngineState,
    SentOrder,
    has_turn,
    is_met,
    needs_weights,
    plan_order,
    write_order,
)
from tests.support.large_texts import write_large_configuration

SERVERS = accept_text(write_large_configuration(4, 60, 3).encode(), 7).servers
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


def test_one_number_means_one_order() -> None:
    assert write_order(SERVER, 7) == write_order(SERVER, 7)
    turned = SERVER._replace(models=("b", "a"))
    assert write_order(turned, 7) == write_order(SERVER._replace(models=("a", "b")), 7)


@settings(derandomize=True, deadline=None)
@given(STATES, STATES)
def test_an_order_that_is_carried_out_is_not_repeated(
    wanted: EngineState, had: EngineState
) -> None:
    server = SERVER._replace(
        **{k: v for k, v in wanted._asdict().items() if k != "number"}
    )
    order = plan_order(server, 7, had, None, 0.0)
    if order is None:
        assert is_met(write_order(server, 7), had) or server == server._replace(
            models=(), adapters=(), version="", role=""
        )
        return
    done = EngineState(
        order.models,
        order.adapters,
        order.version or had.version,
        order.role or had.role,
    )
    assert plan_order(server, 7, done, None, 0.0) is None
    assert not needs_weights(order, done)


def test_an_older_configuration_orders_nothing_where_numbers_are_checked() -> None:
    state = EMPTY._replace(number=8)
    checked = SERVER._replace(checks_fencing=True)
    assert plan_order(checked, 7, state, None, 0.0) is None
    assert plan_order(checked, 8, state, None, 0.0) is not None


def test_repeats_are_spaced_and_a_new_order_is_not_held_up() -> None:
    order = write_order(SERVER, 7)
    sent = SentOrder(order, 100.0, 0)
    assert plan_order(SERVER, 7, EMPTY, sent, 100.0 + FIRST_REPEAT / 2) is None
    assert plan_order(SERVER, 7, EMPTY, sent, 100.0 + FIRST_REPEAT) == order
    later = SentOrder(order, 100.0, 3)
    assert plan_order(SERVER, 7, EMPTY, later, 100.0 + 4 * FIRST_REPEAT) is None
    assert plan_order(SERVER, 8, EMPTY, later, 100.1) == write_order(SERVER, 8)


def test_loads_start_at_few_servers_in_each_slot_and_at_all_in_a_cycle() -> None:
    names = sorted(SERVERS)
    slots = -(-len(names) // LOADS_AT_ONCE)
    started: set[str] = set()
    for slot in range(slots):
        turns = {
            n
            for n in names
            if has_turn(n, names, 1_000_000 * LOAD_SLOT + slot * LOAD_SLOT)
        }
        assert len(turns) <= LOADS_AT_ONCE
        started |= turns
    assert started == set(names)
    assert all(has_turn(name, names[:4], 5.0) for name in names[:4])
